"""Track the rate of requests that a backend server takes from all nodes.

A server in need names the limit in its responses, for as long as it holds.
"""

import dataclasses
import math

REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass
class StartCounts:
    """Count what a server got since the last report, by where it began."""

    own_node: int = 0
    other_nodes: int = 0
    polls: int = 0


class RateLimit:
    """Hold the limit of a server; infinity if it names none.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.requests_per_s = math.inf
        self.counts = StartCounts()
        self._reported_at = -math.inf

    def update(self, requests_per_s: float) -> bool:
        """Set the limit; return whether it changed."""
        is_changed = requests_per_s != self.requests_per_s
        self.requests_per_s = requests_per_s
        return is_changed

    def take_counts(self, now: float) -> StartCounts | None:
        """Return and reset the counts if a report of them is due."""
        if (
            math.isinf(self.requests_per_s)
            or now - self._reported_at < REPORT_INTERVAL_S
        ):
            return None
        counts, self.counts = self.counts, StartCounts()
        self._reported_at = now
        return counts
