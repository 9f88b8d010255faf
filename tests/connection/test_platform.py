"""Test the platform client with cases that every platform must pass."""

import asyncio
import random
import unittest

from bench import local_cluster
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.version import value_parsers


def new_client(
    cluster: local_cluster.LocalCluster, calls_per_s: float = 1000.0
):
    """Return a client of the platform of a cluster."""
    return api.HttpPlatform(
        value_parsers.Address(local_cluster.HOST, cluster.platform_port),
        api.CallBudget(calls_per_s),
        metrics_module.Metrics(),
        0.5,
    )


class PlatformContract(unittest.IsolatedAsyncioTestCase):
    """Define the cases and run them against the emulated platform."""

    def setUp(self):
        self.cluster = self.enterContext(local_cluster.LocalCluster.open())
        self.platform = new_client(self.cluster)

    async def asyncTearDown(self):
        await self.platform.close()

    async def test_conditional_writes(self):
        put, absent = self.platform.put, api.ABSENT
        first = await put('a', b'1', absent)
        second = await put('a', b'2', first)
        self.assertGreater(second, first)
        for title, value, expected in (
            ('create an existing object', b'3', absent),
            ('stale revision', b'3', first),
        ):
            with self.subTest(title), self.assertRaises(api.ConflictError):
                await put('a', value, expected)
        with self.assertRaises(api.ConflictError):
            await self.platform.delete('a', first)
        entry = await self.platform.get('a')
        self.assertEqual(api.Entry('a', b'2', second), entry)
        await self.platform.delete('a', second)
        self.assertIsNone(await self.platform.get('a'))

    async def test_values_are_stored_unchanged(self):
        value = bytes(range(256)) * 100
        revision = await self.platform.put('x/y z', value, api.ABSENT)
        entry = await self.platform.get('x/y z')
        self.assertEqual(api.Entry('x/y z', value, revision), entry)
        with self.assertRaises(ValueError):
            await self.platform.put('b', b'0' * 1_000_001, api.ABSENT)

    async def test_list_and_watch(self):
        await self.platform.put('p/1', b'1', api.ABSENT)
        await self.platform.put('q/1', b'1', api.ABSENT)
        listing = await self.platform.list('p/')
        self.assertEqual(['p/1'], [entry.key for entry in listing.entries])
        watch = asyncio.create_task(
            self.platform.watch('p/', listing.revision, 5.0)
        )
        await asyncio.sleep(0.1)
        self.assertFalse(watch.done())
        await self.platform.put('q/2', b'1', api.ABSENT)
        revision = await self.platform.put('p/2', b'2', api.ABSENT)
        await self.platform.delete('p/2', revision)
        result = await watch
        self.assertEqual('p/2', result.changes[0].entry.key)
        result = await self.platform.watch('p/', listing.revision, 5.0)
        kinds = [change.kind.value for change in result.changes]
        self.assertEqual(['put', 'delete'], kinds)
        empty = await self.platform.watch('p/', result.revision, 0.05)
        self.assertEqual([], empty.changes)

    async def test_watch_from_an_unknown_revision_fails(self):
        with self.assertRaises(api.TooOldError):
            await self.platform.watch('', api.Revision(10**6), 0.1)

    async def test_faults(self):
        calls = {
            'get': lambda: self.platform.get('a'),
            'list': lambda: self.platform.list('a'),
            'put': lambda: self.platform.put('a', b'1', api.ABSENT),
        }
        cases = [
            ('down', 'get', api.UnavailableError),
            ('down', 'list', api.UnavailableError),
            ('down', 'put', api.AmbiguousError),
            ('slow', 'get', api.UnavailableError),
            ('lost-answer', 'put', api.AmbiguousError),
        ]
        for fault, name, error in cases:
            with self.subTest(fault=fault, call=name):
                self.cluster.set_fault(fault)
                with self.assertRaises(error):
                    await calls[name]()
                self.cluster.set_fault('none')
        entry = await self.platform.get('a')
        self.assertEqual(
            b'1', entry.value, 'a write whose response was lost took effect'
        )

    async def test_call_budget_rejects_a_call_before_sending(self):
        platform = new_client(self.cluster, 0.1)
        await platform.get('a')
        calls_before = self.cluster.platform_call_counts()
        with self.assertRaises(api.CallBudgetError):
            await platform.put('a', b'', api.ABSENT)
        self.assertEqual(calls_before, self.cluster.platform_call_counts())
        await platform.close()


class BackoffTest(unittest.TestCase):
    def test_backoff_has_full_jitter_and_an_upper_bound(self):
        rng = random.Random(1)
        for failures, upper_s in ((1, 0.2), (3, 0.8), (50, 10.0)):
            delays = [api.backoff_s(failures, rng) for _ in range(200)]
            self.assertLessEqual(max(delays), upper_s)
            self.assertLess(min(delays), upper_s / 10)
            self.assertGreater(max(delays), upper_s * 0.9)

    def test_call_budget_refills_over_time(self):
        now = 0.0
        budget = api.CallBudget(2.0, lambda: now)
        taken = sum(budget.try_take() for _ in range(100))
        self.assertEqual(20, taken)
        now = 3.0
        self.assertEqual(6, sum(budget.try_take() for _ in range(100)))
