"""Send HTTP/1.1 requests to the node's backend server.

A connection is a thin asyncio protocol around the httptools parser and
carries one request at a time. The rest of the package uses httpcore;
DESIGN.md has the measurement that compares the two.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import enum
import math
import re
import time
from typing import Protocol, Self

import httptools

from jayflow.connection import messages

READ_AHEAD_BYTES = 256 * 1024
# Bytes that a server may send in a row without a byte of the response's body:
# a head, trailers, interim responses or responses to earlier requests. More
# are no answer, and keeping them would exhaust the memory.
MAX_BYTES_WITHOUT_BODY = 256 * 1024
# Each header takes up to 150 bytes of memory beside its own.
MAX_HEADERS = 500
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 4.0
MAX_IDLE_NOT_IDEMPOTENT_S = 1.0
# A server closes an idle connection after the time-out that it states; a
# request sent this much earlier still reaches it.
IDLE_MARGIN_S = 0.5
_KEEP_ALIVE_TIMEOUT = re.compile(
    rb'(?:^|[,;\s])timeout=([0-9]{1,6})(?![^,;\s])'
)
SWITCHING_PROTOCOLS = 101
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
NO_CONTENT = 204
NOT_MODIFIED = 304


class ConnectionFault(enum.Enum):
    """Enumerate the faults of a connection to a backend server."""

    REFUSED = 'refused'
    TIMED_OUT = 'silent'
    CLOSED = 'closed'
    INVALID = 'invalid'
    UNFRAMED = 'unframed'


class BackendError(Exception):
    """Report a request that got no complete response.

    If `sent` is false, no byte of the request has left the node.
    """

    def __init__(self, fault: ConnectionFault, sent: bool) -> None:
        super().__init__(fault.value)
        self.fault = fault
        self.sent = sent


class Connection(asyncio.Protocol):
    """Carry one request at a time over one TCP connection."""

    def __init__(self, rules: 'ResponseRules') -> None:
        self._rules = rules
        self._request_id: bytes | None = None
        self._is_skipping_response = False
        self._is_reuse_prevented = False
        self._is_read_until_close = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._fault: ConnectionFault | None = None
        self._is_busy = False
        self._is_reading_paused = False
        self._idle_timeout_s = math.inf
        self._reset('')
        self.idle_since = time.monotonic()

    @classmethod
    async def open(cls, host: str, port: int, rules: 'ResponseRules') -> Self:
        """Return a new connection.

        Raises BackendError if it is refused or not made in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: cls(rules), host, port
                )
        except TimeoutError as exc:
            raise BackendError(ConnectionFault.TIMED_OUT, sent=False) from exc
        except OSError as exc:
            raise BackendError(ConnectionFault.REFUSED, sent=False) from exc
        return conn

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        return (
            self._fault is None
            and not self._is_busy
            and not self._is_reuse_prevented
            and not self._buffered_bytes
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def max_idle_s(self, is_idempotent: bool) -> float:
        """Return how long the connection may be idle before a request.

        A server may close an idle connection while a request is on its way.
        A request that is not idempotent therefore only gets a connection
        that was idle for a shorter time.
        """
        max_idle_s = MAX_IDLE_S if is_idempotent else MAX_IDLE_NOT_IDEMPOTENT_S
        return min(max_idle_s, max(0.0, self._idle_timeout_s - IDLE_MARGIN_S))

    @property
    def sent(self) -> bool:
        """Return whether any byte of the current request was written."""
        return self._sent

    @property
    def is_complete(self) -> bool:
        """Return whether the whole response has arrived."""
        return self._is_complete

    @property
    def was_ended_by_close(self) -> bool:
        """Return whether only the server's close marked the end."""
        return self._is_complete and self._is_read_until_close

    def write_head(
        self,
        method: str,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
    ) -> None:
        """Write a request's head and the first part of its body."""
        self._check_open()
        self._reset(method)
        self._request_id = self._rules.request_id_of(headers)
        self._is_busy = True
        self._sent = True
        chunks = [method.encode(), b' ', target, b' HTTP/1.1\r\n']
        for name, value in headers:
            chunks += (name, b': ', value, b'\r\n')
        chunks += (b'\r\n', body)
        self._transport.write(b''.join(chunks))

    async def write(self, data: bytes) -> None:
        """Write more of a request body and wait while writing is paused."""
        self._check_open()
        self._transport.write(data)
        await self._writable.wait()

    async def read_head(self) -> int:
        """Wait for the response's head and return its status."""
        while self.status is None:
            await self._wait_for_change()
        return self.status

    async def iter_parts(self) -> AsyncIterator[bytes]:
        """Yield the body in parts.

        Raises BackendError if the body ends incomplete.
        """
        while True:
            part = self._take_part()
            if part:
                yield part
            elif self._is_complete:
                return
            else:
                await self._wait_for_change()

    async def wait_buffered(self, size: int) -> None:
        """Wait until the body is complete or size bytes are buffered."""
        while not self._is_complete and self._buffered_bytes < size:
            await self._wait_for_change()

    def prevent_reuse(self) -> None:
        """Prevent the connection from being used for another request."""
        self._is_reuse_prevented = True

    def read_buffered(self) -> tuple[bytes, bool]:
        """Return the next buffered part and whether it is the last."""
        part = self._take_part()
        return part, self._is_complete and not self._buffered_bytes

    def close(self) -> None:
        """Abort at once, so that the server sees that the caller is gone."""
        if self._transport is not None:
            self._transport.abort()

    def _reset(self, method: str) -> None:
        self._method = method
        self._sent = False
        self._is_complete = False
        self.status: int | None = None
        self.headers: messages.Headers = []
        self._is_interim = False
        self._is_skipping_response = False
        self._is_read_until_close = False
        self._bytes_without_body = 0

    def _check_open(self) -> None:
        if self._fault is not None or self._transport.is_closing():
            raise BackendError(
                self._fault or ConnectionFault.CLOSED, self._sent
            )

    async def _wait_for_change(self) -> None:
        if self._fault is not None:
            raise BackendError(self._fault, self._sent)
        self._changed.clear()
        await self._changed.wait()

    def _take_part(self) -> bytes:
        data = bytearray()
        while self._buffer and len(data) < messages.MAX_PART_BYTES:
            free_bytes = messages.MAX_PART_BYTES - len(data)
            chunk = self._buffer.popleft()
            data += chunk[:free_bytes]
            if len(chunk) > free_bytes:
                self._buffer.appendleft(chunk[free_bytes:])
        self._buffered_bytes -= len(data)
        if self._is_reading_paused and self._buffered_bytes < READ_AHEAD_BYTES:
            self._is_reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return bytes(data)

    def _fail(self, fault: ConnectionFault) -> None:
        self._fault = self._fault or fault
        self._changed.set()
        self._writable.set()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def eof_received(self) -> bool:
        """Complete a response that has no length.

        A connection reset does not call this method, so it is never
        taken for the end of a response.
        """
        if self._is_read_until_close and not self._is_complete:
            self._finish()
            self._changed.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._fail(ConnectionFault.CLOSED)

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        if not self._is_busy:
            self._fail(ConnectionFault.INVALID)
            self.close()
            return
        self._bytes_without_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(ConnectionFault.INVALID)
            self.close()
            return
        if self._bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            self._fail(ConnectionFault.INVALID)
            self.close()

    def on_message_begin(self) -> None:
        if self._is_complete:
            # A second response to one request is discarded, and the
            # connection is not used again.
            self._is_reuse_prevented = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.status is not None or self._is_skipping_response:
            # A trailer: its meaning is not that of a header.
            return
        if len(self.headers) >= MAX_HEADERS:
            raise ValueError(f'response has more than {MAX_HEADERS} headers')
        self.headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fail(ConnectionFault.INVALID)
            self.close()
            return
        self._is_interim = status < FIRST_FINAL_STATUS
        if self._is_interim:
            self.headers = []
            return
        if self._is_stale_response():
            self._is_skipping_response = True
            return
        self.status = status
        self._observe_keep_alive()
        if self._method == 'HEAD':
            self._finish()
        elif not self._is_framed(status):
            self._is_read_until_close = self._rules.allows_unframed_responses
            if not self._is_read_until_close:
                self._fail(ConnectionFault.UNFRAMED)
        self._changed.set()

    def _observe_keep_alive(self) -> None:
        """Record after which idle time the server closes the connection."""
        for name, value in self.headers:
            if name == b'keep-alive':
                found = _KEEP_ALIVE_TIMEOUT.search(value)
                if found:
                    self._idle_timeout_s = float(found[1])

    def _is_stale_response(self) -> bool:
        """Return whether a response belongs to an earlier request."""
        response_id = self._rules.request_id_of(self.headers)
        return (
            self._request_id is not None
            and response_id is not None
            and response_id != self._request_id
        )

    def on_body(self, data: bytes) -> None:
        if self._is_skipping_response or self._is_complete:
            return
        self._bytes_without_body = 0
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if (
            self._buffered_bytes >= READ_AHEAD_BYTES
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._changed.set()

    def on_message_complete(self) -> None:
        if self._is_skipping_response:
            self._is_skipping_response = False
            self.headers = []
        elif not self._is_interim and not self._is_complete:
            self._finish()
            self._changed.set()

    def _finish(self) -> None:
        self._is_complete = True
        self._is_busy = False
        self.idle_since = time.monotonic()
        if self._method == 'HEAD' or not self._parser.should_keep_alive():
            self._transport.close()

    def _is_framed(self, status: int) -> bool:
        if status in (NO_CONTENT, NOT_MODIFIED):
            return True
        return any(
            name == b'content-length'
            or (name == b'transfer-encoding' and b'chunked' in value.lower())
            for name, value in self.headers
        )


class ResponseRules(Protocol):
    """Define how responses are matched to requests and framed."""

    allows_unframed_responses: bool

    def request_id_of(self, headers: messages.Headers) -> bytes | None:
        """Return the request id in a request or response, if present."""


class Pool:
    """Keep idle connections to one backend server."""

    def __init__(self, host: str, port: int, rules: ResponseRules) -> None:
        self.host = host
        self.port = port
        self._rules = rules
        self._is_closed = False
        self._idle: list[Connection] = []

    async def acquire(self, is_idempotent: bool) -> Connection:
        """Return an idle connection or a new one.

        Raises BackendError if no connection can be made.
        """
        now = time.monotonic()
        while self._idle:
            conn = self._idle.pop()
            idle_s = now - conn.idle_since
            if conn.is_reusable and idle_s < conn.max_idle_s(is_idempotent):
                return conn
            conn.close()
        return await self.open()

    async def open(self) -> Connection:
        """Return a new connection; BackendError if it can't be made."""
        return await Connection.open(self.host, self.port, self._rules)

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if conn.is_reusable and not self._is_closed:
            self._idle.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close the idle connections.

        Those in use are closed when they are returned to the pool.
        """
        self._is_closed = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()
