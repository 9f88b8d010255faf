"""Check which client connections are closed at the bounds on their sum.

Each connection had its own limits, but nothing bounded all of them together.
"""

import asyncio
import functools
import unittest

from jayflow.connection import connection_limits
from jayflow.connection import connection_registry
from jayflow.connection import turn_queue
from jayflow import metrics as metrics_module

KB = 1024
MB = 1024 * KB
# memory-mb, max-descriptors, connections and held megabytes.
LIMIT_CASES = [
    (200, 4100, 2600, 102),
    (80, 500, 200, 12),
    (64, 256, 37, 8),
    (16, 100, 16, 2),
    (256.5, 1000.0, 533, 144.375),
]
# Title, limits on connections and bytes, connections as (name, held bytes, is
# idle, sends ahead), and the names of those that are closed, in this order.
CLOSE_CASES = [
    (
        'longest idle first',
        (2, MB),
        [('a', 1, True), ('b', 1, True), ('c', 1, True)],
        ['a'],
    ),
    (
        'idle before a larger busy one',
        (2, MB),
        [('a', 9, False), ('b', 1, True), ('c', 1, True)],
        ['b'],
    ),
    (
        'largest busy one',
        (3, MB),
        [('a', 1, False), ('b', 9, False), ('c', 5, False), ('d', 1, True)],
        ['b'],
    ),
    (
        'bytes: idle before busy',
        (9, 100),
        [('a', 60, False), ('b', 20, True), ('c', 30, False)],
        ['b'],
    ),
    (
        'bytes: largest first, until they fit',
        (9, 100),
        [('a', 20, False), ('b', 40, False), ('c', 50, False)],
        ['c'],
    ),
    (
        'sends ahead before the longest idle',
        (3, MB),
        [
            ('a', 1, True),
            ('b', 9, False),
            ('c', 1, False, True),
            ('d', 1, True),
        ],
        ['c'],
    ),
    (
        'bytes: sends ahead before a larger busy one and idle ones',
        (9, 100),
        [
            ('a', 5, True),
            ('b', 60, False),
            ('c', 20, False, True),
            ('d', 20, False),
        ],
        ['c'],
    ),
    (
        'bytes: the largest that sends ahead, then the next',
        (9, 100),
        [
            ('a', 50, False),
            ('b', 10, False, True),
            ('c', 20, False, True),
            ('d', 40, False),
        ],
        ['c', 'b'],
    ),
    (
        'bytes: no longer ahead',
        (9, 100),
        [('a', 5, False, True), ('a', 5, True), ('b', 96, False)],
        ['a', 'b'],
    ),
    ('at the limits', (2, 100), [('a', 50, False), ('b', 50, True)], []),
]


class FakeConnection:
    """Record the closing of a connection."""

    client_host = '127.0.0.1'
    held_bytes = 0

    def __init__(self, name, closed):
        self.name = name
        self._closed = closed

    def abort(self):
        self._closed.append(self.name)

    def is_unread(self):
        return False


class LimitsTest(unittest.TestCase):
    def test_limits_follow_from_the_resources(self):
        for memory_mb, descriptors, connections, held_mb in LIMIT_CASES:
            with self.subTest(memory_mb):
                limits = connection_limits.ConnectionLimits.from_resources(
                    memory_mb, descriptors
                )
                self.assertEqual(connections, limits.connections)
                self.assertEqual(held_mb * MB, limits.held_bytes)

    def test_a_node_without_settings_had_low_limits(self):
        limits = connection_limits.ConnectionLimits.from_resources()
        self.assertGreater(limits.connections, 10**6)
        self.assertGreater(limits.held_bytes, 2**39)


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_wrong_connection_was_closed_at_a_bound(self):
        for title, limits, rows, expected in CLOSE_CASES:
            with self.subTest(title):
                closed = []
                metrics = metrics_module.Metrics()
                registry = connection_registry.ConnectionRegistry(
                    connection_limits.ConnectionLimits(*limits), metrics
                )
                connections = {}
                for name, *state in rows:
                    if name not in connections:
                        connections[name] = FakeConnection(name, closed)
                        registry.add(connections[name])
                    registry.update(connections[name], *state)
                self.assertEqual(expected, closed)
                self.assertEqual(len(connections) - len(closed), len(registry))
                held_bytes = {name: state[0] for name, *state in rows}
                self.assertEqual(
                    sum(
                        held_bytes[name]
                        for name in connections
                        if name not in closed
                    ),
                    registry.held_bytes,
                )
                self.assertEqual(len(closed), metrics.counters.total())


class TurnQueueTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_waiting_requests_started_in_one_turn(self):
        started, seen = [], []
        queue = turn_queue.TurnQueue()
        for number in range(3):
            queue.add(lambda number=number: started.append(number))
        while len(started) < 3:
            await asyncio.sleep(0)
            seen.append(len(started))
        self.assertEqual([0, 1, 2], started)
        self.assertEqual([1, 2, 3], seen)

    async def test_callbacks_of_closed_connections_waited_for_their_turns(
        self,
    ):
        started = []
        callbacks = [
            functools.partial(started.append, number) for number in range(4)
        ]
        queue = turn_queue.TurnQueue()
        for callback in callbacks:
            queue.add(callback)
        for number in (0, 2, 2):
            queue.discard(callbacks[number])
        self.assertEqual(2, len(queue))
        for _ in range(len(callbacks)):
            await asyncio.sleep(0)
        self.assertEqual([1, 3], started)
        self.assertEqual(0, len(queue))

    async def test_the_queue_goes_on_after_it_was_emptied(self):
        started = []
        queue = turn_queue.TurnQueue()
        first = functools.partial(started.append, 'first')
        queue.add(first)
        queue.discard(first)
        await asyncio.sleep(0)
        queue.add(functools.partial(started.append, 'second'))
        await asyncio.sleep(0)
        self.assertEqual(['second'], started)
