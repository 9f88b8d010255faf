"""Check what nodes know of evacuations, and how they relay it.

Guards against a node that hears only peers and does not learn of a change,
and against an evacuation that outlives its end on some node.
"""

import itertools
import unittest

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.process import evacuations
from jayflow.process import member_directory
from jayflow.process import state_publishing
from tests.process import test_member_directory
from tests.process import test_state_publishing

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
    # Peers can tell it from a node that has read nothing.
    ('an empty list', [listing(7)], '', 7),
    ('a list', [listing(7, 'ab')], 'ab', 7),
    ('a change', [listing(7), changes(9, 'a')], 'a', 9),
    ('no change', [listing(7, 'a'), changes(9)], 'a', 7),
    ('taken back', [listing(7, 'ab'), changes(9, '', 'a')], 'b', 9),
    ('taken back by a list', [listing(7, 'a'), listing(9)], '', 9),
    ('put and taken back', [listing(7), changes(9, 'a', 'a')], '', 7),
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


# Title, what a node reads and hears, and what it tells its peers.
KNOWN = [
    ('nothing', [], []),
    ('a peer that has heard nothing', [peer(0, era=0)], []),
    ('an empty list', [listing(7), changes(9), listing(11)], ['none']),
    ('a list of a store without the kind', [listing(0, era=0)], ['none']),
    ('a list', [listing(7, 'a'), listing(8, 'a')], ['set']),
    ('a peer that knows of none', [peer(7), peer(9)], ['none']),
    ('a peer that knows of one', [peer(7, 'a'), listing(9, 'a')], ['set']),
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

    def test_a_node_that_had_heard_nothing_took_it_for_no_evacuation(self):
        for title, steps, expected in KNOWN:
            with self.subTest(title):
                known = evacuations.Evacuations(metrics_module.Metrics())
                notices = []
                known.on_known = lambda notices=notices: notices.append('none')
                known.on_change = lambda notices=notices: notices.append('set')
                for step in steps:
                    observe(known, step)
                self.assertEqual(
                    (bool(expected), expected), (known.is_known, notices)
                )


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
            ('evacuated after it', changes(4, 'a', era=2), ('a',)),
            # Its revision is 0.
            ('restored without the kind', listing(0, era=3), ()),
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

    def test_a_new_node_learns_that_nothing_is_evacuated(self):
        for node in self.nodes:
            node.known.on_known = node.publisher.publish
        self.nodes[0].known.apply(listing(5))
        self.assertEqual(
            [True] * len(NAMES), [node.known.is_known for node in self.nodes]
        )
        late = RelayNode('n9')
        late.directory.put(self.nodes[-1].member)
        self.nodes[-1].publisher.subscribe(late)
        self.assertTrue(late.known.is_known)

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
