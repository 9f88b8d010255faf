"""Read the clock that goes on while the host is suspended."""

import time


def now() -> float:
    """Return the seconds since the host started.

    time.monotonic() does not count the time in which a host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
