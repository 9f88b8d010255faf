"""Hold the tokens of a team at a node that has requests of the team.

A stock that is filled before it is empty lets most requests run without
waiting for the owner. Times are seconds of one host's clock.
"""

import collections
import dataclasses
import math

from jayflow.request.decisions import team_limit

# A stock is filled if it is below the demand of this time.
LOW_STOCK_S = 0.25
FULL_STOCK_S = 0.5
PACE_TIME_CONSTANT_S = 2.0
# A stock that expired unused is filled again at this demand: below it, most
# tokens would expire again.
RENEWAL_DEMAND_PER_S = 0.4
MIN_RENEWAL_WAIT_S = 0.002
# The fractional parts of its multiples are spread evenly.
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
# A node asks again after this time at the latest, so that no token is unused
# because all nodes wait.
MAX_HOLD_S = 0.5
# After this, another node is asked.
NO_ANSWER_RETRY_S = 0.25
# While no owner grants at the full rate, a node goes on with this share of
# what it admitted in the last seconds. The nodes of a partition, a third of
# all, then add at most a quarter of the limit to what the others get from the
# owner, and each window of 5 s stays within the bound of the team.
CARRY_OVER_SHARE = 0.6
CARRY_OVER_TIME_CONSTANT_S = 8.0
# Requests saved up meanwhile, as a time at the carried rate.
CARRY_OVER_BURST_S = 1.0


