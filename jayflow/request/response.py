"""Read a server's response from the messages of one attempt.

A response arrives as a head and numbered parts. A missing part raises
TruncatedResponseError, so a truncated body is never taken for a complete one.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import math
import time

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.request import exchange as exchanges
from jayflow.request import headers as http_headers
from jayflow.request import outcome

PART_TIMEOUT_S = 30.0
LOST_CONNECTION_TIMEOUT_S = 1.0
SHED_STATUSES = frozenset({429, 503})
OUTCOME_HEADER = b'jayflow-outcome'
RETRY_AFTER_HEADER = b'retry-after'


class TruncatedResponseError(Exception):
    """Report that the remaining parts of a response will not arrive."""

    reason = outcome.Reason.RESPONSE_TRUNCATED


class ServerCrashedError(TruncatedResponseError):
    """Report that the server crashed before the last part."""

    reason = outcome.Reason.SERVER_CRASHED


class ResponseDeadlineError(TruncatedResponseError):
    """Report that the deadline passed before the last part arrived."""


class Response:
    """Hold a response head and iterate over the parts of its body.

    The deadline, in monotonic seconds, is that of the last part.
    """

    def __init__(
        self,
        head: messages.ResponseHead,
        exchange: exchanges.Exchange,
        node: messages.NodeId,
        on_end: Callable[[], None],
        deadline: float = math.inf,
    ) -> None:
        self.node = node
        self.status = head.status
        self.headers = head.headers
        self.service_s = head.service_ms / 1000
        self.leaving = head.leaving
        self._data = head.data
        self._is_complete = head.last
        self._exchange = exchange
        self._on_end = on_end
        self._is_closed = False
        self._last_seq = 0
        self._deadline = deadline

    @property
    def is_complete(self) -> bool:
        """Return whether the last part of the body was received."""
        return self._is_complete

    @property
    def data(self) -> bytes:
        """Return the buffered beginning of the body."""
        return self._data

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header."""
        return http_headers.value_of(self.headers, name)

    @property
    def retry_after_s(self) -> float:
        """Return the retry-after header in seconds, 0 without a valid one."""
        value_s = http_headers.decimal_of(self.headers, RETRY_AFTER_HEADER)
        return value_s or 0.0

    @property
    def was_shed_by_server(self) -> bool:
        """Return whether the server says that the request did not run."""
        reported_outcome = self.header(OUTCOME_HEADER)
        return self.status in SHED_STATUSES and reported_outcome == b'not-run'

    async def buffer_body(self, limit_bytes: int) -> None:
        """Buffer the body until it is complete or exceeds the limit."""
        async for data in self.iter_parts():
            self._data += data
            if len(self._data) > limit_bytes:
                return

    async def iter_parts(self) -> AsyncIterator[bytes]:
        """Yield the later parts of the body.

        Raises TruncatedResponseError if a part is missing or is not received
        in PART_TIMEOUT_S. Once the peer connection is lost, the wait is only
        LOST_CONNECTION_TIMEOUT_S: the next part may be lost as well. Raises
        ResponseDeadlineError once the deadline has passed.
        """
        timeout_s = PART_TIMEOUT_S
        attempt = self._exchange.attempt
        while not self._is_complete:
            message = await self._exchange.next_message(
                max(0.0, min(timeout_s, self._deadline - time.monotonic()))
            )
            if time.monotonic() >= self._deadline:
                raise ResponseDeadlineError
            match message:
                case messages.ResponsePart() if (
                    message.seq == self._last_seq + 1
                ):
                    timeout_s = PART_TIMEOUT_S
                    self._last_seq, self._is_complete = (
                        message.seq,
                        message.last,
                    )
                    if not self._is_complete:
                        self._send(messages.Credit(attempt, 1))
                    yield message.data
                case exchanges.ConnectionLostEvent():
                    timeout_s = LOST_CONNECTION_TIMEOUT_S
                case messages.ResponsePart() if message.seq <= self._last_seq:
                    pass
                case messages.AttemptFailed(
                    reason=outcome.Reason.SERVER_CRASHED.value
                ):
                    raise ServerCrashedError
                case _:
                    raise TruncatedResponseError

    def close(self) -> None:
        """End the exchange; cancel the attempt if the body is incomplete."""
        if self._is_closed:
            return
        self._is_closed = True
        if not self._is_complete:
            self._send(messages.Cancel(self._exchange.attempt))
        self._on_end()

    def _send(self, message: messages.PeerRequest) -> None:
        try:
            self._exchange.channel.send(message)
        except sockets.NotSentError:
            self._exchange.deliver(exchanges.ConnectionLostEvent())
