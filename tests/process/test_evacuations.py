"""Check what nodes know of evacuations, and that none is sent a request.

Guards against requests to the servers of an evacuated data centre, against
an evacuation that outlives its end on some node, and against store calls of
nodes that are not elected to watch.
"""

import functools
import itertools
import random
import unittest

import anyio

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.process import evacuations
from jayflow.process import member_directory
from jayflow.process import platform_pauses
from jayflow.process import platform_watcher as platform_watchers
from jayflow.process import state_publishing
from jayflow.process import subset
from jayflow.version import objects
from tests.process import test_member_directory
from tests.process import test_state_publishing
from tests import virtual_time

PREFIX = evacuations.KEY_PREFIX


def entry(name: str, revision: int = 1) -> api.Entry:
    return api.Entry(PREFIX + name, b'{}', api.Revision(revision))


def listing(revision: int, names: str = '', era: int = 1) -> api.Listing:
    """Return a list that names a data centre for each letter."""
    return api.Listing([entry(name) for name in names], revision, era)


def changes(revision: int, put: str = '', deleted: str = '', era: int = 1):
    kinds = ((put, api.ChangeKind.PUT), (deleted, api.ChangeKind.DELETE))
    rows = [
        api.Change(kind, entry(name))
        for names, kind in kinds
        for name in names
    ]
    return api.Changes(rows, api.Revision(revision), api.Era(era))


def peer(revision: int, names: str = '', era: int = 1):
    position = evacuations.Position(api.Era(era), api.Revision(revision))
    return evacuations.Knowledge(position, tuple(names))


def observe(known: evacuations.Evacuations, step) -> None:
    if isinstance(step, evacuations.Knowledge):
        known.adopt(step)
    else:
        known.apply(step)


# Title, what a node reads and hears, data centres evacuated, and revision.
ORDERS = [
    ('nothing', [], '', 0),
    ('an empty list', [listing(7)], '', 0),
    ('a list', [listing(7, 'ab')], 'ab', 7),
    ('a change', [listing(7), changes(9, 'a')], 'a', 9),
    ('no change', [listing(7, 'a'), changes(9)], 'a', 7),
    ('taken back', [listing(7, 'ab'), changes(9, '', 'a')], 'b', 9),
    ('taken back by a list', [listing(7, 'a'), listing(9)], '', 9),
    ('put and taken back', [listing(7), changes(9, 'a', 'a')], '', 0),
    ('known from a peer', [peer(7, 'a')], 'a', 7),
    ('taken back, known from a peer', [peer(7, 'a'), peer(9)], '', 9),
    ('peers out of order', [peer(9), peer(7, 'a')], '', 9),
    ('a peer before an older list', [peer(9, 'a'), listing(7)], 'a', 9),
    ('a peer before an older change', [peer(9), changes(8, 'a')], '', 9),
    (
        'a list, a newer peer and a change that the peer includes',
        [listing(5), peer(9, 'b'), changes(10, 'ab', 'a')],
        'b',
        9,
    ),
    # A node that was cut off while the evacuation ended, and others that have
    # restarted since, had no newer knowledge to correct it with.
    ('an outdated peer', [listing(9), peer(7, 'a')], '', 9),
    ('a newer peer of the same', [listing(5, 'a'), peer(7, 'a')], 'a', 7),
    ('a restored store', [listing(9, 'a'), listing(4, era=2)], '', 4),
    (
        'a peer that does not know of the restore',
        [listing(9, 'a'), listing(4, 'b', era=2), peer(9, 'a')],
        'b',
        4,
    ),
    (
        'a restore known from a peer',
        [peer(9, 'a'), peer(4, 'b', era=2), peer(10, 'a')],
        'b',
        4,
    ),
    (
        'evacuated after the restore',
        [listing(9, 'a'), listing(4, 'a', era=2), changes(5, '', 'a', era=2)],
        '',
        5,
    ),
]
# Knowledge that may arrive in any order, and what holds in the end.
ANY_ORDER = [
    ([peer(3, 'a'), peer(5, 'ab'), peer(7), peer(8, 'b')], 'b'),
    ([peer(9, 'a'), peer(2, 'c', era=2), listing(3, '', era=2)], ''),
    ([listing(3, 'a'), listing(6), peer(5, 'ab'), peer(4, 'b')], ''),
]


