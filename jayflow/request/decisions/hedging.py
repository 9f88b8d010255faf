"""Decide when to hedge: send an idempotent request to a second server.

Servers turn several times slower for about as long as a request takes, so
a server that was fast when it was chosen may be slow now while another is
fast. The retry budget bounds the cost of the second attempts.
"""

import dataclasses

# Beyond this multiple of the expected work, the response counts as lost.
STUCK_RATIO = 3.0
# Largest expected time of a second attempt, as a ratio to the time that the
# first one still needs: for any hedge, and for one that saves much.
MAX_TIME_RATIO = 0.6
LARGE_SAVING_TIME_RATIO = 0.4


@dataclasses.dataclass
class Progress:
    """Estimate how much of its work an attempt has done; times in seconds.

    Work is measured as the time that it takes on a server of usual speed.
    """

    expected_s: float
    updated_at: float
    done_work_s: float = 0.0

    @classmethod
    def start(cls, expected_s: float, now: float) -> 'Progress':
        """Return the progress of an attempt that is sent now."""
        return cls(expected_s, now)

    def advance(self, now: float, slowness: float) -> None:
        """Add the work done since the last update."""
        self.done_work_s += (now - self.updated_at) / slowness
        self.updated_at = now

    def is_stuck(self) -> bool:
        """Return whether the response is so overdue that it counts as lost."""
        return self.done_work_s > STUCK_RATIO * self.expected_s

    def remaining_s(self, slowness: float) -> float:
        """Estimate the time until the attempt ends at this slowness."""
        remaining_work_s = self.expected_s - self.done_work_s
        if remaining_work_s > 0:
            return remaining_work_s * slowness
        # Overdue work is expected to take as long again as it is overdue.
        return -remaining_work_s * slowness


def is_hedge_worthwhile(
    progress: Progress,
    slowness: float,
    hedge_s: float,
    elapsed_s: float,
    target_s: float,
    until_deadline_s: float,
    has_reserve: bool = False,
) -> bool:
    """Return whether a second attempt is worth its cost.

    The second attempt is expected to take hedge_s. The caller has waited
    for elapsed_s, wants a response within target_s of its request and gives
    up after another until_deadline_s; a target_s of 0 means no target.

    A second attempt is worth it if it turns a response that would miss the
    target or the deadline into one that keeps it, or if the first attempt
    is stuck. If the retry budget has a reserve, a large saving is enough,
    since the caller may wait for a late response as well. Without a target,
    the first server must be slow and the caller must have waited for longer
    than the expected time of the first attempt.
    """
    if hedge_s >= until_deadline_s:
        return False
    if progress.is_stuck():
        return True
    remaining_s = progress.remaining_s(slowness)
    if hedge_s > MAX_TIME_RATIO * remaining_s:
        return False
    if not target_s:
        return slowness > 1 and elapsed_s > progress.expected_s
    keeps_target = elapsed_s + hedge_s <= target_s < elapsed_s + remaining_s
    saves_much = (
        has_reserve and hedge_s <= LARGE_SAVING_TIME_RATIO * remaining_s
    )
    return keeps_target or saves_much or remaining_s > until_deadline_s