class _Pace:
    """Estimate events per second as a moving mean."""

    def __init__(self, time_constant_s: float = PACE_TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._per_s = 0.0
        self._at = -math.inf

    def record(self, now: float) -> None:
        """Record an event."""
        self._per_s = self.per_s(now) + 1.0 / self._time_constant_s
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the events per second."""
        elapsed_s = max(0.0, now - self._at)
        return self._per_s * math.exp(-elapsed_s / self._time_constant_s)


class CarryOver:
    """Admit requests at the recent pace while no owner grants enough.

    It answers the loss of a team's owner: without it, a large team would be
    refused nearly everything until another node may grant at the full rate.
    """

    def __init__(self) -> None:
        self._admitted = _Pace(CARRY_OVER_TIME_CONSTANT_S)
        self._until = -math.inf
        self._per_s = 0.0
        self._tokens = 0.0
        self._refilled_at = 0.0

    def record_admitted(self, now: float) -> None:
        """Record one admitted request."""
        self._admitted.record(now)

    def begin(self, duration_s: float, now: float) -> None:
        """Begin when an owner does not answer; one at a time."""
        if now < self._until:
            return
        self._until = now + duration_s
        self._per_s = CARRY_OVER_SHARE * self._admitted.per_s(now)
        self._tokens = min(1.0, self._per_s * CARRY_OVER_BURST_S)
        self._refilled_at = now

    def end(self) -> None:
        """End it as an owner grants at the full rate."""
        self._until = -math.inf

    def take(self, now: float) -> bool:
        """Return whether a request may run."""
        if now >= self._until:
            return False
        added = (now - self._refilled_at) * self._per_s
        burst = max(1.0, self._per_s * CARRY_OVER_BURST_S)
        self._tokens = min(burst, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass
class _Batch:
    tokens: int
    expires_at: float


class Stock:
    """Hold the tokens of one team at a node that has its requests."""

    def __init__(self) -> None:
        self._owner = ''
        self._batches: collections.deque[_Batch] = collections.deque()
        self._unused = 0
        self._demand = _Pace()
        self._served = _Pace()
        self._held_until = -math.inf
        self._retry_after_s = 0.0
        self._refused = 0
        self.carry_over = CarryOver()

    def record_demand(self, now: float) -> None:
        """Record one request of the team."""
        self._demand.record(now)

    def take(self, now: float) -> bool:
        """Use a token if there is one."""
        self._drop_expired(now)
        if not self._batches:
            return False
        self._batches[0].tokens -= 1
        if not self._batches[0].tokens:
            self._batches.popleft()
        self._record_served(now)
        return True

    def take_carried(self, now: float) -> bool:
        """Admit a request by the pace before the owner failed."""
        if not self.carry_over.take(now):
            return False
        self._record_served(now)
        return True

    def give_up(self, tokens: int) -> None:
        """Return tokens to the owner whose requests are gone."""
        self._unused += tokens

    def is_low(self, now: float) -> bool:
        """Return whether to ask for tokens before they are needed."""
        if self.is_held(now):
            return False
        self._drop_expired(now)
        low = max(1.0, LOW_STOCK_S * self._demand.per_s(now))
        return self._count() < low

    def needs_renewal(self, now: float) -> bool:
        """Return whether to replace tokens that expired unused."""
        return self._is_in_use(now) and self.is_low(now)

    def renewal_wait_s(self, now: float) -> float | None:
        """Return when to look again whether to renew, None for never."""
        if not self._is_in_use(now):
            return None
        self._drop_expired(now)
        if not self._batches:
            return team_limit.STOCK_LIFETIME_S
        expires_at = self._batches[0].expires_at
        return max(0.0, expires_at - now) + MIN_RENEWAL_WAIT_S

    def is_held(self, now: float) -> bool:
        """Return whether the owner said that no token is free yet."""
        return now < self._held_until

    def refuse(self, now: float) -> float:
        """Record a refused request; return its Retry-After in seconds.

        Later callers come back later, at the pace at which tokens came.
        """
        self._refused += 1
        wait_s = max(0.0, self._held_until - now, self._retry_after_s)
        wait_s += (self._refused - 1) / max(1.0, self._served.per_s(now))
        if wait_s >= team_limit.MAX_RETRY_AFTER_S:
            # Callers beyond the longest time come back spread over half of it.
            part = self._refused * GOLDEN_RATIO % 1.0
            wait_s = team_limit.MAX_RETRY_AFTER_S * (1.0 + part) / 2
        return max(team_limit.MIN_RETRY_AFTER_S, wait_s)

    def demand(
        self, owner: str, waiting: int, now: float
    ) -> team_limit.Demand:
        """Return what to ask of an owner.

        What another owner granted is not returned.
        """
        asked = self.demand_without_stock(owner, waiting, now)
        full = math.ceil(FULL_STOCK_S * self._demand.per_s(now))
        stock = max(0, max(1, full) - asked.held)
        return dataclasses.replace(asked, wanted=waiting + stock)

    def demand_without_stock(
        self, owner: str, waiting: int, now: float
    ) -> team_limit.Demand:
        """Return what to ask of an owner that is always at hand."""
        self._drop_expired(now)
        returned = self._unused if owner == self._owner else 0
        self._owner, self._unused = owner, 0
        return team_limit.Demand(waiting, waiting, returned, self._count())

    def record_grant(
        self,
        asked: team_limit.Demand,
        grant: team_limit.Grant,
        asked_at: float,
        now: float,
    ) -> int:
        """Record an answer; return how many waiting requests may run.

        Only tokens that were asked for as a stock may be used later.
        """
        if grant.is_full_rate:
            self.carry_over.end()
        admitted = min(grant.tokens, asked.waiting)
        stock = min(grant.tokens, asked.wanted) - admitted
        expires_at = asked_at + team_limit.STOCK_LIFETIME_S
        if stock > 0:
            self._batches.append(_Batch(stock, expires_at))
        if now - asked_at > team_limit.ANSWER_TIMEOUT_S:
            self.give_up(admitted)
            return 0
        self._refused = 0
        self._retry_after_s = grant.retry_after_s
        if grant.retry_after_s:
            self._held_until = now + min(MAX_HOLD_S, grant.retry_after_s)
        for _ in range(admitted):
            self._record_served(now)
        return admitted

    def record_failure(self) -> None:
        """Record that no owner answered."""
        self._retry_after_s = NO_ANSWER_RETRY_S

    def _record_served(self, now: float) -> None:
        self._served.record(now)
        self.carry_over.record_admitted(now)

    def _is_in_use(self, now: float) -> bool:
        return self._demand.per_s(now) >= RENEWAL_DEMAND_PER_S

    def _drop_expired(self, now: float) -> None:
        while self._batches and self._batches[0].expires_at <= now:
            self._unused += self._batches.popleft().tokens

    def _count(self) -> int:
        return sum(batch.tokens for batch in self._batches)
