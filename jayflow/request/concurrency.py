"""Learn how many requests a backend server runs at once without slowing.

Answers the load pattern in which all slots are taken for seconds: servers
that share a machine slow down before their last slot is taken, so that
more at once means fewer per second and later answers.
"""

FIRST_SHARE = 0.8
LEAST_SHARE = 0.7
LEARN_SHARE = 0.05
# Samples between two steps; their mean then tells a fifth reliably.
STEP_SAMPLES = 20
SLOWED_RATIO = 1.25
STEADY_RATIO = 1.1


class Limit:
    """Adapt the requests that run at once to the time that they take.

    A sample is the time of a request as a multiple of the expected; the
    times of a half empty server are what the full one is compared with.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._limit = 0
        self._usual: float | None = None
        self._sum = 0.0
        self._samples = 0

    def of(self, slots: int) -> int:
        """Return how many of a server's slots may be used."""
        if slots != self._slots:
            self._slots = slots
            self._limit = max(1, round(slots * FIRST_SHARE))
        return min(self._limit, slots)

    def observe(self, running: int, ratio: float) -> None:
        """Take one sample, with the requests that ran beside it."""
        if 2 * running <= self._slots:
            if self._usual is None:
                self._usual = ratio
            self._usual += LEARN_SHARE * (ratio - self._usual)
        elif running >= self._limit:
            self._sum += ratio
            self._samples += 1
            if self._samples >= STEP_SAMPLES:
                self._step()

    def _step(self) -> None:
        mean, self._sum, self._samples = self._sum / self._samples, 0.0, 0
        if self._usual is None:
            return
        if mean > SLOWED_RATIO * self._usual:
            least = max(1, round(self._slots * LEAST_SHARE))
            self._limit = max(least, self._limit - 1)
        elif mean < STEADY_RATIO * self._usual:
            self._limit = min(self._slots, self._limit + 1)
