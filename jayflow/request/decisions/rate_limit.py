"""Limit the requests per second that start on a backend server.

A server in need names in its responses the rate that it takes from all nodes
together, and gets more than that while load is even across the fleet. As all
its requests pass through one executor, a token bucket there keeps the rate
without coordination between nodes. By Little's law the rate also bounds the
requests that run at once: with so few slots reported, senders choose other
servers before requests queue here.
"""

import dataclasses
import math

from jayflow.request.decisions import cold_limit

# Requests saved up while there were few, as a time at the limit. In any 4 s a
# server gets no more than 1.25 times what it takes; the users allow 1.5 times.
BURST_S = 1.0
# Times in service vary: with the slots of the mean alone, all of them would
# at times be in use although the limit allows another start.
SLOT_HEADROOM = 1.5
# A server that takes nothing still gets a request now and then, as only its
# responses tell when the limit ends.
MIN_REQUESTS_PER_S = 0.5
REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass
class StartCounts:
    """Count what a server got since the last report, by where it began."""

    own_node: int = 0
    other_nodes: int = 0
    polls: int = 0


class RateLimit:
    """Hold the limit of a server and the starts that it still allows.

    Times are monotonic seconds. The limit is infinite if the server names
    none. While the server is cold, its cold limit holds as well.
    """

    def __init__(self, cold: cold_limit.ColdLimit | None = None) -> None:
        self.cold = cold or cold_limit.ColdLimit()
        self.requests_per_s = math.inf
        self.counts = StartCounts()
        self._tokens = 0.0
        self._refilled_at = -math.inf
        self._reported_at = -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether the server names a limit."""
        return not math.isinf(self.requests_per_s)

    @property
    def is_binding(self) -> bool:
        """Return whether any limit is in force."""
        return self.is_limited or self.cold.is_binding

    def update(self, requests_per_s: float, now: float) -> bool:
        """Set the limit; return whether it changed.

        A new limit starts without saved-up starts, since a node that has
        just restarted has sent requests before it knows of one.
        """
        if requests_per_s == self.requests_per_s:
            return False
        if self.is_limited:
            self._refill(now)
        else:
            self._tokens, self._refilled_at = 0.0, now
        self.requests_per_s = requests_per_s
        self._tokens = min(self._tokens, self._burst())
        return True

    def wait_s(self, starts: int, now: float) -> float:
        """Return the time until so many starts are allowed."""
        cold_wait_s = self.cold.wait_s(starts, now)
        if not self.is_limited:
            return cold_wait_s
        self._refill(now)
        wait_s = max(0.0, starts - self._tokens) / self._rate()
        return max(wait_s, cold_wait_s)

    def take(self, now: float) -> None:
        """Record a start; wait_s() has said that it is allowed."""
        self.cold.take(now)
        if self.is_limited:
            self._refill(now)
            self._tokens -= 1

    def usable_slots(self, slots: int, mean_service_s: float) -> int:
        """Return how many of a server's slots the limit can fill."""
        rate = self._rate() if self.is_limited else math.inf
        if self.cold.is_binding:
            rate = min(rate, self.cold.rate)
        if math.isinf(rate) or not mean_service_s:
            return slots
        running = rate * mean_service_s
        return min(slots, max(1, math.ceil(SLOT_HEADROOM * running)))

    def take_counts(self, now: float) -> StartCounts | None:
        """Return and reset the counts if a report of them is due."""
        if not self.is_limited or now - self._reported_at < REPORT_INTERVAL_S:
            return None
        counts, self.counts = self.counts, StartCounts()
        self._reported_at = now
        return counts

    def _rate(self) -> float:
        return max(MIN_REQUESTS_PER_S, self.requests_per_s)

    def _burst(self) -> float:
        return max(1.0, BURST_S * self._rate())

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self._rate()
        self._tokens = min(self._burst(), self._tokens + added)
        self._refilled_at = now
