"""Exchange messages between nodes over pyzmq sockets.

Delivery is not reliable: messages can be lost, late or repeated, and the
callers have to handle that. A send either hands the message to the
socket or raises NotSentError, which means that it was never sent. The
sockets are read on the running event loop.
"""

import asyncio
from collections.abc import Callable
import math
import time
from typing import NewType, Self

import zmq
from zmq.utils import monitor

from jayflow.connection import messages
from jayflow import logs

RoutingId = NewType('RoutingId', bytes)

MAX_MESSAGE_BYTES = 1024 * 1024
HIGH_WATER_MARK_MESSAGES = 512
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 2500
MIN_RECONNECT_MS = 50
MAX_RECONNECT_MS = 500
MAX_MESSAGES_PER_TURN = 64

_log = logs.get_logger(logs.Component.MEMBERS)


class NotSentError(Exception):
    """Report a message that was not sent."""


class LinkBudgetError(NotSentError):
    """Report a message that was not sent because of a link's budget."""


class _SocketReader:
    """Read a socket whenever its file descriptor becomes readable."""

    def __init__(
        self, socket: zmq.Socket, on_frames: Callable[[list[bytes]], None]
    ) -> None:
        self.socket = socket
        self._on_frames = on_frames
        self._loop = asyncio.get_running_loop()
        self._fd = socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self.read_waiting)
        self._loop.call_soon(self.read_waiting)

    def read_waiting(self) -> None:
        """Pass on waiting messages.

        Yields to the event loop after `MAX_MESSAGES_PER_TURN` messages.
        """
        for _ in range(MAX_MESSAGES_PER_TURN):
            if not self._has_message():
                return
            self._on_frames(self.socket.recv_multipart(zmq.NOBLOCK))
        self._loop.call_soon(self.read_waiting)

    def send(self, frames: list[bytes]) -> None:
        """Send without waiting; NotSentError if that is not possible."""
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise NotSentError(str(exc)) from exc
        finally:
            # The descriptor is edge-triggered: sending can consume the
            # event that signals waiting messages.
            if self._has_message():
                self._loop.call_soon(self.read_waiting)

    def _has_message(self) -> bool:
        return not self.socket.closed and bool(
            self.socket.getsockopt(zmq.EVENTS) & zmq.POLLIN
        )

    def close(self) -> None:
        """Stop reading and close the socket."""
        if not self.socket.closed:
            self._loop.remove_reader(self._fd)
            self.socket.close(linger=0)


def _set_common_options(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.LINGER, 0)


class Listener:
    """Receive messages from all peers on one bound socket."""

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        on_message: Callable[[RoutingId, bytes], None],
    ) -> None:
        socket = context.socket(zmq.ROUTER)
        _set_common_options(socket)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        socket.bind(address)
        self._on_message = on_message
        self._reader = _SocketReader(socket, self._receive)

    def send(self, peer: RoutingId, message: messages.PeerReply) -> None:
        """Send to a peer; NotSentError if it is not connected."""
        self._reader.send([peer, messages.encode(message)])

    def close(self) -> None:
        """Close the socket and discard unsent messages."""
        self._reader.close()

    def _receive(self, frames: list[bytes]) -> None:
        data = frames[1] if len(frames) == 2 else b''
        self._on_message(RoutingId(frames[0]), data)


class PeerConnection:
    """Hold a connection to one peer: send messages, receive replies."""

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        routing_id: RoutingId,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[Self], None],
    ) -> None:
        socket = context.socket(zmq.DEALER)
        _set_common_options(socket)
        socket.setsockopt(zmq.ROUTING_ID, routing_id)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        monitor_socket = socket.get_monitor_socket(events)
        self.address = address
        self._on_data = on_data
        self._on_lost = on_lost
        self._reader = _SocketReader(socket, self._receive)
        self._event_reader = _SocketReader(monitor_socket, self._receive_event)
        self._connected = asyncio.Event()
        self.disconnect_count = 0
        self.connected_at = -math.inf
        try:
            socket.connect(address)
        except zmq.ZMQError as exc:
            # The peer counts as one that is not reachable.
            _log.error(
                'Address of a peer is invalid.',
                address=address,
                error=str(exc),
            )

    @property
    def connection(self) -> Self:
        """Return the underlying peer connection, which is this object."""
        return self

    @property
    def is_connected(self) -> bool:
        """Return whether the last event reported a connection."""
        return self._connected.is_set()

    async def wait_connected(self) -> None:
        """Wait until the connection is established."""
        await self._connected.wait()

    def send(self, message: messages.PeerRequest) -> None:
        """Send without waiting; NotSentError means it was never sent."""
        self._reader.send([messages.encode(message)])

    def close(self) -> None:
        """Close the connection and discard unsent messages."""
        self._reader.socket.disable_monitor()
        self._event_reader.close()
        self._reader.close()

    def _receive(self, frames: list[bytes]) -> None:
        self._on_data(frames[-1])

    def _receive_event(self, frames: list[bytes]) -> None:
        event = monitor.parse_monitor_message(frames)['event']
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self._connected.set()
            self.connected_at = time.monotonic()
        elif event == zmq.EVENT_DISCONNECTED:
            self._connected.clear()
            self.disconnect_count += 1
            self._on_lost(self)
