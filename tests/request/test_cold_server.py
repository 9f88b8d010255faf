"""Test what a cold server gets.

Guards against a server that crashes because it gets more requests than a
cold one takes, also in the second in which it turns cold, and against one
that gets far fewer.
"""

import asyncio
import itertools
import math
import unittest

from jayflow.connection import announcement
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.process import load_polling
from jayflow.request import executor as executors
from jayflow.version import objects
from tests.request import test_executor
from tests import virtual_time

PORT = 9
# The rule of the users for any second: half as much again, and 8 requests.
MAX_RATIO = 1.5
MAX_EXTRA = 8
WINDOW_S = 1.0
WORK_S = 0.02
OFFERED_PER_S = 100
DURATION_S = 12.0
# Time in which a poll tells the node that its server has turned cold.
NOTICE_S = 0.3
RATE = 10.0
# Title, when the server is cold, when nodes begin and end, the server's own
# limit, and the requests that it should get while it is cold.
CASES = [
    ('warm', RATE, [], [(0.0, DURATION_S)], None, range(0, 1)),
    (
        'cold at the start',
        RATE,
        [(0.0, 4.0)],
        [(0.0, DURATION_S)],
        None,
        range(30, 47),
    ),
    (
        'cold again while warm and busy',
        RATE,
        [(0.0, 2.0), (5.0, 9.0)],
        [(0.0, DURATION_S)],
        None,
        range(45, 90),
    ),
    (
        'node restarted beside a cold server',
        RATE,
        [(4.0, DURATION_S)],
        [(0.0, 6.0), (6.4, DURATION_S)],
        None,
        range(50, 110),
    ),
    (
        'node restarted beside a server that turned cold meanwhile',
        RATE,
        [(6.2, DURATION_S)],
        [(0.0, 6.0), (7.1, DURATION_S)],
        None,
        range(35, 70),
    ),
    (
        'server names a lower rate',
        RATE,
        [(4.0, DURATION_S)],
        [(0.0, DURATION_S)],
        4.0,
        range(24, 45),
    ),
    (
        'server names a higher rate',
        RATE,
        [(4.0, DURATION_S)],
        [(0.0, DURATION_S)],
        30.0,
        range(60, 100),
    ),
    (
        'no limit',
        0.0,
        [(4.0, DURATION_S)],
        [(0.0, DURATION_S)],
        None,
        range(750, 801),
    ),
]


class ColdServer:
    """Respond after WORK_S; say in health responses whether it is cold."""

    def __init__(self, clock, spans, limit) -> None:
        self.arrivals: list[float] = []
        self.spans = spans
        self._limit = limit
        self._clock = clock

    def cold_s(self) -> float:
        """Return how much longer the server is cold."""
        now = self._clock()
        return sum(
            last - now for first, last in self.spans if first <= now < last
        )

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                is_poll = head.startswith(b'GET /health')
                if not is_poll:
                    self.arrivals.append(self._clock())
                    await asyncio.sleep(WORK_S * (2 if self.cold_s() else 1))
                writer.write(self._response(is_poll))
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    def _response(self, is_poll: bool) -> bytes:
        head = (
            b'HTTP/1.1 200 OK\r\njayflow-server-signature: s\r\n'
            b'jayflow-request-id: 1\r\njayflow-server-load: 0,0,9,100\r\n'
        )
        if is_poll:
            head += b'jayflow-cold-ms: %d\r\n' % (self.cold_s() * 1000)
        if self._limit is not None:
            head += b'server-limit: %.1f\r\n' % self._limit
        return head + b'content-length: 2\r\n\r\nok'


def most_in_a_second(times, last_after: float, last_before: float) -> int:
    """Return the most arrivals in a second that ends between two times."""
    return max(
        (
            sum(last - WINDOW_S <= at <= last for at in times)
            for last in times
            if last_after <= last <= last_before
        ),
        default=0,
    )


