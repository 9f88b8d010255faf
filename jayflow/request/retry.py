"""Decide whether a failed attempt is followed by another."""

from collections.abc import Callable
import dataclasses
import enum
from typing import Self

from jayflow.request import outcome

MAX_TOKENS = 10.0
# The calls that a repeated run makes count as repeats where they arrive, and
# no node there knows of it. Half for these and half for a service's own keeps
# the share for calls one deep, however many calls a run makes.
SHARE_MARGIN = 0.5
# Nodes that start again have saved nothing, but are given half a burst.
BURST_MARGIN = 0.7
MIN_USEFUL_S = 0.005


class RetryReason(enum.Enum):
    """Name why a request was tried again."""

    NOT_RUN = 'not_run'
    LOST_ANSWER = 'lost_answer'
    SERVER_CRASHED = 'server_crashed'
    CUT_ANSWER = 'cut_answer'
    TRY_TIMEOUT = 'try_timeout'
    HEDGE = 'hedge'


class RetryBudget:
    """Allow extra tries as a fraction of first tries, for one service.

    In any span there are at most burst more than the fraction allows.
    """

    def __init__(
        self,
        share: float,
        burst: Callable[[], float] = lambda: MAX_TOKENS,
        first_share: float = 1.0,
    ) -> None:
        self.share = share
        self._burst = burst
        self._tokens = first_share * burst()

    @classmethod
    def of_fleet(
        cls, share: float, burst: float, nodes: Callable[[], int]
    ) -> Self:
        """Return one node's part of a budget that all nodes share.

        The part follows the number of nodes that are known.

        It starts half full: nodes that restart get no second whole burst.
        """

        def part() -> float:
            return BURST_MARGIN * burst / max(1, nodes())

        return cls(SHARE_MARGIN * share, part, 0.5)

    def earn(self) -> None:
        """Count a first try."""
        self._tokens = min(self._burst(), self._tokens + self.share)

    @property
    def is_plenty(self) -> bool:
        """Return whether a try may be spent on a small gain."""
        return self._tokens >= max(1.0, self._burst() / 2)

    def spend(self) -> bool:
        """Return whether one more try may be made, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True)
class Situation:
    """Hold what a decision on a retry depends on; times in seconds."""

    tries: int
    max_tries: int
    remaining_s: float
    repeatable: bool
    replayable: bool
    suspect: bool


_FINAL = frozenset(
    {
        outcome.Reason.QUARANTINED,
        outcome.Reason.CANCELLED,
        outcome.Reason.DEADLINE,
    }
)
# Refusals that came from the backend server, not from a node before it.
_SERVER_REFUSALS = frozenset(
    {outcome.Reason.SERVER_SHED, outcome.Reason.WRONG_INSTANCE}
)
_LOST = {
    outcome.Reason.SERVER_CRASHED: RetryReason.SERVER_CRASHED,
    outcome.Reason.PEER_SILENT: RetryReason.TRY_TIMEOUT,
}


def has_reached_server(failure: outcome.Failure) -> bool:
    """Return whether a failed attempt may have got to a backend server."""
    if isinstance(failure, outcome.Unknown):
        return True
    return failure.reason in _SERVER_REFUSALS


def retry_reason(
    failure: outcome.Failure, situation: Situation
) -> RetryReason | None:
    """Return why to try again, or None to give up.

    Work that is not idempotent is tried again only when it did not run.
    A suspect that crashed a server is left to its caller.
    """
    if situation.tries >= situation.max_tries or not situation.replayable:
        return None
    if situation.remaining_s < MIN_USEFUL_S:
        return None
    if isinstance(failure, outcome.NotRun):
        return None if failure.reason in _FINAL else RetryReason.NOT_RUN
    if not situation.repeatable:
        return None
    if failure.reason is outcome.Reason.SERVER_CRASHED and situation.suspect:
        return None
    return _LOST.get(failure.reason, RetryReason.LOST_ANSWER)
