"""Estimate how many requests a backend server runs at once without slowing.

Servers that share a machine slow down before their last slot is taken:
when all slots are in use for seconds, running more requests at once means
fewer per second and higher latency. The limit keeps such a server below
the point where it slows down. A server whose requests take longer for
another reason, such as slow calls to other services, keeps its slots.
"""

from collections.abc import Iterable
import math

INITIAL_SLOT_SHARE = 0.8
# Of so few slots each is a large share of the server, and a limit below them
# is found only after many requests at it.
FEW_SLOTS = 5
# Samples for one change of the limit: the median of so many reliably shows
# a difference of a fifth.
SAMPLES_PER_STEP = 40
# A lower limit is better if it serves this many times as much.
MIN_GAIN = 1.15
# The throughput measured at a limit is trusted for so many steps.
MAX_AGE_STEPS = 40


class ConcurrencyLimit:
    """Adapt the requests that run at once to the throughput.

    A sample is the time of a request as a multiple of the expected time.
    The throughput at a limit is the limit divided by the median of the
    samples taken at it. Medians are compared, because other load on the
    machine makes a few requests several times slower, which says nothing
    about the limit.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._limit = 0
        self._steps = 0
        self._samples: list[float] = []
        # (throughput, step) of the last measurement, by limit.
        self._measured: dict[int, tuple[float, int]] = {}

    def usable_slots(self, slots: int) -> int:
        """Return how many of a server's slots may be used."""
        if slots != self._slots:
            self._slots = slots
            self._limit = slots
            if slots > FEW_SLOTS:
                self._limit = round(slots * INITIAL_SLOT_SHARE)
            self._measured.clear()
            self._samples.clear()
        return min(self._limit, slots)

    def observe(self, running: int, ratio: float) -> None:
        """Add a sample, with the number of requests that were running."""
        if running < self._limit:
            return
        self._samples.append(ratio)
        if len(self._samples) >= SAMPLES_PER_STEP:
            throughput = self._limit / _median(self._samples)
            self._samples.clear()
            self._steps += 1
            self._measured[self._limit] = (throughput, self._steps)
            self._limit = self._next_limit(throughput)

    def _next_limit(self, throughput: float) -> int:
        """Return the limit to use next.

        It is a lower limit that served more, or else a higher one that was
        not measured lately.
        """
        recent = {
            limit: measured
            for limit, (measured, step) in self._measured.items()
            if self._steps - step < MAX_AGE_STEPS
        }
        best = max(recent, key=recent.__getitem__)
        if best < self._limit and recent[best] > MIN_GAIN * throughput:
            return best
        higher = recent.get(self._limit + 1, math.inf)
        if self._limit < self._slots and MIN_GAIN * higher > throughput:
            return self._limit + 1
        return self._limit


def _median(samples: Iterable[float]) -> float:
    """Return the upper median; the statistics module is large to load."""
    ordered = sorted(samples)
    return ordered[len(ordered) // 2]
