"""Check the store's client against the stand-in."""

import asyncio
import contextlib
import unittest

from bench import stack as stacks
from jayflow.connection import http_server
from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow.emulator import metadata
from jayflow.emulator import platform as emulator
from jayflow import metrics as counting
from jayflow.platform import store as stores
from jayflow.platform import wire
from jayflow.version import quantity
from jayflow.version import snapshot

NODE = members.PREFIX + 'n1'
ONE, TWO = b'{"a":1}', b'{"a":2}'


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.app = metadata.MetadataStoreApp.empty()
        port = stacks.free_ports(1)[0]
        server = http_server.create(
            self.app, stacks.HOST, port, lambda is_too_large: (400, [], b'')
        )
        serving = asyncio.create_task(server.serve())
        self.addAsyncCleanup(self._stop, server, serving)
        while not server.started:
            await asyncio.sleep(0.01)
        client = api.Client(
            quantity.Address(stacks.HOST, port),
            api.CallBudget(1000),
            counting.Metrics(),
            0.5,
        )
        self.store = stores.MetadataStoreClient(client)
        self.addAsyncCleanup(client.close)

    async def _stop(self, server, serving):
        serving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await serving

    async def test_conditional_writes(self):
        put = self.store.put
        first = await put(NODE, ONE, api.ABSENT)
        second = await put(NODE, TWO, first)
        self.assertGreater(second, first)
        for title, held in (('create again', api.ABSENT), ('stale', first)):
            with self.subTest(title), self.assertRaises(api.ConflictError):
                await put(NODE, ONE, held)
        with self.assertRaises(api.ConflictError):
            await self.store.delete(NODE, first)
        entry = await self.store.get(NODE)
        self.assertEqual((NODE, second), (entry.key, entry.revision))
        await self.store.delete(NODE, second)
        self.assertIsNone(await self.store.get(NODE))
        with self.assertRaises(api.ConflictError):
            await put(NODE, ONE, second)

    async def test_pages_and_watches(self):
        self.app.max_page_items = 2
        for name in ('c', 'a', 'e', 'b', 'd'):
            await self.store.put(members.PREFIX + name, ONE, api.ABSENT)
        listing = await self.store.list(members.PREFIX)
        keys = [
            entry.key.removeprefix(members.PREFIX) for entry in listing.entries
        ]
        self.assertEqual(['a', 'b', 'c', 'd', 'e'], keys)
        watch = asyncio.create_task(
            self.store.watch(members.PREFIX, listing.revision, 5.0)
        )
        await asyncio.sleep(0.05)
        self.assertFalse(watch.done())
        self.app.remove(wire.NODES_KIND, 'c')
        found = await watch
        self.assertEqual(
            [(api.ChangeKind.DELETE, members.PREFIX + 'c')],
            [(change.kind, change.entry.key) for change in found.changes],
        )
        self.assertEqual(
            [],
            (
                await self.store.watch(snapshot.HEAD_KEY, found.revision, 0.05)
            ).changes,
        )

    async def test_a_dropped_history(self):
        await self.store.put(NODE, ONE, api.ABSENT)
        self.app.drop_history()
        with self.assertRaises(api.TooOldError):
            await self.store.watch(members.PREFIX, api.ABSENT, 0.1)

    async def test_faults(self):
        cases = [
            (emulator.Fault.BUSY, api.UnavailableError, None),
            (emulator.Fault.DOWN, api.AmbiguousError, None),
            (emulator.Fault.SLOW, api.AmbiguousError, None),
            (emulator.Fault.LOST_ANSWER, api.AmbiguousError, ONE),
        ]
        for number, (fault, error, held) in enumerate(cases):
            key = f'{members.PREFIX}n{number}'
            with self.subTest(fault=fault):
                self.app.fault = fault
                with self.assertRaises(error):
                    await self.store.put(key, ONE, api.ABSENT)
                self.app.fault = emulator.Fault.NONE
                if fault is not emulator.Fault.SLOW:
                    entry = await self.store.get(key)
                    self.assertEqual(held is not None, entry is not None)

    async def test_a_key_without_a_place(self):
        with self.assertRaises(ValueError):
            await self.store.get('claims/x')
