"""Grant the requests of a team, which has one rate over all nodes.

The owner of a team holds its token bucket; a node that has requests of the
team holds a stock of tokens (team_stock). Times are seconds of one host's
clock. docs/design/team-limits.md derives the bound.
"""

import bisect
import dataclasses
import math
from typing import NewType, Self

# The asking node's incarnation; another process of the node is another asker.
AskerId = NewType('AskerId', int)

WINDOW_S = 5.0
# In any window: (rate x WINDOW_S + burst) x MAX_RATIO + MAX_EXTRA requests.
MAX_RATIO = 1.1
MAX_EXTRA = 20.0
STOCK_LIFETIME_S = 1.0
ANSWER_TIMEOUT_S = 0.15
# Tokens that a bucket without a burst saves up between two queries.
MIN_BURST_S = 0.5
MIN_CAPACITY = 4.0
MAX_MIN_CAPACITY = 8.0
# More would overflow while those for whom they are kept do not ask.
MAX_KEPT_SHARE = 0.25
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
# How long an asker that got less than it needed counts as a competitor.
COMPETITION_S = 1.0
REVIEW_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class Limit:
    """Divide what the bound of a team allows beyond its rate and burst.

    `stock` tokens may lie unused in all stocks together beside a full bucket,
    and `takeover_rate` is granted beside an owner that may still be alive.
    """

    rate: float
    burst: float
    capacity: float
    stock: float
    takeover_rate: float

    @classmethod
    def from_rate(cls, rate: float, burst: float) -> Self:
        """Return the limit of a team with a rate and a burst."""
        saved = min(MAX_MIN_CAPACITY, MIN_BURST_S * rate)
        capacity = max(burst, MIN_CAPACITY, saved)
        bound = (rate * WINDOW_S + burst) * MAX_RATIO + MAX_EXTRA
        # Requests that wait use a token ANSWER_TIMEOUT_S after its grant.
        reserve = bound - rate * (WINDOW_S + ANSWER_TIMEOUT_S) - capacity
        takeover_s = WINDOW_S + STOCK_LIFETIME_S
        return cls(
            rate,
            burst,
            capacity,
            reserve / 2,
            min(rate, reserve / 2 / takeover_s),
        )


@dataclasses.dataclass(frozen=True)
class Demand:
    """Hold what a node asks for.

    `wanted` includes the `waiting` requests, `returned` is what was left of
    earlier grants, and `held` what the node may still use. A repeated query
    has the `sequence` of the first; 0 stands for none.
    """

    wanted: int
    waiting: int
    returned: int = 0
    held: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class Grant:
    """Hold the tokens that a node gets and when it may ask for more."""

    tokens: int
    retry_after_s: float = 0.0
    is_full_rate: bool = False


@dataclasses.dataclass
class _Asker:
    served_at: float
    asked_at: float
    refused_at: float = -math.inf
    stock: int = 0
    sequence: int = 0
    answer: Grant = Grant(0)


