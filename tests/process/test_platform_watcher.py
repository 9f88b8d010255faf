"""Check how nodes list and watch the platform, also after outages."""

import math
import random

import anyio

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.process import platform_pauses
from jayflow.process import platform_watcher as platform_watchers
from jayflow.version import objects
from tests import virtual_time

WAIT_S = 20.0
END_S = 6.0
# Title, and when the platform becomes unreachable and reachable again.
OUTAGES_S = [('short', 1.0, 2.0), ('long', 1.0, 5.0)]


class FakePlatform:
    """Answer except during an outage; a watch never returns a change."""

    def __init__(self, silent_from: float, silent_until: float) -> None:
        self.silent = (silent_from, silent_until)
        self.listed_at = []
        self.watches = 0

    def _is_silent(self) -> bool:
        first, last = self.silent
        return first <= anyio.current_time() < last

    async def list(self, prefix):
        await self._call(0.0)
        self.listed_at.append(anyio.current_time())
        return api.Listing([], api.Revision(1))

    async def watch(self, prefix, after, wait_s):
        await self._call(wait_s)
        self.watches += 1
        return api.Changes([], after)

    async def _call(self, wait_s):
        """Wait for the response, which is lost if an outage overlaps."""
        called_at = anyio.current_time()
        await anyio.sleep(wait_s)
        first, last = self.silent
        if called_at < last and anyio.current_time() >= first:
            await anyio.sleep(1.0)
            raise api.UnavailableError('silent')


class BusyPlatform:
    """Report many changes in a short time, as when many nodes start."""

    COUNT = 40
    LAST_CHANGE_S = 1.4

    def __init__(self) -> None:
        self.calls = 0
        self.reported = 0

    def _changed(self) -> int:
        share = max(0.0, anyio.current_time() - 1.0) / (
            self.LAST_CHANGE_S - 1.0
        )
        return int(self.COUNT * min(1.0, share + 1e-9))

    async def list(self, prefix):
        return api.Listing([], api.Revision(0))

    async def watch(self, prefix, after, wait_s):
        self.calls += 1
        while self._changed() == after:
            await anyio.sleep(0.01)
        revision = self._changed()
        self.reported += revision - after
        entry = api.Entry(
            members.KEY_PREFIX + 'x', b'', api.Revision(revision)
        )
        change = api.Change(api.ChangeKind.DELETE, entry)
        return api.Changes([change], api.Revision(revision))


class PlatformWatcherTest(virtual_time.VirtualTimeTestCase):
    def watcher(
        self,
        platform,
        watch_timeout_s,
        batch_delay_s=0.0,
        first_relist_delay_s=3.0,
        watch_delay_s=0.0,
    ):
        node = messages.NodeId('n1')
        directory = member_directory.MemberDirectory(
            node, objects.DataCentreName('dc')
        )
        metrics = metrics_module.Metrics()
        active_version = member_directory.ActiveVersion(
            metrics, lambda version: None
        )
        return platform_watchers.PlatformWatcher(
            platform,
            directory,
            active_version,
            metrics,
            random.Random(1),
            members.KEY_PREFIX,
            pause=platform_pauses.jittered_pause(random.Random(1), 0.0),
            watch_timeout_s=watch_timeout_s,
            batch_delay_s=batch_delay_s,
            first_relist_delay_s=first_relist_delay_s,
            watch_delay_s=watch_delay_s,
        )

    def test_calls_of_a_node_that_is_not_elected(self):
        # Nodes that had listed while they seemed to be elected listed once
        # more soon afterwards, and all nodes of a fleet that starts watched.
        cases = [
            ('never elected', 0.0, False, 2, 0),
            ('elected until it hears of others', 3.5, False, 2, 0),
            ('elected until after the delay', 5.5, False, 3, 2),
            ('joined a running fleet', 0.0, True, 1, 0),
        ]
        for title, elected_until, is_informed, lists, watches in cases:
            with self.subTest(title):
                platform = FakePlatform(math.inf, math.inf)
                watcher = self.watcher(
                    platform, 1.0, first_relist_delay_s=3.0, watch_delay_s=4.0
                )
                watcher.is_watcher = lambda now, until=elected_until: (
                    anyio.current_time() < until
                )
                watcher.is_informed = lambda now, value=is_informed: value

                async def main(loop, run=watcher.run):
                    with anyio.move_on_after(20.5):
                        await run()

                self.run_virtual(main)
                self.assertEqual(lists, len(platform.listed_at))
                self.assertEqual(watches, platform.watches)

    def test_changes_in_quick_succession_are_batched(self):
        platform = BusyPlatform()
        watcher = self.watcher(
            platform, watch_timeout_s=WAIT_S, batch_delay_s=0.5
        )

        async def main(loop):
            with anyio.move_on_after(BusyPlatform.LAST_CHANGE_S + 1.0):
                await watcher.run()

        self.run_virtual(main)
        self.assertEqual(BusyPlatform.COUNT, platform.reported)
        self.assertLessEqual(platform.calls, 4)

    def test_an_idle_watch_lists_again_after_an_outage(self):
        for title, first, last in OUTAGES_S:
            with self.subTest(title):
                platform = FakePlatform(first, last)
                self.run_virtual(
                    lambda loop, fake=platform: self._run_outage(fake)
                )
                relisted_at = [at for at in platform.listed_at if at >= last]
                self.assertTrue(relisted_at)

    async def _run_outage(self, platform):
        versions = FakePlatform(*platform.silent)
        version_watcher = self.watcher(versions, watch_timeout_s=3.0)
        idle_watcher = self.watcher(platform, watch_timeout_s=WAIT_S)
        version_watcher.on_reconnected = idle_watcher.relist
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(version_watcher.run)
            tasks.start_soon(idle_watcher.run)
            await anyio.sleep(max(END_S, platform.silent[1] + 3.0))
            tasks.cancel_scope.cancel()
