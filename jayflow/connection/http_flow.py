"""Pause and resume the reading of a client connection."""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http import flow_control


class FlowControl(flow_control.FlowControl):
    """Read no more while the protocol must not receive more."""

    def __init__(
        self, transport: asyncio.Transport, is_held: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._is_held = is_held

    def resume_reading(self) -> None:
        """Resume unless the protocol holds the reading back."""
        if not self._is_held():
            super().resume_reading()

    def release(self) -> None:
        """Forget the protocol, which refers to this object."""
        self._is_held = _always


def _always() -> bool:
    return True
