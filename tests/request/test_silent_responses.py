"""Check when a request ends whose response stops or never ends.

No deadline held once the head of a response had arrived. A connection to a
server that went silent then kept the caller waiting for 30 s (CONFIG), and a
body without end as long as the caller stayed.
"""

import asyncio
import itertools
import random
import time
import unittest

from jayflow.connection import announcement
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.request import caller_request
from jayflow.request.decisions import quarantine
from jayflow.request.decisions import routing
from jayflow.request import dispatch
from jayflow.request import exchange as exchanges
from jayflow.request import executor as executors
from jayflow.request import outcome
from jayflow.request import response as responses
from jayflow.version import objects
from tests.request import test_executor
from tests import virtual_time

PORT = 9
TIMEOUT_S = 1.0
# A final answer is due this long after the timeout of the route.
ANSWER_SLACK_S = 0.5
SERVICE = objects.ServiceName('lookups')
SCOPE = objects.DeadlineScope.RESPONSE
BIG = 1_000_000
FOREVER = 10**9


async def _silence(*args) -> None:
    await asyncio.sleep(FOREVER)


def _sends(size: int, pause_s: float, length: int):
    """Return a function that writes parts of a body of a stated length."""

    async def send(writer):
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length)
        for sent in itertools.count(0, max(1, size)):
            if sent >= length:
                return
            writer.write(b'x' * size)
            await writer.drain()
            await asyncio.sleep(pause_s if size else FOREVER)

    return send


# Title, what the server does, whether it reads the request's body, and
# whether its response is streamed to the caller by then.
CASES = [
    ('silent before the head', _silence, True, False),
    ('silent after the head', _sends(0, 0, 100), True, False),
    ('silent in a small body', _sends(50, FOREVER, 100), True, False),
    ('silent in a second part', _sends(100_000, FOREVER, BIG), True, False),
    ('silent in a long body', _sends(300_000, FOREVER, BIG), True, True),
    ('a trickle', _sends(1, 0.05, BIG), True, False),
    ('a trickle of parts', _sends(70_000, 0.05, FOREVER), True, True),
    ('a body without end', _sends(65_536, 0.001, FOREVER), True, True),
    ('the request is not read', _silence, False, False),
]


class Channel:
    """Pass messages to an executor; lose them once it is silent."""

    is_connected = True

    def __init__(self, executor, deliver) -> None:
        self._executor = executor
        self._deliver = deliver
        self.silent_after = FOREVER
        self._count = 0

    @property
    def connection(self):
        return self

    def _is_silent(self) -> bool:
        self._count += 1
        return self._count > self.silent_after

    def send(self, message) -> None:
        if not self._is_silent():
            self._executor.handle(message, self._reply)

    def _reply(self, message) -> None:
        if not self._is_silent():
            asyncio.get_running_loop().call_soon(self._deliver, message)


class SilentResponsesTest(virtual_time.VirtualTimeTestCase):
    def run_case(
        self, respond, reads, is_idempotent, scope=SCOPE, silent_after=FOREVER
    ):
        """Return the result, the bytes, when it ended and what still runs."""

        async def serve(reader, writer):
            try:
                if not reads:
                    await _silence()
                await reader.readuntil(b'\r\n\r\n')
                await respond(writer)
                await reader.read()
            except (
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
                ConnectionError,
            ):
                pass
            finally:
                writer.close()

        async def main(loop):
            loop.serve_port(PORT, serve)
            executor = executors.Executor(
                test_executor.INCARNATION, metrics_module.Metrics(), loop.time
            )
            executor.apply_announcement(
                announcement.Announcement(
                    'i1', (SERVICE,), '127.0.0.1', PORT, 4, born=10
                )
            )
            expiry = asyncio.create_task(executor.run())
            table = exchanges.ExchangeTable(1, metrics_module.Metrics())
            channel = Channel(executor, table.deliver)
            channel.silent_after = silent_after
            member = members.Member(
                'n1', test_executor.INCARNATION, 'dc', 'h', 1, (SERVICE,), 4
            )
            view = routing.PeerView(member, routing.Distance.SAME_DATA_CENTRE)
            view.record_load(messages.Load(0, 0, 4, 0.0), loop.time())
            dispatcher = dispatch.Dispatcher(
                table,
                lambda service, regions: [view],
                lambda view, lane: channel,
                metrics_module.Metrics(),
                random.Random(1),
                objects.DataCentreName('dc'),
            )
            req = self.request(is_idempotent, reads, scope)
            async with asyncio.timeout(100):
                result, size = await self.receive(dispatcher, req)
            ended_at = loop.time()
            await asyncio.sleep(ANSWER_SLACK_S)
            running = executor.in_flight
            expiry.cancel()
            return result, size, ended_at, running

        return self.run_virtual(main)

    def request(self, is_idempotent, reads, scope):
        async def read_body():
            return b'y' * 65_536, True

        return caller_request.Request(
            service=SERVICE,
            policy=objects.Policy(
                'p',
                deadline=TIMEOUT_S,
                try_timeout=TIMEOUT_S,
                deadline_scope=scope,
            ),
            method='GET',
            target=b'/',
            headers=[],
            body=b'',
            has_more_body=not reads,
            read_body=read_body,
            deadline=time.monotonic() + TIMEOUT_S,
            is_idempotent=is_idempotent,
            fingerprint=quarantine.Fingerprint(b'f'),
        )

    async def receive(self, dispatcher, req):
        """Return the result and the size of the body that was received."""
        result = await dispatcher.run(req)
        if not isinstance(result, responses.Response):
            return result, 0
        size = len(result.data)
        try:
            async for data, _ in dispatcher.stream_rest(req, result):
                size += len(data)
        except responses.TruncatedResponseError as exc:
            return exc, size
        return result, size

    def test_a_silent_server_kept_the_caller_waiting_after_the_timeout(self):
        for title, respond, reads, is_streamed in CASES:
            for is_idempotent in (True, False):
                with self.subTest(title, is_idempotent=is_idempotent):
                    result, _, ended_at, running = self.run_case(
                        respond, reads, is_idempotent
                    )
                    self.assertLess(ended_at, TIMEOUT_S + ANSWER_SLACK_S)
                    self.assertEqual(0, running)
                    if is_streamed:
                        self.assertIsInstance(
                            result, responses.ResponseDeadlineError
                        )
                    else:
                        self.assertEqual(
                            outcome.Unknown(outcome.Reason.DEADLINE), result
                        )

    def test_a_silent_peer_kept_the_caller_waiting_after_the_timeout(self):
        for title, respond, reads, _ in CASES:
            for silent_after in range(8):
                with self.subTest(title, silent_after=silent_after):
                    _, _, ended_at, _ = self.run_case(
                        respond, reads, False, silent_after=silent_after
                    )
                    self.assertLess(ended_at, TIMEOUT_S + ANSWER_SLACK_S)

    def test_a_deadline_of_the_head_cut_a_long_body(self):
        respond = _sends(50_000, 0.2, BIG)
        result, size, ended_at, _ = self.run_case(
            respond, True, True, objects.DeadlineScope.HEAD
        )
        self.assertIsInstance(result, responses.Response)
        self.assertEqual(BIG, size)
        self.assertGreater(ended_at, TIMEOUT_S)


if __name__ == '__main__':
    unittest.main()
