"""Serve ASGI applications with uvicorn inside the running event loop.

Adds to uvicorn a size limit on header blocks, a hook that handles
malformed requests and returns the error response to send, and a
callback for lost connections.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
from typing import ClassVar

import uvicorn
from uvicorn.protocols.http import httptools_impl

MAX_HEAD_BYTES = 32 * 1024
BACKLOG = 1024
KEEP_ALIVE_S = 60
DISCONNECT_EXTENSION = 'jayflow.disconnect'

# Called with whether the header block is too large; returns the status, the
# headers and the body of the error response.
BadRequestHandler = Callable[
    [bool], tuple[int, list[tuple[bytes, bytes]], bytes]
]


class DisconnectNotifier:
    """Invoke a callback when the caller's connection is lost.

    This is an ASGI extension. It needs no extra task per request that
    waits for the disconnection.
    """

    def __init__(self) -> None:
        self._on_lost: Callable[[], None] | None = None
        self.is_disconnected = False

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


class _Protocol(httptools_impl.HttpToolsProtocol):
    """Limit the size of header blocks and report lost connections."""

    on_bad_request: ClassVar[BadRequestHandler]
    _received_head_bytes = 0
    _header_bytes = 0
    _is_reading_head = True
    _is_too_large = False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.scope is not None:
            self.scope['extensions'][DISCONNECT_EXTENSION].notify()

    def data_received(self, data: bytes) -> None:
        was_reading_head = self._is_reading_head
        if was_reading_head:
            self._received_head_bytes += len(data)
        super().data_received(data)
        is_over_limit = self._received_head_bytes > MAX_HEAD_BYTES
        if was_reading_head and self._is_reading_head and is_over_limit:
            self._send_error(True)

    def on_message_begin(self) -> None:
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
        self._is_reading_head = False
        self._received_head_bytes = 0
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._is_reading_head = True

    def send_400_response(self, msg: str) -> None:
        del msg
        self._send_error(self._is_too_large)

    def _count_header_bytes(self, data: bytes) -> None:
        self._header_bytes += len(data)
        if self._header_bytes > MAX_HEAD_BYTES:
            self._is_too_large = True
            raise ValueError('header block exceeds the size limit')

    def _send_error(self, is_too_large: bool) -> None:
        if self.transport.is_closing():
            return
        status, headers, body = self.on_bad_request(is_too_large)
        chunks = [httptools_impl.STATUS_LINE[status]]
        for name, value in [*headers, (b'connection', b'close')]:
            chunks += (name, b': ', value, b'\r\n')
        self.transport.write(b''.join([*chunks, b'\r\n', body]))
        self.transport.close()


def create(
    app, host: str, port: int, on_bad_request: BadRequestHandler
) -> uvicorn.Server:
    """Return a server; await its `serve` method to run it."""
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=type(
            'Protocol',
            (_Protocol,),
            {'on_bad_request': staticmethod(on_bad_request)},
        ),
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=BACKLOG,
        timeout_keep_alive=KEEP_ALIVE_S,
    )
    return _Server(cfg)
