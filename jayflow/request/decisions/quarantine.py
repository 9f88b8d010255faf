"""Decide which requests crash the backend servers that run them.

All requests that were running when a server crashed become suspects. The
cause is identified among them in one of two ways:

Exclusive runs: a suspect runs again only while no other request runs on its
server. If that server crashes, no other request can be the cause and the
suspect is quarantined; if the request ends, it is cleared.

Counted crashes: a suspect runs together with other requests, and is
quarantined after a number of crashes if it never ended without a crash in
between. This leaves the server's other slots in use, but takes some more
crashes. Crashes are counted for the request as it was sent, and for all
requests that share its path, caller and body: a request that comes again with
another query or over another route still crashes its server.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
import itertools
import math
from typing import NewType

from jayflow.connection import messages

Record = messages.CrashRecord
Fingerprint = NewType('Fingerprint', bytes)
FINGERPRINT_BYTES = 12
IDENTIFYING_BODY_BYTES = messages.MAX_PART_BYTES
MAX_FINGERPRINTS = 10_000
SUSPECT_TTL_S = 60.0


class QuarantineState(enum.Enum):
    """Describe how a node treats requests with a fingerprint."""

    FREE = 'free'
    SUSPECT = 'suspect'
    QUARANTINED = 'convicted'


@dataclasses.dataclass(frozen=True)
class _Record:
    state: QuarantineState
    expires_at: float
    crashes: int = 0
    counted_at: float = -math.inf


def fingerprint(
    service: str, method: str, target: bytes, body: bytes
) -> Fingerprint:
    """Return the digest that identifies a request on all nodes.

    Only IDENTIFYING_BODY_BYTES of the body count: how much of a longer one
    has arrived with its first part varies.
    """
    return _digest(b'', (service.encode(), method.encode(), target, body))


def path_fingerprint(
    host: bytes, target: bytes, caller: bytes, body: bytes
) -> Fingerprint:
    """Return the digest that requests with the same path have in common.

    The query, the method and the service are left out.
    """
    path = target.partition(b'?')[0]
    return _digest(b'path', (host.lower(), path, caller, body))


def _digest(
    kind: bytes, parts: tuple[bytes, bytes, bytes, bytes]
) -> Fingerprint:
    """Return the digest of three short parts and a body."""
    *short_parts, body = parts
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=kind)
    for part in (*short_parts, body[:IDENTIFYING_BODY_BYTES]):
        hasher.update(len(part).to_bytes(8, 'big'))
        hasher.update(part)
    return Fingerprint(hasher.digest())


class Quarantine:
    """Keep suspect and quarantined requests, each for a limited time."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}

    def state_of(self, digest: Fingerprint, now: float) -> QuarantineState:
        """Return the state of a request."""
        record = self._records.get(digest)
        if record is None or record.expires_at <= now:
            return QuarantineState.FREE
        return record.state

    def worst_state_of(
        self, digests: Iterable[Fingerprint], now: float
    ) -> QuarantineState:
        """Return the state of a request that has several fingerprints."""
        states = {self.state_of(digest, now) for digest in digests}
        for state in (QuarantineState.QUARANTINED, QuarantineState.SUSPECT):
            if state in states:
                return state
        return QuarantineState.FREE

    def mark_suspects(self, digests: list[Fingerprint], now: float) -> None:
        """Mark the requests that were running in a crash as suspects."""
        for digest in digests:
            if self.state_of(digest, now) is QuarantineState.FREE:
                self._put(
                    digest,
                    _Record(QuarantineState.SUSPECT, now + SUSPECT_TTL_S),
                )

    def count_crashes(
        self,
        digests: list[Fingerprint],
        now: float,
        max_crashes: int,
        quarantine_s: float,
        started_at: Mapping[Fingerprint, float] | None = None,
    ) -> None:
        """Count a crash of each request; quarantine it at max_crashes.

        Servers that end together say no more about a request than one of
        them: a crash counts only if the request started after the latest one
        that was counted.
        """
        for digest in digests:
            record = self._records.get(digest)
            if record is None or record.expires_at <= now:
                record = _Record(QuarantineState.FREE, now)
            started = (started_at or {}).get(digest, math.inf)
            if (
                record.state is QuarantineState.QUARANTINED
                or started < record.counted_at
            ):
                continue
            crashes = record.crashes + 1
            if crashes >= max_crashes:
                self.add(digest, now + quarantine_s)
                continue
            expires_at = now + SUSPECT_TTL_S
            self._put(
                digest,
                _Record(QuarantineState.SUSPECT, expires_at, crashes, now),
            )

    def add(self, digest: Fingerprint, until: float) -> None:
        """Quarantine a request that is known to crash servers."""
        self._put(digest, _Record(QuarantineState.QUARANTINED, until))

    def clear(self, digest: Fingerprint) -> bool:
        """Clear a suspect that ended without a crash; return if it was one."""
        record = self._records.get(digest)
        is_suspect = record and record.state is QuarantineState.SUSPECT
        if is_suspect:
            del self._records[digest]
        return bool(is_suspect)

    def describe(self, digest: Fingerprint) -> str:
        """Return the counted crashes of a suspect, or its state."""
        record = self._records.get(digest)
        if record is None:
            return QuarantineState.FREE.value
        if record.state is QuarantineState.SUSPECT and record.crashes:
            return str(record.crashes)
        return record.state.value

    def export(self, now: float, max_records: int) -> list[Record]:
        """Return the newest records, to be merged by another node."""
        newest = itertools.islice(reversed(self._records.items()), max_records)
        return [
            messages.CrashRecord(
                digest,
                record.state is QuarantineState.QUARANTINED,
                record.crashes,
                round((record.expires_at - now) * 1000),
            )
            for digest, record in newest
            if record.expires_at > now
        ]

    def merge(self, records: list[Record], now: float) -> None:
        """Add another node's records; the worse state of a request wins."""
        for row in records:
            digest = Fingerprint(row.fingerprint)
            expires_at = now + row.remaining_ms / 1000
            state = self.state_of(digest, now)
            if state is QuarantineState.QUARANTINED:
                continue
            known = (
                self._records.get(digest)
                if state is not (QuarantineState.FREE)
                else None
            )
            if row.is_quarantined:
                self.add(digest, expires_at)
            elif known is None or known.crashes < row.crashes:
                self._put(
                    digest,
                    _Record(QuarantineState.SUSPECT, expires_at, row.crashes),
                )

    def expire(self, now: float) -> None:
        """Drop the records that have expired."""
        self._records = {
            digest: record
            for digest, record in self._records.items()
            if record.expires_at > now
        }

    def count(self, state: QuarantineState, now: float) -> int:
        """Return how many requests are in a state."""
        return sum(
            self.state_of(digest, now) is state for digest in self._records
        )

    def _put(self, digest: Fingerprint, record: _Record) -> None:
        self._records.pop(digest, None)
        self._records[digest] = record
        if len(self._records) > MAX_FINGERPRINTS:
            del self._records[next(iter(self._records))]
