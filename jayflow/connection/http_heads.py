"""Read requests with uvicorn and limit their heads and trailers.

Adds to uvicorn's protocol the limits of a configuration version on header
blocks, and error responses for malformed requests.
"""

import asyncio
from collections.abc import Callable
from typing import ClassVar

from uvicorn.protocols.http import httptools_impl

from jayflow.connection import http_hooks
from jayflow.version import objects

# No head within the limit on bytes has more header fields: the shortest field
# is one character, a colon and the end of the line.
MIN_FIELD_BYTES = 4


class HeadProtocol(httptools_impl.HttpToolsProtocol):
    """Limit what one connection sends besides bodies."""

    on_bad_request: ClassVar[http_hooks.BadRequestHandler]
    find_limits: ClassVar[Callable[[], objects.Limits]]
    _limits = objects.Limits()
    _received_head_bytes = 0
    _header_bytes = 0
    _field_count = 0
    _bytes_without_body = 0
    _is_reading_head = True
    _is_chunked = False
    _is_too_large = False
    # Nothing more is parsed after a malformed request.
    _is_ended = False
    _head_timer: asyncio.TimerHandle | None = None

    def _parse(self, data: bytes) -> None:
        """Parse bytes that may be any part of a request."""
        if self._is_reading_head:
            self._received_head_bytes += len(data)
        else:
            self._bytes_without_body += len(data)
        super().data_received(data)
        if self._is_ended:
            return
        if self._bytes_without_body > self._limits.header_bytes:
            # A trailer, which the parser keeps until its end, or a chunk
            # header.
            self._send_error(http_hooks.BadHead.TOO_LARGE)
            return
        if not self._is_reading_head or not self._received_head_bytes:
            return
        if self._received_head_bytes > self._limits.header_bytes:
            self._send_error(http_hooks.BadHead.TOO_LARGE)
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self._limits.header_timeout,
                self._send_error,
                http_hooks.BadHead.TIMED_OUT,
            )

    def on_message_begin(self) -> None:
        self._apply_limits()
        self._is_reading_head = True
        self._is_too_large = False
        self._header_bytes = self._field_count = 0
        super().on_message_begin()
        self.scope['extensions'] = {
            http_hooks.DISCONNECT_EXTENSION: http_hooks.DisconnectNotifier()
        }

    def on_url(self, url: bytes) -> None:
        super().on_url(url)
        self._count_header_bytes(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_reading_head:
            super().on_header(name, value)
        # Trailers are counted and not kept.
        self._field_count += 1
        self._count_header_bytes(name + value)

    def on_headers_complete(self) -> None:
        self._stop_head_timer()
        self._is_reading_head = False
        self._received_head_bytes = 0
        self._is_chunked = any(
            name == b'transfer-encoding' for name, _ in self.headers
        )
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
            http_hooks.BadHead.TOO_LARGE
            if self._is_too_large
            else http_hooks.BadHead.MALFORMED
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
        min_bytes = self._field_count * MIN_FIELD_BYTES
        if max(self._header_bytes, min_bytes) > self._limits.header_bytes:
            self._is_too_large = True
            raise ValueError('header block exceeds the size limit')

    def _drop_head(self) -> None:
        """Free what was received of a head that no request has begun with.

        The connection is part of a reference cycle, so that its own memory is
        freed only by the next garbage collection.
        """
        self.parser = None
        if self.scope is not None and (
            self.cycle is None or self.cycle.scope is not self.scope
        ):
            self.headers.clear()

    def _send_error(self, bad_head: http_hooks.BadHead) -> None:
        self._stop_head_timer()
        if self.transport.is_closing():
            return
        self._is_ended = True
        self._drop_head()
        if self.cycle is not None and not self.cycle.response_complete:
            # A request still runs; the connection closes after it.
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            if self.cycle.more_body:
                extensions = self.cycle.scope['extensions']
                extensions[
                    http_hooks.DISCONNECT_EXTENSION
                ].is_body_malformed = True
                self.cycle.message_event.set()
            return
        status, headers, body = self.on_bad_request(bad_head)
        chunks = [httptools_impl.STATUS_LINE[status]]
        for name, value in [*headers, (b'connection', b'close')]:
            chunks += (name, b': ', value, b'\r\n')
        self.transport.write(b''.join([*chunks, b'\r\n', body]))
        self.transport.close()
