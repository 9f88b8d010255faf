"""Decide which requests crash the backend servers that run them.

A crash makes suspects of all that ran in it. There are two ways to tell
the cause from those beside it. Alone: a suspect runs again only alone on
its server; if that crashes too, no other can have caused it, and if it
ends, it is cleared. By strikes: a suspect runs beside others, and is
convicted when a number of crashes came with no clean end between; this
costs no server its other slots, and some more crashes.
"""

import dataclasses
import enum
import hashlib
from typing import NewType

Fingerprint = NewType('Fingerprint', bytes)
FINGERPRINT_BYTES = 12
MAX_FINGERPRINTS = 10_000
SUSPICION_S = 60.0


class Standing(enum.Enum):
    """Say how a door treats a request."""

    FREE = 'free'
    SUSPECT = 'suspect'
    CONVICTED = 'convicted'


@dataclasses.dataclass(frozen=True)
class _Record:
    standing: Standing
    until: float
    strikes: int = 0


def fingerprint(
    service: str, method: str, target: bytes, body: bytes
) -> Fingerprint:
    """Return the digest that names a request in every node."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service.encode(), method.encode(), target, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return Fingerprint(digest.digest())


class Quarantine:
    """Hold the suspects and the convicted, each for a set time."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}

    def standing(self, each: Fingerprint, now: float) -> Standing:
        """Return how a request stands."""
        record = self._records.get(each)
        if record is None or record.until <= now:
            return Standing.FREE
        return record.standing

    def suspect(self, found: list[Fingerprint], now: float) -> None:
        """Record what ran in a crash together with others."""
        for each in found:
            if self.standing(each, now) is Standing.FREE:
                self._put(each, _Record(Standing.SUSPECT, now + SUSPICION_S))

    def strike(
        self,
        found: list[Fingerprint],
        now: float,
        most: int,
        convicted_s: float,
    ) -> None:
        """Count one more crash of each; convict at most strikes."""
        for each in found:
            record = self._records.get(each)
            strikes = 1
            if record is not None and record.until > now:
                strikes += record.strikes
            if strikes >= most:
                self.convict(each, now + convicted_s)
                continue
            until = now + SUSPICION_S
            self._put(each, _Record(Standing.SUSPECT, until, strikes))

    def convict(self, each: Fingerprint, until: float) -> None:
        """Record a request that crashed a server alone."""
        self._put(each, _Record(Standing.CONVICTED, until))

    def clear(self, each: Fingerprint) -> None:
        """Free a suspect that ended without a crash."""
        record = self._records.get(each)
        if record and record.standing is Standing.SUSPECT:
            del self._records[each]

    def expire(self, now: float) -> None:
        """Drop the records whose time is over."""
        self._records = {
            each: record
            for each, record in self._records.items()
            if record.until > now
        }

    def count(self, standing: Standing, now: float) -> int:
        """Return how many requests have a standing."""
        return sum(
            self.standing(each, now) is standing for each in self._records
        )

    def _put(self, each: Fingerprint, record: _Record) -> None:
        self._records.pop(each, None)
        self._records[each] = record
        if len(self._records) > MAX_FINGERPRINTS:
            del self._records[next(iter(self._records))]
