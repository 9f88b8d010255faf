"""Hold one of a few seats in the platform for a term.

A seat may be used only until its term ends on the holder's own monotonic
clock, counted from before its request was sent. Another node takes a
seat only after it saw the same revision for a whole term and a margin on
its own clock. So two nodes never use one seat at once, whatever is
paused, lost or late, and no clocks are compared.
"""

from collections.abc import Callable
import contextlib
import random
import time

import msgspec

from jayflow.connection import messages
from jayflow.connection import platform as api

TERM_S = 60.0
RENEW_S = 20.0
MARGIN_S = 2.0
LOOK_S = 120.0
PREFIX = 'seats/'


class Seat(msgspec.Struct, frozen=True, array_like=True):
    """Name a seat's holder; the term rises with each and fences it."""

    node: messages.NodeId
    incarnation: messages.Incarnation
    term: int


class Sightings:
    """Remember since when each seat has shown the same revision."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[api.Revision, float]] = {}

    def is_free(self, entry: api.Entry, now: float) -> bool:
        """Return whether a seat's holder can't be using it any more."""
        revision, since = self._seen.get(entry.key, (None, now))
        if revision != entry.revision:
            self._seen[entry.key] = (entry.revision, now)
            return False
        return now - since > TERM_S + MARGIN_S


class SeatHolder:
    """Take a seat of a group and renew it until it is released."""

    def __init__(
        self,
        platform: api.Platform,
        node: messages.NodeId,
        incarnation: messages.Incarnation,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._node = node
        self._incarnation = incarnation
        self._rng = rng
        self._clock = clock
        self._sightings = Sightings()
        self._held: api.Entry | None = None
        self._held_until = 0.0
        self._look_at = 0.0
        self.group = ''
        self.seats = 0

    def is_held(self, now: float) -> bool:
        """Return whether the seat may be used now."""
        return now < self._held_until

    def use(self, group: str, seats: int) -> None:
        """Set the group of seats; a seat of another group is dropped."""
        if group != self.group or seats < self.seats:
            self._held, self._held_until = None, 0.0
            self._look_at = 0.0
        self.group, self.seats = group, seats

    async def step(self) -> None:
        """Take a seat, or renew it when that is due."""
        now = self._clock()
        is_early = now < self._held_until - TERM_S + RENEW_S
        if not self.group or is_early or now < self._look_at:
            return
        try:
            if self._held is not None and self.is_held(now):
                await self._write(self._held.key, self._held)
            else:
                self._held = None
                await self._take()
        except api.ConflictError:
            self._held, self._held_until = None, 0.0
        except api.PlatformError:
            return

    async def release(self) -> None:
        """Stop using the seat, then give it back."""
        held, self._held, self._held_until = self._held, None, 0.0
        if held is not None:
            with contextlib.suppress(api.PlatformError):
                await self._platform.delete(held.key, held.revision)

    async def _take(self) -> None:
        prefix = f'{PREFIX}{self.group}/'
        listing = await self._platform.list(prefix)
        by_key = {entry.key: entry for entry in listing.entries}
        keys = [f'{prefix}{number:04d}' for number in range(self.seats)]
        self._rng.shuffle(keys)
        now = self._clock()
        free = [
            key
            for key in keys
            if key not in by_key
            or self._is_own(by_key[key])
            or self._sightings.is_free(by_key[key], now)
        ]
        if free:
            await self._write(free[0], by_key.get(free[0]))
        else:
            self._look_at = now + self._rng.uniform(0.5, 1.0) * LOOK_S

    async def _write(self, key: str, before: api.Entry | None) -> None:
        term = 1
        held = api.ABSENT
        if before is not None:
            term = msgspec.msgpack.decode(before.value, type=Seat).term + 1
            held = before.revision
        seat = Seat(self._node, self._incarnation, term)
        value = msgspec.msgpack.encode(seat)
        asked_at = self._clock()
        try:
            revision = await self._platform.put(key, value, held)
        except api.AmbiguousError:
            entry = await self._platform.get(key)
            if entry is None or entry.value != value:
                raise
            revision = entry.revision
        self._held = api.Entry(key, value, revision)
        self._held_until = asked_at + TERM_S

    def _is_own(self, entry: api.Entry) -> bool:
        seat = msgspec.msgpack.decode(entry.value, type=Seat)
        return seat.incarnation == self._incarnation
