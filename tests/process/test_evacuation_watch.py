"""Check which nodes read evacuations from the store, and what they do then.

Guards against store calls of nodes that are not elected to watch, and against
candidates in an evacuated data centre.
"""

import functools
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
from jayflow.process import subset
from jayflow.version import objects
from tests.process import test_evacuations
from tests.process import test_member_directory
from tests import virtual_time


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
        change = api.Change(kind, test_evacuations.entry(name, self.revision))
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
            evacuations.KEY_PREFIX,
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


# Title, when a peer tells what is evacuated, until when the store does not
# answer, when to look, whether it is known then, and the lists until then.
FIRST_LISTS = [
    ('a peer tells at once', 0.2, 0, 2.0, True, 0),
    ('too early for a list', 1e9, 0, 0.45, False, 0),
    ('no peer tells', 1e9, 0, 1.05, True, 1),
    ('no peer tells and nothing changes', 1e9, 0, 100, True, 1),
    ('a peer tells later', 2.0, 0, 3, True, 1),
    ('the store is silent', 1e9, 8.0, 7.9, False, 8),
    ('the store answers again', 1e9, 8.0, 10, True, 10),
    ('a peer tells while the store is silent', 3.0, 8.0, 100, True, 3),
]


class FirstListTest(virtual_time.VirtualTimeTestCase):
    async def _start(self, store, known, told_at, silent_s, until):
        metrics = metrics_module.Metrics()
        watcher = platform_watchers.PlatformWatcher(
            store,
            member_directory.MemberDirectory(messages.NodeId('n1'), 'a'),
            member_directory.ActiveVersion(metrics, lambda version: None),
            metrics,
            random.Random(1),
            evacuations.KEY_PREFIX,
            pause=_pause,
            watch_delay_s=4.6,
            watchers_only=True,
            max_first_list_delay_s=1.0,
        )
        # Never elected, and one of its peers is gone for good.
        watcher.is_watcher = lambda now: False
        watcher.is_known = lambda: known.is_known
        watcher.on_read = known.apply
        store.silent_until = silent_s
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            if told_at < until:
                await anyio.sleep(told_at)
                known.adopt(test_evacuations.peer(3, 'a'))
            await anyio.sleep(until - anyio.current_time())
            tasks.cancel_scope.cancel()

    def test_a_node_did_not_know_of_an_evacuation_until_its_peers_did(self):
        for title, told_at, silent_s, until, is_known, lists in FIRST_LISTS:
            with self.subTest(title):
                store = SilentStore()
                store.change(PUT, 'a')
                known = evacuations.Evacuations(metrics_module.Metrics())
                start = functools.partial(
                    self._start, store, known, told_at, silent_s, until
                )
                self.run_virtual(lambda loop, start=start: start())
                self.assertIs(is_known, known.is_known)
                self.assertLessEqual(len(store.calls), lists)


async def _pause(failures: int) -> None:
    await anyio.sleep(1.0)


class SilentStore(FakeStore):
    """Fail all calls for a time."""

    silent_until = 0.0

    async def list(self, prefix):
        listing = await super().list(prefix)
        if anyio.current_time() < self.silent_until:
            raise api.PlatformError('no answer')
        return listing


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
