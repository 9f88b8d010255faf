"""Serve ASGI applications with uvicorn inside the running event loop.

Adds to uvicorn the limits of a configuration version on header blocks and
idle connections, a hook that handles malformed requests and returns the error
response to send, and a callback for lost connections.
"""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import logging
from typing import ClassVar

import uvicorn
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from jayflow.version import objects

BACKLOG = 1024
DISCONNECT_EXTENSION = 'jayflow.disconnect'
# Requests that a connection keeps while it serves an earlier one; each takes
# some 10 KB, whatever its own size.
MAX_PIPELINED = 16
PIPELINED_SLICE_BYTES = 512


class BadHead(enum.Enum):
    """List what can be wrong with the head of a request."""

    MALFORMED = 400
    TIMED_OUT = 408
    TOO_LARGE = 431


# Returns the status, the headers and the body of the error response.
BadRequestHandler = Callable[
    [BadHead], tuple[int, list[tuple[bytes, bytes]], bytes]
]


class DisconnectNotifier:
    """Invoke a callback when the caller's connection is lost.

    It also tells of a body that is malformed after its beginning. This is an
    ASGI extension. It needs no extra task per request that waits for the
    disconnection.
    """

    def __init__(self) -> None:
        self._on_lost: Callable[[], None] | None = None
        self.is_disconnected = False
        # Whether the rest of the request's body can't be read.
        self.is_body_malformed = False

    def set_callback(self, on_lost: Callable[[], None] | None) -> None:
        """Set the callback; call it at once if the connection is lost."""
        self._on_lost = on_lost
        if self.is_disconnected and on_lost is not None:
            on_lost()

    def notify(self) -> None:
        """Mark the connection as lost and invoke the callback."""
        self.is_disconnected = True
        if self._on_lost is not None:
            self._on_lost()


class _Server(uvicorn.Server):
    """Leave signal handling to the program and wait for the exit request.

    uvicorn's own loop wakes ten times a second to check for the request.
    """

    def __init__(self, cfg: uvicorn.Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(cfg)

    @property
    def should_exit(self) -> bool:
        """Return whether the server was asked to stop."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, is_requested: bool) -> None:
        if is_requested:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def main_loop(self) -> None:
        """Serve until the server is asked to stop."""
        await self.on_tick(0)
        await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class _FlowControl(flow_control.FlowControl):
    """Read no more while the protocol holds bytes that are not parsed."""

    is_held = False

    def resume_reading(self) -> None:
        if not self.is_held:
            super().resume_reading()


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Limit header blocks and idle time, and report lost connections."""

    on_bad_request: ClassVar[BadRequestHandler]
    find_limits: ClassVar[Callable[[], objects.Limits]]
    _limits = objects.Limits()
    _received_head_bytes = 0
    _header_bytes = 0
    _bytes_without_body = 0
    # Received while MAX_PIPELINED requests wait, and how much of it is parsed.
    _unparsed = b''
    _parsed_bytes = 0
    _is_reading_head = True
    _is_too_large = False
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.flow = _FlowControl(transport)
        self._apply_limits()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_head_timer()
        self._unparsed = b''
        super().connection_lost(exc)
        if self.scope is not None:
            self.scope['extensions'][DISCONNECT_EXTENSION].notify()

    def data_received(self, data: bytes) -> None:
        if not self._unparsed and data.count(b' HTTP/1.') <= MAX_PIPELINED:
            self._parse(data)
            return
        self._unparsed = self._unparsed[self._parsed_bytes :] + data
        self._parsed_bytes = 0
        self._parse_pipelined()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        if self._unparsed:
            self._parse_pipelined()

    def _parse_pipelined(self) -> None:
        """Parse what was received, while few requests wait."""
        while (
            self._parsed_bytes < len(self._unparsed)
            and len(self.pipeline) < MAX_PIPELINED
            and not self.transport.is_closing()
        ):
            start = self._parsed_bytes
            self._parsed_bytes += PIPELINED_SLICE_BYTES
            self._parse(self._unparsed[start : self._parsed_bytes])
        self.flow.is_held = self._parsed_bytes < len(self._unparsed)
        if self.flow.is_held:
            self.flow.pause_reading()
            # The rest of a head may be among what is held.
            self._stop_head_timer()
        else:
            self._unparsed = b''
            if not self.pipeline:
                self.flow.resume_reading()

    def _parse(self, data: bytes) -> None:
        was_reading_head = self._is_reading_head
        if was_reading_head:
            self._received_head_bytes += len(data)
        else:
            self._bytes_without_body += len(data)
        super().data_received(data)
        if self._bytes_without_body > self._limits.header_bytes:
            # A trailer, which the parser keeps until its end, or a chunk
            # header.
            self._send_error(BadHead.TOO_LARGE)
            return
        if not self._is_reading_head or not self._received_head_bytes:
            return
        if self._received_head_bytes > self._limits.header_bytes:
            self._send_error(BadHead.TOO_LARGE)
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._limits.header_timeout,
                self._send_error,
                BadHead.TIMED_OUT,
            )

    def on_message_begin(self) -> None:
        self._apply_limits()
        self._is_reading_head = True
        self._is_too_large = False
        self._header_bytes = 0
        super().on_message_begin()
        self.scope['extensions'] = {DISCONNECT_EXTENSION: DisconnectNotifier()}

    def on_url(self, url: bytes) -> None:
        super().on_url(url)
        self._count_header_bytes(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        self._count_header_bytes(name + value)

    def on_headers_complete(self) -> None:
        self._stop_head_timer()
        self._is_reading_head = False
        self._received_head_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        self._bytes_without_body = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._is_reading_head = True
        self._bytes_without_body = 0

    def send_400_response(self, msg: str) -> None:
        del msg
        self._send_error(
            BadHead.TOO_LARGE if self._is_too_large else BadHead.MALFORMED
        )

    def _apply_limits(self) -> None:
        self._limits = self.find_limits()
        self.timeout_keep_alive = self._limits.idle_timeout

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _count_header_bytes(self, data: bytes) -> None:
        self._header_bytes += len(data)
        if self._header_bytes > self._limits.header_bytes:
            self._is_too_large = True
            raise ValueError('header block exceeds the size limit')

    def _send_error(self, bad_head: BadHead) -> None:
        self._stop_head_timer()
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            # A request still runs; the connection closes after it.
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            if self.cycle.more_body:
                extensions = self.cycle.scope['extensions']
                extensions[DISCONNECT_EXTENSION].is_body_malformed = True
                self.cycle.message_event.set()
            return
        status, headers, body = self.on_bad_request(bad_head)
        chunks = [httptools_impl.STATUS_LINE[status]]
        for name, value in [*headers, (b'connection', b'close')]:
            chunks += (name, b': ', value, b'\r\n')
        self.transport.write(b''.join([*chunks, b'\r\n', body]))
        self.transport.close()


def reject_without_body(
    bad_head: BadHead,
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return an error response without a body."""
    return bad_head.value, [(b'content-length', b'0')], b''


def create(
    app,
    host: str,
    port: int,
    on_bad_request: BadRequestHandler = reject_without_body,
    find_limits: Callable[[], objects.Limits] = objects.Limits,
) -> uvicorn.Server:
    """Return a server; await its `serve` method to run it.

    find_limits is called for each connection and each request; what it
    returns may change.
    """
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=type(
            'Protocol',
            (_Protocol,),
            {
                'on_bad_request': staticmethod(on_bad_request),
                'find_limits': staticmethod(find_limits),
            },
        ),
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=BACKLOG,
    )
    return _Server(cfg)
