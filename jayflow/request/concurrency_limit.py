"""Estimate how many requests a backend server runs at once without slowing.

Servers that share a machine slow down before their last slot is taken:
when all slots are in use for seconds, running more requests at once means
fewer per second and higher latency. The limit keeps such a server below
the point where it slows down.
"""

import collections
from collections.abc import Iterable

INITIAL_SLOT_SHARE = 0.8
MIN_SLOT_SHARE = 0.7
# Samples for one change of the limit: the median of so many reliably shows
# a difference of a fifth.
SAMPLES_PER_STEP = 20
BASELINE_SAMPLES = 51
# Ratios of the median at the limit to the baseline median.
DECREASE_RATIO = 1.25
INCREASE_RATIO = 1.1


class ConcurrencyLimit:
    """Adapt the requests that run at once to the time that they take.

    A sample is the time of a request as a multiple of the expected time.
    Samples taken while at most half the slots are in use are the baseline
    for those taken at the limit. Medians are compared, because other load
    on the machine makes a few requests several times slower, which says
    nothing about the limit.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._limit = 0
        self._baseline: collections.deque[float] = collections.deque(
            maxlen=BASELINE_SAMPLES
        )
        self._at_limit: list[float] = []

    def usable_slots(self, slots: int) -> int:
        """Return how many of a server's slots may be used."""
        if slots != self._slots:
            self._slots = slots
            self._limit = max(1, round(slots * INITIAL_SLOT_SHARE))
        return min(self._limit, slots)

    def observe(self, running: int, ratio: float) -> None:
        """Add a sample, with the number of requests that were running."""
        if 2 * running <= self._slots:
            self._baseline.append(ratio)
        elif running >= self._limit:
            self._at_limit.append(ratio)
            if len(self._at_limit) >= SAMPLES_PER_STEP:
                self._adjust()

    def _adjust(self) -> None:
        median = _median(self._at_limit)
        self._at_limit.clear()
        if not self._baseline:
            return
        baseline = _median(self._baseline)
        if median > DECREASE_RATIO * baseline:
            min_limit = max(1, round(self._slots * MIN_SLOT_SHARE))
            self._limit = max(min_limit, self._limit - 1)
        elif median < INCREASE_RATIO * baseline:
            self._limit = min(self._slots, self._limit + 1)


def _median(samples: Iterable[float]) -> float:
    """Return the upper median; the statistics module is large to load."""
    ordered = sorted(samples)
    return ordered[len(ordered) // 2]
