"""Claim idempotency keys in the platform, many in one write.

Claims that arrive while a write is under way go together into the next
one. A lost answer is resolved by reading the segment back.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import time

import anyio
import msgspec

from jayflow.connection import platform as api
from jayflow import metrics as counting
from jayflow.request import claims
from jayflow.version import objects

MAX_ROUNDS = 20
ROUND_PAUSE_S = 0.05


class ClaimState(enum.Enum):
    """Say how a wish for a claim ended."""

    CLAIMED = 'claimed'
    HELD = 'held'
    UNCLAIMED = 'unclaimed'


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Hold the end of a wish, and the claim that holds the key if any."""

    state: ClaimState
    held: claims.Claim | None = None


_UNCLAIMED = ClaimResult(ClaimState.UNCLAIMED)


class _Range:
    """Hold the known segments of one range and the wishes that wait."""

    def __init__(self, prefix: str, retention_s: float) -> None:
        self.prefix = prefix
        self.retention_s = retention_s
        self.first = 0
        self.segments: list[claims.Segment] = []
        self.revisions: list[api.Revision] = []
        self.is_loaded = False
        self.seen_at = 0.0
        self.waiting: list[tuple[claims.Wanted, asyncio.Future]] = []
        self.is_busy = False

    def load(self, entries: list[api.Entry], now: float) -> None:
        """Take the segments that the platform holds."""
        numbers = [
            int(entry.key.removeprefix(self.prefix)) for entry in entries
        ]
        count = len(self.segments)
        self.segments = [
            claims.Segment.decode(entry.value) for entry in entries
        ]
        self.revisions = [entry.revision for entry in entries]
        self.first = numbers[0] if numbers else self.first
        if not self.segments or self.segments[-1].sealed:
            self.open_next()
        if not self.is_loaded or len(self.segments) != count:
            self.seen_at = now
        self.is_loaded = True

    def open_next(self) -> None:
        """Begin a segment that the platform does not hold yet."""
        self.segments.append(claims.Segment())
        self.revisions.append(api.ABSENT)

    @property
    def current_key(self) -> str:
        """Return the platform key of the current segment."""
        number = self.first + len(self.segments) - 1
        return claims.segment_key(self.prefix, number)


class Claimer:
    """Claim keys for the requests that enter at one node."""

    def __init__(
        self,
        platform: api.Platform,
        metrics: counting.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._metrics = metrics
        self._clock = clock
        self._ranges: dict[str, _Range] = {}
        self._tasks: set[asyncio.Task] = set()

    async def claim(
        self,
        service: objects.ServiceName,
        wanted: claims.Wanted,
        retention_s: float,
        limit_s: float,
    ) -> ClaimResult:
        """Return whether the claim is held now, within a time limit.

        A wish whose time is over can still take effect later; its caller
        must answer for its claim as not run.
        """
        number = claims.range_of(wanted.digest)
        prefix = claims.range_prefix(service, number)
        each = self._ranges.get(prefix)
        if each is None:
            each = self._ranges[prefix] = _Range(prefix, retention_s)
        each.retention_s = retention_s
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        each.waiting.append((wanted, fut))
        if not each.is_busy:
            each.is_busy = True
            task = loop.create_task(self._commit_all(each))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with anyio.move_on_after(limit_s):
            return await fut
        return _UNCLAIMED

    async def _commit_all(self, each: _Range) -> None:
        try:
            while each.waiting:
                batch, each.waiting = each.waiting, []
                live = [(want, fut) for want, fut in batch if not fut.done()]
                await self._commit(each, live)
        finally:
            each.is_busy = False

    async def _commit(self, each: _Range, batch: list) -> None:
        for _ in range(MAX_ROUNDS):
            try:
                if not each.is_loaded:
                    listing = await self._platform.list(each.prefix)
                    each.load(listing.entries, self._clock())
                batch = await self._commit_once(each, batch)
                if not batch:
                    await self._turn_over(each)
                    return
            except api.ConflictError:
                self._metrics.event(counting.Event.KEY_CONFLICT)
                each.is_loaded = False
            except (api.PlatformError, msgspec.DecodeError):
                each.is_loaded = False
                batch = [(want, fut) for want, fut in batch if not fut.done()]
                if not batch:
                    return
                await anyio.sleep(ROUND_PAUSE_S)
        for _, fut in batch:
            _settle(fut, _UNCLAIMED)

    async def _commit_once(self, each: _Range, batch: list) -> list:
        """Settle what the known segments decide and write the rest."""
        added: dict[claims.KeyDigest, claims.Claim] = {}
        written = []
        for want, fut in batch:
            held = claims.find(each.segments, want.digest)
            if held == want.claim:
                self._metrics.event(counting.Event.KEY_CLAIMED)
                _settle(fut, ClaimResult(ClaimState.CLAIMED, held))
            elif not claims.is_free(each.segments, want):
                _settle(fut, ClaimResult(ClaimState.HELD, held))
            elif want.digest in added:
                written.append((want, fut))
            else:
                added[want.digest] = want.claim
                written.append((want, fut))
        if added:
            await self._write(each, each.segments[-1].with_claims(added))
        return written

    async def _write(self, each: _Range, segment: claims.Segment) -> None:
        each.revisions[-1] = await self._platform.put(
            each.current_key, segment.encode(), each.revisions[-1]
        )
        each.segments[-1] = segment

    async def _turn_over(self, each: _Range) -> None:
        """Seal a segment that is full or old and drop expired ones."""
        age_s = self._clock() - each.seen_at
        if not claims.is_due(each.segments[-1], age_s, each.retention_s):
            return
        await self._write(each, each.segments[-1].seal(age_s))
        each.open_next()
        each.seen_at = self._clock()
        for _ in range(claims.expired(each.segments, each.retention_s)):
            key = claims.segment_key(each.prefix, each.first)
            await self._platform.delete(key, each.revisions[0])
            each.first += 1
            del each.segments[0], each.revisions[0]


def _settle(fut: asyncio.Future, result: ClaimResult) -> None:
    if not fut.done():
        fut.set_result(result)
