"""Track the periods in which a backend server is slow.

Other load on the machine makes a server several times slower, but for less
time than a request would take at that speed: a request that starts while
the server is slow mostly ends after the slow period.
"""

import dataclasses
import math

# A lower slowness is within the usual variation between requests.
SLOW_THRESHOLD = 1.3
# Other load on a machine changes within fractions of a second; this is the
# mean until slow periods have been seen.
INITIAL_MEAN_PERIOD_S = 0.5
SMOOTHING = 0.1
MAX_PERIOD_SAMPLE_S = 5.0


@dataclasses.dataclass
class SlowdownTracker:
    """Track how slow a server is, since when, and for how long usually."""

    slowness: float = 1.0
    slow_since: float = math.inf
    mean_period_s: float = INITIAL_MEAN_PERIOD_S

    @property
    def is_slow(self) -> bool:
        """Return whether the server is slow now."""
        return self.slowness >= SLOW_THRESHOLD

    def observe(self, slowness: float, now: float) -> None:
        """Record how many times longer than usual work takes now."""
        was_slow = self.is_slow
        self.slowness = max(1.0, slowness)
        if self.is_slow and not was_slow:
            self.slow_since = now
        elif was_slow and not self.is_slow:
            period_s = min(MAX_PERIOD_SAMPLE_S, now - self.slow_since)
            self.mean_period_s += SMOOTHING * (period_s - self.mean_period_s)
            self.slow_since = math.inf

    def expected_work_s(self, work_s: float, now: float) -> float:
        """Estimate the time of work that takes work_s at usual speed.

        A slow period is expected to last for another mean period, or for as
        long again as it has lasted if that is more.
        """
        if not self.is_slow:
            return work_s * self.slowness
        slow_s = max(self.mean_period_s, now - self.slow_since)
        work_done_s = slow_s / self.slowness
        if work_done_s >= work_s:
            return work_s * self.slowness
        return slow_s + work_s - work_done_s
