"""Estimate how long a caller has waited before it sent a request.

The load pattern: in overload, refused callers come back, and their latency
counts from their first request. Queued by the time of its arrival, such a
request takes a slot from one that can still keep its target, and both are
late. Callers send the time that they will still wait, which is the same for
all first requests of a route, so what is missing from it was spent waiting.
"""

import dataclasses

from jayflow.version import objects

# The longest time sent in this and the last period counts as that of a first
# request. So a route follows when its callers begin to wait for less.
PERIOD_S = 10.0
# Requests that state less than this share of the longest time were sent
# before, or by other callers.
FULL_TIME_SHARE = 0.98
# With fewer first requests than this, callers state times of their own, and
# nothing can be told from them. Callers that return twice leave a third.
MIN_FIRST_SHARE = 0.2
SHARE_SMOOTHING = 0.02


@dataclasses.dataclass
class _StatedTimes:
    """Hold the longest stated times of a route, in seconds."""

    period_ends_at: float
    longest_s: float = 0.0
    previous_longest_s: float = 0.0
    first_share: float = 1.0


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
            times.previous_longest_s = times.longest_s
            times.longest_s = 0.0
            times.period_ends_at = now + PERIOD_S
        times.longest_s = max(times.longest_s, stated_s)
        longest_s = max(times.longest_s, times.previous_longest_s)
        is_first = stated_s >= FULL_TIME_SHARE * longest_s
        times.first_share += SHARE_SMOOTHING * (is_first - times.first_share)
        if is_first or times.first_share < MIN_FIRST_SHARE:
            return 0.0
        return longest_s - stated_s
