"""Keep the connections of one node to its peers.

Connections are opened on first use, closed when idle and replaced when a
peer has gone silent.
"""

from collections.abc import Callable
import time

import zmq

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets

IDLE_CLOSE_S = 60.0


class PeerConnections:
    """Open one connection per peer and lane on first use."""

    def __init__(
        self,
        context: zmq.Context,
        incarnation: messages.Incarnation,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[sockets.PeerConnection], None],
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._on_data = on_data
        self._on_lost = on_lost
        self._connections: dict[
            tuple[str, messages.Lane], sockets.PeerConnection
        ] = {}
        self._used_at: dict[tuple[str, messages.Lane], float] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def connection_to(
        self, peer: members.Member, lane: messages.Lane
    ) -> sockets.PeerConnection:
        """Return the connection to a peer; it may still be connecting."""
        key = (peer.address, lane)
        conn = self._connections.get(key)
        if conn is None:
            routing_id = f'{self._incarnation:x}.{lane.value}'.encode()
            conn = sockets.PeerConnection(
                self._context,
                peer.address,
                sockets.RoutingId(routing_id),
                self._on_data,
                self._on_lost,
            )
            self._connections[key] = conn
        self._used_at[key] = time.monotonic()
        return conn

    def reset(self, peer: members.Member) -> None:
        """Close the connections to a silent peer and report them as lost."""
        for lane in messages.Lane:
            conn = self._connections.pop((peer.address, lane), None)
            self._used_at.pop((peer.address, lane), None)
            if conn is not None:
                conn.close()
                self._on_lost(conn)

    def close_idle(
        self, is_busy: Callable[[sockets.PeerConnection], bool]
    ) -> None:
        """Close the connections that were idle for `IDLE_CLOSE_S` seconds."""
        cutoff = time.monotonic() - IDLE_CLOSE_S
        for key, used_at in list(self._used_at.items()):
            if used_at < cutoff and not is_busy(self._connections[key]):
                self._connections.pop(key).close()
                del self._used_at[key]

    def close(self) -> None:
        """Close all connections."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()
        self._used_at.clear()
