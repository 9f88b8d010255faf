"""Check that nodes recover what a store lost that was restored from a copy.

A watch once went on from a revision that had been given out again, so that
changes in between were missed, and records were left as the copy had them: a
server that had left was in use again by its node's next process.
"""

import asyncio
import contextlib
import json
import random
import unittest

import anyio

from bench import local_cluster
from jayflow.connection import http_server
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.emulator import metadata_store as metadata_store_emulator
from jayflow import metrics as metrics_module
from jayflow.platform import metadata_store
from jayflow.process import member_directory
from jayflow.process import member_writer
from jayflow.process import platform_pauses
from jayflow.process import platform_watcher as platform_watchers
from jayflow.version import objects
from jayflow.version import snapshot
from jayflow.version import value_parsers
from tests.process import test_member_directory

# Entries are to be back within this time of the restore.
RECOVERY_S = 2.0
OWN, PEER = messages.NodeId('n1'), messages.NodeId('n2')
LEFT = (messages.ServerIncarnation('i1', 10),)
# Title, the node whose record changes after the copy, what it was and what it
# becomes; None if there is no record.
RECORD_CASES = [
    ('own server drains', OWN, {}, {'draining': True}),
    ('own server has left', OWN, {}, {'services': (), 'left': LEFT}),
    ('own node is new', OWN, None, {}),
    ('own record was deleted', OWN, {}, None),
    ('own node has restarted', OWN, {}, {'incarnation': 2}),
    ('a peer drains', PEER, {}, {'draining': True}),
    ('a peer is new', PEER, None, {}),
    ('a peer has lost its server', PEER, {}, {'services': ()}),
]


def _member(node, changes):
    if changes is None:
        return None
    return test_member_directory.member(node, 'a', **changes)


def _decode_version(data: bytes) -> snapshot.Version:
    return snapshot.Version(json.loads(data)['number'], objects.ObjectSet())


