"""Test how an executor admits, refuses, revokes and cancels attempts.

Guards against requests that run twice or after a refusal, and against slots
that are not released, when messages are repeated or race with each other.
"""

import asyncio
import math
import unittest

import anyio

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.request import executor as executors

INCARNATION = messages.Incarnation(7)
SENDER = messages.Incarnation(9)


class FakeServer:
    """Respond to every request on loopback and count the runs."""

    def __init__(self) -> None:
        self.runs = 0
        self.close_after_runs = math.inf
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def serve(self, reader, writer) -> None:
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.runs += 1
                if self.runs > self.close_after_runs:
                    return
                await self.may_respond.wait()
                writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()


def start(
    sequence: int, receiver: int = INCARNATION, **changes
) -> messages.Start:
    """Return a Start message with default values."""
    values = {
        'attempt': messages.AttemptId(SENDER, sequence),
        'receiver': receiver,
        'service': 'lookups',
        'method': 'GET',
        'target': b'/',
        'headers': [(b'host', b'x')],
        'body': b'',
        'has_more_body': False,
        'remaining_ms': 1000,
        'rank': 0,
        'max_queue_ms': 50,
        'max_queue_length': 2,
        'is_idempotent': True,
        'fingerprint': b'f%d' % sequence,
    }
    return messages.Start(**(values | changes))


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = FakeServer()
        listener = await asyncio.start_server(
            self.server.serve, '127.0.0.1', 0
        )
        self.addAsyncCleanup(listener.wait_closed)
        self.addCleanup(listener.close)
        self.port = listener.sockets[0].getsockname()[1]
        self.executor = executors.Executor(
            INCARNATION, metrics_module.Metrics()
        )
        self.replies = []
        self.announce()
        task = asyncio.create_task(self.executor.run())
        self.addCleanup(task.cancel)

    def announce(self, **changes):
        values = {
            'instance': 'i1',
            'services': ('lookups', 'packs'),
            'host': '127.0.0.1',
            'port': self.port,
            'slots': 4,
        }
        server_announcement = announcement.Announcement(**(values | changes))
        self.executor.apply_announcement(server_announcement)

    def send(self, *sent):
        for message in sent:
            self.executor.handle(message, self.replies.append)

    async def wait_for_replies(self, count: int) -> list:
        with anyio.fail_after(5):
            while len(self.replies) < count:
                await anyio.sleep(0.005)
        return self.replies

    async def test_refusals(self):
        full = [start(n) for n in range(100, 106)]
        cases = [
            ('incarnation', [start(1, receiver=8)], 'peer_incarnation'),
            ('service', [start(2, service='x')], 'not_served_here'),
            ('deadline', [start(3, remaining_ms=0)], 'deadline'),
            ('revoked', [_revoke(4), start(4)], 'revoked'),
            ('queue', [*full, start(5)], 'queue_full'),
        ]
        for title, sent, reason in cases:
            with self.subTest(title):
                self.server.may_respond.clear()
                self.send(*sent)
                last = self.replies[-1]
                self.assertEqual(reason, last.reason)
                self.server.may_respond.set()
                await self.executor.wait_idle()

    async def test_refusals_by_state_of_the_executor(self):
        self.announce(draining=True)
        self.send(start(1))
        self.announce(draining=False)
        self.executor.stop_accepting()
        self.send(start(2))
        self.executor.is_stopping = False
        self.executor.remove_server()
        self.send(start(3))
        reasons = [reply.reason for reply in self.replies]
        self.assertEqual(
            ['draining', 'node_stopping', 'not_served_here'], reasons
        )
        self.assertEqual(0, self.server.runs)

    async def test_an_evacuated_server_gets_nothing_but_ends_its_requests(
        self,
    ):
        self.announce(slots=1)
        self.server.may_respond.clear()
        self.send(start(1), start(2, max_queue_ms=900))
        await anyio.sleep(0.05)
        self.executor.set_evacuated(True)
        self.send(start(3))
        refused = [(row.attempt.sequence, row.reason) for row in self.replies]
        self.assertEqual([(2, 'evacuated'), (3, 'evacuated')], refused)
        self.server.may_respond.set()
        self.assertEqual(200, (await self.wait_for_replies(3))[-1].status)
        self.executor.set_evacuated(False)
        await self.executor.wait_idle()
        self.send(start(4))
        self.assertEqual(200, (await self.wait_for_replies(4))[-1].status)
        self.assertEqual(2, self.server.runs)

    async def test_a_repeated_start_runs_once(self):
        self.send(start(1), start(1))
        await self.wait_for_replies(1)
        self.send(start(1))
        await self.executor.wait_idle()
        self.assertEqual(1, self.server.runs)

    async def test_a_request_is_sent_to_the_server_only_once(self):
        self.server.close_after_runs = 1
        self.send(start(1))
        await self.wait_for_replies(1)
        self.send(start(2))
        await self.wait_for_replies(2)
        self.assertIsInstance(self.replies[-1], messages.AttemptFailed)
        self.assertEqual(2, self.server.runs)

    async def test_cancel_in_the_same_loop_iteration_frees_the_slot(self):
        for sequence in range(1, 20):
            attempt = messages.AttemptId(SENDER, sequence)
            self.send(start(sequence), messages.Cancel(attempt))
        await anyio.sleep(0.05)
        self.assertEqual(0, self.executor.in_flight)

    async def wait_until(self, condition):
        """Wait until a condition holds; fail after a few seconds."""
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.005)

    async def test_a_cancelled_attempt_frees_what_it_held(self):
        # An attempt that lost to its hedge, or the hedge that lost, must
        # leave its slot or its place in the queue to others at once.
        for title, slots, cancelled, expected_runs in (
            ('it runs', 1, 1, 2),
            ('it is queued and has not started', 1, 2, 1),
        ):
            with self.subTest(title):
                self.server.runs = 0
                self.replies.clear()
                self.announce(slots=slots)
                self.server.may_respond.clear()
                base = 10 * cancelled
                self.send(
                    start(base + 1, max_queue_ms=900),
                    start(base + 2, max_queue_ms=900),
                )
                # On a busy machine the first takes long to reach the server.
                await self.wait_until(lambda: self.server.runs == 1)
                attempt = messages.AttemptId(SENDER, base + cancelled)
                self.send(messages.Cancel(attempt))
                await self.wait_until(lambda: self.executor.in_flight == 1)
                load = self.executor.load()
                self.assertEqual((1, 0), (load.running, load.queued))
                self.server.may_respond.set()
                await self.executor.wait_idle()
                self.assertEqual(expected_runs, self.server.runs)
                self.assertEqual(0, self.executor.load().running)

    async def test_an_attempt_that_may_not_queue_needs_a_free_slot(self):
        # Limited hedges are sent with a queue length of 0. They must neither
        # wait nor displace a waiting request, however late that is.
        for title, slots, queued, expected in (
            ('a slot is free', 2, 0, None),
            ('no slot is free', 1, 0, 'queue_full'),
            ('another request waits', 1, 1, 'queue_full'),
        ):
            with self.subTest(title):
                self.replies.clear()
                self.announce(slots=slots, services=('lookups',))
                self.server.may_respond.clear()
                base = 100 * slots + 10 * queued
                for number in range(1 + queued):
                    self.send(start(base + number, max_queue_ms=900, rank=2))
                self.send(start(base + 9, max_queue_length=0))
                reasons = [reply.reason for reply in self.replies]
                self.assertEqual([expected] if expected else [], reasons)
                self.assertEqual(queued, self.executor.load().queued)
                self.server.may_respond.set()
                await self.executor.wait_idle()

    async def test_revoke_reports_the_state_of_the_attempt(self):
        self.server.may_respond.clear()
        self.send(start(1))
        await anyio.sleep(0.05)
        self.send(_revoke(1))
        self.server.may_respond.set()
        await self.wait_for_replies(2)
        await self.executor.wait_idle()
        self.send(_revoke(1), _revoke(2), _revoke(1, receiver=8), start(2))
        states = [
            reply.state.value for reply in self.replies if _is_revoked(reply)
        ]
        expected = ['running', 'done', 'never-started', 'other-incarnation']
        self.assertEqual(expected, states)
        self.assertEqual(1, self.server.runs)

    async def test_a_queued_request_is_refused_after_its_queue_time(self):
        self.server.may_respond.clear()
        self.send(*[start(n, max_queue_ms=20) for n in range(1, 6)])
        reasons = [reply.reason for reply in await self.wait_for_replies(2)]
        self.assertEqual(['queue_time', 'queue_time'], reasons)
        self.server.may_respond.set()
        await self.executor.wait_idle()
        self.assertEqual(3, self.server.runs)

    async def test_a_queued_request_is_refused_once_it_is_quarantined(self):
        self.executor.crash_tracker.max_crashes = 3
        self.announce(slots=1)
        self.server.may_respond.clear()
        self.send(start(1), start(2, max_queue_ms=900))
        for crash in ('c1', 'c2', 'c3'):
            self.send(messages.CrashReport(crash, [b'f2'], 60_000))
        self.server.may_respond.set()
        replies = await self.wait_for_replies(2)
        refused = [row for row in replies if isinstance(row, messages.Refused)]
        self.assertEqual(['quarantined'], [row.reason for row in refused])
        self.assertEqual(1, self.server.runs)

    async def test_a_cold_start_raises_slowness_and_keeps_the_slots(self):
        now = 100.0
        executor = executors.Executor(
            INCARNATION, metrics_module.Metrics(), lambda: now
        )
        server_announcement = announcement.Announcement(
            'i2', ('lookups',), '127.0.0.1', self.port, 4, cold_start_s=3.0
        )
        for after_s, slowness in ((0.0, 2.0), (2.9, 2.0), (3.1, 1.0)):
            with self.subTest(after_s=after_s):
                now = 100.0 + after_s
                executor.apply_announcement(server_announcement)
                load = executor.load()
                self.assertEqual((4, slowness), (load.slots, load.slowness))

    async def test_bulk_requests_leave_slots_to_others(self):
        self.server.may_respond.clear()
        bulk = [
            start(n, rank=2, service='packs', slot_share=0.5)
            for n in range(1, 5)
        ]
        self.send(*bulk, start(10))
        await anyio.sleep(0.05)
        self.assertEqual(3, self.server.runs)
        self.server.may_respond.set()


def _revoke(sequence: int, receiver: int = INCARNATION) -> messages.Revoke:
    return messages.Revoke(messages.AttemptId(SENDER, sequence), receiver)


def _is_revoked(message) -> bool:
    return isinstance(message, messages.Revoked)
