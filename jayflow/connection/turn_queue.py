"""Start requests that were sent ahead one per turn of the event loop.

A client that sends many requests at once would otherwise have as many turns
as it has connections, and ordinary callers would wait for all of them.
"""

import asyncio
import collections
from collections.abc import Callable


class TurnQueue:
    """Call the waiting callbacks in order, one per turn of the loop."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def add(self, callback: Callable[[], None]) -> None:
        """Call a callback in one of the next turns."""
        self._waiting.append(callback)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        callback = self._waiting[0]
        try:
            callback()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._run_next)
