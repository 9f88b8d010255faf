"""Record what callers were told and judge it against what really ran.

The checkers are pure: they take a history and return its violations.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum


class Told(enum.Enum):
    """Say what a caller learned of one send."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CUT = 'cut'


@dataclasses.dataclass(frozen=True)
class Send:
    """Record one send; times are seconds of one clock.

    The mark names the send, the key names the save that it belongs to.
    """

    mark: str
    key: str
    method: str
    begun: float
    ended: float
    told: Told
    status: int = 0
    reason: str = ''
    is_whole: bool = True


@dataclasses.dataclass(frozen=True)
class Run:
    """Record one request that a server really started."""

    server: str
    at: float
    mark: str
    key: str


@dataclasses.dataclass(frozen=True)
class Drain:
    """Record a server that said it was leaving, and when."""

    server: str
    at: float


@dataclasses.dataclass
class History:
    """Hold all records of one experiment."""

    sends: list[Send] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)


Checker = Callable[[History], list[str]]
LEAVING_LIMIT_S = 3.0


def check_at_most_once(history: History) -> list[str]:
    """Return the saves that ran more than once.

    A POST with a key is one save over all its sends; without a key each
    send is a save of its own.
    """
    posts = {send.mark for send in history.sends if send.method == 'POST'}
    counts: collections.Counter[str] = collections.Counter()
    for run in history.runs:
        if run.mark in posts:
            counts[run.key or run.mark] += 1
    return [f'{save} ran {n} times' for save, n in counts.items() if n > 1]


def check_not_run(history: History) -> list[str]:
    """Return the sends that were told not run, although they ran."""
    ran = {run.mark for run in history.runs}
    return [
        f'{send.mark} was told not run ({send.reason}) and ran'
        for send in history.sends
        if send.told is Told.NOT_RUN and send.mark in ran
    ]


def check_whole_and_own(history: History) -> list[str]:
    """Return the answers that were not the whole of the own answer."""
    return [
        f'{send.mark} got an answer that is not its own whole answer'
        for send in history.sends
        if send.told is Told.ANSWERED and not send.is_whole
    ]


def check_leaving(history: History) -> list[str]:
    """Return the runs that started on a server that had long left."""
    left = {drain.server: drain.at for drain in history.drains}
    return [
        f'{run.mark} started on {run.server} after it was leaving'
        for run in history.runs
        if run.at > left.get(run.server, run.at) + LEAVING_LIMIT_S
    ]


def check_planned_stop(history: History) -> list[str]:
    """Return the sends that failed, for a run with planned stops only."""
    return [
        f'{send.mark} ended {send.told.value} {send.status} {send.reason}'
        for send in history.sends
        if send.told is not Told.ANSWERED or not send.is_whole
    ]


CHECKERS: dict[str, Checker] = {
    'at_most_once': check_at_most_once,
    'not_run': check_not_run,
    'whole_and_own': check_whole_and_own,
    'leaving': check_leaving,
}


def judge(
    history: History, names: Iterable[str] = tuple(CHECKERS)
) -> dict[str, list[str]]:
    """Return the violations of each promise."""
    return {name: CHECKERS[name](history) for name in names}
