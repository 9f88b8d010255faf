"""Notice peers that close a connection of which nothing is read.

The event loop watches a socket only while it reads from it or writes to it.
All sockets that it does not watch are polled in one call.
"""

import asyncio
from collections.abc import Callable
import select

# A client that leaves is to be noticed well within 0.5 s.
CHECK_INTERVAL_S = 0.1
# Also reports a peer that only ended its sending side, whatever waits to be
# read. Errors and resets are reported in any case, on systems without it too.
HANGUP_EVENTS = getattr(select, 'POLLRDHUP', 0)


class HangupWatch:
    """Call back when the peer of a registered socket closes it."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._callbacks)

    def add(self, descriptor: int, on_hangup: Callable[[], None]) -> None:
        """Call back once if the peer closes, until the socket is removed."""
        self._poll.register(descriptor, HANGUP_EVENTS)
        self._callbacks[descriptor] = on_hangup
        if self._timer is None:
            self._arm()

    def remove(self, descriptor: int) -> None:
        """Forget a socket, if it is registered, before it is closed."""
        if self._callbacks.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def _arm(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check
        )

    def _check(self) -> None:
        self._timer = None
        for descriptor, _ in self._poll.poll(0):
            # A callback may have removed other sockets.
            on_hangup = self._callbacks.get(descriptor)
            if on_hangup is not None:
                self.remove(descriptor)
                on_hangup()
        if self._callbacks and self._timer is None:
            self._arm()
