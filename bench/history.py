"""Check the outcomes that callers saw against what the servers ran.

The checkers are pure functions: they take a history and return the
violations of one guarantee.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import math


class CallerOutcome(enum.Enum):
    """Define the outcomes of a request as its caller sees them.

    CUT means that no complete response arrived.
    """

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CUT = 'cut'


@dataclasses.dataclass(frozen=True)
class Request:
    """Record one request of a caller; times are seconds of one clock.

    The mark identifies the request. The key is its idempotency key, which
    all retries of a save share.
    """

    mark: str
    key: str
    method: str
    sent_at: float
    ended_at: float
    caller_outcome: CallerOutcome
    status: int = 0
    reason: str = ''
    is_intact: bool = True


@dataclasses.dataclass(frozen=True)
class Run:
    """Record one request that a server started."""

    server: str
    started_at: float
    mark: str
    key: str


@dataclasses.dataclass(frozen=True)
class Drain:
    """Record a server that began to drain, and when.

    Its process ended at stopped_at; runs after that are of the next process.
    """

    server: str
    drained_at: float
    stopped_at: float = math.inf


@dataclasses.dataclass
class History:
    """Hold all records of one experiment."""

    requests: list[Request] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)


Checker = Callable[[History], list[str]]
MAX_START_AFTER_DRAIN_S = 3.0


def check_at_most_once(history: History) -> list[str]:
    """Return the saves that ran more than once.

    All POST requests with one key are one save; a POST without a key is
    a save of its own.
    """
    post_marks = {
        request.mark
        for request in history.requests
        if request.method == 'POST'
    }
    counts: collections.Counter[str] = collections.Counter()
    for run in history.runs:
        if run.mark in post_marks:
            counts[run.key or run.mark] += 1
    return [f'{save} ran {n} times' for save, n in counts.items() if n > 1]


def check_not_run(history: History) -> list[str]:
    """Return the requests that were reported as not run, but ran."""
    run_marks = {run.mark for run in history.runs}
    return [
        f'{request.mark} was reported as not run ({request.reason}) but ran'
        for request in history.requests
        if request.caller_outcome is CallerOutcome.NOT_RUN
        and request.mark in run_marks
    ]


def check_intact_responses(history: History) -> list[str]:
    """Return the requests that got an incomplete or a wrong response."""
    return [
        f'{request.mark} got an incomplete or a wrong response'
        for request in history.requests
        if request.caller_outcome is CallerOutcome.ANSWERED
        and not request.is_intact
    ]


def check_no_run_after_drain(history: History) -> list[str]:
    """Return the runs that started too late on a draining server."""
    return [
        f'{run.mark} started on {run.server} while it was draining'
        for run in history.runs
        for drain in history.drains
        if run.server == drain.server
        and drain.drained_at + MAX_START_AFTER_DRAIN_S
        < run.started_at
        <= drain.stopped_at
    ]


def check_nothing_cut(history: History) -> list[str]:
    """Return the requests that a planned stop cut off.

    A request that crosses the close of an idle connection and does not run
    is not cut off.
    """
    run_marks = {run.mark for run in history.runs}
    return [
        f'{request.mark} ended {request.caller_outcome.value}'
        f' {request.status} {request.reason}'
        for request in history.requests
        if request.caller_outcome is CallerOutcome.UNKNOWN
        or (
            request.caller_outcome is CallerOutcome.CUT
            and request.mark in run_marks
        )
    ]


def check_all_answered(history: History) -> list[str]:
    """Return the requests that failed.

    Use it where all stops are planned, so that no request may fail.
    """
    return [
        f'{request.mark} ended {request.caller_outcome.value}'
        f' {request.status} {request.reason}'
        for request in history.requests
        if request.caller_outcome is not CallerOutcome.ANSWERED
        or not request.is_intact
    ]


CHECKERS: dict[str, Checker] = {
    'at_most_once': check_at_most_once,
    'not_run': check_not_run,
    'whole_and_own': check_intact_responses,
    'leaving': check_no_run_after_drain,
}


def find_violations(
    history: History, names: Iterable[str] = tuple(CHECKERS)
) -> dict[str, list[str]]:
    """Return the violations of each named guarantee."""
    return {name: CHECKERS[name](history) for name in names}
