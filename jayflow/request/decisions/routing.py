"""Choose the backend server for an attempt.

A choice depends only on the peer views, the time and a seeded random number
generator. A load report is out of date when it arrives, so its weight falls
with its age, and between reports a node counts what it has sent itself.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
import math
import random

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request.decisions import slowdowns as slowdown_trackers
from jayflow.version import objects

# A load report has full weight for this long, then its weight decays
# exponentially with the time constant below.
REPORT_FRESH_S = 0.15
REPORT_DECAY_S = 0.1
MAX_SLOWNESS_AGE_S = 1.0
LATENCY_SMOOTHING = 0.2
# A failure counts as at least this latency.
MIN_FAILURE_LATENCY_S = 0.25
# Doubles with each further failure, up to the maximum.
INITIAL_COOLDOWN_S = 0.25
MAX_COOLDOWN_S = 30.0
MAX_RETRY_AFTER_S = 10.0
MAX_COOLDOWN_SHARE = 0.5
MAX_DRAINING_AGE_S = 3.0
# Nodes send their state at least once a second.
SILENCE_TIMEOUT_S = 2.5
MAX_CANDIDATES = 24
DEFAULT_LATENCY_S = 0.005
# Below this multiple of the typical latency, a server counts as typical.
MIN_SLOW_RATIO = 2.0
# A server counts as slow if none of the attempts in flight to it has ended for
# this multiple of its latency.
NO_RESPONSE_RATIO = 3.0

OCCUPANCY_WEIGHT = 0.5
# Servers whose costs differ by less than this share of the work are equal.
EQUAL_COST_SHARE = 0.1


class Distance(enum.IntEnum):
    """Rank the distance to a member."""

    SAME_DATA_CENTRE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


ROUND_TRIP_S = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.024,
}


# Cost of transferring one byte, as the latency in seconds that is worth as
# much. Traffic is billed by volume, and between regions it costs
# four times as much as within one.
BYTE_COST_S = {
    Distance.SAME_DATA_CENTRE: 0.0,
    Distance.SAME_REGION: 9e-6,
    Distance.OTHER_REGION: 36e-6,
}


# Headers of a response and framing of the messages of one attempt.
ATTEMPT_OVERHEAD_BYTES = 400


@dataclasses.dataclass(frozen=True)
class Work:
    """Describe a request: time on an idle server and sizes.

    The sizes are of the request with its headers and of the response body.
    """

    service_s: float | None = None
    response_bytes: float = 0.0
    request_bytes: float = 0.0

    @property
    def transfer_bytes(self) -> float:
        """Return the bytes that cross the network to and from a server."""
        if not self.request_bytes:
            return self.response_bytes
        sizes = self.request_bytes + self.response_bytes
        return sizes + ATTEMPT_OVERHEAD_BYTES


@dataclasses.dataclass
class PeerView:
    """Keep what this node knows of one peer, and since when.

    Times are monotonic seconds. The latency is None until the first sample;
    waiting_since is the time of the last end of an attempt, or of the first
    start, while attempts are in flight. If requires_seat, traffic between
    regions has a budget, and a peer in another region responds only while it
    holds a seat of it.
    """

    member: members.Member
    distance: Distance
    load: messages.Load | None = None
    load_received_at: float = -math.inf
    in_flight: int = 0
    sent_since_report: int = 0
    waiting_since: float = math.inf
    latency_s: float | None = None
    failures: int = 0
    cooldown_until: float = -math.inf
    last_heard_at: float = -math.inf
    platform_heard_at: float = -math.inf
    requires_seat: bool = True
    known_since: float = -math.inf
    region: objects.RegionName | None = None
    slowdowns: slowdown_trackers.SlowdownTracker = dataclasses.field(
        default_factory=slowdown_trackers.SlowdownTracker
    )

    def record_sent(self, now: float) -> None:
        """Record that an attempt is sent to this peer."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1
        self.sent_since_report += 1

    def record_ended(self, now: float) -> None:
        """Record that an attempt has ended."""
        self.in_flight -= 1
        self.waiting_since = now if self.in_flight else math.inf

    def record_load(self, load: messages.Load, now: float) -> None:
        """Record a load report."""
        self.load = load
        self.load_received_at = now
        self.sent_since_report = 0
        self.slowdowns.observe(load.slowness, now)

    def record_success(self, elapsed_s: float) -> None:
        """Record the latency of a served attempt."""
        self._update_latency(elapsed_s)
        self.failures = 0

    def record_failure(self, now: float, retry_after_s: float = 0.0) -> None:
        """Record a failure, start a cooldown and raise the latency.

        Without the raised latency, a server that fails at once would look
        fast and draw more requests.
        """
        self.failures += 1
        self._update_latency(max(self.latency_s or 0.0, MIN_FAILURE_LATENCY_S))
        backoff_s = INITIAL_COOLDOWN_S * 2 ** min(self.failures - 1, 8)
        requested_s = min(retry_after_s, MAX_RETRY_AFTER_S)
        cooldown_s = min(MAX_COOLDOWN_S, max(backoff_s, requested_s))
        self.cooldown_until = now + cooldown_s

    def _update_latency(self, elapsed_s: float) -> None:
        if self.latency_s is None:
            self.latency_s = elapsed_s
        else:
            change_s = elapsed_s - self.latency_s
            self.latency_s += LATENCY_SMOOTHING * change_s

    def service_s(self) -> float | None:
        """Return the time in service, as reported or as measured here."""
        if self.load is not None and self.load.latency_ms:
            reported_s = self.load.latency_ms / 1000
            if self.failures:
                return max(reported_s, self.latency_s or 0.0)
            return reported_s
        return self.latency_s

    def is_silent(self, now: float) -> bool:
        """Return whether a peer that sent its state has stopped doing so."""
        return SILENCE_TIMEOUT_S < now - self.last_heard_at < math.inf

    def is_heard(self, now: float) -> bool:
        """Return whether a peer sends its state or is too new for that.

        A member whose host is gone for good is still listed; a node that
        has just started has never heard from it.
        """
        heard_at = max(self.last_heard_at, self.known_since)
        return now - heard_at <= SILENCE_TIMEOUT_S

    def has_free_slot(self) -> bool:
        """Return whether a slot should be free, by the last report."""
        if self.load is None:
            return True
        taken = self.load.running + self.load.queued + self.sent_since_report
        return taken < self.load.slots

    def slowness(self, now: float) -> float:
        """Return how many times longer than usual work takes, as reported."""
        if (
            self.load is None
            or now - self.load_received_at > MAX_SLOWNESS_AGE_S
        ):
            return 1.0
        return self.slowdowns.slowness

    def expected_work_s(self, work_s: float, now: float) -> float:
        """Estimate the time on this peer of work that usually takes work_s."""
        if self.slowness(now) <= 1.0:
            return work_s
        return self.slowdowns.expected_work_s(work_s, now)

    def _report_weight(self, now: float) -> float:
        """Return the weight of the last report, which falls with age."""
        stale_s = now - self.load_received_at - REPORT_FRESH_S
        return math.exp(-max(0.0, stale_s) / REPORT_DECAY_S)

    def reported_requests(self, now: float) -> float:
        """Return the reported requests, weighted by the report's age."""
        if self.load is None:
            return 0.0
        requests = (
            self.load.running + self.load.queued + self.sent_since_report
        )
        return self._report_weight(now) * requests

    def estimated_requests(self, now: float, sender_ratio: float) -> float:
        """Estimate how many requests run or wait at the server.

        A recent report covers the requests of all senders. As its weight
        falls, this node's requests in flight replace it, multiplied by the
        ratio of the requests of all senders to those of this node.
        """
        own_requests = (
            sender_ratio * self.in_flight * (1 - self._report_weight(now))
        )
        return max(
            float(self.in_flight), self.reported_requests(now) + own_requests
        )

    def cost(
        self, now: float, typical_s: float, sender_ratio: float, work: Work
    ) -> float:
        """Estimate the time of an attempt plus its traffic, in seconds.

        A server near the typical latency counts as typical: small
        differences are noise that would draw all senders to one server.
        """
        latency_ratio = (self.service_s() or typical_s) / typical_s
        if latency_ratio < MIN_SLOW_RATIO:
            latency_ratio = 1.0
        no_response_ratio = max(0.0, now - self.waiting_since) / typical_s
        if no_response_ratio > NO_RESPONSE_RATIO * latency_ratio:
            latency_ratio = no_response_ratio
        slots = max(1, self.load.slots if self.load else self.member.slots)
        requests = self.estimated_requests(now, sender_ratio)
        waits = max(0.0, requests + 1 - slots) / slots
        occupancy = OCCUPANCY_WEIGHT * requests / slots
        work_s = work.service_s or typical_s
        service_s = max(
            work_s * latency_ratio, self.expected_work_s(work_s, now)
        )
        network_s = ROUND_TRIP_S[self.distance]
        network_s += work.transfer_bytes * BYTE_COST_S[self.distance]
        return network_s + service_s * (1 + waits + occupancy)


