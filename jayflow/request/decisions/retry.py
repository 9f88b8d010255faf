"""Decide whether a request is tried again after a failed attempt.

Retries are limited by the number of tries and the deadline of the request,
and by a retry budget for each service.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Self

from jayflow.request import outcome

DEFAULT_BURST_TOKENS = 10.0
# A request that runs again repeats its calls to other services. They count as
# repeats there, but no node there can recognise them. Half of the share is
# kept for them and half for a service's own retries: so calls one level deep
# stay within the share, however many calls a run makes.
FLEET_SHARE_FACTOR = 0.5
# Leaves room for nodes that restart: they get half a burst without having
# deposited anything.
FLEET_BURST_FACTOR = 0.7
# A refusal within this time of an attempt's start cost no time in a queue.
IMMEDIATE_REFUSAL_S = 0.05
# Least time until the deadline with which a request is tried again.
MIN_REMAINING_S = 0.005


class RetryReason(enum.Enum):
    """List why a request is tried again."""

    NOT_RUN = 'not_run'
    LOST_RESPONSE = 'lost_answer'
    SERVER_CRASHED = 'server_crashed'
    TRUNCATED_RESPONSE = 'cut_answer'
    TRY_TIMEOUT = 'try_timeout'
    HEDGE = 'hedge'


class RetryBudget:
    """Limit the retries of one service to a share of its requests.

    A token bucket: each request deposits share tokens, up to burst in all,
    and each retry takes one. In any period there are at most burst retries
    more than the share allows.
    """

    def __init__(
        self,
        share: float,
        burst: Callable[[], float] = lambda: DEFAULT_BURST_TOKENS,
        initial_fill: float = 1.0,
    ) -> None:
        self.share = share
        self._burst = burst
        self._tokens = initial_fill * burst()

    @classmethod
    def for_node(
        cls, share: float, burst: float, node_count: Callable[[], int]
    ) -> Self:
        """Return one node's part of a budget that all nodes share.

        The part changes with the number of known nodes. It starts half
        full, so that nodes that restart don't get a second full burst.
        """

        def node_burst() -> float:
            return FLEET_BURST_FACTOR * burst / max(1, node_count())

        return cls(FLEET_SHARE_FACTOR * share, node_burst, 0.5)

    def deposit(self) -> None:
        """Deposit the tokens of a new request."""
        self._tokens = min(self._burst(), self._tokens + self.share)

    @property
    def has_reserve(self) -> bool:
        """Return whether half the burst is left for retries of small gain."""
        return self._tokens >= max(1.0, self._burst() / 2)

    def try_withdraw(self) -> bool:
        """Take a token; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True)
class RetryContext:
    """Describe what a decision on a retry depends on.

    The tries are the attempts that may have reached a backend server.
    """

    tries: int
    max_tries: int
    remaining_s: float
    is_idempotent: bool
    can_resend_body: bool
    is_suspect: bool


_NOT_RETRIED = frozenset(
    {
        outcome.Reason.QUARANTINED,
        outcome.Reason.CANCELLED,
        outcome.Reason.DEADLINE,
    }
)
# Refusals because the slots and the queue of a server are taken, or the
# requests that it takes per second.
_LOAD_REFUSALS = frozenset(
    {
        outcome.Reason.QUEUE_FULL,
        outcome.Reason.QUEUE_TIME,
        outcome.Reason.RATE_LIMIT,
    }
)
# Refusals by the backend server itself, not by the node in front of it.
_SERVER_REFUSALS = frozenset(
    {outcome.Reason.SERVER_SHED, outcome.Reason.WRONG_INSTANCE}
)
_RETRY_REASON_OF_UNKNOWN = {
    outcome.Reason.SERVER_CRASHED: RetryReason.SERVER_CRASHED,
    outcome.Reason.PEER_SILENT: RetryReason.TRY_TIMEOUT,
}


def has_reached_server(failure: outcome.Failure) -> bool:
    """Return whether a failed attempt may have reached a server."""
    if isinstance(failure, outcome.Unknown):
        return True
    return failure.reason in _SERVER_REFUSALS


def is_next_queue_worthwhile(
    failure: outcome.Failure, attempt_s: float, has_free_slot: bool
) -> bool:
    """Return whether to try another server after a failed attempt.

    A request that waited in a queue in vain waits in no other one: it would
    be late there as well, and its caller could have come back meanwhile.
    """
    return (
        failure.reason not in _LOAD_REFUSALS
        or attempt_s < IMMEDIATE_REFUSAL_S
        or has_free_slot
    )


def retry_reason(
    failure: outcome.Failure, context: RetryContext
) -> RetryReason | None:
    """Return why to try again, or None to give up.

    A request that is not idempotent is tried again only if it did not run.
    A request that was a suspect before it crashed a server is not tried
    again even if it is idempotent; that is left to its caller.
    """
    if context.tries >= context.max_tries or not context.can_resend_body:
        return None
    if context.remaining_s < MIN_REMAINING_S:
        return None
    if isinstance(failure, outcome.NotRun):
        return None if failure.reason in _NOT_RETRIED else RetryReason.NOT_RUN
    if not context.is_idempotent:
        return None
    if failure.reason is outcome.Reason.SERVER_CRASHED and context.is_suspect:
        return None
    return _RETRY_REASON_OF_UNKNOWN.get(
        failure.reason, RetryReason.LOST_RESPONSE
    )