class TeamBucket:
    """Hold the tokens of one team at its owner; starts empty.

    Granted tokens may come back. Tokens and those that may come back are never
    more than the capacity together, so a late return does not add to a bucket
    that has filled up in the meantime.
    """

    def __init__(self, limit: Limit, now: float, full_at: float) -> None:
        self.limit = limit
        self.full_at = full_at
        self._tokens = 0.0
        self._returnable = 0.0
        self._refilled_at = now
        self._refused = 0.0
        self._askers: dict[AskerId, _Asker] = {}
        # When those that got too little were last served.
        self._hungry_since: list[float] = []
        self._stocks = 0
        self._reviewed_at = -math.inf

    def set_limit(self, limit: Limit, now: float) -> None:
        """Set the limit of a new version; a lower one holds at once."""
        self._refill(now)
        self.limit = limit
        self._clamp(now)

    def is_full_rate(self, now: float) -> bool:
        """Return whether no other owner can be alive."""
        return now >= self.full_at

    def set_full_rate(self, now: float) -> None:
        """Grant at the full rate, as no other node grants."""
        self._refill(now)
        self.full_at = min(self.full_at, now)

    def begin_takeover(self, now: float, full_at: float) -> None:
        """Grant at the takeover rate until a time, as another node grants."""
        if self.is_full_rate(now):
            self.clear(now)
        self._refill(now)
        self.full_at = full_at

    def clear(self, now: float, kept: float = 0.0) -> None:
        """Drop the tokens, as another node may have granted meanwhile."""
        self._refill(now)
        self._tokens = min(self._tokens, kept)
        self._returnable = 0.0

    def fill(self, now: float) -> None:
        """Add all tokens that a bucket of a team without requests holds."""
        self._refill(now)
        self._tokens = self._capacity(now)
        self._clamp(now)

    def grant(self, asker: AskerId, demand: Demand, now: float) -> Grant:
        """Grant an asker its share of the tokens."""
        self._refill(now)
        self._review(now)
        entry = self._askers.get(asker)
        if entry is None:
            entry = self._askers[asker] = _Asker(now - COMPETITION_S, now)
        if demand.sequence and demand.sequence == entry.sequence:
            return entry.answer
        self._take_back(entry, demand)
        entry.asked_at = now
        waiting = min(max(0, demand.waiting), max(0, demand.wanted))
        share = self._share(entry, now)
        granted = min(waiting, share)
        if granted == waiting:
            stock = self._stock_allowed(
                min(demand.wanted, share) - waiting, waiting, now
            )
            granted += stock
            entry.stock += stock
            self._stocks += stock
        self._tokens -= granted
        self._returnable += granted
        if granted:
            self._record_served(entry, now)
        entry.sequence, entry.answer = demand.sequence, Grant(granted)
        if granted < waiting:
            self._record_refused(entry, waiting - granted, now)
            entry.answer = Grant(granted, self._retry_after_s(now))
        return entry.answer

    def _record_served(self, entry: _Asker, now: float) -> None:
        since = self._hungry_since
        index = bisect.bisect_left(since, entry.served_at)
        if index < len(since) and since[index] == entry.served_at:
            del since[index]
            bisect.insort(since, now)
        entry.served_at = now

    def _record_refused(self, entry: _Asker, count: int, now: float) -> None:
        if entry.refused_at <= now - COMPETITION_S:
            bisect.insort(self._hungry_since, entry.served_at)
        entry.refused_at = now
        self._refused = min(
            self._refused + count, MAX_RETRY_AFTER_S * self._rate(now)
        )

    def _share(self, entry: _Asker, now: float) -> int:
        """Return the most tokens that an asker may get now.

        While others have got too little, each gets an equal share of the time
        since its last tokens. One token is kept for each that has waited
        as long: an asker that comes just after another would always find all
        tokens gone.
        """
        available = math.floor(self._tokens + 1e-9)
        is_hungry = entry.refused_at > now - COMPETITION_S
        others = len(self._hungry_since) - is_hungry
        if others <= 0:
            return available
        longer = bisect.bisect_right(self._hungry_since, entry.served_at)
        longer -= is_hungry
        kept = min(longer, math.floor(MAX_KEPT_SHARE * self._capacity(now)))
        since_s = min(now - entry.served_at, COMPETITION_S)
        share = max(1, round(since_s * self._rate(now) / (others + 1)))
        return max(0, min(available - kept, share))

    def _stock_allowed(self, wanted: int, waiting: int, now: float) -> int:
        """Return the tokens for a stock; half a bucket stays for others."""
        if not self.is_full_rate(now):
            return 0
        spare = self._tokens - waiting - self.limit.capacity / 2
        return max(0, min(wanted, math.floor(spare)))

    def _retry_after_s(self, now: float) -> float:
        """Return when the demand that was refused so far can be served."""
        missing = max(1.0, self._refused) - self._tokens
        return min(
            MAX_RETRY_AFTER_S,
            max(MIN_RETRY_AFTER_S, missing / max(self._rate(now), 1e-3)),
        )

    def _take_back(self, entry: _Asker, demand: Demand) -> None:
        """Put tokens back that an asker did not use."""
        back = min(max(0, demand.returned), self._returnable)
        self._tokens += back
        self._returnable -= back
        kept = min(max(0, demand.held), entry.stock)
        self._stocks -= entry.stock - kept
        entry.stock = kept

    def _review(self, now: float) -> None:
        """Forget askers whose stock has expired, and count the others."""
        if now - self._reviewed_at < REVIEW_INTERVAL_S:
            return
        self._reviewed_at = now
        since = now - STOCK_LIFETIME_S
        self._askers = {
            asker: entry
            for asker, entry in self._askers.items()
            if entry.asked_at > since
        }
        entries = self._askers.values()
        self._stocks = sum(entry.stock for entry in entries)
        self._hungry_since = sorted(
            entry.served_at
            for entry in entries
            if entry.refused_at > now - COMPETITION_S
        )

    def _rate(self, now: float) -> float:
        if self.is_full_rate(now):
            return self.limit.rate
        return self.limit.takeover_rate

    def _capacity(self, now: float) -> float:
        """Return the most tokens here, fewer if many lie in stocks."""
        if not self.is_full_rate(now):
            return 1.0
        excess = max(0.0, self._stocks - self.limit.stock)
        return max(0.0, self.limit.capacity - excess)

    def _refill(self, now: float) -> None:
        """Add the tokens since the last time, each at the rate of then."""
        begin, end = self._refilled_at, max(now, self._refilled_at)
        at_full = max(0.0, end - max(begin, self.full_at))
        added = at_full * self.limit.rate
        added += (end - begin - at_full) * self.limit.takeover_rate
        self._refused = max(0.0, self._refused - added)
        self._tokens += added
        self._refilled_at = end
        self._clamp(now)

    def _clamp(self, now: float) -> None:
        capacity = self._capacity(now)
        self._tokens = min(self._tokens, capacity)
        self._returnable = min(self._returnable, capacity - self._tokens)