UNKNOWN_WORK = Work()


def choose_peer(
    views: Iterable[PeerView],
    tried: Collection[messages.NodeId],
    now: float,
    rng: random.Random,
    cross_region: bool,
    work: Work = UNKNOWN_WORK,
    allowed_regions: frozenset[objects.RegionName] | None = None,
) -> PeerView | None:
    """Return the peer to try next, or None when there is none.

    Peers in cooldown are left out, but never more than MAX_COOLDOWN_SHARE
    of all.
    Peers outside the allowed regions are never used; None allows all.
    Peers in other regions are used where their cost is lower, if the policy
    allows it and they may respond over the link between the regions. Of
    peers whose costs are equal, the nearest are used.
    """
    usable = [
        view
        for view in views
        if not is_draining(view, now)
        and (allowed_regions is None or view.region in allowed_regions)
        and (
            view.distance is not Distance.OTHER_REGION
            or _may_cross_regions(view, cross_region)
        )
    ]
    # Peers that don't send their state are used only when none does.
    usable = [view for view in usable if view.is_heard(now)] or usable
    candidates = [view for view in usable if view.member.node not in tried]
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATES:
        candidates = rng.sample(candidates, MAX_CANDIDATES)
    available = _available(candidates, now)
    typical_s = _typical_s(available)
    sender_ratio = _sender_ratio(available, now)
    costs = [
        view.cost(now, typical_s, sender_ratio, work) for view in available
    ]
    tolerance_s = EQUAL_COST_SHARE * (work.service_s or 0.0)
    max_cost = min(costs) + tolerance_s
    cheapest = [
        view
        for view, cost in zip(available, costs, strict=True)
        if cost <= max_cost
    ]
    nearest = min(view.distance for view in cheapest)
    return rng.choice([view for view in cheapest if view.distance is nearest])


