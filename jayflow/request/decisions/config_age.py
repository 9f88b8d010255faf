"""Bound the age of the configuration that a node decides by.

A revoked key must stop working within a bound after the store acknowledged
the version without it. A node therefore keeps a time at which no version
above its own existed. Times are seconds of one clock that counts suspension.
"""

from collections.abc import Iterable
import dataclasses
import math

from jayflow.version import snapshot

# Part of the bound after which requests are refused. The rest covers the
# difference between the rates of the clocks of two hosts.
FRESH_SHARE = 0.95
# A node whose own age is below this queries no peer.
QUERY_AGE_S = 1.0
# A peer whose last answer was older than this is queried after the others.
USEFUL_AGE_S = 1.5
# Above this age, an unknown key may belong to a version that the node does not
# hold yet.
OVERDUE_AGE_S = 2.5
# Above this age, a node reads the version from the store itself.
READ_AGE_S = 3.2
# How long a peer that did not answer is not queried.
SILENT_PEER_S = 2.0


class ConfigAge:
    """Hold when a version was last known to be the newest in the store."""

    def __init__(self, max_age_s: float | None) -> None:
        self._max_age_s = math.inf if max_age_s is None else max_age_s
        self._version = snapshot.NO_VERSION
        self._confirmed_at = -math.inf

    def record_confirmed(self, version: int, at: float) -> None:
        """Record that a version was the newest in the store at a time."""
        if version == self._version:
            self._confirmed_at = max(self._confirmed_at, at)
        elif version > self._version:
            self._version, self._confirmed_at = version, at

    def age_s(self, version: int, now: float) -> float:
        """Return for how long a higher version may have existed.

        A version above the confirmed one was published after that was
        confirmed, so it is at most as old.
        """
        if version == snapshot.NO_VERSION or version < self._version:
            return math.inf
        return now - self._confirmed_at

    def is_fresh(self, version: int, now: float) -> bool:
        """Return whether requests with a key may run by a version."""
        if math.isinf(self._max_age_s):
            return True
        return self.age_s(version, now) <= FRESH_SHARE * self._max_age_s


@dataclasses.dataclass
class Source:
    """Hold what is known of a peer as a source of the age.

    The age is that of its last answer, None if it is not known.
    """

    is_in_region: bool
    age_s: float | None = None
    queried_at: float = -math.inf
    skipped_until: float = -math.inf

    def record_answer(self, age_s: float) -> None:
        """Record an age, infinite if the answer gave no information."""
        self.age_s = age_s

    def record_silence(self, now: float) -> None:
        """Skip the peer for a time, then treat it as never queried."""
        self.age_s = None
        self.skipped_until = now + SILENT_PEER_S

    def _rank(self) -> tuple:
        """Return the place in the order of the queries.

        Peers that know nothing take turns.
        """
        if self.age_s is None:
            return (not self.is_in_region, 1, 0.0, self.queried_at)
        if self.age_s <= USEFUL_AGE_S:
            return (not self.is_in_region, 0, self.age_s, self.queried_at)
        return (True, 2, self.age_s, self.queried_at)


def choose_source(sources: Iterable[Source], now: float) -> Source | None:
    """Return the peer to query, None if all are skipped."""
    available = [source for source in sources if source.skipped_until <= now]
    return min(available, key=Source._rank, default=None)
