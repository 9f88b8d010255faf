"""Check the metadata store client against the emulated store."""

import asyncio
import contextlib
import unittest

from bench import local_cluster
from jayflow.connection import http_server
from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow.emulator import metadata_store as metadata_store_emulator
from jayflow.emulator import platform as platform_emulator
from jayflow import metrics as metrics_module
from jayflow.platform import metadata_store
from jayflow.platform import protocol
from jayflow.process import evacuations
from jayflow.version import snapshot
from jayflow.version import value_parsers

NODE_KEY = members.KEY_PREFIX + 'n1'
VALUE_1, VALUE_2 = b'{"a":1}', b'{"a":2}'


class MetadataStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.app = metadata_store_emulator.MetadataStoreApp.with_empty_store()
        port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(
            self.app,
            local_cluster.HOST,
            port,
        )
        serving = asyncio.create_task(server.serve())
        self.addAsyncCleanup(self._stop, server, serving)
        while not server.started:
            await asyncio.sleep(0.01)
        client = api.Client(
            value_parsers.Address(local_cluster.HOST, port),
            api.CallBudget(1000),
            metrics_module.Metrics(),
            0.5,
        )
        self.store = metadata_store.MetadataStoreClient(client)
        self.addAsyncCleanup(client.close)

    async def _stop(self, server, serving):
        serving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await serving

    async def test_conditional_writes(self):
        put = self.store.put
        first = await put(NODE_KEY, VALUE_1, api.ABSENT)
        second = await put(NODE_KEY, VALUE_2, first)
        self.assertGreater(second, first)
        for title, expected in (
            ('object exists', api.ABSENT),
            ('older revision', first),
        ):
            with self.subTest(title), self.assertRaises(api.ConflictError):
                await put(NODE_KEY, VALUE_1, expected)
        with self.assertRaises(api.ConflictError):
            await self.store.delete(NODE_KEY, first)
        entry = await self.store.get(NODE_KEY)
        self.assertEqual((NODE_KEY, second), (entry.key, entry.revision))
        await self.store.delete(NODE_KEY, second)
        self.assertIsNone(await self.store.get(NODE_KEY))
        with self.assertRaises(api.ConflictError):
            await put(NODE_KEY, VALUE_1, second)

    async def test_list_by_pages_and_watch(self):
        self.app.max_page_items = 2
        for name in ('c', 'a', 'e', 'b', 'd'):
            await self.store.put(
                members.KEY_PREFIX + name, VALUE_1, api.ABSENT
            )
        listing = await self.store.list(members.KEY_PREFIX)
        keys = [
            entry.key.removeprefix(members.KEY_PREFIX)
            for entry in listing.entries
        ]
        self.assertEqual(['a', 'b', 'c', 'd', 'e'], keys)
        watch = asyncio.create_task(
            self.store.watch(members.KEY_PREFIX, listing.revision, 5.0)
        )
        await asyncio.sleep(0.05)
        self.assertFalse(watch.done())
        self.app.remove(protocol.NODES_KIND, 'c')
        batch = await watch
        self.assertEqual(
            [(api.ChangeKind.DELETE, members.KEY_PREFIX + 'c')],
            [(change.kind, change.entry.key) for change in batch.changes],
        )
        self.assertEqual(
            [],
            (
                await self.store.watch(
                    snapshot.MANIFEST_KEY, batch.revision, 0.05
                )
            ).changes,
        )

    async def test_watch_from_a_dropped_revision_is_too_old(self):
        await self.store.put(NODE_KEY, VALUE_1, api.ABSENT)
        self.app.drop_history()
        with self.assertRaises(api.TooOldError):
            await self.store.watch(members.KEY_PREFIX, api.ABSENT, 0.1)

    async def test_pages_of_different_eras_are_no_list(self):
        self.app.max_page_items = 1
        for name in ('a', 'b'):
            await self.store.put(
                members.KEY_PREFIX + name, VALUE_1, api.ABSENT
            )
        listing = await self.store.list(members.KEY_PREFIX)
        self.assertEqual(self.app.era, listing.era)
        list_page = self.app._list_page

        def restore_after_first_page(kind, after):
            if after:
                self.app.restore(self.app.copy())
            return list_page(kind, after)

        self.app._list_page = restore_after_first_page
        with self.assertRaises(api.UnavailableError):
            await self.store.list(members.KEY_PREFIX)

    async def test_an_era_that_is_no_number_is_rejected(self):
        for era in ('', '-1', 'x', '9' * 5000):
            with self.subTest(era[:9]):
                self.app.era = era
                with self.assertRaises(api.UnavailableError):
                    await self.store.list(members.KEY_PREFIX)

    async def test_faults_raise_the_matching_error(self):
        cases = [
            (platform_emulator.Fault.BUSY, api.UnavailableError, None),
            (platform_emulator.Fault.DOWN, api.AmbiguousError, None),
            (platform_emulator.Fault.SLOW, api.AmbiguousError, None),
            (
                platform_emulator.Fault.LOST_RESPONSE,
                api.AmbiguousError,
                VALUE_1,
            ),
        ]
        for number, (fault, error, stored) in enumerate(cases):
            key = f'{members.KEY_PREFIX}n{number}'
            with self.subTest(fault=fault):
                self.app.fault = fault
                with self.assertRaises(error):
                    await self.store.put(key, VALUE_1, api.ABSENT)
                self.app.fault = platform_emulator.Fault.NONE
                if fault is not platform_emulator.Fault.SLOW:
                    entry = await self.store.get(key)
                    self.assertEqual(stored is not None, entry is not None)

    async def test_key_that_maps_to_no_kind_is_rejected(self):
        with self.assertRaises(ValueError):
            await self.store.get('claims/x')

    async def test_evacuations_are_listed_and_watched(self):
        key = evacuations.KEY_PREFIX + 'zone-a'
        known = evacuations.Evacuations(metrics_module.Metrics())
        listing = await self.store.list(evacuations.KEY_PREFIX)
        known.apply(listing)
        self.assertEqual(
            ((), True), (tuple(listing.entries), listing.is_known)
        )
        revision = await self.store.put(key, b'{}', api.ABSENT)
        batch = await self.store.watch(
            evacuations.KEY_PREFIX, listing.revision, 0.5
        )
        known.apply(batch)
        self.assertEqual(('zone-a',), known.current.data_centres)
        await self.store.delete(key, revision)
        known.apply(
            await self.store.watch(evacuations.KEY_PREFIX, batch.revision, 0.5)
        )
        self.assertEqual((), known.current.data_centres)

    async def test_a_store_that_does_not_know_evacuations_has_none(self):
        async def reply_not_found(*args):
            return 404, None, b'{}'

        self.app._call = reply_not_found
        listing = await self.store.list(evacuations.KEY_PREFIX)
        self.assertEqual(([], False), (listing.entries, listing.is_known))
        with self.assertRaises(api.TooOldError):
            await self.store.watch(evacuations.KEY_PREFIX, api.ABSENT, 0.1)
        # The other kinds must exist.
        with self.assertRaises(api.PlatformError):
            await self.store.list(members.KEY_PREFIX)
