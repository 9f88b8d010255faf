"""Drive the pure decisions in virtual time against fake backend servers.

A fake server has the door's own admission in front of it and a speed
that shifts; senders know only what answers told them.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request import admission
from jayflow.request import outcome
from jayflow.request import retry
from jayflow.request import routing
from jayflow.version import objects

SLOT_SHARES = tuple(objects.SLOT_SHARE.values())

HOP_S = 0.0002
UNREACHABLE_S = 0.25
FAIL_FAST_S = 0.0005
SERVICE_S = 0.010
SLOTS = 18
QUEUE_LENGTH = 8
QUEUE_TIME_S = 0.05
DEADLINE_S = 2.0
MAX_TRIES = 3
RETRY_SHARE = objects.DEFAULT_RETRY_SHARE
SERVICE = objects.ServiceName('lookups')

Choose = Callable[
    [list[routing.View], list[messages.NodeId], float, random.Random],
    routing.View | None,
]
Slowdown = Callable[['FakeServer', float], float]


class Clock:
    """Run events in the order of their virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list = []
        self._order = itertools.count()

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Run something at a time."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def after(self, wait_s: float, act: Callable[[], None]) -> None:
        """Run something after a wait."""
        self.at(self.now + wait_s, act)

    def run(self) -> None:
        """Run until no event is left."""
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()


@dataclasses.dataclass
class Attempt:
    """Hold one attempt of a fake request."""

    service: str
    rank: int
    work_s: float
    on_refused: Callable[[], None]
    on_end: Callable[[bool], None]


class FakeServer:
    """Serve attempts behind a real admission."""

    def __init__(
        self, name: str, clock: Clock, slots: int = SLOTS, services: int = 1
    ) -> None:
        self.name = name
        self.slowdown: Slowdown = lambda server, now: 1.0
        self.is_gone = False
        self.is_failing = False
        self.retry_after_s = 0.0
        self.admission: admission.Admission = admission.Admission(
            slots, services
        )
        self._clock = clock

    def load(self) -> messages.Load:
        """Return the load as its door would report it."""
        return messages.Load(
            self.admission.running,
            self.admission.queued,
            self.admission.slots,
            self.admission.latency_s * 1000,
        )

    def receive(self, attempt: Attempt) -> None:
        """Start, queue or refuse an attempt."""
        if self.is_failing:
            self._clock.after(FAIL_FAST_S, lambda: attempt.on_end(False))
            return
        share = SLOT_SHARES[attempt.rank]
        if self.admission.try_start(
            attempt.service, attempt.rank, False, share
        ):
            self._serve(attempt)
            return
        until = self._clock.now + QUEUE_TIME_S
        reason = outcome.Reason.QUEUE_TIME
        waiting = admission.Waiting(
            attempt,
            attempt.service,
            attempt.rank,
            until,
            reason,
            share=share,
        )
        refused = self.admission.enqueue(
            waiting, QUEUE_LENGTH, self._clock.now
        )
        if refused is not None:
            attempt.on_refused()
        else:
            self._clock.at(until, self._expire)

    def _serve(self, attempt: Attempt) -> None:
        took_s = attempt.work_s * self.slowdown(self, self._clock.now)

        def finish() -> None:
            self.admission.finish(attempt.service, attempt.rank, took_s)
            attempt.on_end(True)
            while waiting := self.admission.next_waiting():
                self._serve(waiting.item)

        self._clock.after(took_s, finish)

    def _expire(self) -> None:
        for waiting in self.admission.expired(self._clock.now):
            waiting.item.on_refused()


class Sender:
    """Send requests as a node's dispatcher does, by a choice function."""

    def __init__(
        self,
        clock: Clock,
        servers: list[FakeServer],
        choose: Choose,
        rng: random.Random,
        report_share: float = 1.0,
    ) -> None:
        self.report_share = report_share
        self._clock = clock
        self._servers = {server.name: server for server in servers}
        self._choose = choose
        self._rng = rng
        self._budgets: dict[str, retry.RetryBudget] = {}
        self.views = [_view(server) for server in servers]
        self.tries = 0

    def send(
        self,
        work_s: float,
        on_done: Callable[[float, bool], None],
        service: str = SERVICE,
        rank: int = 0,
    ) -> None:
        """Send a request; on_done takes its latency and whether served."""
        budget = self._budgets.setdefault(
            service, retry.RetryBudget(RETRY_SHARE)
        )
        budget.earn()
        _Request(self, work_s, on_done, service, rank, budget).attempt()


class _Request:
    """Try one request on several servers."""

    def __init__(self, sender, work_s, on_done, service, rank, budget):
        self._sender = sender
        self._clock = sender._clock
        self._work_s = work_s
        self._on_done = on_done
        self._service = service
        self._rank = rank
        self._budget = budget
        self._begun = self._clock.now
        self._tried: list[messages.NodeId] = []

    def attempt(self) -> None:
        sender = self._sender
        view = sender._choose(
            sender.views, self._tried, self._clock.now, sender._rng
        )
        if view is None:
            self._end(False)
            return
        self._tried.append(view.member.node)
        sender.tries += 1
        view.sent(self._clock.now)
        server = sender._servers[view.member.node]
        begun = self._clock.now
        if server.is_gone:
            self._clock.after(
                UNREACHABLE_S, lambda: self._failed(view, server, None)
            )
            return

        def refused() -> None:
            load = server.load()
            self._clock.after(HOP_S, lambda: self._refused(view, server, load))

        def ended(is_served: bool) -> None:
            load = server.load()

            def arrive() -> None:
                if is_served:
                    view.ended(self._clock.now)
                    self._observe(view, load)
                    view.observe_answer(self._clock.now - begun)
                    self._end(True)
                else:
                    self._failed(view, server, load)

            self._clock.after(HOP_S, arrive)

        attempt = Attempt(
            self._service, self._rank, self._work_s, refused, ended
        )
        self._clock.after(HOP_S, lambda: server.receive(attempt))

    def _refused(self, view, server, load) -> None:
        view.ended(self._clock.now)
        self._observe(view, load)
        self._retry()

    def _failed(self, view, server, load) -> None:
        view.ended(self._clock.now)
        if load is not None:
            self._observe(view, load)
        view.observe_failure(self._clock.now, server.retry_after_s)
        self._retry()

    def _observe(self, view: routing.View, load: messages.Load) -> None:
        """Take a report, unless the measuring budget left it out."""
        if self._sender._rng.random() < self._sender.report_share:
            view.observe_load(load, self._clock.now)

    def _retry(self) -> None:
        late = self._clock.now - self._begun > DEADLINE_S
        if len(self._tried) >= MAX_TRIES or late or not self._budget.spend():
            self._end(False)
        else:
            self.attempt()

    def _end(self, is_served: bool) -> None:
        self._on_done(self._clock.now - self._begun, is_served)


def _view(server: FakeServer) -> routing.View:
    member = members.Member(
        messages.NodeId(server.name),
        messages.Incarnation(1),
        objects.DataCentreName('dc'),
        '127.0.0.1',
        1,
        (SERVICE,),
        server.admission.slots,
    )
    return routing.View(member, routing.Distance.DATA_CENTRE)
