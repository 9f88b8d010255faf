"""Run a coroutine on one event loop on one thread."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc

import anyio

GC_THRESHOLDS = (50_000, 20, 50)


def run(main: Callable[..., Awaitable], *args) -> None:
    """Run until the coroutine returns, on the standard library's loop."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    anyio.run(main, *args)
