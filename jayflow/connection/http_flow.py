"""Pause and resume the reading of a client connection."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http import flow_control

from jayflow.connection import hangup_watch


class FlowControl(flow_control.FlowControl):
    """Read no more while the protocol must not receive more.

    The protocol is called if the client closes the connection meanwhile.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        is_held: Callable[[], bool],
        hangups: hangup_watch.HangupWatch,
        on_hangup: Callable[[], None],
    ) -> None:
        super().__init__(transport)
        self._is_held = is_held
        self._hangups = hangups
        self._on_hangup = on_hangup
        self._descriptor = transport.get_extra_info('socket').fileno()

    def pause_reading(self) -> None:
        """Pause, and watch the connection instead."""
        if not self.read_paused:
            super().pause_reading()
            self._hangups.add(self._descriptor, self._on_hangup)

    def resume_reading(self) -> None:
        """Resume unless the protocol holds the reading back."""
        if self.read_paused and not self._is_held():
            self._hangups.remove(self._descriptor)
            super().resume_reading()

    def release(self) -> None:
        """Forget the protocol, which refers to this object."""
        self._hangups.remove(self._descriptor)
        self.read_paused = True
        self._is_held = _always
        self._on_hangup = _ignore


def _always() -> bool:
    return True


def _ignore() -> None:
    pass
