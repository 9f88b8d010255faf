"""Answer with figures that no sound server sends.

A load header with a figure of 400 digits once raised an OverflowError, which
ended the node process in the poller of the load and left a request without a
reply in the executor.
"""

import asyncio
import dataclasses
import unittest

import anyio

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.process import load_polling
from jayflow.request import executor as executors
from jayflow.request import headers as http_headers
from jayflow.version import objects
from tests.request import test_executor
from tests import virtual_time

PORT = 9
PLATFORM = platform_headers.DIALECT
SIGNED = b'jayflow-request-id: 1\r\njayflow-server-signature: s\r\n'
OK = b'200 OK\r\n' + SIGNED
LONG = b'9' * 400
TOO_LONG = b'9' * 5000
# Title, status line and headers, and whether the response is passed on.
CASES = [
    ('slowness', OK + b'jayflow-server-load: 0,0,18,%b\r\n' % LONG, True),
    ('running', OK + b'jayflow-server-load: %b,0,18\r\n' % LONG, True),
    ('5000 digits', OK + b'jayflow-server-load: 0,%b,1\r\n' % TOO_LONG, True),
    ('rate limit', OK + b'server-limit: %b\r\n' % LONG, True),
    ('idle time-out', OK + b'keep-alive: timeout=%b\r\n' % LONG, True),
    ('retry delay', OK + b'retry-after: %b\r\n' % LONG, True),
    ('status of 999', b'999 OK\r\n' + SIGNED, False),
    ('status of 600', b'600 OK\r\n' + SIGNED, False),
    ('status of 0', b'000 OK\r\n' + SIGNED, False),
    ('status of 99', b'099 OK\r\n' + SIGNED, False),
    ('status of two digits', b'20 OK\r\n' + SIGNED, False),
    ('status of four digits', b'2000 OK\r\n' + SIGNED, False),
    ('status of letters', b'abc OK\r\n' + SIGNED, False),
    ('negative status', b'-20 OK\r\n' + SIGNED, False),
    ('no status', b'OK\r\n' + SIGNED, False),
]


def _raise(headers: messages.Headers) -> None:
    raise OverflowError('integer division result too large for a float')


FAULTY_DIALECT = dataclasses.replace(PLATFORM, load_report_of=_raise)


class FaultyFiguresTest(virtual_time.VirtualTimeTestCase):
    def run_case(self, head, dialect=PLATFORM, poll_s=0.0):
        """Return the first reply, and the polls within poll_s after it."""
        polls = 0

        async def serve(reader, writer):
            nonlocal polls
            try:
                while request := await reader.readuntil(b'\r\n\r\n'):
                    polls += b'/health' in request
                    writer.write(
                        b'HTTP/1.1 %bcontent-length: 2\r\n\r\nok' % head
                    )
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        async def main(loop):
            loop.serve_port(PORT, serve)
            executor = executors.Executor(
                test_executor.INCARNATION,
                metrics_module.Metrics(),
                loop.time,
                dialect,
            )
            service = objects.Service(
                'lookups', objects.PolicyName(''), '/health'
            )
            poller = load_polling.LoadPoller(executor, lambda name: service)
            executor.apply_announcement(
                announcement.Announcement(
                    'i1', ('lookups',), '127.0.0.1', PORT, 4, born=10
                )
            )
            replies = []
            request = test_executor.start(
                1, headers=[(b'host', b'x'), (b'jayflow-request-id', b'1')]
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(poller.run)
                executor.handle(request, replies.append)
                await asyncio.sleep(0.01)
                before = polls
                await asyncio.sleep(poll_s)
                tasks.cancel_scope.cancel()
            return replies[0] if replies else None, polls - before

        return self.run_virtual(main)

    def test_an_odd_figure_left_a_request_without_a_reply(self):
        for title, head, is_passed_on in CASES:
            with self.subTest(title):
                reply, _ = self.run_case(head)
                expected = (
                    messages.ResponseHead
                    if is_passed_on
                    else messages.AttemptFailed
                )
                self.assertIsInstance(reply, expected)

    def test_an_odd_figure_in_a_poll_ended_the_node(self):
        for title, head, _ in CASES:
            with self.subTest(title):
                _, polls = self.run_case(head, poll_s=5.0)
                self.assertGreater(polls, 1)

    def test_a_fault_in_a_header_function_ended_the_node(self):
        reply, polls = self.run_case(OK, FAULTY_DIALECT, poll_s=5.0)
        self.assertEqual('node_fault', getattr(reply, 'reason', None))
        self.assertGreater(polls, 1)


class DeadlineHeaderTest(unittest.TestCase):
    def test_a_long_deadline_header_was_reported_as_a_fault_of_the_node(self):
        for digits in (16, 400, 5000):
            with self.subTest(digits=digits):
                rows = [(b'jayflow-deadline-ms', b'9' * digits)]
                self.assertEqual(2.0, http_headers.remaining_s(rows, 2.0))
        rows = [(b'jayflow-deadline-ms', b'0' * 5000 + b'7')]
        self.assertEqual(0.007, http_headers.remaining_s(rows, 2.0))
