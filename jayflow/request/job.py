"""Forward one attempt from its sender to the backend server and back.

Request and response bodies are forwarded in parts. The receiver of a
body grants credit for parts, which bounds the memory of both nodes.
"""

import asyncio
import collections
from collections.abc import Callable
import time

import anyio

from jayflow.connection import backend_client
from jayflow.connection import link_budget
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.request.decisions import quarantine
from jayflow.request import outcome

STALL_TIMEOUT_S = 30.0
# Pause in a transfer after which the job checks whether its sender is gone.
PROBE_AFTER_S = 1.0
# Parts of a response are numbered from 1; receivers ignore a number that they
# have had already.
PROBE_SEQ = 0
DEADLINE_HEADER = b'jayflow-deadline-ms'


class Job:
    """Hold the state of one attempt from its Start to its last reply.

    Times are monotonic seconds. A job is started once its attempt is
    recorded as started; it is closed once no further reply is due.
    """

    def __init__(
        self,
        start: messages.Start,
        reply: Callable[[messages.PeerReply], None],
        now: float,
    ) -> None:
        self.start = start
        self.reply = reply
        self.running_at_start = 0
        self.slowness_at_start = 1.0
        self.fingerprints: tuple[quarantine.Fingerprint, ...] = ()
        self.is_suspect = False
        self.is_exclusive = False
        self.is_closed = False
        self.has_task_started = False
        self.is_started = False
        self.head_received_at: float | None = None
        self.cancelled: outcome.Reason | None = None
        self.task: asyncio.Task | None = None
        self.pool: backend_client.Pool | None = None
        self.conn: backend_client.Connection | None = None
        self.link_budget: link_budget.LinkBudget | None = None
        self.received_at = now
        self.sent_at = now
        self.server: messages.ServerIncarnation | None = None
        self.leaving: messages.ServerIncarnation | None = None
        self.server_headers: messages.Headers = []
        self._deadline = now + start.remaining_ms / 1000
        self._progress_at = now
        self._probed_at = now
        self._credit = messages.FLOW_WINDOW_PARTS
        self._body: collections.deque[messages.RequestPart] = (
            collections.deque()
        )
        self._next_seq = 0
        self._changed = anyio.Event()

    @property
    def has_whole_response(self) -> bool:
        """Return whether the server has ended its response."""
        return (
            self.conn is not None
            and self.conn.is_complete
            and not self.conn.was_ended_by_close
        )

    def is_overdue(self, now: float) -> bool:
        """Return whether the deadline passed or the transfer has stalled."""
        if self.head_received_at is None or self.start.bounds_response:
            return now > self._deadline
        return now > self._progress_at + STALL_TIMEOUT_S

    def probe_sender(self, now: float) -> None:
        """Cancel a stalled transfer if its sender is not connected any more.

        A sender whose process was killed neither grants credit nor cancels.
        """
        if (
            self.head_received_at is None
            or now < max(self._progress_at, self._probed_at) + PROBE_AFTER_S
        ):
            return
        self._probed_at = now
        if (
            self.link_budget is not None
            and not self.link_budget.try_spend_measuring(now)
        ):
            return
        probe = messages.ResponsePart(
            self.start.attempt, PROBE_SEQ, b'', last=False
        )
        try:
            self.reply(probe)
        except sockets.NotSentError:
            self.cancel(outcome.Reason.PEER_UNREACHABLE)

    def cancel(self, reason: outcome.Reason) -> None:
        """Cancel the attempt; the connection to the server is closed."""
        if self.cancelled is not None or self.task is None:
            return
        self.cancelled = reason
        if self.has_task_started:
            self.task.cancel()

    def add_credit(self, parts: int) -> None:
        """Allow more parts of the response to be sent."""
        self._credit += parts
        self._changed.set()

    def add_body(self, part: messages.RequestPart) -> None:
        """Queue a part of the request body; cancel the attempt on a gap."""
        if part.seq == self._next_seq:
            self._next_seq += 1
            self._body.append(part)
            self._changed.set()
        elif part.seq > self._next_seq:
            self.cancel(outcome.Reason.BODY_CUT)

    def end(
        self,
        message_type: type[messages.AttemptFailed],
        reason: outcome.Reason,
        load: messages.Load,
    ) -> None:
        """Send the last reply of an attempt without a complete response."""
        self.is_closed = True
        self.reply(message_type(self.start.attempt, reason.value, load))

    async def exchange(
        self,
        conn: backend_client.Connection,
        check_head: Callable[[int, messages.Headers], None],
        load: Callable[[], messages.Load],
    ) -> None:
        """Send the request to the server and the response to the sender.

        An exception that check_head raises ends the exchange before any of
        the response is forwarded. Raises NotSentError if the sender is gone.
        """
        start = self.start
        self.sent_at = time.monotonic()
        is_chunked = start.has_more_body and any(
            name == b'transfer-encoding' for name, _ in start.headers
        )
        body = _encode_chunk(start.body, False) if is_chunked else start.body
        conn.write_head(start.method, start.target, self._headers(), body)
        if start.has_more_body:
            await self._send_body_until_head(conn, is_chunked)
        status = await conn.read_head()
        self.head_received_at = self._progress_at = time.monotonic()
        check_head(status, conn.headers)
        await conn.wait_buffered(self._part_bytes())
        data, last = conn.read_buffered()
        first = data[: self._part_bytes()]
        is_complete = last and len(first) == len(data)
        head = messages.ResponseHead(
            start.attempt,
            status,
            conn.headers,
            first,
            is_complete,
            load(),
            round((self.head_received_at - self.sent_at) * 1000),
            self.leaving,
        )
        self._credit -= 1
        await self._reply_paced(head)
        if not is_complete:
            await self._send_response(conn, data[len(first) :])
        self.is_closed = True

    def _part_bytes(self) -> int:
        if self.link_budget is None:
            return messages.MAX_PART_BYTES
        return min(messages.MAX_PART_BYTES, self.link_budget.part_bytes)

    async def _reply_paced(
        self, message: messages.ResponseHead | messages.ResponsePart
    ) -> None:
        """Reply within the budget of a link between regions, if any."""
        if self.link_budget is not None:
            await self.link_budget.wait_to_send(len(messages.encode(message)))
        self.reply(message)

    def _headers(self) -> messages.Headers:
        remaining_s = self._deadline - time.monotonic()
        remaining_ms = max(1, int(remaining_s * 1000))
        deadline_header = (DEADLINE_HEADER, str(remaining_ms).encode())
        return [*self.start.headers, *self.server_headers, deadline_header]

    async def _send_body_until_head(
        self, conn: backend_client.Connection, is_chunked: bool
    ) -> None:
        """Send the body until its end or until the server responds.

        After an early response the rest of the body is unsent, so the
        connection is not reused.
        """
        loop = asyncio.get_running_loop()
        sending = loop.create_task(self._send_body(conn, is_chunked))
        reading_head = loop.create_task(conn.read_head())
        try:
            await asyncio.wait(
                (sending, reading_head), return_when=asyncio.FIRST_COMPLETED
            )
            if sending.done():
                sending.result()
            else:
                conn.prevent_reuse()
        finally:
            sending.cancel()
            if not reading_head.cancel() and not reading_head.cancelled():
                reading_head.exception()

    async def _send_body(
        self, conn: backend_client.Connection, is_chunked: bool
    ) -> None:
        grant = messages.Credit(self.start.attempt, messages.FLOW_WINDOW_PARTS)
        self.reply(grant)
        last = False
        while not last:
            while not self._body:
                await self._wait_for_change()
            part = self._body.popleft()
            last = part.last
            data = _encode_chunk(part.data, last) if is_chunked else part.data
            await conn.write(data)
            self._progress_at = time.monotonic()
            if not last:
                self.reply(messages.Credit(self.start.attempt, 1))

    async def _send_response(
        self, conn: backend_client.Connection, rest: bytes
    ) -> None:
        seq = await self._send_parts(0, rest)
        async for data in conn.iter_parts():
            seq = await self._send_parts(seq, data)
        last = messages.ResponsePart(
            self.start.attempt, seq + 1, b'', last=True
        )
        await self._reply_paced(last)

    async def _send_parts(self, seq: int, data: bytes) -> int:
        """Send data in parts as credit allows; return the last seq."""
        size = self._part_bytes()
        for first in range(0, len(data), size):
            while self._credit < 1:
                await self._wait_for_change()
            seq += 1
            self._credit -= 1
            self._progress_at = time.monotonic()
            part = data[first : first + size]
            await self._reply_paced(
                messages.ResponsePart(
                    self.start.attempt, seq, part, last=False
                )
            )
        return seq

    async def _wait_for_change(self) -> None:
        self._changed = anyio.Event()
        await self._changed.wait()


def _encode_chunk(data: bytes, last: bool) -> bytes:
    chunk = b'%x\r\n%b\r\n' % (len(data), data) if data else b''
    return chunk + b'0\r\n\r\n' if last else chunk
