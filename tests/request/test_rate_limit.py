"""Test what a backend server gets while it names a rate limit."""

import asyncio
import bisect
import itertools
import math

from jayflow.connection import announcement
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request import executor as executors
from jayflow.request import header_dialect
from tests.request import test_executor
from tests import virtual_time

PORT = 9
WORK_S = 0.05
OFFERED_PER_S = 60
DURATION_S = 16.0
# The rule of the users: half as much again as the limit, and 5 requests.
WINDOW_S = 4.0
MAX_RATIO = 1.5
MAX_EXTRA = 5
# Time that the nodes have to act on a new limit.
STABLE_WINDOW_S = 3.0
# Title, limit in requests per second, since when in s, until when in s, and
# requests that the server should get while it names the limit.
CASES = [
    ('low', 1.5, 2.0, 14.0, range(12, 24)),
    ('medium', 10.0, 2.0, 14.0, range(96, 140)),
    ('above what is offered', 100.0, 2.0, 14.0, range(650, 721)),
    ('none', 0.0, 2.0, 14.0, range(3, 20)),
]
# Title, limit, and for each process of the node since when and until when it
# runs in s, and requests that come at once at its start.
RESTART_CASES = [
    ('once', 2.0, ((0.0, 9.0, 0), (10.0, DURATION_S, 18))),
    (
        'twice in one window',
        1.0,
        ((0.0, 9.0, 0), (9.7, 11.0, 18), (11.7, DURATION_S, 18)),
    ),
]
# Title, and the head of every fourth response; it names no limit.
FAULTY_HEADS = [
    ('no signature', b'200 OK\r\njayflow-request-id: 1\r\n'),
    ('no request id', b'200 OK\r\njayflow-server-signature: s\r\n'),
    ('refusal without id', b'503 Full\r\njayflow-not-executed: 1\r\n'),
    ('status without refusal', b'503 Full\r\njayflow-request-id: 1\r\n'),
    ('no response', b'oops\r\n'),
]
FAULTY_INTERVAL = 4
ANNOUNCEMENT = announcement.Announcement(
    'i1', ('lookups',), '127.0.0.1', PORT, 18
)


class LimitedServer:
    """Respond after WORK_S, naming a limit for a time; record arrivals."""

    def __init__(self, clock, limit: float, begins: float, ends: float):
        self.arrivals: list[float] = []
        # The head of every FAULTY_INTERVAL-th response, if any.
        self.faulty_head = b''
        self._clock = clock
        self._limit = limit
        self._begins = begins
        self._ends = ends

    async def serve(self, reader, writer) -> None:
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.arrivals.append(self._clock())
                await asyncio.sleep(WORK_S)
                writer.write(self._response(self._clock()))
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()

    def _response(self, now: float) -> bytes:
        head = (
            b'200 OK\r\njayflow-server-signature: s\r\n'
            b'jayflow-request-id: 1\r\n'
        )
        if self._begins <= now < self._ends:
            head += b'jayflow-rate-limit: %.1f\r\n' % self._limit
            head += b'server-limit: %.1f\r\n' % self._limit
        if self.faulty_head and not len(self.arrivals) % FAULTY_INTERVAL:
            head = self.faulty_head
        return b'HTTP/1.1 %bcontent-length: 2\r\n\r\nok' % head

    def most_in_window(self, since: float, until: float) -> int:
        """Return the most arrivals in any window between two times."""
        return most_in_window(
            [at for at in self.arrivals if since <= at <= until]
        )


def most_in_window(times: list[float]) -> int:
    """Return the most of these sorted times in any window of WINDOW_S."""
    return max(
        (
            bisect.bisect_right(times, first + WINDOW_S) - index
            for index, first in enumerate(times)
        ),
        default=0,
    )


class RateLimitTest(virtual_time.VirtualTimeTestCase):
    def offer(
        self,
        limit,
        begins,
        ends,
        spans=((0.0, DURATION_S, 0),),
        dialect=header_dialect.DEFAULT_DIALECT,
        faulty_head=b'',
        reannounced_after_s=math.inf,
    ):
        """Offer requests to a server with a limit; return the server.

        In each span, from a time until another, a new executor runs, and
        so many requests come at once at its start.
        """

        async def main(loop):
            server = LimitedServer(loop.time, limit, begins, ends)
            server.faulty_head = faulty_head
            loop.serve_port(PORT, server.serve)
            for starts, stops, at_once in spans:
                await asyncio.sleep(starts - loop.time())
                executor = executors.Executor(
                    test_executor.INCARNATION,
                    metrics_module.Metrics(),
                    loop.time,
                    dialect,
                    announcement_ttl_s=DURATION_S + 1,
                )
                await self._run_executor(
                    loop, executor, stops, at_once, reannounced_after_s
                )
            return server

        return self.run_virtual(main)

    async def _run_executor(
        self, loop, executor, until, at_once, reannounced_after_s
    ):
        executor.apply_announcement(ANNOUNCEMENT)
        reannounced_at = loop.time() + reannounced_after_s
        running = asyncio.create_task(executor.run())
        sequences = itertools.count(1)
        count = at_once or 1
        while loop.time() < until:
            if loop.time() >= reannounced_at:
                executor.remove_server()
                executor.apply_announcement(ANNOUNCEMENT)
                reannounced_at += reannounced_after_s
            for sequence in itertools.islice(sequences, count):
                start = test_executor.start(
                    sequence,
                    max_queue_length=40,
                    headers=[(b'host', b'x'), (b'jayflow-request-id', b'1')],
                )
                executor.handle(start, lambda reply: None)
            count = 1
            await asyncio.sleep(1 / OFFERED_PER_S)
        running.cancel()
        await asyncio.wait([running])

    def test_a_server_got_more_requests_than_the_limit_it_had_named(self):
        for title, limit, begins, ends, expected in CASES:
            with self.subTest(title):
                server = self.offer(limit, begins, ends)
                allowed = MAX_RATIO * limit * WINDOW_S + MAX_EXTRA
                self.assertLessEqual(
                    server.most_in_window(begins + STABLE_WINDOW_S, ends),
                    allowed,
                )
                during = sum(
                    begins + 0.1 < at < ends for at in server.arrivals
                )
                self.assertIn(during, expected)

    def test_a_restarted_node_exceeded_the_limit_named_to_its_last_process(
        self,
    ):
        for title, limit, spans in RESTART_CASES:
            with self.subTest(title):
                server = self.offer(limit, 2.0, DURATION_S, spans)
                self.assertLessEqual(
                    server.most_in_window(2.0 + STABLE_WINDOW_S, DURATION_S),
                    MAX_RATIO * limit * WINDOW_S + MAX_EXTRA,
                )

    def test_a_faulty_response_ended_a_limit_that_was_still_in_force(self):
        limit = 5.0
        for title, head in FAULTY_HEADS:
            with self.subTest(title):
                server = self.offer(
                    limit,
                    2.0,
                    DURATION_S,
                    dialect=platform_headers.DIALECT,
                    faulty_head=head,
                )
                self.assertLessEqual(
                    server.most_in_window(2.0 + STABLE_WINDOW_S, DURATION_S),
                    MAX_RATIO * limit * WINDOW_S + MAX_EXTRA,
                )

    def test_a_server_that_was_announced_anew_had_no_limit(self):
        limit = 2.0
        server = self.offer(limit, 2.0, DURATION_S, reannounced_after_s=0.7)
        self.assertLessEqual(
            server.most_in_window(2.0 + STABLE_WINDOW_S, DURATION_S),
            MAX_RATIO * limit * WINDOW_S + MAX_EXTRA,
        )
