"""Carry messages between nodes over pyzmq sockets on the running loop.

Nothing here is reliable: a message can be lost, late or repeated, and
the callers treat that as normal. A send either hands the message to the
socket or raises LinkDownError, and then it was never sent.
"""

import asyncio
from collections.abc import Callable
from typing import NewType, Self

import zmq
from zmq.utils import monitor

from jayflow.connection import messages

RoutingId = NewType('RoutingId', bytes)

MAX_MESSAGE_BYTES = 1024 * 1024
HIGH_WATER_MESSAGES = 512
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 2500
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
MESSAGES_PER_TURN = 64


class LinkDownError(Exception):
    """Report a message that was never handed to the network."""


class LinkBudgetError(LinkDownError):
    """Report a message that the link's budget kept from being sent."""


class _Pump:
    """Read a socket whenever its descriptor signals."""

    def __init__(
        self, socket: zmq.Socket, on_frames: Callable[[list[bytes]], None]
    ) -> None:
        self.socket = socket
        self._on_frames = on_frames
        self._loop = asyncio.get_running_loop()
        self._fd = socket.getsockopt(zmq.FD)
        self._loop.add_reader(self._fd, self.drain)
        self._loop.call_soon(self.drain)

    def drain(self) -> None:
        """Hand over waiting messages; yield the loop after a while."""
        for _ in range(MESSAGES_PER_TURN):
            if not self._has_message():
                return
            self._on_frames(self.socket.recv_multipart(zmq.NOBLOCK))
        self._loop.call_soon(self.drain)

    def send(self, frames: list[bytes]) -> None:
        """Send without waiting; LinkDownError when not possible."""
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise LinkDownError(str(exc)) from exc
        finally:
            # The descriptor is edge-triggered: a send can eat its signal.
            if self._has_message():
                self._loop.call_soon(self.drain)

    def _has_message(self) -> bool:
        return not self.socket.closed and bool(
            self.socket.getsockopt(zmq.EVENTS) & zmq.POLLIN
        )

    def close(self) -> None:
        """Stop reading and close the socket."""
        if not self.socket.closed:
            self._loop.remove_reader(self._fd)
            self.socket.close(linger=0)


def _configure(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MESSAGES)
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
        _configure(socket)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        socket.bind(address)
        self._on_message = on_message
        self._pump = _Pump(socket, self._receive)

    def send(self, peer: RoutingId, message: messages.ToSender) -> None:
        """Send to a connected peer; LinkDownError for any other."""
        self._pump.send([peer, messages.encode(message)])

    def close(self) -> None:
        """Close the socket and drop what was not sent."""
        self._pump.close()

    def _receive(self, frames: list[bytes]) -> None:
        data = frames[1] if len(frames) == 2 else b''
        self._on_message(RoutingId(frames[0]), data)


class Link:
    """Send messages to one peer and receive its answers."""

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        routing_id: RoutingId,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[Self], None],
    ) -> None:
        socket = context.socket(zmq.DEALER)
        _configure(socket)
        socket.setsockopt(zmq.ROUTING_ID, routing_id)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
        watch = socket.get_monitor_socket(events)
        self.address = address
        self._on_data = on_data
        self._on_lost = on_lost
        self._pump = _Pump(socket, self._receive)
        self._events = _Pump(watch, self._receive_event)
        self._ready = asyncio.Event()
        self.lost_count = 0
        socket.connect(address)

    @property
    def carrier(self) -> Self:
        """Return the link itself."""
        return self

    @property
    def is_up(self) -> bool:
        """Return whether the link was connected when last heard."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until the link is connected."""
        await self._ready.wait()

    def send(self, message: messages.ToDoor) -> None:
        """Send without waiting; LinkDownError means never sent."""
        self._pump.send([messages.encode(message)])

    def close(self) -> None:
        """Close the link and drop what was not sent."""
        self._pump.socket.disable_monitor()
        self._events.close()
        self._pump.close()

    def _receive(self, frames: list[bytes]) -> None:
        self._on_data(frames[-1])

    def _receive_event(self, frames: list[bytes]) -> None:
        event = monitor.parse_monitor_message(frames)['event']
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self._ready.set()
        elif event == zmq.EVENT_DISCONNECTED:
            self._ready.clear()
            self.lost_count += 1
            self._on_lost(self)
