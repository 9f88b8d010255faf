"""Keep the quarantined requests that a node's member record names.

They are those whose last crash was one of the node's own server. Nodes that
start read all records, so that a fleet that restarts goes on refusing them.
"""

from collections.abc import Callable
from collections.abc import Iterable

from jayflow.connection import member as members
from jayflow.request.decisions import quarantine
from jayflow.version import objects

# Beyond it, the oldest is dropped.
MAX_QUARANTINED = 16


class QuarantineRecord:
    """Hold the newest quarantined requests, with Unix times of expiry."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._records: dict[str, members.QuarantinedRequest] = {}

    def current(self) -> tuple[members.QuarantinedRequest, ...]:
        """Return the requests that are still quarantined."""
        return tuple(
            record
            for record in self._records.values()
            if self.remaining_s(record) > 0
        )

    def remaining_s(self, record: members.QuarantinedRequest) -> float:
        """Return how long a request is still refused.

        Clocks may differ, so it is never longer than the default.
        """
        remaining_s = record.expires_ms / 1000 - self._wall_clock()
        return min(remaining_s, objects.DEFAULT_QUARANTINE_S)

    def add(
        self, digests: Iterable[quarantine.Fingerprint], remaining_ms: int
    ) -> bool:
        """Add requests that were just quarantined; return if one is new."""
        expires_ms = round(self._wall_clock() * 1000) + remaining_ms
        known = {record.fingerprint for record in self.current()}
        new = [digest for digest in digests if digest.hex() not in known]
        for digest in new:
            self.put(members.QuarantinedRequest(digest.hex(), expires_ms))
        return bool(new)

    def put(self, record: members.QuarantinedRequest) -> None:
        """Keep a request; drop the oldest one beyond MAX_QUARANTINED."""
        self._records.pop(record.fingerprint, None)
        self._records[record.fingerprint] = record
        if len(self._records) > MAX_QUARANTINED:
            del self._records[next(iter(self._records))]


def fingerprint_of(
    record: members.QuarantinedRequest,
) -> quarantine.Fingerprint:
    """Return the fingerprint that a record names."""
    return quarantine.Fingerprint(bytes.fromhex(record.fingerprint))
