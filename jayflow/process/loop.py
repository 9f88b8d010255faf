"""Run a coroutine on one event loop on one thread."""

from collections.abc import Awaitable
from collections.abc import Callable
import gc
import os

import anyio

GC_THRESHOLDS = (50_000, 20, 50)


def run(main: Callable[..., Awaitable], *args) -> None:
    """Run until the coroutine returns, with io_uring switched off."""
    os.environ['UV_USE_IO_URING'] = '0'
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    anyio.run(main, *args, backend_options={'use_uvloop': True})