class KnowledgeTest(unittest.TestCase):
    def test_the_newest_knowledge_holds(self):
        for title, steps, expected, revision in ORDERS:
            with self.subTest(title):
                known = evacuations.Evacuations(metrics_module.Metrics())
                for step in steps:
                    observe(known, step)
                position, names = known.current
                self.assertEqual(
                    (tuple(expected), revision), (names, position.revision)
                )

    def test_the_order_of_arrival_decided_what_held(self):
        for steps, expected in ANY_ORDER:
            for order in itertools.permutations(steps):
                with self.subTest(order=order):
                    known = evacuations.Evacuations(metrics_module.Metrics())
                    for step in order:
                        observe(known, step)
                    self.assertEqual(
                        tuple(expected), known.current.data_centres
                    )

    def test_only_a_changed_set_is_reported(self):
        reported = []
        metrics = metrics_module.Metrics()
        known = evacuations.Evacuations(metrics)
        known.on_change = lambda: reported.append(known.current.data_centres)
        for step in (
            listing(3),
            listing(4, 'a'),
            changes(5),
            peer(6, 'a'),
            peer(5),
            peer(7),
        ):
            observe(known, step)
        self.assertEqual([('a',), ()], reported)
        self.assertEqual(2, metrics.counters['evacuation_changed'])


class RelayNode:
    """Publish to subscribers and apply what is published, as a node does."""

    def __init__(self, name: str) -> None:
        self.name = messages.NodeId(name)
        self.member = test_member_directory.member(name, 'a')
        self.directory = member_directory.MemberDirectory(self.name, 'a')
        self.known = evacuations.Evacuations(metrics_module.Metrics())
        self.subscriptions = state_publishing.PeerSubscriptions(
            self.name, 'a', self.directory, None, None, None, int
        )
        self.subscriptions.on_evacuated = self.known.adopt
        self.publisher = state_publishing.StatePublisher(
            test_state_publishing.FakeExecutor(),
            lambda: self.member,
            int,
            lambda now: 0.0,
            lambda subscriber, state: subscriber.receive(state),
        )
        self.publisher.evacuated = lambda: self.known.current
        self.known.on_change = self.publisher.publish

    def receive(self, state: messages.NodeState) -> None:
        encoded = messages.encode(state)
        self.subscriptions.handle_state(messages.decode_reply(encoded))


# Who subscribes to whom: each node to the one before it, and the first to
# the last.
NAMES = ['n0', 'n1', 'n2', 'n3']


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.nodes = [RelayNode(name) for name in NAMES]
        for node in self.nodes:
            for other in self.nodes:
                # Only n0 hears the store; a member that is new is first known
                # from the store or from its own report.
                node.directory.put(other.member)
        for node, after in itertools.pairwise([*self.nodes, self.nodes[0]]):
            node.publisher.subscribe(after)

    def known(self) -> list[tuple[str, ...]]:
        return [node.known.current.data_centres for node in self.nodes]

    def test_nodes_that_hear_only_peers_did_not_learn_of_a_change(self):
        for title, read, expected in (
            ('evacuated', listing(5, 'a'), ('a',)),
            ('a second one', changes(6, 'b'), ('a', 'b')),
            ('taken back', changes(8, '', 'ab'), ()),
            ('restored store', listing(2, 'c', era=2), ('c',)),
            ('taken back after it', changes(3, '', 'c', era=2), ()),
        ):
            with self.subTest(title):
                self.nodes[0].known.apply(read)
                self.assertEqual([expected] * len(NAMES), self.known())

    def test_a_new_node_learns_of_an_evacuation_as_it_subscribes(self):
        self.nodes[0].known.apply(listing(5, 'a'))
        late = RelayNode('n9')
        late.directory.put(self.nodes[-1].member)
        self.nodes[-1].publisher.subscribe(late)
        self.assertEqual(('a',), late.known.current.data_centres)

    def test_an_outdated_node_is_corrected(self):
        # The others have restarted since and heard of no evacuation; only the
        # watcher has read the store.
        self.nodes[0].known.apply(listing(9))
        self.nodes[2].known.adopt(peer(7, 'a'))
        for node in self.nodes:
            node.publisher.publish()
        self.assertEqual([()] * len(NAMES), self.known())

    def test_a_state_without_an_evacuation_stays_small(self):
        state = messages.NodeState(
            messages.NodeId('n1'),
            messages.Incarnation(1),
            messages.Load(0, 0, 1, 0.0),
            1,
            0.0,
        )
        # An empty list and two zeros.
        self.assertTrue(messages.encode(state).endswith(b'\x90\x00\x00'))


