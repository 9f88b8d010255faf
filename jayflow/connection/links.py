"""Keep the links of one node to the doors of its peers."""

from collections.abc import Callable
import time

import zmq

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets

IDLE_CLOSE_S = 60.0


class Links:
    """Open a link per peer and lane when it is first needed."""

    def __init__(
        self,
        context: zmq.Context,
        incarnation: messages.Incarnation,
        on_data: Callable[[bytes], None],
        on_lost: Callable[[sockets.Link], None],
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._on_data = on_data
        self._on_lost = on_lost
        self._links: dict[tuple[str, messages.Lane], sockets.Link] = {}
        self._used_at: dict[tuple[str, messages.Lane], float] = {}

    def __len__(self) -> int:
        return len(self._links)

    def to(self, peer: members.Member, lane: messages.Lane) -> sockets.Link:
        """Return the link to a peer, which may still be connecting."""
        key = (peer.address, lane)
        link = self._links.get(key)
        if link is None:
            routing_id = f'{self._incarnation:x}.{lane.value}'.encode()
            link = sockets.Link(
                self._context,
                peer.address,
                sockets.RoutingId(routing_id),
                self._on_data,
                self._on_lost,
            )
            self._links[key] = link
        self._used_at[key] = time.monotonic()
        return link

    def reset(self, peer: members.Member) -> None:
        """Drop the links to a peer that has gone silent."""
        for lane in messages.Lane:
            link = self._links.pop((peer.address, lane), None)
            self._used_at.pop((peer.address, lane), None)
            if link is not None:
                link.close()
                self._on_lost(link)

    def close_idle(self, is_busy: Callable[[sockets.Link], bool]) -> None:
        """Close the links that nothing has used for a while."""
        limit = time.monotonic() - IDLE_CLOSE_S
        for key, used_at in list(self._used_at.items()):
            if used_at < limit and not is_busy(self._links[key]):
                self._links.pop(key).close()
                del self._used_at[key]

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._used_at.clear()
