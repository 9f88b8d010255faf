"""Simulate servers whose attempts can be cancelled, for the hedging bench.

The work of an attempt goes on at the speed that its server has at each
moment, so an attempt that began in a slow period ends soon after it.
"""

from collections.abc import Callable
import dataclasses
import math

from bench import simulation
from jayflow.connection import messages
from jayflow.request.decisions import admission
from jayflow.request import outcome

RANK = 0


@dataclasses.dataclass(frozen=True)
class SlowPeriod:
    """Describe when a server is slow, and by which factor."""

    begin: float
    end: float
    factor: float


@dataclasses.dataclass
class ServerAttempt:
    """Hold one attempt at a server; slot_s is how long it held a slot."""

    number: int
    work_s: float
    may_queue: bool
    on_refused: Callable[[], None]
    on_served: Callable[[], None]
    started_at: float | None = None
    slot_s: float = 0.0
    is_ended: bool = False


class Server:
    """Serve attempts behind a real admission queue, and cancel them."""

    def __init__(self, name: str, clock: simulation.VirtualClock) -> None:
        self.name = name
        self.slow_periods: list[SlowPeriod] = []
        self.unreachable_from = math.inf
        self.unreachable_until = math.inf
        self.reports_false_load = False
        self.admission: admission.AdmissionQueue = admission.AdmissionQueue(
            simulation.SLOTS
        )
        self._clock = clock
        self._attempts: dict[int, ServerAttempt] = {}

    def is_unreachable(self) -> bool:
        """Return whether no message reaches the server now."""
        return (
            self.unreachable_from <= self._clock.now < (self.unreachable_until)
        )

    def load(self) -> messages.Load:
        """Return the load as the node beside the server reports it."""
        if self.reports_false_load:
            return messages.Load(0, 0, 1_000_000, 0.0)
        return messages.Load(
            self.admission.running,
            self.admission.queued,
            self.admission.slots,
            0.0,
            slowness=self._slow_period(self._clock.now).factor,
        )

    def receive(self, attempt: ServerAttempt) -> None:
        """Start, queue or refuse an attempt."""
        if attempt.is_ended:
            return
        now = self._clock.now
        self._attempts[attempt.number] = attempt
        if self.admission.try_start(simulation.SERVICE, RANK, now=now):
            self._serve(attempt)
            return
        expires_at = now + simulation.MAX_QUEUE_TIME_S
        rejection = self.admission.enqueue(
            admission.QueuedRequest(
                attempt.number,
                simulation.SERVICE,
                RANK,
                expires_at,
                outcome.Reason.QUEUE_TIME,
            ),
            simulation.MAX_QUEUE_LENGTH if attempt.may_queue else 0,
            now,
        )
        if rejection is not None:
            self._refuse(rejection.queued_request.item)
        self._clock.call_at(expires_at, self._refuse_expired)

    def cancel(self, attempt: ServerAttempt) -> None:
        """Cancel an attempt that runs or waits, as an executor does."""
        if attempt.is_ended:
            return
        if attempt.started_at is None:
            attempt.is_ended = True
            self.admission.remove(attempt.number)
        else:
            self._end(attempt)

    def _serve(self, attempt: ServerAttempt) -> None:
        attempt.started_at = self._clock.now

        def finish() -> None:
            if not attempt.is_ended:
                self._end(attempt)
                attempt.on_served()

        self._clock.call_at(self._finish_at(attempt.work_s), finish)

    def _end(self, attempt: ServerAttempt) -> None:
        attempt.is_ended = True
        attempt.slot_s = self._clock.now - attempt.started_at
        del self._attempts[attempt.number]
        self.admission.release_slot(simulation.SERVICE, RANK, attempt.slot_s)
        while queued_request := self.admission.start_next(self._clock.now):
            self._serve(self._attempts[queued_request.item])

    def _refuse(self, number: int) -> None:
        attempt = self._attempts.pop(number)
        attempt.is_ended = True
        attempt.on_refused()

    def _refuse_expired(self) -> None:
        for queued_request in self.admission.remove_expired(self._clock.now):
            self._refuse(queued_request.item)

    def _finish_at(self, work_s: float) -> float:
        when = self._clock.now
        while True:
            period = self._slow_period(when)
            end = when + work_s * period.factor
            if end <= period.end:
                return end
            work_s -= (period.end - when) / period.factor
            when = period.end

    def _slow_period(self, when: float) -> SlowPeriod:
        """Return the slow period at a time, or the usual one around it."""
        next_begin = math.inf
        for period in self.slow_periods:
            if period.begin <= when < period.end:
                return period
            if period.begin > when:
                next_begin = period.begin
                break
        return SlowPeriod(-math.inf, next_begin, 1.0)