class FakeStore:
    """Hold evacuations at revisions, and record the calls."""

    def __init__(self, knows_kind: bool = True) -> None:
        self.knows_kind = knows_kind
        self.calls = []
        self.history: list[tuple[int, api.Change]] = []
        self.revision, self.era = 1, 1

    def change(self, kind, name: str) -> None:
        self.knows_kind = True
        self.revision += 1
        change = api.Change(kind, entry(name, self.revision))
        self.history.append((self.revision, change))

    def restore(self) -> None:
        self.history, self.revision, self.era = [], 1, self.era + 1

    async def list(self, prefix):
        self.calls.append(('list', anyio.current_time()))
        if not self.knows_kind:
            return api.Listing([], api.ABSENT, self.era, is_known=False)
        entries = {}
        for _, change in self.history:
            entries[change.entry.key] = change
        rows = [
            change.entry
            for change in entries.values()
            if change.kind is api.ChangeKind.PUT
        ]
        return api.Listing(rows, self.revision, self.era)

    async def watch(self, prefix, after, wait_s):
        self.calls.append(('watch', anyio.current_time()))
        era, until = self.era, anyio.current_time() + wait_s
        while anyio.current_time() < until:
            if era != self.era or self.revision > after:
                break
            await anyio.sleep(0.05)
        rows = [change for at, change in self.history if at > after]
        return api.Changes(rows, self.revision, self.era)


PUT, DELETE = api.ChangeKind.PUT, api.ChangeKind.DELETE
# Title, when the node is elected, whether the store knows the kind, what
# happens in the store at which time, when to look, what is known then, and
# the most calls until then.
WATCHES = [
    ('never elected', 1e9, True, [(5, PUT, 'a')], 100, '', 0),
    ('starting', 0, True, [(0, PUT, 'a')], 2.9, '', 0),
    ('the only node', 0, True, [(0, PUT, 'a')], 3.5, 'a', 2),
    ('elected later', 30, True, [(5, PUT, 'a')], 30.5, 'a', 2),
    ('at rest', 0, True, [], 103, '', 7),
    ('evacuated', 0, True, [(50, PUT, 'a')], 50.2, 'a', 5),
    ('taken back', 0, True, [(9, PUT, 'a'), (50, DELETE, 'a')], 50.2, '', 6),
    ('kind unknown', 0, False, [], 103, '', 34),
    ('kind known later', 0, False, [(50, PUT, 'a')], 53.5, 'a', 19),
    ('restored', 0, True, [(9, PUT, 'a'), (50, None, '')], 50.5, '', 8),
]


class WatchTest(virtual_time.VirtualTimeTestCase):
    async def _watch(self, store, known, elected_at, events, until):
        metrics = metrics_module.Metrics()
        watcher = platform_watchers.PlatformWatcher(
            store,
            member_directory.MemberDirectory(messages.NodeId('n1'), 'a'),
            member_directory.ActiveVersion(metrics, lambda version: None),
            metrics,
            random.Random(1),
            PREFIX,
            pause=platform_pauses.jittered_pause(random.Random(1), 0.0),
            watch_delay_s=platform_watchers.FIRST_RELIST_DELAY_S,
            watchers_only=True,
        )
        watcher.is_watcher = lambda now: now >= elected_at
        watcher.on_read = known.apply
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            for at, kind, name in events:
                await anyio.sleep(at - anyio.current_time())
                if kind is None:
                    store.restore()
                else:
                    store.change(kind, name)
            await anyio.sleep(until - anyio.current_time())
            tasks.cancel_scope.cancel()

    def test_only_elected_watchers_call_the_store(self):
        for title, elected_at, knows, events, until, names, calls in WATCHES:
            with self.subTest(title):
                store = FakeStore(knows)
                known = evacuations.Evacuations(metrics_module.Metrics())
                watch = functools.partial(
                    self._watch, store, known, elected_at, events, until
                )
                self.run_virtual(lambda loop, watch=watch: watch())
                self.assertEqual(tuple(names), known.current.data_centres)
                self.assertLessEqual(len(store.calls), calls)


class CandidatesTest(unittest.TestCase):
    def test_a_server_of_an_evacuated_data_centre_is_no_candidate(self):
        large = subset.FULL_MESH_MAX_NODES + 10
        for title, count, evacuated, expected in (
            ('none', 6, (), {'a', 'b', 'c'}),
            ('one', 6, ('a',), {'b', 'c'}),
            ('all', 6, ('a', 'b', 'c'), set()),
            ('one of a large fleet', large, ('b',), {'a', 'c'}),
            ('all of a large fleet', large, ('a', 'b', 'c'), set()),
            ('taken back', large, (), {'a', 'b', 'c'}),
        ):
            with self.subTest(title):
                directory = member_directory.MemberDirectory(
                    messages.NodeId('me'), objects.DataCentreName('a')
                )
                for number in range(count):
                    member = test_member_directory.member(
                        f'n{number}', 'abc'[number % 3]
                    )
                    directory.put(member)
                service = objects.ServiceName('s')
                directory.candidates(service)
                if title == 'taken back':
                    directory.set_evacuated(('b',))
                directory.set_evacuated(evacuated)
                centres = {
                    view.member.data_centre
                    for view in directory.candidates(service)
                }
                self.assertEqual(expected, centres)
