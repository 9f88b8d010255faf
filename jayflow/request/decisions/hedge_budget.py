"""Limit the hedges of each service to a share of its requests.

The limit shrinks as servers fill: a hedge takes a slot that a first attempt
may need, so it costs more tokens the fewer slots are free.
"""

from collections.abc import Iterable
import enum

from jayflow.request.decisions import routing

# Covers the requests that are in flight to a server when it turns slow.
BURST_TOKENS = 10.0


class HedgeEvent(enum.Enum):
    """Name what became of a hedge that was worth its cost."""

    SENT = 'sent'
    WON = 'won'
    HEDGE_LIMIT = 'hedge_limit'
    RETRY_BUDGET = 'retry_budget'
    NO_FREE_SLOT = 'no_free_slot'


class HedgeBudget:
    """Count the hedges that one service may still send.

    A token bucket: each request deposits a share of a token, up to
    BURST_TOKENS in all, and a hedge takes one token divided by the free
    share of the service's slots. It starts empty, so that a restarted node
    gets no burst and hedges never exceed the share of all requests.
    """

    def __init__(self) -> None:
        self._tokens = 0.0

    def deposit(self, share: float) -> None:
        """Deposit the tokens of a new request."""
        self._tokens = min(BURST_TOKENS, self._tokens + share)

    def has_tokens(self, free_share: float) -> bool:
        """Return whether a hedge may be sent at this free share of slots."""
        return self._tokens * free_share >= 1

    def try_withdraw(self, free_share: float) -> bool:
        """Take the tokens of a hedge; return whether there were enough."""
        if not self.has_tokens(free_share):
            return False
        self._tokens -= 1 / free_share
        return True


def share_in_force(
    policy_share: float | None, node_share: float | None
) -> float | None:
    """Return the share that limits hedges, None for no limit."""
    return node_share if policy_share is None else policy_share


def free_share(views: Iterable[routing.PeerView], now: float) -> float:
    """Return the free share of the slots of a service's servers.

    It is the mean over the servers rather than the share of all slots, so
    that a server that reports too many slots counts as one server only.
    A server in cooldown or without a report counts as full. Servers that
    drain, or whose nodes are silent while others are heard, don't count.
    """
    serving = [view for view in views if not routing.is_draining(view, now)]
    serving = [view for view in serving if view.is_heard(now)] or serving
    if not serving:
        return 0.0
    return sum(_free_share(view, now) for view in serving) / len(serving)


def _free_share(view: routing.PeerView, now: float) -> float:
    load = view.load
    if load is None or load.slots <= 0 or view.cooldown_until > now:
        return 0.0
    reported = load.running + load.queued + view.sent_since_report
    taken = max(0, reported, view.in_flight)
    return max(0.0, 1 - taken / load.slots)
