"""Read requests from one client connection and bound what it holds.

No request is read while an answer can't be written or while requests that
were sent ahead wait.
"""

import asyncio
import contextlib
from typing import ClassVar

from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from jayflow.connection import connection_registry
from jayflow.connection import http_flow
from jayflow.connection import http_heads
from jayflow.connection import http_hooks
from jayflow.connection import messages
from jayflow.connection import unread_answers

# Most bytes that one turn of the event loop reads of a connection.
MAX_READ_BYTES = 64 * 1024
# An answer waits once more than this is written and not sent. One part of a
# response may exceed it.
WRITE_BUFFER_BYTES = 32 * 1024
# Requests that a connection keeps while it serves an earlier one; each takes
# some 10 KB, whatever its own size.
MAX_PIPELINED = 4
PIPELINED_SLICE_BYTES = 512
# Bytes with more lines than this are parsed a little per turn of the event
# loop: 64 KB of requests or of chunks of one byte take 10 ms and more.
MAX_LINES_AT_ONCE = 256
PARSED_BYTES_PER_TURN = 4096
# Slices end at blank lines, so that bytes alone don't bound their number.
PARSED_SLICES_PER_TURN = 32
LINE_END = b'\r\n'
# The parser accepts no other end of a head.
HEAD_END = b'\n\r\n'
# Estimates of the memory that a connection, a request and a header take
# beside their own bytes.
CONNECTION_BYTES = 8 * 1024
WAITING_REQUEST_BYTES = 10 * 1024
RUNNING_REQUEST_BYTES = 32 * 1024
FIELD_BYTES = 128


