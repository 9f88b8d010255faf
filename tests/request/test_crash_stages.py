"""Let servers crash at each stage of a response, beside sound requests.

A crash after the head was taken for a truncated response, so that a request
that crashes servers was sent on to all of them, and the requests that ran
beside it were refused in its place.
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
from jayflow.request import response as responses
from tests.request import test_executor

MAX_CRASHES = 3
SENT = 4
CULPRIT = quarantine.Fingerprint(b'culprit')
BYSTANDER = quarantine.Fingerprint(b'bystander')
STATUS = (
    b'HTTP/1.1 200 OK\r\njayflow-request-id: a\r\n'
    b'jayflow-server-signature: b\r\n'
)
LENGTH = STATUS + b'content-length: 100\r\n\r\n'
CHUNKED = STATUS + b'transfer-encoding: chunked\r\n\r\n'
WHOLE = STATUS + b'content-length: 2\r\n\r\nok'
# Title, and what the server sends before it ends.
STAGES = [
    ('nothing', b''),
    ('part of the head', STATUS[:20]),
    ('an interim response', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    ('the head', LENGTH),
    ('part of the body', LENGTH + b'x' * 40),
    ('no chunk', CHUNKED),
    ('part of a chunk', CHUNKED + b'64\r\nxxx'),
    ('a chunk', CHUNKED + b'3\r\nxxx\r\n'),
    ('a body without a length', STATUS + b'\r\nxxx'),
]
# Title, and what a request is otherwise.
KINDS = [
    ('idempotent', {}),
    ('not idempotent', {'method': 'POST', 'is_idempotent': False}),
    ('an upload', {'method': 'POST', 'body': b'x' * 100}),
    ('an upload that goes on', {'method': 'POST', 'has_more_body': True}),
]
# Title, when a request starts and its server ends, in each crash, and the
# crashes that count in the end; None stands for a quarantined request.
COUNTED = [
    ('one after the other', [(0, 1), (2, 3), (4, 5)], None),
    ('at the same time', [(0, 5), (1, 5), (2, 6)], 1),
    ('two at a time', [(0, 2), (1, 2), (3, 5), (4, 6)], 2),
    ('one more while it is refused', [(0, 1), (2, 3), (4, 5), (4, 6)], None),
    ('one that ran for long', [(2, 3), (4, 5), (0, 6), (6, 7)], None),
]


class Server:
    """Send part of a response and end, or only close the connection."""

    def __init__(self, sent: bytes) -> None:
        self.sent = sent
        self.sent_late = b''
        self.runs = 0
        self.lives = False
        self.may_end = asyncio.Event()
        self.may_end.set()
        self.listener: asyncio.Server | None = None

    async def listen(self, test: unittest.IsolatedAsyncioTestCase) -> int:
        self.listener = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        test.addCleanup(self.listener.close)
        return self.listener.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            self.runs += 1
            writer.write(self.sent)
            await self.may_end.wait()
            writer.write(self.sent_late)
            await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            if self.runs and not self.lives:
                self.listener.close()
            writer.close()


class CrashStagesTest(unittest.IsolatedAsyncioTestCase):
    def _new_executor(self, max_crashes=MAX_CRASHES) -> executors.Executor:
        return executors.Executor(
            test_executor.INCARNATION,
            metrics_module.Metrics(),
            dialect=platform_headers.DIALECT,
            max_crashes=max_crashes,
        )

    async def _announce(self, executor, server, count: int = 0) -> None:
        executor.apply_announcement(
            announcement.Announcement(
                instance=f'i{count}',
                services=('lookups',),
                host='127.0.0.1',
                port=await server.listen(self),
                slots=4,
                born=count + 1,
            )
        )

    async def _wait_until(self, condition) -> None:
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.002)

    def _send(self, executor, sequence, fingerprint=CULPRIT, **changes):
        """Send a request; return the list that gets the replies."""
        replies: list = []
        executor.handle(
            test_executor.start(
                sequence, fingerprint=fingerprint, target=b'/7', **changes
            ),
            replies.append,
        )
        return replies

    async def _send_again_and_again(self, sent, lives=False, **changes) -> int:
        """Send a request to one server after the other; return its runs."""
        executor = self._new_executor()
        runs = 0
        for count in range(SENT):
            server = Server(sent)
            server.lives = lives
            await self._announce(executor, server, count)
            replies = self._send(executor, count + 1, **changes)
            await self._wait_until(
                lambda replies=replies: any(map(_is_last, replies))
            )
            # A response without a length ends before the server does.
            await anyio.sleep(0.1 if lives or sent == STAGES[-1][1] else 0)
            runs += server.runs
        return runs

    async def test_a_crash_after_the_head_was_taken_for_a_cut_response(self):
        for stage, sent in STAGES:
            for kind, changes in KINDS:
                with self.subTest(stage, kind=kind):
                    runs = await self._send_again_and_again(sent, **changes)
                    self.assertEqual(MAX_CRASHES, runs)

    async def test_a_server_that_closes_a_connection_and_lives_crashed(self):
        for stage, sent in STAGES:
            with self.subTest(stage):
                runs = await self._send_again_and_again(sent, lives=True)
                self.assertEqual(SENT, runs)

    async def test_a_request_was_blamed_that_had_its_whole_response(self):
        executor, server = self._new_executor(), Server(b'')
        server.sent = STATUS + b'content-length: 9999999\r\n\r\n'
        server.may_end.clear()
        await self._announce(executor, server)
        culprit = self._send(executor, 1, remaining_ms=5000)
        await self._wait_until(lambda: culprit or server.runs)
        # Longer than the window of parts, so it waits for its sender.
        parts = messages.FLOW_WINDOW_PARTS * messages.MAX_PART_BYTES
        server.sent = STATUS + b'content-length: %d\r\n\r\n' % (parts + 9)
        server.sent += b'x' * (parts + 9)
        bystander = self._send(executor, 2, BYSTANDER, remaining_ms=5000)
        await self._wait_until(lambda: bystander)
        await anyio.sleep(0.1)
        server.may_end.set()
        await self._wait_until(
            lambda: any(isinstance(r, messages.AttemptFailed) for r in culprit)
        )
        self.assertEqual(
            [
                quarantine.QuarantineState.SUSPECT,
                quarantine.QuarantineState.FREE,
            ],
            [
                executor.crash_tracker.state_of([digest])
                for digest in (CULPRIT, BYSTANDER)
            ],
        )

    async def test_a_request_stayed_suspect_that_was_running_in_a_crash(self):
        """Let it end on one server after it was cut off on another."""
        for title, sent, expected in (
            ('a success', WHOLE, quarantine.QuarantineState.FREE),
            (
                'a success without a length',
                STAGES[-1][1],
                quarantine.QuarantineState.FREE,
            ),
            (
                'an error of the server',
                WHOLE.replace(b'200 OK', b'500 X'),
                quarantine.QuarantineState.SUSPECT,
            ),
        ):
            with self.subTest(title):
                executor = self._new_executor()
                server = Server(b'')
                server.lives = True
                server.may_end.clear()
                await self._announce(executor, server)
                replies = self._send(executor, 1, BYSTANDER)
                await self._wait_until(lambda server=server: server.runs)
                executor.crash_tracker.handle_report(
                    messages.CrashReport('c1', [BYSTANDER], 5000, ran_ms=[100])
                )
                server.sent_late = sent
                server.may_end.set()
                await self._wait_until(lambda replies=replies: replies)
                # A response without a length is checked after its end.
                await anyio.sleep(0.1)
                self.assertIs(
                    expected, executor.crash_tracker.state_of([BYSTANDER])
                )

    async def test_a_crash_after_bytes_that_are_no_response_was_missed(self):
        """Let the next request find the server gone, also a suspect."""
        for max_crashes, is_suspect in ((MAX_CRASHES, False), (None, True)):
            with self.subTest(max_crashes=max_crashes):
                executor = self._new_executor(max_crashes)
                server = Server(b'\0garbage\r\n')
                server.may_end.clear()
                await self._announce(executor, server)
                replies = self._send(executor, 1)
                await self._wait_until(lambda replies=replies: replies)
                server.listener.close()
                server.may_end.set()
                await server.listener.wait_closed()
                replies = self._send(
                    executor, 2, BYSTANDER, suspect=is_suspect
                )
                await self._wait_until(lambda replies=replies: replies)
                self.assertEqual(
                    outcome.Reason.SERVER_UNREACHABLE.value, replies[0].reason
                )
                self.assertEqual(
                    [
                        quarantine.QuarantineState.SUSPECT,
                        quarantine.QuarantineState.FREE,
                    ],
                    [
                        executor.crash_tracker.state_of([digest])
                        for digest in (CULPRIT, BYSTANDER)
                    ],
                )

    async def test_a_request_whose_caller_left_was_not_counted(self):
        executor, server = self._new_executor(), Server(LENGTH)
        server.may_end.clear()
        await self._announce(executor, server)
        self._send(executor, 1)
        replies = self._send(executor, 2, BYSTANDER)
        await self._wait_until(lambda: server.runs == 2)
        executor.handle(
            messages.Cancel(messages.AttemptId(test_executor.SENDER, 1)),
            lambda reply: None,
        )
        await anyio.sleep(0.02)
        server.may_end.set()
        await self._wait_until(
            lambda: any(isinstance(r, messages.AttemptFailed) for r in replies)
        )
        self.assertIs(
            quarantine.QuarantineState.SUSPECT,
            executor.crash_tracker.state_of([CULPRIT]),
        )


class CountedCrashesTest(unittest.TestCase):
    def test_servers_that_ended_together_had_their_requests_refused(self):
        for title, runs, expected in COUNTED:
            with self.subTest(title):
                requests = quarantine.Quarantine()
                for started_at, now in runs:
                    requests.count_crashes(
                        [CULPRIT],
                        now,
                        MAX_CRASHES,
                        5.0,
                        {CULPRIT: started_at},
                    )
                self.assertIs(
                    expected is None,
                    requests.state_of(CULPRIT, 7.0)
                    is quarantine.QuarantineState.QUARANTINED,
                )
                if expected is not None:
                    self.assertEqual(str(expected), requests.describe(CULPRIT))


class ResponseEndTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_sender_took_a_crash_for_a_truncated_response(self):
        for reason, expected in (
            (outcome.Reason.SERVER_CRASHED, outcome.Reason.SERVER_CRASHED),
            (outcome.Reason.SERVER_BROKEN, outcome.Reason.RESPONSE_TRUNCATED),
        ):
            with self.subTest(reason):
                attempt = messages.AttemptId(test_executor.SENDER, 1)
                response = responses.Response(
                    messages.ResponseHead(
                        attempt, 200, [], b'x', False, None, 1, None
                    ),
                    FakeExchange(
                        messages.AttemptFailed(attempt, reason.value, None)
                    ),
                    messages.NodeId('n1'),
                    lambda: None,
                )
                with self.assertRaises(
                    responses.TruncatedResponseError
                ) as raised:
                    await response.buffer_body(100)
                self.assertIs(expected, raised.exception.reason)


class FakeExchange:
    """Return one message."""

    def __init__(self, message: messages.PeerReply) -> None:
        self.attempt = message.attempt
        self._message = message

    async def next_message(self, timeout_s: float) -> messages.PeerReply:
        return self._message


def _is_last(reply: messages.PeerReply) -> bool:
    """Return whether a reply is the last one of its attempt."""
    match reply:
        case messages.ResponseHead() | messages.ResponsePart():
            return reply.last
    return isinstance(reply, messages.AttemptFailed | messages.Refused)


if __name__ == '__main__':
    unittest.main()
