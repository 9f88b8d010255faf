"""Run the one event loop of a process, on one thread.

Objects that exist at the start are excluded from garbage collection, and
collections run less often than with the interpreter's defaults.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import gc

import anyio

# Thresholds of the three generations, as for gc.set_threshold.
GC_THRESHOLDS = (50_000, 20, 50)


def run(main: Callable[..., Awaitable], *args) -> None:
    """Run a coroutine function on asyncio's own loop until it returns."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    anyio.run(main, *args)
