"""Let another server take the place of the one that a job was accepted for.

Jobs that waited for a silent server ran at the server that got its address,
which was one of another service.
"""

import asyncio
import unittest
from unittest import mock

import anyio

from jayflow.connection import announcement
from jayflow.connection import backend_client
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request import crash_detector
from jayflow.request import executor as executors
from jayflow.request import outcome
from tests.request import test_executor

start = test_executor.start
OLD = announcement.Announcement('i1', ('lookups',), '127.0.0.1', 1, 1, born=5)
# Title, and what the server that follows announces otherwise.
FOLLOWING = [
    ('another service', {'instance': 'i2', 'services': ('packs',), 'born': 9}),
    ('the same service', {'instance': 'i2', 'born': 9}),
    ('the same instance, started again', {'born': 9}),
    (
        'the same instance with another service',
        {'services': ('packs',), 'born': 9},
    ),
    ('one service less', {'services': ('packs',)}),
]


class Server:
    """Answer requests, or leave them without an answer."""

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.polls = 0
        self.connections = 0
        self.is_silent = False
        self.poll_headers = b''
        self.status = b'200 OK'
        self.writers: list[asyncio.StreamWriter] = []

    async def listen(self, test: unittest.IsolatedAsyncioTestCase) -> int:
        listener = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        test.addCleanup(listener.close)
        return listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                await self._answer(head, writer)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, head: bytes, writer) -> None:
        if head.startswith(b'GET /load'):
            self.polls += 1
            writer.write(
                b'HTTP/1.1 200 OK\r\n%bcontent-length: 0\r\n\r\n'
                % self.poll_headers
            )
            return
        self.runs.append(head)
        if self.is_silent:
            await asyncio.Event().wait()
        writer.write(
            b'HTTP/1.1 %b\r\njayflow-request-id: a\r\n'
            b'jayflow-server-signature: b\r\ncontent-length: 2\r\n\r\nok'
            % self.status
        )


class ReplacedServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.old, self.new = Server(), Server()
        self.old_port = await self.old.listen(self)
        self.new_port = await self.new.listen(self)
        self._start()

    def _start(self):
        self.replies = []
        self.executor = executors.Executor(
            test_executor.INCARNATION,
            metrics_module.Metrics(),
            dialect=platform_headers.DIALECT,
        )
        task = asyncio.create_task(self.executor.run())
        self.addCleanup(task.cancel)
        self._announce(OLD, self.old_port)

    def _announce(self, server, port, **changes):
        values = {'port': port} | changes
        self.executor.apply_announcement(
            announcement.Announcement(
                **{
                    name: values.get(name, getattr(server, name))
                    for name in server.__struct_fields__
                }
            )
        )

    def _send(self, *sent):
        for message in sent:
            self.executor.handle(message, self.replies.append)

    async def _wait_until(self, condition):
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.005)

    def _refusals(self):
        return {
            row.attempt.sequence: row.reason
            for row in self.replies
            if isinstance(row, messages.Refused)
        }

    async def test_queued_jobs_ran_at_the_server_that_followed(self):
        for title, changes in FOLLOWING:
            with self.subTest(title):
                self._start()
                self.old.runs.clear()
                self.old.is_silent = True
                self._send(
                    start(1), start(2, max_queue_ms=900), start(3, rank=1)
                )
                await self._wait_until(lambda: self.old.runs)
                self._announce(OLD, self.new_port, **{'slots': 4} | changes)
                self.assertEqual(
                    dict.fromkeys((2, 3), 'not_served_here'), self._refusals()
                )
                self.assertEqual(1, self.executor.in_flight)
                await anyio.sleep(0.05)
                self.assertEqual([], self.new.runs)

    async def test_a_job_ran_at_the_server_that_followed_as_it_connected(
        self,
    ):
        # The server is replaced, or leaves, while a connection is made.
        leave = {'leave': None}
        for title, changes in [*FOLLOWING, ('no server', leave)]:
            with self.subTest(title):
                self._start()
                may_connect = asyncio.Event()
                connect = backend_client.Pool.open

                async def open_late(
                    pool, may_connect=may_connect, connect=connect
                ):
                    await may_connect.wait()
                    return await connect(pool)

                with mock.patch.object(backend_client.Pool, 'open', open_late):
                    self._send(start(1))
                    await anyio.sleep(0.02)
                    if changes is leave:
                        self.executor.remove_server()
                    else:
                        self._announce(OLD, self.old_port, **changes)
                    may_connect.set()
                    await self._wait_until(lambda: self.replies)
                self.assertEqual({1: 'not_served_here'}, self._refusals())
                self.assertEqual([], self.old.runs)
                has_server = self.executor.backend.announcement is not None
                self.assertEqual(changes is not leave, has_server)

    async def test_a_connection_to_the_old_server_got_a_request_of_the_new(
        self,
    ):
        self._send(start(1))
        await self._wait_until(lambda: self.replies)
        self._announce(OLD, self.old_port, instance='i2', born=9)
        self._send(start(2))
        await self._wait_until(lambda: len(self.replies) == 2)
        self.assertEqual(2, self.old.connections)

    async def test_a_poll_told_of_a_server_that_was_not_the_announced_one(
        self,
    ):
        headers = (
            b'jayflow-server-load: 3,2,4,700\r\njayflow-cold-ms: 5000\r\n'
            b'server-leaving: 1\r\nserver-limit: 1\r\n'
        )
        for name, is_heard in ((b'i1', True), (b'i2', False), (None, True)):
            with self.subTest(name):
                self._start()
                self.old.poll_headers = headers
                if name is not None:
                    row = b'jayflow-instance-id: %b\r\n' % name
                    self.old.poll_headers += row
                await self.executor.poll_load('/load')
                backend = self.executor.backend
                self.assertEqual(is_heard, backend.announcement.draining)
                self.assertEqual(is_heard, backend.rate_limit.is_limited)
                self.assertEqual(is_heard, backend.has_responded)
                self.assertEqual(7.0 if is_heard else 1.0, backend.slowness())

    async def test_an_end_of_the_old_server_removed_the_new_one(self):
        # The address refuses connections for a moment as it changes hands.
        for title, status in (('closed', None), ('421', b'421 X')):
            with self.subTest(title):
                self._start()
                self.old.runs.clear()
                self.old.writers.clear()
                self.old.is_silent = True
                self._send(start(1))
                await self._wait_until(lambda: self.old.runs)
                self._announce(OLD, 1, instance='i2', born=9)
                if status is None:
                    self.old.writers[-1].transport.abort()
                else:
                    self.old.writers[-1].write(
                        b'HTTP/1.1 421 X\r\njayflow-request-id: a\r\n'
                        b'content-length: 0\r\n\r\n'
                    )
                await self._wait_until(lambda: self.replies)
                self.assertIsNotNone(self.executor.backend.announcement)

    async def test_a_crash_of_the_new_server_made_a_suspect_of_an_old_job(
        self,
    ):
        self.old.is_silent = self.new.is_silent = True
        self._send(start(1, remaining_ms=5000))
        await self._wait_until(lambda: self.old.runs)
        self._announce(OLD, self.new_port, instance='i2', born=9, slots=2)
        self._send(start(2, remaining_ms=5000))
        await self._wait_until(lambda: self.new.runs)
        tracker = self.executor.crash_tracker
        with mock.patch.object(
            crash_detector,
            'is_server_gone',
            mock.AsyncMock(return_value=True),
        ):
            self.new.writers[-1].transport.abort()
            await self._wait_until(lambda: self.replies)
        self.assertEqual(
            outcome.Reason.SERVER_CRASHED.value, self.replies[0].reason
        )
        states = {
            digest: tracker.state_of([digest]).value
            for digest in (b'f1', b'f2')
        }
        self.assertEqual({b'f1': 'free', b'f2': 'suspect'}, states)


if __name__ == '__main__':
    unittest.main()