class Fleet:
    """Run the watchers of one node and the member writers of two nodes."""

    def __init__(self, port: int) -> None:
        self.client = api.Client(
            value_parsers.Address(local_cluster.HOST, port),
            api.CallBudget(1000),
            metrics_module.Metrics(),
            0.5,
        )
        self.store = metadata_store.MetadataStoreClient(self.client)
        metrics = metrics_module.Metrics()
        self.directory = member_directory.MemberDirectory(
            OWN, objects.DataCentreName('a')
        )
        self.version = member_directory.ActiveVersion(
            metrics, lambda version: None
        )
        self.desired: dict[messages.NodeId, members.Member | None] = {}
        self.writers = {
            node: member_writer.MemberWriter(
                self.store,
                members.KEY_PREFIX + node,
                lambda node=node: self.desired[node],
                platform_pauses.jittered_pause(random.Random(1), 0.1),
            )
            for node in (OWN, PEER)
        }
        self.watchers = [
            platform_watchers.PlatformWatcher(
                self.store,
                self.directory,
                self.version,
                metrics,
                random.Random(1),
                prefix,
                _decode_version,
                watch_timeout_s=watch_timeout_s,
                batch_delay_s=batch_delay_s,
            )
            for prefix, watch_timeout_s, batch_delay_s in (
                (snapshot.MANIFEST_KEY, 1.0, 0.0),
                (members.KEY_PREFIX, 20.0, 0.3),
            )
        ]
        self.watchers[0].on_reconnected = self.watchers[1].relist
        self.watchers[1].on_member_missing = self._notify
        for watcher in self.watchers:
            watcher.on_restored = self._on_restored
        self.watchers[1].on_listed = self._set_stored

    def _notify(self, node: messages.NodeId, must_read: bool) -> None:
        """Notify a node about its record, as a message would."""
        if node in self.writers:
            self.writers[node].mark_missing(must_read)

    def _on_restored(self, era: api.Era) -> None:
        """Do what a node does when the store was restored."""
        self.writers[OWN].mark_missing(must_read=True)
        for watcher in self.watchers:
            watcher.expect_era(era)

    def _set_stored(self, entries: list[api.Entry]) -> None:
        """Pass on a list as a node does with its first one."""
        self.watchers[1].on_listed = lambda entries: None
        own_key = members.KEY_PREFIX + OWN
        entry = next((row for row in entries if row.key == own_key), None)
        self.writers[OWN].set_stored(entry)

    def set_member(self, node, member) -> None:
        """Change the record that a node wants."""
        self.desired[node] = member
        if node == OWN and member is not None:
            self.directory.put(member)
        self.writers[node].notify()

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the parts; a failed assertion is raised as it is."""
        parts = (*self.watchers, *self.writers.values())
        tasks = [asyncio.create_task(part.run()) for part in parts]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    """Run a fleet against an emulated store."""

    async def asyncSetUp(self):
        await self._restart_store()

    async def _restart_store(self):
        self.app = metadata_store_emulator.MetadataStoreApp.with_empty_store()
        port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(self.app, local_cluster.HOST, port)
        serving = asyncio.create_task(server.serve())
        self.addAsyncCleanup(self._stop, serving)
        while not server.started:
            await asyncio.sleep(0.01)
        self.fleet = Fleet(port)
        self.addAsyncCleanup(self.fleet.client.close)

    async def _stop(self, serving):
        serving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await serving

    def _write_version(self, number: int) -> None:
        """Write a version as the operator does."""
        self._write('config/main', json.dumps({'number': number}).encode())

    def _write(self, key: str, value: bytes) -> None:
        store = self.app._store
        entry = store.get(key)
        store.put(key, value, entry.revision if entry else api.ABSENT)

    def _stored(self, node):
        entry = self.app._store.get(f'jayflow-nodes/{node}')
        if entry is None:
            return None
        return members.Member.decode(entry.value)

    async def _wait_for(self, is_true) -> bool:
        with anyio.move_on_after(RECOVERY_S):
            while not is_true():
                await asyncio.sleep(0.02)
        return is_true()


class StoreRestoreTest(StoreTestCase):
    async def test_records_that_the_store_lost_are_written_again(self):
        for title, node, before, after in RECORD_CASES:
            with self.subTest(title):
                await self._restart_store()
                fleet = self.fleet
                other = PEER if node == OWN else OWN
                fleet.desired = {
                    node: _member(node, before),
                    other: _member(other, {}),
                }
                async with fleet.running():
                    self.assertTrue(
                        await self._wait_for(
                            lambda fleet=fleet: all(
                                self._stored(name) == member
                                for name, member in fleet.desired.items()
                            )
                        )
                    )
                    await asyncio.sleep(0.4)
                    copy = self.app.copy()
                    fleet.set_member(node, _member(node, after))
                    expected = _member(node, after)
                    self.assertTrue(
                        await self._wait_for(
                            lambda node=node, expected=expected: (
                                self._stored(node) == expected
                            )
                        )
                    )
                    await asyncio.sleep(0.4)
                    self.app.restore(copy)
                    self.assertTrue(
                        await self._wait_for(
                            lambda node=node, expected=expected: (
                                self._stored(node) == expected
                            )
                        ),
                        self._stored(node),
                    )
                    if node == PEER:
                        view = fleet.directory.peer_view(PEER)
                        self.assertEqual(expected, view and view.member)

    async def test_a_node_that_has_gone_is_removed_after_the_recovery(self):
        fleet = self.fleet
        fleet.desired = {OWN: _member(OWN, {}), PEER: _member(PEER, {})}
        gone = _member('gone', {})
        async with fleet.running():
            self._write('jayflow-nodes/gone', gone.encode())
            self.assertTrue(
                await self._wait_for(
                    lambda: fleet.directory.peer_view(gone.node)
                )
            )
            copy = self.app.copy()
            copy[1].pop('jayflow-nodes/gone')
            self.app.restore(copy)
            await asyncio.sleep(platform_watchers.RESTORE_RECOVERY_S / 2)
            self.assertIsNotNone(fleet.directory.peer_view(gone.node))
            self.assertTrue(
                await self._wait_for(
                    lambda: fleet.directory.peer_view(gone.node) is None
                )
            )

    async def test_a_version_written_before_the_old_revision_is_not_missed(
        self,
    ):
        fleet = self.fleet
        fleet.desired = {OWN: _member(OWN, {}), PEER: _member(PEER, {})}
        self._write_version(1)
        copy = self.app.copy()
        for number in range(4):
            self._write(f'jayflow-nodes/x{number}', b'{}')
        # The watch returns and is repeated only after a pause, in which the
        # store is restored and gives out the revision once more.
        fleet.watchers[0]._batch_delay_s = 0.5
        async with fleet.running():
            await self._wait_for(lambda: fleet.version.current.number == 1)
            await asyncio.sleep(0.2)
            self._write_version(2)
            await self._wait_for(lambda: fleet.version.current.number == 2)
            revision = self.app._store.revision
            self.app.restore(copy)
            self._write_version(2)
            self._write_version(3)
            while self.app._store.revision <= revision:
                self._write('other/x', b'%d' % self.app._store.revision)
            self.assertTrue(
                await self._wait_for(
                    lambda: fleet.version.current.number == 3
                ),
                fleet.version.current.number,
            )
