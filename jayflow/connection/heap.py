"""Return freed memory to the operating system.

Answers crowds of clients that come and go: what their connections held is
freed in pieces all over the heap, which the allocator keeps for itself.
"""

import functools
import math

from jayflow import logs

MB = 1024 * 1024
# A trim stops the event loop for some ms; a smaller fall is not worth it.
MIN_FALL_BYTES = 8 * MB
# The least time between two trims.
MIN_INTERVAL_S = 10.0

_log = logs.get_logger(logs.Component.CLIENTS)


class TrimSchedule:
    """Decide when to trim from the bytes that connections hold."""

    def __init__(self) -> None:
        self._peak_bytes = 0
        self._next_at = -math.inf

    def record(self, held_bytes: int) -> None:
        """Record what is held after it has grown."""
        self._peak_bytes = max(self._peak_bytes, held_bytes)

    def is_pending(self, held_bytes: int) -> bool:
        """Return whether enough was freed since the last trim."""
        return self._peak_bytes - held_bytes >= MIN_FALL_BYTES

    def is_due(self, held_bytes: int, now: float) -> bool:
        """Return whether to trim now; if so, wait for the interval again."""
        if not self.is_pending(held_bytes) or now < self._next_at:
            return False
        self._peak_bytes = held_bytes
        self._next_at = now + MIN_INTERVAL_S
        return True


def trim() -> None:
    """Return freed memory, if the allocator has a call for it."""
    malloc_trim = _find_malloc_trim()
    if malloc_trim is not None:
        malloc_trim(0)


@functools.cache
def _find_malloc_trim():
    # Most nodes never trim, and the module takes memory.
    try:
        import ctypes

        return getattr(ctypes.CDLL(None), 'malloc_trim', None)
    except (ImportError, OSError, MemoryError) as exc:
        _log.warning('Freed memory is not returned.', error=repr(exc))
        return None