class ColdServerTest(virtual_time.VirtualTimeTestCase):
    def offer(self, rate, cold_spans, node_spans, limit, cold_s=math.inf):
        """Offer requests to a server in the time of each node.

        The server is restored from the node's record: it is never announced.
        """

        async def main(loop):
            server = ColdServer(loop.time, cold_spans, limit)
            loop.serve_port(PORT, server.serve)
            for starts, stops in node_spans:
                await asyncio.sleep(starts - loop.time())
                executor = executors.Executor(
                    test_executor.INCARNATION,
                    metrics_module.Metrics(),
                    loop.time,
                    platform_headers.DIALECT,
                    announcement_ttl_s=DURATION_S + 1,
                )
                executor.backend.cold_rate_of = lambda services: rate
                self.loads = []
                await self._run_node(loop, executor, stops, rate, cold_s)
            return server

        return self.run_virtual(main)

    async def _run_node(self, loop, executor, until, rate, cold_s):
        executor.apply_announcement(
            announcement.Announcement(
                'i1', ('lookups',), '127.0.0.1', PORT, 18, cold_s=cold_s
            )
        )
        service = objects.Service(
            'lookups', 'p', health_path='/health', cold_rate=rate
        )
        poller = load_polling.LoadPoller(executor, lambda name: service)
        running = [
            asyncio.create_task(executor.run()),
            asyncio.create_task(poller.run()),
        ]
        for sequence in itertools.count(1):
            if loop.time() >= until:
                break
            start = test_executor.start(
                sequence,
                max_queue_length=40,
                headers=[(b'host', b'x'), (b'jayflow-request-id', b'1')],
            )
            executor.handle(start, lambda reply: None)
            self.loads.append((loop.time(), executor.load()))
            await asyncio.sleep(1 / OFFERED_PER_S)
        for task in running:
            task.cancel()
        await asyncio.wait(running)

    def test_a_cold_server_got_more_than_it_takes(self):
        for title, rate, cold_spans, node_spans, limit, expected in CASES:
            with self.subTest(title):
                server = self.offer(rate, cold_spans, node_spans, limit)
                if rate:
                    for first, last in cold_spans:
                        most = most_in_a_second(
                            server.arrivals, first + NOTICE_S, last
                        )
                        self.assertLessEqual(
                            most, MAX_RATIO * rate + MAX_EXTRA
                        )
                during = sum(
                    first + NOTICE_S <= at < last
                    for at in server.arrivals
                    for first, last in cold_spans
                )
                self.assertIn(during, expected)

    def test_senders_see_fewer_slots_and_a_higher_slowness(self):
        self.offer(RATE, [(4.0, 9.0)], [(0.0, DURATION_S)], None)
        for title, first, last, slots, slowness in (
            ('warm', 1.0, 4.0, {18}, {1.0}),
            # 10 requests a second of 40 ms each, and some headroom.
            ('cold', 6.0, 8.9, {1}, {2.0}),
            ('warm again', 9.5, 12.0, {18}, {1.0}),
        ):
            with self.subTest(title):
                loads = [load for at, load in self.loads if first < at < last]
                self.assertEqual(slots, {load.slots for load in loads})
                self.assertEqual(slowness, {load.slowness for load in loads})


class AnnouncementTest(unittest.TestCase):
    def test_which_announcement_says_that_a_server_is_cold(self):
        # Title, announcements each with a time, when to look, and slowness.
        for title, announced, at, slowness in (
            ('states nothing', [(0, {})], 0.1, 1.0),
            ('states a start', [(0, {'cold_start_s': 3.0})], 2.9, 2.0),
            (
                'states the same start again',
                [(0, {'cold_start_s': 3.0}), (2, {'cold_start_s': 3.0})],
                3.1,
                1.0,
            ),
            ('cold', [(0, {'cold_s': 3.0})], 2.9, 2.0),
            ('warm', [(0, {'cold_s': 3.0}), (1, {'cold_s': 0.0})], 1.1, 1.0),
            (
                'cold again',
                [(0, {'cold_s': 0.0}), (50, {'cold_s': 3.0})],
                52.9,
                2.0,
            ),
            ('restored', [(0, {'cold_s': math.inf})], 99.0, 2.0),
            (
                'restored, then heard',
                [(0, {'cold_s': math.inf}), (1, {'cold_s': 0.0})],
                1.1,
                1.0,
            ),
            (
                'restored, then announced without a statement',
                [(0, {'cold_s': math.inf}), (1, {})],
                1.1,
                1.0,
            ),
        ):
            with self.subTest(title):
                clock = [0.0]
                executor = executors.Executor(
                    test_executor.INCARNATION,
                    metrics_module.Metrics(),
                    lambda clock=clock: clock[0],
                )
                executor.backend.cold_rate_of = lambda services: RATE
                for announced_at, values in announced:
                    clock[0] = float(announced_at)
                    executor.apply_announcement(
                        announcement.Announcement(
                            'i1', ('lookups',), '127.0.0.1', 1, 4, **values
                        )
                    )
                clock[0] = at
                self.assertEqual(slowness, executor.load().slowness)
