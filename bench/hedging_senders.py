"""Send requests and hedges as a node's dispatcher does, in virtual time."""

from collections.abc import Callable
import random

from bench import hedging_servers as servers_module
from bench import simulation
from jayflow.request.decisions import hedge_budget
from jayflow.request.decisions import hedging
from jayflow.request.decisions import retry
from jayflow.request.decisions import routing
from jayflow.request import dispatch
from jayflow.request import hedged_attempt

MEAN_WORK_S = 0.1
TARGET_S = 0.4
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


class Sender:
    """Hold a sending node's views and budgets."""

    def __init__(self, owner, number: int) -> None:
        self.owner = owner
        self.rng = random.Random(f'{owner.seed}{number}')
        self.servers = {server.name: server for server in owner.servers}
        self.views = {
            name: simulation.new_view(server)
            for name, server in self.servers.items()
        }
        self.retry_budget = retry.RetryBudget(simulation.RETRY_SHARE)
        self.limit = (
            None if owner.limit is None else hedge_budget.HedgeBudget()
        )

    def send(self, work_s: float, number: int) -> None:
        """Send a request."""
        self.retry_budget.deposit()
        if self.limit is not None:
            self.limit.deposit(self.owner.limit)
        _Request(self, work_s, number).start()

    def choose(self, tried: list[str], now: float) -> routing.PeerView | None:
        """Choose a server with the code of the product."""
        return routing.choose_peer(
            self.views.values(),
            tried,
            now,
            self.rng,
            False,
            routing.Work(MEAN_WORK_S),
        )

    def try_pay_hedge(self, now: float) -> bool:
        """Pay for a hedge from both limits; return whether both allow it."""
        if self.limit is None:
            return self.retry_budget.try_withdraw()
        free_share = hedge_budget.free_share(self.views.values(), now)
        if not self.limit.has_tokens(free_share):
            return False
        if not self.retry_budget.try_withdraw():
            return False
        return self.limit.try_withdraw(free_share)


