"""Test a server that writes an earlier refusal once more."""

import asyncio

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request import executor as executors
from jayflow.request import header_dialect
from tests.request import test_executor
from tests import virtual_time

PORT = 9
NATIVE = header_dialect.DEFAULT_DIALECT
PLATFORM = platform_headers.DIALECT
SHED = b'503 Service Unavailable\r\njayflow-outcome: not-run\r\n'
FULL = b'503 Service Unavailable\r\njayflow-not-executed: 1\r\n'
MISDIRECTED = b'421 Misdirected Request\r\njayflow-not-executed: 1\r\n'
# Title, dialect, refusal of the first request, and what the server writes
# once more when it runs the second request on the same connection.
CASES = [
    ('native', NATIVE, SHED, SHED),
    (
        'same id',
        PLATFORM,
        FULL + b'jayflow-request-id: 1\r\n',
        FULL + b'jayflow-request-id: 1\r\n',
    ),
    ('without id', PLATFORM, FULL + b'jayflow-request-id: 1\r\n', FULL),
    (
        'id of the next request',
        PLATFORM,
        FULL + b'jayflow-request-id: 1\r\n',
        FULL + b'jayflow-request-id: 2\r\n',
    ),
    ('other status', PLATFORM, b'200 OK\r\n', MISDIRECTED),
    ('without a refusal before', PLATFORM, b'200 OK\r\n', FULL),
]
POLL_CASES = [('native', NATIVE, SHED), ('platform', PLATFORM, FULL)]
ANSWER = b'200 OK\r\njayflow-server-signature: s\r\njayflow-request-id: %d\r\n'


def _response(head: bytes) -> bytes:
    return b'HTTP/1.1 ' + head + b'content-length: 0\r\n\r\n'


class RepeatedRefusalTest(virtual_time.VirtualTimeTestCase):
    def run_case(self, dialect, refusal, repeated, is_polled=False):
        """Return the ids of the requests that ran and the last reply.

        The first request may be a poll of the server's load.
        """
        runs = []

        async def serve(reader, writer):
            is_kept = False
            try:
                while head := await reader.readuntil(b'\r\n\r\n'):
                    number = int(head.split(b' ')[1].lstrip(b'/'))
                    if number == 1:
                        if refusal.startswith(b'200'):
                            refusal_head = ANSWER % number
                        else:
                            refusal_head = refusal
                        writer.write(_response(refusal_head))
                        is_kept = True
                        continue
                    runs.append(number)
                    if is_kept:
                        writer.write(_response(repeated))
                    await asyncio.sleep(0.05)
                    writer.write(_response(ANSWER % number))
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        async def main(loop):
            loop.serve_port(PORT, serve)
            executor = executors.Executor(
                test_executor.INCARNATION,
                metrics_module.Metrics(),
                loop.time,
                dialect,
            )
            executor.apply_announcement(
                announcement.Announcement(
                    'i1', ('lookups',), '127.0.0.1', PORT, 4
                )
            )
            replies = []
            if is_polled:
                await executor.poll_load('/1')
            for number in (2,) if is_polled else (1, 2):
                request_headers = [
                    (b'host', b'x'),
                    (b'jayflow-request-id', b'%d' % number),
                ]
                executor.handle(
                    test_executor.start(
                        number,
                        target=b'/%d' % number,
                        headers=request_headers,
                        is_idempotent=False,
                    ),
                    replies.append,
                )
                await asyncio.sleep(0.2)
            return replies[-1]

        return runs, self.run_virtual(main)

    def test_a_request_that_ran_was_reported_as_not_run(self):
        for title, dialect, refusal, repeated in CASES:
            with self.subTest(title):
                runs, reply = self.run_case(dialect, refusal, repeated)
                self.assertEqual([2], runs)
                self.assertNotIsInstance(reply, messages.Refused)

    def test_the_refusal_of_a_poll_was_taken_for_that_of_a_request(self):
        for title, dialect, refusal in POLL_CASES:
            with self.subTest(title):
                runs, reply = self.run_case(dialect, refusal, refusal, True)
                self.assertEqual([2], runs)
                self.assertNotIsInstance(reply, messages.Refused)
