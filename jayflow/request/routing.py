"""Choose the backend server for an attempt.

Pure decisions: a choice depends on the views, now and a seeded rng. What
a view holds is stale when it arrives, so its weight falls with its age,
and between reports a node counts what it sent itself.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
import math
import random

from jayflow.connection import member as members
from jayflow.connection import messages

REPORT_DECAY_S = 0.1
LATENCY_WEIGHT = 0.2
START_LATENCY_S = 0.005
FAILURE_LATENCY_S = 0.25
COOLDOWN_S = 0.25
MAX_COOLDOWN_S = 30.0
MAX_RETRY_AFTER_S = 10.0
MAX_COOLED_SHARE = 0.5
LEAVING_TRUST_S = 3.0


class Distance(enum.IntEnum):
    """Rank how far a member is."""

    DATA_CENTRE = 0
    REGION = 1
    FAR = 2


RTT_S = {
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.003,
    Distance.FAR: 0.024,
}


@dataclasses.dataclass
class View:
    """Hold what a node knows of one member, and from when."""

    member: members.Member
    distance: Distance
    load: messages.Load | None = None
    load_at: float = -math.inf
    inflight: int = 0
    sent_since: int = 0
    latency_s: float = START_LATENCY_S
    failures: int = 0
    cooldown_until: float = -math.inf

    def sent(self) -> None:
        """Count an attempt that goes to this member."""
        self.inflight += 1
        self.sent_since += 1

    def ended(self) -> None:
        """Count an attempt that has ended."""
        self.inflight -= 1

    def observe_load(self, load: messages.Load, now: float) -> None:
        """Take a load report."""
        self.load = load
        self.load_at = now
        self.sent_since = 0

    def observe_answer(self, elapsed_s: float) -> None:
        """Learn the latency of a served attempt."""
        self.latency_s += LATENCY_WEIGHT * (elapsed_s - self.latency_s)
        self.failures = 0

    def observe_failure(self, now: float, retry_after_s: float = 0.0) -> None:
        """Count a failure: failing fast must not look fast."""
        self.failures += 1
        slow_s = max(self.latency_s, FAILURE_LATENCY_S)
        self.latency_s += LATENCY_WEIGHT * (slow_s - self.latency_s)
        growing_s = COOLDOWN_S * 2 ** min(self.failures - 1, 8)
        asked_s = min(retry_after_s, MAX_RETRY_AFTER_S)
        pause_s = min(MAX_COOLDOWN_S, max(growing_s, asked_s))
        self.cooldown_until = now + pause_s

    def queue(self, now: float) -> float:
        """Estimate the requests at the server, with age in account."""
        if self.load is None:
            return float(self.inflight)
        weight = math.exp(-(now - self.load_at) / REPORT_DECAY_S)
        reported = self.load.running + self.load.queued + self.sent_since
        return max(float(self.inflight), weight * reported)

    def cost(self, now: float) -> float:
        """Estimate the time that an attempt would take, in seconds."""
        slots = max(1, self.member.slots)
        share = (self.queue(now) + 1) / slots
        return RTT_S[self.distance] + self.latency_s * (1 + share)


def choose(
    views: Iterable[View],
    tried: Collection[messages.NodeId],
    now: float,
    rng: random.Random,
    far_allowed: bool,
) -> View | None:
    """Return the view to try next, or None when there is none.

    A member in cooldown is passed over, but never more than a share of
    the members. Far members are used when no near one is left.
    """
    left = [
        view
        for view in views
        if view.member.node not in tried and not _is_leaving(view, now)
    ]
    near = [view for view in left if view.distance is not Distance.FAR]
    pool = near or (left if far_allowed else [])
    if not pool:
        return None
    warm = [view for view in pool if view.cooldown_until <= now]
    if len(warm) < len(pool) * (1 - MAX_COOLED_SHARE) or not warm:
        by_end = sorted(pool, key=lambda view: view.cooldown_until)
        warm = by_end[: max(1, math.ceil(len(pool) / 2))]
    best = math.inf
    chosen: list[View] = []
    for view in warm:
        cost = view.cost(now)
        if cost < best:
            best, chosen = cost, [view]
        elif cost == best:
            chosen.append(view)
    return rng.choice(chosen)


def _is_leaving(view: View, now: float) -> bool:
    if view.load is None or not view.load.draining:
        return False
    return now - view.load_at < LEAVING_TRUST_S
