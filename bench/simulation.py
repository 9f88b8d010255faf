"""Simulate senders and backend servers in virtual time.

The simulation runs the routing, retry and admission code of the product.
A fake server has a real admission queue in front of it and a speed that
may change over time. A sender knows the load of a server only from the
responses that it received.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request.decisions import admission
from jayflow.request.decisions import retry
from jayflow.request.decisions import routing
from jayflow.request import outcome
from jayflow.version import objects

# The share of a server's slots that requests may occupy, by their rank.
SLOT_SHARES = tuple(objects.MAX_SLOT_SHARE.values())

HOP_LATENCY_S = 0.0002
CONNECT_TIMEOUT_S = 0.25
FAST_FAILURE_S = 0.0005
MEAN_SERVICE_S = 0.010
SLOTS = 18
MAX_QUEUE_LENGTH = 8
MAX_QUEUE_TIME_S = 0.05
DEADLINE_S = 2.0
MAX_TRIES = 3
RETRY_SHARE = objects.DEFAULT_RETRY_SHARE
SERVICE = objects.ServiceName('lookups')

Selector = Callable[
    [list[routing.PeerView], list[messages.NodeId], float, random.Random],
    routing.PeerView | None,
]
Slowdown = Callable[['FakeServer', float], float]


class VirtualClock:
    """Run callbacks in the order of their virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list = []
        self._order = itertools.count()

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        heapq.heappush(self._events, (when, next(self._order), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now + delay_s, callback)

    def run(self) -> None:
        """Run until no callback is left."""
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


@dataclasses.dataclass
class Attempt:
    """Hold one attempt of a simulated request.

    work_s is the service time at normal speed. on_end is called with whether
    the attempt was served.
    """

    service: str
    rank: int
    work_s: float
    on_refused: Callable[[], None]
    on_end: Callable[[bool], None]


class FakeServer:
    """Serve attempts behind a real admission queue.

    slowdown returns the factor on the service time at a time. A server
    that fails fast answers each attempt with an error at once.
    """

    def __init__(
        self,
        name: str,
        clock: VirtualClock,
        slots: int = SLOTS,
        services: int = 1,
    ) -> None:
        self.name = name
        self.slowdown: Slowdown = lambda server, now: 1.0
        self.is_unreachable = False
        self.fails_fast = False
        self.retry_after_s = 0.0
        self.admission: admission.AdmissionQueue = admission.AdmissionQueue(
            slots, services
        )
        self._clock = clock

    def load(self) -> messages.Load:
        """Return the load as the executor of a node would report it."""
        return messages.Load(
            self.admission.running,
            self.admission.queued,
            self.admission.slots,
            self.admission.mean_service_s * 1000,
        )

    def receive(self, attempt: Attempt) -> None:
        """Start, queue or refuse an attempt."""
        if self.fails_fast:
            self._clock.call_later(
                FAST_FAILURE_S, lambda: attempt.on_end(False)
            )
            return
        share = SLOT_SHARES[attempt.rank]
        if self.admission.try_start(
            attempt.service, attempt.rank, False, share
        ):
            self._serve(attempt)
            return
        expires_at = self._clock.now + MAX_QUEUE_TIME_S
        reason = outcome.Reason.QUEUE_TIME
        queued_request = admission.QueuedRequest(
            attempt,
            attempt.service,
            attempt.rank,
            expires_at,
            reason,
            max_slot_share=share,
        )
        rejection = self.admission.enqueue(
            queued_request, MAX_QUEUE_LENGTH, self._clock.now
        )
        if rejection is not None:
            rejection.queued_request.item.on_refused()
        self._clock.call_at(expires_at, self._refuse_expired)

    def _serve(self, attempt: Attempt) -> None:
        service_time_s = attempt.work_s * self.slowdown(self, self._clock.now)

        def finish() -> None:
            self.admission.release_slot(
                attempt.service, attempt.rank, service_time_s
            )
            attempt.on_end(True)
            while queued_request := self.admission.start_next():
                self._serve(queued_request.item)

        self._clock.call_later(service_time_s, finish)

    def _refuse_expired(self) -> None:
        for queued_request in self.admission.remove_expired(self._clock.now):
            queued_request.item.on_refused()


class Sender:
    """Send requests as a node's dispatcher does.

    select chooses the server of an attempt. report_share is the
    probability that a response carries a load report.
    """

    def __init__(
        self,
        clock: VirtualClock,
        servers: list[FakeServer],
        select: Selector,
        rng: random.Random,
        report_share: float = 1.0,
    ) -> None:
        self.report_share = report_share
        self._clock = clock
        self._servers = {server.name: server for server in servers}
        self._select = select
        self._rng = rng
        self._budgets: dict[str, retry.RetryBudget] = {}
        self.views = [new_view(server) for server in servers]
        self.tries = 0

    def send(
        self,
        work_s: float,
        on_done: Callable[[float, bool], None],
        service: str = SERVICE,
        rank: int = 0,
    ) -> None:
        """Send a request.

        on_done is called with the latency in seconds and whether the
        request was served.
        """
        budget = self._budgets.setdefault(
            service, retry.RetryBudget(RETRY_SHARE)
        )
        budget.deposit()
        _Request(self, work_s, on_done, service, rank, budget).attempt()


class _Request:
    """Try one request on several servers, within its retry budget."""

    def __init__(self, sender, work_s, on_done, service, rank, budget):
        self._sender = sender
        self._clock = sender._clock
        self._work_s = work_s
        self._on_done = on_done
        self._service = service
        self._rank = rank
        self._budget = budget
        self._start = self._clock.now
        self._tried: list[messages.NodeId] = []

    def attempt(self) -> None:
        sender = self._sender
        view = sender._select(
            sender.views, self._tried, self._clock.now, sender._rng
        )
        if view is None:
            self._end(False)
            return
        self._tried.append(view.member.node)
        sender.tries += 1
        view.record_sent(self._clock.now)
        server = sender._servers[view.member.node]
        start = self._clock.now
        if server.is_unreachable:
            self._clock.call_later(
                CONNECT_TIMEOUT_S, lambda: self._on_failed(view, server, None)
            )
            return

        def on_refused() -> None:
            load = server.load()
            self._clock.call_later(
                HOP_LATENCY_S, lambda: self._on_refused(view, server, load)
            )

        def on_end(is_served: bool) -> None:
            load = server.load()

            def arrive() -> None:
                if is_served:
                    view.record_ended(self._clock.now)
                    self._observe_load(view, load)
                    view.record_success(self._clock.now - start)
                    self._end(True)
                else:
                    self._on_failed(view, server, load)

            self._clock.call_later(HOP_LATENCY_S, arrive)

        attempt = Attempt(
            self._service, self._rank, self._work_s, on_refused, on_end
        )
        self._clock.call_later(HOP_LATENCY_S, lambda: server.receive(attempt))

    def _on_refused(self, view, server, load) -> None:
        view.record_ended(self._clock.now)
        self._observe_load(view, load)
        self._retry()

    def _on_failed(self, view, server, load) -> None:
        view.record_ended(self._clock.now)
        if load is not None:
            self._observe_load(view, load)
        view.record_failure(self._clock.now, server.retry_after_s)
        self._retry()

    def _observe_load(
        self, view: routing.PeerView, load: messages.Load
    ) -> None:
        """Record a load report, unless the measuring budget dropped it."""
        if self._sender._rng.random() < self._sender.report_share:
            view.record_load(load, self._clock.now)

    def _retry(self) -> None:
        is_late = self._clock.now - self._start > DEADLINE_S
        if (
            len(self._tried) >= MAX_TRIES
            or is_late
            or not self._budget.try_withdraw()
        ):
            self._end(False)
        else:
            self.attempt()

    def _end(self, is_served: bool) -> None:
        self._on_done(self._clock.now - self._start, is_served)


def new_view(server: FakeServer) -> routing.PeerView:
    """Return a sender's view of a server before any report."""
    member = members.Member(
        messages.NodeId(server.name),
        messages.Incarnation(1),
        objects.DataCentreName('dc'),
        '127.0.0.1',
        1,
        (SERVICE,),
        server.admission.slots,
    )
    return routing.PeerView(member, routing.Distance.SAME_DATA_CENTRE)
