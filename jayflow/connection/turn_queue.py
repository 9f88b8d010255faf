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
        self._waiting: collections.OrderedDict[Callable[[], None], None] = (
            collections.OrderedDict()
        )
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, callback: Callable[[], None]) -> None:
        """Call a callback in one of the next turns, once if it waits."""
        self._waiting[callback] = None
        self._schedule()

    def discard(self, callback: Callable[[], None]) -> None:
        """Forget a callback, if it waits."""
        self._waiting.pop(callback, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        callback, _ = self._waiting.popitem(last=False)
        try:
            callback()
        finally:
            self._schedule()
