"""Choose the server of a hedge and pay for it from the limits."""

from collections.abc import Callable
import dataclasses
import time

from jayflow import metrics as metrics_module
from jayflow.request import caller_request
from jayflow.request.decisions import hedge_budget
from jayflow.request.decisions import hedging
from jayflow.request.decisions import retry
from jayflow.request.decisions import routing
from jayflow.version import objects

HedgeEvent = hedge_budget.HedgeEvent


class HedgeLimits:
    """Hold the hedge budget of each service.

    node_share returns the limit for policies without one of their own, or
    None for no limit.
    """

    def __init__(self, node_share: Callable[[], float | None]) -> None:
        self._node_share = node_share
        self._budgets: dict[objects.ServiceName, hedge_budget.HedgeBudget] = {}

    def share_of(self, policy: objects.Policy) -> float | None:
        """Return the share that limits the hedges of a policy's requests."""
        return hedge_budget.share_in_force(
            policy.hedge_share, self._node_share()
        )

    def deposit(self, req: caller_request.Request) -> None:
        """Deposit the tokens of a new request."""
        if share := self.share_of(req.policy):
            self._budget_of(req).deposit(share)

    def budget_of(
        self, req: caller_request.Request
    ) -> hedge_budget.HedgeBudget | None:
        """Return the budget that limits a request's hedges, None for none."""
        if self.share_of(req.policy) is None:
            return None
        return self._budget_of(req)

    def _budget_of(
        self, req: caller_request.Request
    ) -> hedge_budget.HedgeBudget:
        return self._budgets.setdefault(
            req.service, hedge_budget.HedgeBudget()
        )


@dataclasses.dataclass
class HedgeChooser:
    """Choose a hedge's server while the first attempt runs.

    choose_other returns the best server that was not tried yet; views
    returns all servers of the service. The limit is None if only the retry
    budget limits hedges. Each refusal is counted once per attempt.
    """

    req: caller_request.Request
    first: routing.PeerView
    progress: hedging.Progress
    choose_other: Callable[[], routing.PeerView | None]
    views: Callable[[], list[routing.PeerView]]
    retry_budget: retry.RetryBudget
    limit: hedge_budget.HedgeBudget | None
    metrics: metrics_module.Metrics
    chosen: routing.PeerView | None = None
    _counted: set[HedgeEvent] = dataclasses.field(default_factory=set)

    def choose(self) -> routing.PeerView | None:
        """Return the server of a hedge, None if none is to be sent now."""
        now = time.monotonic()
        slowness = self.first.slowness(now)
        self.progress.advance(now, slowness)
        view = self.choose_other()
        if view is None or not self._is_worthwhile(view, slowness, now):
            return None
        refusal = self._refusal(view, now)
        if refusal is not None:
            self._count_once(refusal)
            return None
        self.chosen = view
        self.metrics.count_hedge(HedgeEvent.SENT)
        return view

    def _is_worthwhile(
        self, view: routing.PeerView, slowness: float, now: float
    ) -> bool:
        hedge_s = self.progress.expected_s * view.slowness(now)
        hedge_s += routing.ROUND_TRIP_S[view.distance]
        return hedging.is_hedge_worthwhile(
            self.progress,
            slowness,
            hedge_s,
            now - self.req.arrived_at,
            self.req.policy.latency_target,
            self.req.remaining_s(),
            self.retry_budget.has_reserve,
        )

    def _refusal(
        self, view: routing.PeerView, now: float
    ) -> HedgeEvent | None:
        """Pay for a hedge; return what refuses it, if anything does."""
        if not view.has_free_slot():
            # A hedge that would wait in another queue gains nothing.
            return HedgeEvent.NO_FREE_SLOT
        free_share = 1.0
        if self.limit is not None:
            free_share = hedge_budget.free_share(self.views(), now)
            if not self.limit.has_tokens(free_share):
                return HedgeEvent.HEDGE_LIMIT
        if not self.retry_budget.try_withdraw():
            return HedgeEvent.RETRY_BUDGET
        if self.limit is not None:
            self.limit.try_withdraw(free_share)
        return None

    def _count_once(self, event: HedgeEvent) -> None:
        if event not in self._counted:
            self._counted.add(event)
            self.metrics.count_hedge(event)