def _may_cross_regions(view: PeerView, cross_region: bool) -> bool:
    has_budget = view.member.has_seat or not view.requires_seat
    return cross_region and has_budget


def _available(candidates: list[PeerView], now: float) -> list[PeerView]:
    """Return the peers that are not in cooldown, but at least half."""
    available = [view for view in candidates if view.cooldown_until <= now]
    min_count = max(1, math.ceil(len(candidates) * (1 - MAX_COOLDOWN_SHARE)))
    if len(available) >= min_count:
        return available
    by_cooldown = sorted(candidates, key=lambda view: view.cooldown_until)
    return by_cooldown[:min_count]


def _sender_ratio(views: list[PeerView], now: float) -> float:
    """Return the ratio of all senders' requests to this node's."""
    in_flight = sum(view.in_flight for view in views)
    reported = sum(view.reported_requests(now) for view in views)
    return max(1.0, reported / in_flight) if in_flight else 1.0


def _typical_s(views: list[PeerView]) -> float:
    """Return the lower median of the peers' times in service."""
    times_s = sorted(
        service_s
        for view in views
        if (service_s := view.service_s()) is not None
    )
    return times_s[(len(times_s) - 1) // 2] if times_s else DEFAULT_LATENCY_S


def is_draining(view: PeerView, now: float) -> bool:
    """Return whether a recent report says that the server drains."""
    if view.load is None or not view.load.draining:
        return False
    return now - view.load_received_at < MAX_DRAINING_AGE_S
