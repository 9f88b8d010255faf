"""Decide when to send an idempotent request to a second server.

Answers the load pattern in which servers turn several times slower for
about as long as a request takes: the first server was fast when it was
chosen, and another one is fast now. The retry budget bounds the cost.
"""

import dataclasses

# Work beyond this many times the expected is taken for a lost answer.
STUCK_RATIO = 3.0
# The second server must save a good part of the time that is left.
MIN_SAVING = 0.6
LARGE_SAVING = 0.4


@dataclasses.dataclass
class Progress:
    """Follow how far one attempt should have come; times in seconds."""

    expected_s: float
    seen_at: float
    done_s: float = 0.0

    @classmethod
    def start(cls, expected_s: float, now: float) -> 'Progress':
        """Return the progress of an attempt that is sent now."""
        return cls(expected_s, now)

    def advance(self, now: float, slowness: float) -> None:
        """Add the work done since the last look."""
        self.done_s += (now - self.seen_at) / slowness
        self.seen_at = now

    def is_stuck(self) -> bool:
        """Return whether the answer should have come long ago."""
        return self.done_s > STUCK_RATIO * self.expected_s

    def remaining_s(self, slowness: float) -> float:
        """Return the time that is left, by the expected work."""
        left_s = self.expected_s - self.done_s
        if left_s > 0:
            return left_s * slowness
        # Overdue work is as likely to end soon as it has been overdue long.
        return -left_s * slowness


def is_worth(
    progress: Progress,
    slowness: float,
    other_s: float,
    elapsed_s: float,
    target_s: float,
    left_s: float,
    is_plenty: bool = False,
) -> bool:
    """Return whether a second attempt, of other_s, is worth its cost.

    The caller has waited for elapsed_s, wants an answer in target_s and
    leaves after another left_s. A second attempt is worth it if it turns
    an answer that would miss the target, or the deadline, into one that
    keeps it, or if the first attempt is stuck. With plenty of budget, a
    large saving is enough: somebody may wait for a late answer as well.
    """
    if other_s >= left_s:
        return False
    if progress.is_stuck():
        return True
    remaining_s = progress.remaining_s(slowness)
    if other_s > MIN_SAVING * remaining_s:
        return False
    if not target_s:
        return slowness > 1 and elapsed_s > progress.expected_s
    keeps_target = elapsed_s + other_s <= target_s < elapsed_s + remaining_s
    saves_much = is_plenty and other_s <= LARGE_SAVING * remaining_s
    return keeps_target or saves_much or remaining_s > left_s
