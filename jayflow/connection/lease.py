"""Hold a time-limited lease on one of a few seats in the platform.

Each seat carries a share of the budget of a link between regions. The
holder may use a seat only until its lease expires on the holder's own
monotonic clock, counted from before the request was sent. Another node
takes a seat over only after it has observed the same revision for the
lease duration plus a margin on its own clock. So two nodes never use one
seat at once, even with paused processes and lost or late messages, and
clocks of different hosts are never compared.
"""

from collections.abc import Callable
import contextlib
import random
import time

import msgspec

from jayflow.connection import messages
from jayflow.connection import platform as api

LEASE_DURATION_S = 60.0
RENEW_INTERVAL_S = 20.0
EXPIRY_MARGIN_S = 2.0
MAX_ACQUIRE_DELAY_S = 120.0
KEY_PREFIX = 'seats/'


class Seat(msgspec.Struct, frozen=True, array_like=True):
    """Record which node holds a seat.

    `term` is the fencing token; it rises with each write to the seat.
    """

    node: messages.NodeId
    incarnation: messages.Incarnation
    term: int


class RevisionTracker:
    """Track since when each seat has had the same revision."""

    def __init__(self) -> None:
        self._seen_since: dict[str, tuple[api.Revision, float]] = {}

    def is_expired(self, entry: api.Entry, now: float) -> bool:
        """Return whether no node can still be using the seat."""
        revision, since = self._seen_since.get(entry.key, (None, now))
        if revision != entry.revision:
            self._seen_since[entry.key] = (entry.revision, now)
            return False
        return now - since > LEASE_DURATION_S + EXPIRY_MARGIN_S


class SeatLease:
    """Acquire a seat of a group and renew its lease until released."""

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
        self._tracker = RevisionTracker()
        self._held_entry: api.Entry | None = None
        self._held_until = 0.0
        self._next_acquire_at = 0.0
        self.group = ''
        self.seat_count = 0

    def is_held(self, now: float) -> bool:
        """Return whether the seat may be used now."""
        return now < self._held_until

    def configure(self, group: str, seat_count: int) -> None:
        """Set the group of seats and their number.

        Stops using the held seat when the group changes or shrinks.
        """
        if group != self.group or seat_count < self.seat_count:
            self._held_entry, self._held_until = None, 0.0
            self._next_acquire_at = 0.0
        self.group, self.seat_count = group, seat_count

    async def acquire_or_renew(self) -> None:
        """Acquire a seat, or renew the lease on it when that is due."""
        now = self._clock()
        is_early = now < self._held_until - LEASE_DURATION_S + RENEW_INTERVAL_S
        if not self.group or is_early or now < self._next_acquire_at:
            return
        try:
            if self._held_entry is not None and self.is_held(now):
                await self._write(self._held_entry.key, self._held_entry)
            else:
                self._held_entry = None
                await self._acquire()
        except api.ConflictError:
            self._held_entry, self._held_until = None, 0.0
        except api.PlatformError:
            return

    async def release(self) -> None:
        """Stop using the seat, then delete its lease from the platform."""
        entry, self._held_entry, self._held_until = self._held_entry, None, 0.0
        if entry is not None:
            with contextlib.suppress(api.PlatformError):
                await self._platform.delete(entry.key, entry.revision)

    async def _acquire(self) -> None:
        prefix = f'{KEY_PREFIX}{self.group}/'
        listing = await self._platform.list(prefix)
        by_key = {entry.key: entry for entry in listing.entries}
        keys = [f'{prefix}{number:04d}' for number in range(self.seat_count)]
        self._rng.shuffle(keys)
        now = self._clock()
        free = [
            key
            for key in keys
            if key not in by_key
            or self._is_own(by_key[key])
            or self._tracker.is_expired(by_key[key], now)
        ]
        if free:
            await self._write(free[0], by_key.get(free[0]))
        else:
            self._next_acquire_at = (
                now + self._rng.uniform(0.5, 1.0) * MAX_ACQUIRE_DELAY_S
            )

    async def _write(self, key: str, previous: api.Entry | None) -> None:
        fencing_token = 1
        expected = api.ABSENT
        if previous is not None:
            fencing_token = (
                msgspec.msgpack.decode(previous.value, type=Seat).term + 1
            )
            expected = previous.revision
        seat = Seat(self._node, self._incarnation, fencing_token)
        value = msgspec.msgpack.encode(seat)
        requested_at = self._clock()
        try:
            revision = await self._platform.put(key, value, expected)
        except api.AmbiguousError:
            entry = await self._platform.get(key)
            if entry is None or entry.value != value:
                raise
            revision = entry.revision
        self._held_entry = api.Entry(key, value, revision)
        self._held_until = requested_at + LEASE_DURATION_S

    def _is_own(self, entry: api.Entry) -> bool:
        seat = msgspec.msgpack.decode(entry.value, type=Seat)
        return seat.incarnation == self._incarnation
