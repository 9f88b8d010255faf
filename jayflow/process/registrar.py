"""Keep the node's own object in the platform as it should be."""

from collections.abc import Callable
import random

import anyio

from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow import logs


class Registrar:
    """Keep the node's own member object as it should be."""

    def __init__(
        self,
        platform: api.Platform,
        key: str,
        wanted: Callable[[], members.Member | None],
        rng: random.Random,
        max_pause_s: float = api.BACKOFF_MAX_S,
    ) -> None:
        self._platform = platform
        self._key = key
        self._wanted = wanted
        self._rng = rng
        self._max_pause_s = max_pause_s
        self._changed = anyio.Event()
        self._settled = anyio.Event()
        self._held: api.Entry | None = None
        self._is_known = False
        self._log = logs.get(logs.Part.MEMBERS)

    def notify(self) -> None:
        """Say that the wanted object may have changed."""
        self._changed.set()

    def lose(self) -> None:
        """Say that the object is missing from the platform."""
        if self._held is not None:
            self._is_known = False
            self.notify()

    async def run(self) -> None:
        """Write the wanted object whenever it changes."""
        while True:
            self._changed = anyio.Event()
            await self.write()
            if not self._changed.is_set():
                self._settled.set()
            await self._changed.wait()

    async def settle(self, limit_s: float) -> bool:
        """Return whether the platform holds what is wanted now, in time."""
        self._settled = anyio.Event()
        self.notify()
        with anyio.move_on_after(limit_s):
            await self._settled.wait()
            return True
        return False

    async def write(self) -> None:
        """Write until the platform holds what is wanted now."""
        failures = 0
        while True:
            try:
                if await self._is_written():
                    return
            except api.PlatformError as exc:
                self._is_known = False
                failures += 1
                if failures == 1:
                    self._log.warning('Member is not written.', error=str(exc))
                await anyio.sleep(
                    api.backoff_s(failures, self._rng, self._max_pause_s)
                )

    async def _is_written(self) -> bool:
        if not self._is_known:
            self._held = await self._platform.get(self._key)
            self._is_known = True
        wanted = self._wanted()
        held = self._held.revision if self._held else api.ABSENT
        if wanted is None:
            if self._held is not None:
                await self._platform.delete(self._key, held)
                self._held = None
            return True
        value = wanted.encode()
        if self._held is None or self._held.value != value:
            revision = await self._platform.put(self._key, value, held)
            self._held = api.Entry(self._key, value, revision)
        return True
