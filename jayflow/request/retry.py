"""Decide whether a failed attempt is followed by another."""

import dataclasses
import enum

from jayflow.request import outcome

MAX_TOKENS = 10.0
MIN_USEFUL_S = 0.005


class RetryReason(enum.Enum):
    """Name why a request was tried again."""

    NOT_RUN = 'not_run'
    LOST_ANSWER = 'lost_answer'
    SERVER_CRASHED = 'server_crashed'
    CUT_ANSWER = 'cut_answer'
    TRY_TIMEOUT = 'try_timeout'


class RetryBudget:
    """Allow extra tries as a fraction of first tries, for one service."""

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = MAX_TOKENS

    def earn(self) -> None:
        """Count a first try."""
        self._tokens = min(MAX_TOKENS, self._tokens + self.share)

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
_LOST = {
    outcome.Reason.SERVER_CRASHED: RetryReason.SERVER_CRASHED,
    outcome.Reason.PEER_SILENT: RetryReason.TRY_TIMEOUT,
}


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
