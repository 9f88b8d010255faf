"""Run coroutines on an event loop with virtual time.

Instead of waiting for a timer, the loop sets its clock forward to it; only
this and the duration set for each iteration make time pass. Connections
are socket pairs within the process, which transfer bytes immediately, so a
run depends only on its random seeds and not on the load of the machine.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import selectors
import socket
from typing import Any
import unittest
from unittest import mock

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advance a virtual clock to the next timer instead of waiting."""

    def __init__(self, iteration_s: Callable[[], float]) -> None:
        super().__init__()
        self.now = 0.0
        self._iteration_s = iteration_s

    def select(self, timeout: float | None = None) -> list:
        """Return ready events; if there are none, advance by the timeout."""
        self.now += self._iteration_s()
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError(
                'deadlock: no event is ready and no timer is set'
            )
        if not events:
            self.now += max(0.0, timeout)
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run on virtual time; connect to handlers within the process."""

    def __init__(self, iteration_s: Callable[[], float] = float) -> None:
        """Take a function that returns an iteration's duration in seconds.

        By default iterations take no time, as float() is 0.0.
        """
        self._virtual_selector = _VirtualTimeSelector(iteration_s)
        super().__init__(self._virtual_selector)
        self._handlers: dict[int, Handler] = {}
        self._handler_tasks: set[asyncio.Task] = set()

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def serve_port(self, port: int, handler: Handler) -> None:
        """Handle connections to a port with a coroutine function."""
        self._handlers[port] = handler

    async def create_connection(
        self, protocol_factory, host=None, port=None, *, sock=None, **kwargs
    ):
        """Connect to the handler of a port, or use the socket if set."""
        if sock is None:
            if port not in self._handlers:
                raise ConnectionRefusedError(port)
            sock, handler_sock = socket.socketpair()
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=handler_sock)
            task = self.create_task(self._handlers[port](reader, writer))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)
        return await super().create_connection(
            protocol_factory, sock=sock, **kwargs
        )


class VirtualTimeTestCase(unittest.TestCase):
    """Run the coroutines of tests on a new loop with virtual time."""

    def run_virtual(
        self,
        main: Callable[[VirtualTimeLoop], Coroutine],
        iteration_s: Callable[[], float] = float,
    ) -> Any:
        """Run main(loop) and return its result."""
        loop = VirtualTimeLoop(iteration_s)
        with (
            mock.patch('time.monotonic', loop.time),
            asyncio.Runner(loop_factory=lambda: loop) as runner,
        ):
            return runner.run(main(loop))