class ClientProtocol(http_heads.HeadProtocol):
    """Limit a client's connection and report its loss."""

    registry: ClassVar[connection_registry.ConnectionRegistry]
    held_bytes = CONNECTION_BYTES
    client_host = ''
    # Received while no request may be read, and how much of it is parsed.
    _unparsed = b''
    _parsed_bytes = 0
    _running: httptools_impl.RequestResponseCycle | None = None
    # The request that starts at the connection's next turn.
    _next: tuple | None = None
    _is_continuing = False
    _has_turn = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        transport.max_size = MAX_READ_BYTES
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self.flow = http_flow.FlowControl(
            transport,
            self._is_reading_held,
            self.registry.hangups,
            self._on_client_left,
        )
        self._answers = unread_answers.UnreadAnswers(transport)
        self.client_host = self.client[0] if self.client else ''
        self._apply_limits()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        self.registry.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.remove(self)
        self._drop_received()
        self._cancel_running()
        super().connection_lost(exc)
        self._release()

    def eof_received(self) -> None:
        self._on_client_left()

    def abort(self) -> None:
        """Free what was received and close without writing the rest."""
        self._drop_received()
        self.transport.abort()

    def is_unread(self) -> bool:
        """Return whether the client has read nothing since the last call."""
        self._record_held()
        return self._answers.is_stalled()

    def data_received(self, data: bytes) -> None:
        if self._is_ended:
            return
        if self._unparsed:
            self._unparsed = self._unparsed[self._parsed_bytes :] + data
            self._parsed_bytes = 0
        elif self._takes_turns(data) or self._is_next_head_held():
            self._unparsed = data
        else:
            self._parse(data)
        self._continue_reading()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._continue_reading()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._next is not None:
            self.registry.turns.add(self._start_next)
        self._continue_reading()

    def on_response_complete(self) -> None:
        self._running = None
        self._is_continuing = True
        super().on_response_complete()
        self._is_continuing = False
        if self.transport.is_closing():
            self._drop_received()
        self._continue_reading()

    def _on_client_left(self) -> None:
        """Stop serving at once; what is written is still sent."""
        self._drop_received()
        self._cancel_running()
        self.transport.close()

    def _cancel_running(self) -> None:
        """Tell the running request, if any, that its client has left."""
        if self._running is None or self._running.disconnected:
            return
        # With requests sent ahead, uvicorn marks only the last of them.
        self._running.disconnected = True
        self._running.message_event.set()
        self._running.scope['extensions'][
            http_hooks.DISCONNECT_EXTENSION
        ].notify()

    def _start_asgi_task(self, cycle, app) -> None:
        if self._is_continuing:
            self._next = cycle, app
            self.registry.turns.add(self._start_next)
        else:
            self._running = cycle
            super()._start_asgi_task(cycle, app)

    def _start_next(self) -> None:
        """Start a request that was sent ahead, if its answer can be sent."""
        if self._next is not None and not self.flow.write_paused:
            (cycle, app), self._next = self._next, None
            self._start_asgi_task(cycle, app)

    def _takes_turns(self, data: bytes) -> bool:
        """Return whether parsing takes too long for one turn of the loop."""
        if data.count(HEAD_END) > MAX_PIPELINED:
            return True
        has_lines = self._is_reading_head or self._is_chunked
        return has_lines and data.count(LINE_END) > MAX_LINES_AT_ONCE

    def _continue_reading(self) -> None:
        """Parse and read on as far as the connection's state allows."""
        if self._is_ended:
            self._unparsed = b''
        if self._unparsed:
            # The rest of a head may be among what is held.
            self._stop_head_timer()
        if self._can_parse() and not self._has_turn:
            self._has_turn = True
            self.registry.turns.add(self._parse_turn)
        if self._is_reading_held():
            self.flow.pause_reading()
        else:
            self.flow.resume_reading()
        self._record_held()

    def _is_next_head_held(self) -> bool:
        return self._is_reading_head and self.flow.write_paused

    def _is_reading_held(self) -> bool:
        """Return whether no more may be received now."""
        if self._is_ended or self._unparsed or self.pipeline:
            return True
        if self._is_reading_head:
            return self.flow.write_paused
        # The rest of the running request's body.
        has_unread_body = len(self.cycle.body) > flow_control.HIGH_WATER_LIMIT
        return has_unread_body and not self.cycle.response_complete

    def _can_parse(self) -> bool:
        return (
            self._parsed_bytes < len(self._unparsed)
            and len(self.pipeline) < MAX_PIPELINED
            and not self._is_ended
            and not self._is_next_head_held()
            and not self.transport.is_closing()
        )

    def _parse_turn(self) -> None:
        """Parse some of what was received, while few requests wait."""
        self._has_turn = False
        end = self._parsed_bytes + PARSED_BYTES_PER_TURN
        for _ in range(PARSED_SLICES_PER_TURN):
            if self._parsed_bytes >= end or not self._can_parse():
                break
            start = self._parsed_bytes
            self._parsed_bytes = self._slice_end(start)
            self._parse(self._unparsed[start : self._parsed_bytes])
        if self._parsed_bytes >= len(self._unparsed):
            self._unparsed = b''
            self._parsed_bytes = 0
        self._continue_reading()

    def _slice_end(self, start: int) -> int:
        """Return the end of a slice that completes at most one head."""
        stop = start + PIPELINED_SLICE_BYTES
        # The end of a head may have begun in the last slice.
        first = max(0, start - len(HEAD_END) + 1)
        head_end = self._unparsed.find(HEAD_END, first, stop)
        return stop if head_end < 0 else head_end + len(HEAD_END)

    def _record_held(self) -> None:
        """Tell the registry what the connection makes the node keep."""
        cycle = self.cycle
        is_busy = cycle is not None and not cycle.response_complete
        written_bytes = self.transport.get_write_buffer_size()
        held_bytes = (
            CONNECTION_BYTES
            + len(self._unparsed)
            + self._received_head_bytes
            + self._bytes_without_body
            + written_bytes
        )
        if self._received_head_bytes:
            held_bytes += self._field_count * FIELD_BYTES
        if is_busy:
            held_bytes += RUNNING_REQUEST_BYTES + len(cycle.body)
            held_bytes += self._waiting_response_bytes()
        for waiting, _ in self.pipeline:
            held_bytes += WAITING_REQUEST_BYTES + len(waiting.body)
        self.registry.update(
            self,
            held_bytes,
            not is_busy and not written_bytes,
            self._sends_ahead(),
        )

    def _sends_ahead(self) -> bool:
        """Return whether requests wait for the answer to an earlier one."""
        if self.pipeline or self._next is not None:
            return True
        return self._is_reading_head and bool(self._unparsed)

    def _waiting_response_bytes(self) -> int:
        """Return how much of a response may wait in the application.

        It counts as one part, although the window is four.
        """
        cycle = self._running
        if cycle is None:
            return 0
        if cycle.chunked_encoding:
            return messages.MAX_PART_BYTES
        return min(messages.MAX_PART_BYTES, cycle.expected_content_length)

    def _release(self) -> None:
        """Break the reference cycles of a closed connection.

        Otherwise its memory would be freed only by the next collection of
        the oldest generation, after many more connections.
        """
        # uvicorn keeps the timer if the client has reset the connection.
        self._unset_keepalive_if_required()
        self.registry.turns.discard(self._parse_turn)
        self.registry.turns.discard(self._start_next)
        self.cycle = self._running = None
        self.flow.release()
        # The transport of asyncio refers to a method of its own.
        with contextlib.suppress(AttributeError):
            self.transport._read_ready_cb = None

    def _drop_received(self) -> None:
        self._stop_head_timer()
        self._is_ended = True
        self._unparsed = b''
        self._parsed_bytes = 0
        self._next = None
        self.pipeline.clear()
        self._drop_head()