class _Request:
    """Run one request: attempts, at most one hedge at a time, retries."""

    def __init__(self, sender: Sender, work_s: float, number: int) -> None:
        self._sender = sender
        self._owner = sender.owner
        self._clock = sender.owner.clock
        self._number = number
        self._rng = random.Random(f'{sender.owner.seed}{number}')
        self._work_s = work_s
        if self._owner.scenario.tail_by_request:
            self._work_s *= self._tail_factor()
        self._begin = self._clock.now
        self._tried: list[str] = []
        self._running: dict = {}
        self._ended: list = []
        self._has_hedged = False
        self._servers_reached = 0
        self._is_done = False

    def start(self) -> None:
        """Send the first attempt."""
        self._attempt_next()
        self._clock.call_at(
            self._begin + simulation.DEADLINE_S, lambda: self._finish(None)
        )

    def _tail_factor(self) -> float:
        return TAIL_FACTOR if self._rng.random() < TAIL_SHARE else 1.0

    def _attempt_next(self) -> None:
        view = self._sender.choose(self._tried, self._clock.now)
        if view is None:
            self._finish(None)
            return
        self._send(view, may_queue=True)
        self._progress = hedging.Progress.start(MEAN_WORK_S, self._clock.now)
        if self._owner.limit != 0 and not self._has_hedged:
            self._check_later(view)

    def _check_later(self, view: routing.PeerView) -> None:
        self._clock.call_later(
            hedged_attempt.HEDGE_CHECK_INTERVAL_S,
            lambda: self._check_hedge(view),
        )

    def _check_hedge(self, view: routing.PeerView) -> None:
        if self._is_done or self._has_hedged or view not in self._views():
            return
        now = self._clock.now
        slowness = view.slowness(now)
        self._progress.advance(now, slowness)
        if (
            self._is_worthwhile(MEAN_WORK_S, slowness)
            and (other := self._sender.choose(self._tried, now)) is not None
            and self._servers_reached + 2 <= simulation.MAX_TRIES
            and other.has_free_slot()
            and self._is_worthwhile(
                MEAN_WORK_S * other.slowness(now), slowness
            )
            and self._sender.try_pay_hedge(now)
        ):
            self._has_hedged = True
            self._servers_reached += 1
            self._owner.totals.hedges += 1
            self._send(other, may_queue=self._owner.limit is None)
            return
        self._check_later(view)

    def _is_worthwhile(self, hedge_s: float, slowness: float) -> bool:
        now = self._clock.now
        return hedging.is_hedge_worthwhile(
            self._progress,
            slowness,
            hedge_s,
            now - self._begin,
            TARGET_S,
            self._begin + simulation.DEADLINE_S - now,
            self._sender.retry_budget.has_reserve,
        )

    def _views(self) -> list[routing.PeerView]:
        return [view for view, _ in self._running.values()]

    def _send(self, view: routing.PeerView, may_queue: bool) -> None:
        clock = self._clock
        self._tried.append(view.member.node)
        view.record_sent(clock.now)
        server = self._sender.servers[view.member.node]
        self._owner.attempts += 1
        number = self._owner.attempts
        factor = 1.0
        if self._owner.scenario.tail_by_attempt:
            factor = self._tail_factor()
        sent_at = clock.now

        def later(callback: Callable[[], None]) -> Callable[[], None]:
            return lambda: clock.call_later(simulation.HOP_LATENCY_S, callback)

        def on_refused() -> None:
            if self._end_attempt(number, server.load()):
                self._retry()

        def on_served() -> None:
            if self._end_attempt(number, server.load()):
                view.record_success(clock.now - sent_at)
                self._finish(number)

        def on_unreachable() -> None:
            if self._end_attempt(number, None):
                view.record_failure(clock.now)
                self._retry()

        attempt = servers_module.ServerAttempt(
            number,
            self._work_s * factor,
            may_queue,
            later(on_refused),
            later(on_served),
        )
        self._running[number] = view, attempt
        if server.is_unreachable():
            clock.call_later(simulation.CONNECT_TIMEOUT_S, on_unreachable)
        else:
            clock.call_later(
                simulation.HOP_LATENCY_S, lambda: server.receive(attempt)
            )

    def _end_attempt(self, number: int, load) -> bool:
        """Record the end of an attempt; return False if it was cancelled."""
        if number not in self._running:
            return False
        view, attempt = self._running.pop(number)
        self._ended.append((number, attempt))
        view.record_ended(self._clock.now)
        if load is not None:
            view.record_load(load, self._clock.now)
        return True

    def _retry(self) -> None:
        """Retry after an attempt that did not run, as the dispatcher does.

        Only a request that may have reached a server pays for it.
        """
        if self._running:
            return
        is_paid = not self._servers_reached or (
            self._sender.retry_budget.try_withdraw()
        )
        may_retry = (
            len(self._tried) < dispatch.MAX_NODES_TRIED
            and self._servers_reached < simulation.MAX_TRIES
        )
        if may_retry and is_paid:
            self._attempt_next()
        else:
            self._finish(None)

    def _finish(self, winner: int | None) -> None:
        if self._is_done:
            return
        self._is_done = True
        for number in list(self._running):
            view, attempt = self._running[number]
            server = self._sender.servers[view.member.node]
            self._end_attempt(number, None)
            self._clock.call_later(
                simulation.HOP_LATENCY_S,
                self._cancel_callback(server, attempt),
            )
        # Cancelled attempts have released their slots by then.
        self._clock.call_later(
            2 * simulation.HOP_LATENCY_S, lambda: self._record(winner)
        )
        latency_s = self._clock.now - self._begin
        if winner is None:
            latency_s = simulation.DEADLINE_S
        self._owner.record_latency(self._number, latency_s)

    def _cancel_callback(self, server, attempt) -> Callable[[], None]:
        return lambda: server.cancel(attempt)

    def _record(self, winner: int | None) -> None:
        totals = self._owner.totals
        totals.requests += 1
        for number, attempt in self._ended:
            if number == winner:
                totals.useful_s += attempt.slot_s
            else:
                totals.extra_s += attempt.slot_s
