"""Write claims of idempotency keys to the platform in batches.

Claims that arrive during a write are sent together in the next one. When
the platform's response to a write is lost, the segments are read back to see
whether the claims were stored.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import time

import anyio
import msgspec

from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.request import claim_segments
from jayflow.version import objects

MAX_COMMIT_TRIES = 20
COMMIT_RETRY_DELAY_S = 0.05


class ClaimState(enum.Enum):
    """Define the results of a request for a claim.

    CLAIMED means that the claim is stored, ALREADY_CLAIMED that another
    claim is stored for the key, and UNCONFIRMED that the result was not known
    in time or after MAX_COMMIT_TRIES.
    """

    CLAIMED = 'claimed'
    ALREADY_CLAIMED = 'held'
    UNCONFIRMED = 'unclaimed'


@dataclasses.dataclass(frozen=True)
class ClaimResult:
    """Hold the result, and the claim that is stored for the key if any."""

    state: ClaimState
    existing: claim_segments.Claim | None = None


_UNCONFIRMED = ClaimResult(ClaimState.UNCONFIRMED)


class _KeyRange:
    """Hold the known segments and the pending requests of one key range."""

    def __init__(self, prefix: str, retention_s: float) -> None:
        self.prefix = prefix
        self.retention_s = retention_s
        self.first_number = 0
        self.segments: list[claim_segments.Segment] = []
        self.revisions: list[api.Revision] = []
        self.is_loaded = False
        self.current_seen_at = 0.0
        self.pending: list[
            tuple[claim_segments.ClaimRequest, asyncio.Future]
        ] = []
        self.is_committing = False

    def load(self, entries: list[api.Entry], now: float) -> None:
        """Replace the known segments with those on the platform."""
        numbers = [
            int(entry.key.removeprefix(self.prefix)) for entry in entries
        ]
        previous_count = len(self.segments)
        self.segments = [
            claim_segments.Segment.decode(entry.value) for entry in entries
        ]
        self.revisions = [entry.revision for entry in entries]
        self.first_number = numbers[0] if numbers else self.first_number
        if not self.segments or self.segments[-1].sealed:
            self.append_empty()
        if not self.is_loaded or len(self.segments) != previous_count:
            self.current_seen_at = now
        self.is_loaded = True

    def append_empty(self) -> None:
        """Add a current segment that is not stored on the platform yet."""
        self.segments.append(claim_segments.Segment())
        self.revisions.append(api.ABSENT)

    @property
    def current_key(self) -> str:
        """Return the platform key of the current segment."""
        number = self.first_number + len(self.segments) - 1
        return claim_segments.segment_key(self.prefix, number)


class ClaimWriter:
    """Claim keys on the platform on behalf of one node."""

    def __init__(
        self,
        platform: api.Platform,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._metrics = metrics
        self._clock = clock
        self._key_ranges: dict[str, _KeyRange] = {}
        self._tasks: set[asyncio.Task] = set()

    async def claim(
        self,
        service: objects.ServiceName,
        request: claim_segments.ClaimRequest,
        retention_s: float,
        limit_s: float,
    ) -> ClaimResult:
        """Request a claim and return its result within a time limit.

        After a timeout the claim may still be stored; the caller must then
        report the claim's HTTP request as not run.
        """
        range_number = claim_segments.range_of(request.digest)
        prefix = claim_segments.range_prefix(service, range_number)
        key_range = self._key_ranges.get(prefix)
        if key_range is None:
            key_range = self._key_ranges[prefix] = _KeyRange(
                prefix, retention_s
            )
        key_range.retention_s = retention_s
        loop = asyncio.get_running_loop()
        fut = loop.create_future()
        key_range.pending.append((request, fut))
        if not key_range.is_committing:
            key_range.is_committing = True
            task = loop.create_task(self._commit_all(key_range))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with anyio.move_on_after(limit_s):
            return await fut
        return _UNCONFIRMED

    async def _commit_all(self, key_range: _KeyRange) -> None:
        try:
            while key_range.pending:
                batch, key_range.pending = key_range.pending, []
                active = [
                    (request, fut) for request, fut in batch if not fut.done()
                ]
                await self._commit(key_range, active)
        finally:
            key_range.is_committing = False

    async def _commit(self, key_range: _KeyRange, batch: list) -> None:
        for _ in range(MAX_COMMIT_TRIES):
            try:
                if not key_range.is_loaded:
                    listing = await self._platform.list(key_range.prefix)
                    key_range.load(listing.entries, self._clock())
                batch = await self._commit_once(key_range, batch)
                if not batch:
                    await self._rotate(key_range)
                    return
            except api.ConflictError:
                self._metrics.count_event(metrics_module.Event.KEY_CONFLICT)
                key_range.is_loaded = False
            except (api.PlatformError, msgspec.DecodeError):
                key_range.is_loaded = False
                batch = [
                    (request, fut) for request, fut in batch if not fut.done()
                ]
                if not batch:
                    return
                await anyio.sleep(COMMIT_RETRY_DELAY_S)
        for _, fut in batch:
            _resolve(fut, _UNCONFIRMED)

    async def _commit_once(self, key_range: _KeyRange, batch: list) -> list:
        """Resolve requests from the known segments and write the others.

        Returns the requests that are still unresolved. A second request for
        a key of the same batch is not written but resolved in the next try.
        """
        added: dict[claim_segments.KeyDigest, claim_segments.Claim] = {}
        unresolved = []
        for request, fut in batch:
            existing = claim_segments.find_claim(
                key_range.segments, request.digest
            )
            if existing == request.claim:
                self._metrics.count_event(metrics_module.Event.KEY_CLAIMED)
                _resolve(fut, ClaimResult(ClaimState.CLAIMED, existing))
            elif not claim_segments.may_claim(key_range.segments, request):
                _resolve(
                    fut, ClaimResult(ClaimState.ALREADY_CLAIMED, existing)
                )
            elif request.digest in added:
                unresolved.append((request, fut))
            else:
                added[request.digest] = request.claim
                unresolved.append((request, fut))
        if added:
            await self._write(
                key_range, key_range.segments[-1].with_claims(added)
            )
        return unresolved

    async def _write(
        self, key_range: _KeyRange, segment: claim_segments.Segment
    ) -> None:
        key_range.revisions[-1] = await self._platform.put(
            key_range.current_key, segment.encode(), key_range.revisions[-1]
        )
        key_range.segments[-1] = segment

    async def _rotate(self, key_range: _KeyRange) -> None:
        """Seal the current segment if full or old; delete expired ones."""
        age_s = self._clock() - key_range.current_seen_at
        if not claim_segments.should_seal(
            key_range.segments[-1], age_s, key_range.retention_s
        ):
            return
        await self._write(key_range, key_range.segments[-1].seal(age_s))
        key_range.append_empty()
        key_range.current_seen_at = self._clock()
        for _ in range(
            claim_segments.count_expired(
                key_range.segments, key_range.retention_s
            )
        ):
            key = claim_segments.segment_key(
                key_range.prefix, key_range.first_number
            )
            await self._platform.delete(key, key_range.revisions[0])
            key_range.first_number += 1
            del key_range.segments[0], key_range.revisions[0]


def _resolve(fut: asyncio.Future, result: ClaimResult) -> None:
    if not fut.done():
        fut.set_result(result)
