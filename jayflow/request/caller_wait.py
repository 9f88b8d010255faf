"""Estimate how long a caller has waited before it sent a request.

The load pattern: in overload, refused callers come back, and their latency
counts from their first request. Queued by the time of its arrival, such a
request takes a slot from one that can still keep its target, and both are
late. Callers send the time that they will still wait, which is the same for
all first requests of a route, so what is missing from it was spent waiting.
"""

import collections
import dataclasses

from jayflow.version import objects

# Times are counted for this long; so a route follows when its callers begin
# to wait for less.
PERIOD_S = 10.0
# Times that differ by less than this count as equal.
RESOLUTION_S = 0.01
# Callers that return twice leave a third of first requests. With fewer equal
# times than this, callers state times of their own, and nothing can be told
# from them.
MIN_FIRST_SHARE = 0.2
MIN_REQUESTS = 10
# Bounds the memory for a route whose callers state times of their own.
MAX_DISTINCT_TIMES = 256


@dataclasses.dataclass
class _StatedTimes:
    """Count the stated times of a route, in units of RESOLUTION_S."""

    period_ends_at: float
    counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    # The time of first requests, by the counts of the last period.
    full_time: int = 0


class CallerWaits:
    """Estimate the waits of callers from the times that they state."""

    def __init__(self) -> None:
        self._by_policy: dict[objects.PolicyName, _StatedTimes] = {}

    def waited_s(
        self, policy: objects.PolicyName, stated_s: float, now: float
    ) -> float:
        """Return how long the caller waited before, in seconds.

        stated_s is the time that it will still wait. Records it.
        """
        times = self._by_policy.get(policy)
        if times is None:
            times = self._by_policy[policy] = _StatedTimes(now + PERIOD_S)
        if now >= times.period_ends_at:
            times.full_time = _most_frequent(times.counts)
            times.counts.clear()
            times.period_ends_at = now + PERIOD_S
        stated = round(stated_s / RESOLUTION_S)
        if stated in times.counts or len(times.counts) < MAX_DISTINCT_TIMES:
            times.counts[stated] += 1
        full_time = _most_frequent(times.counts) or times.full_time
        return max(0, full_time - stated) * RESOLUTION_S


def _most_frequent(counts: collections.Counter[int]) -> int:
    """Return the time that most requests state, 0 if they differ too much."""
    total = counts.total()
    if total < MIN_REQUESTS:
        return 0
    time, count = counts.most_common(1)[0]
    return time if count >= MIN_FIRST_SHARE * total else 0
