"""Limit the requests per second that start on a cold server.

A server that is cold takes few requests, and crashes if it gets many more. It
may turn cold while it serves its usual load, so the starts of a warm server
are counted as well: they put the token bucket into debt.
"""

import math

# The server must get at most 1.5 times its rate and 8 requests in any second.
# Starts are bounded to 1.25 times the rate and 4: the rest is for requests
# that are late on their way to the server and arrive with the next ones.
BURST_S = 0.25
BURST_STARTS = 4.0
# The largest debt, as a time at the rate: after it no request of the second
# before is in one second with the next start.
MAX_DEBT_S = 1.0


class ColdLimit:
    """Hold until when a server is cold, and the starts that it allows.

    Times are monotonic seconds. A rate of 0 means no limit. Until the server
    says how long it is cold, it counts as cold if it has a rate.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        # Whether the limit was in force at the last check of the time.
        self.is_binding = False
        self._cold_until = math.inf
        self.is_stated = False
        # Empty at first, as the node's last process may have used it up.
        self._tokens = 0.0
        self._refilled_at = -math.inf
        self._started_at = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        is_cold = now < self._cold_until if self.is_stated else self.rate > 0
        self.is_binding = is_cold and self.rate > 0
        return is_cold

    def remaining_s(self, now: float) -> float:
        """Return how long the server is cold, infinity if it has not said."""
        return max(0.0, self._cold_until - now) if self.is_cold(now) else 0.0

    def observe(self, cold_s: float, now: float) -> None:
        """Record that the server is cold for so long; infinity: not known."""
        self.is_stated = math.isfinite(cold_s)
        self._cold_until = now + cold_s

    def set_rate(self, rate: float, now: float) -> None:
        """Set the requests per second that the server takes while cold."""
        if rate == self.rate:
            return
        if self.rate:
            self._refill(now)
            # The debt has a limit, so it may stand for more starts than it
            # says. A higher rate must not pay it off earlier.
            if self._tokens < 1:
                wait_s = (1 - self._tokens) / self.rate
                self._tokens = min(self._tokens, 1 - wait_s * rate)
        else:
            # Starts without a limit were not counted.
            is_recent = now - self._started_at <= MAX_DEBT_S
            self._tokens = -rate * MAX_DEBT_S if is_recent else 0.0
            self._refilled_at = now
        self.rate = rate
        max_debt = rate * MAX_DEBT_S
        self._tokens = max(-max_debt, min(self._burst(), self._tokens))

    def wait_s(self, starts: int, now: float) -> float:
        """Return the time until so many starts are allowed."""
        if not self.rate or not self.is_cold(now):
            return 0.0
        self._refill(now)
        return max(0.0, starts - self._tokens) / self.rate

    def take(self, now: float) -> None:
        """Record a start, also while the server is warm."""
        self._started_at = now
        if not self.rate:
            return
        self._refill(now)
        self._tokens = max(-self.rate * MAX_DEBT_S, self._tokens - 1)

    def _burst(self) -> float:
        return BURST_S * self.rate + BURST_STARTS

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self.rate
        self._tokens = min(self._burst(), self._tokens + added)
        self._refilled_at = now
