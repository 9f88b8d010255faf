"""Check that a request that crashes servers is refused after three crashes.

With another query it once counted as another request and was sent on.
"""

import asyncio
import unittest

import anyio

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request.decisions import quarantine
from jayflow.request import executor as executors
from jayflow.request import outcome
from tests.request import test_executor

MAX_CRASHES = 3
SENT = 6
# Title, the status with which a server answers the request after two crashes,
# and how many servers crash in all.
ERROR_CASES = [('an error of the server', 500, 3), ('a success', 200, 5)]
CASES = [
    ('the same request', lambda count: b'/gallery/7'),
    ('another query each time', lambda count: b'/gallery/7?page=%d' % count),
    (
        'a query every other time',
        lambda count: b'/gallery/7' + b'?page=%d' % count * (count % 2),
    ),
]


class CrashedServerTest(unittest.IsolatedAsyncioTestCase):
    async def _crash_server(self, reader, writer) -> None:
        """Read a request, stop listening and close the connection."""
        await reader.readuntil(b'\r\n\r\n')
        self.served += 1
        if self.served == self.answered_request:
            writer.write(
                b'HTTP/1.1 %d X\r\njayflow-request-id: a\r\n'
                b'jayflow-server-signature: b\r\n'
                b'content-length: 0\r\n\r\n' % self.answer_status
            )
        self.listener.close()
        writer.close()

    async def _start_server(self, executor, count: int) -> None:
        self.listener = await asyncio.start_server(
            self._crash_server, '127.0.0.1', 0
        )
        self.addCleanup(self.listener.close)
        port = self.listener.sockets[0].getsockname()[1]
        executor.apply_announcement(
            announcement.Announcement(
                instance=f'i{count}',
                services=('lookups',),
                host='127.0.0.1',
                port=port,
                slots=4,
                born=count + 1,
            )
        )

    async def _count_crashes(self, target_of, answer_status=0) -> int:
        """Send a request again after each crash; return the crashes.

        With an answer_status, the third server does not crash.
        """
        self.served, self.answer_status = 0, answer_status
        self.answered_request = 3 if answer_status else 0
        executor = executors.Executor(
            test_executor.INCARNATION,
            metrics_module.Metrics(),
            dialect=platform_headers.DIALECT,
            max_crashes=MAX_CRASHES,
        )
        crashes = 0
        for count in range(SENT):
            await self._start_server(executor, count)
            target, replies = target_of(count), []
            executor.handle(
                test_executor.start(
                    count + 1,
                    target=target,
                    fingerprint=quarantine.fingerprint(
                        'lookups', 'GET', target, b''
                    ),
                ),
                replies.append,
            )
            with anyio.fail_after(5):
                while not replies:
                    await anyio.sleep(0.005)
            if isinstance(replies[0], messages.AttemptFailed):
                crashes += 1
            elif isinstance(replies[0], messages.Refused):
                self.assertEqual(
                    outcome.Reason.QUARANTINED.value, replies[0].reason
                )
        return crashes

    async def test_a_crashing_request_is_refused_after_three_crashes(self):
        for title, target_of in CASES:
            with self.subTest(title):
                self.assertEqual(
                    MAX_CRASHES, await self._count_crashes(target_of)
                )

    async def test_an_error_of_a_server_does_not_clear_a_suspect(self):
        for title, status, expected in ERROR_CASES:
            with self.subTest(title):
                crashes = await self._count_crashes(
                    lambda count: b'/gallery/7', status
                )
                self.assertEqual(expected, crashes)
