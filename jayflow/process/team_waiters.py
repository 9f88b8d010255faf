"""Hold the requests of a team that wait for a token at one node."""

import asyncio
import collections
import dataclasses

from jayflow.request.decisions import team_stock


@dataclasses.dataclass
class TeamRequests:
    """Hold the stock of a team and the requests that wait for an answer."""

    stock: team_stock.Stock = dataclasses.field(
        default_factory=team_stock.Stock
    )
    waiters: collections.deque[asyncio.Future] = dataclasses.field(
        default_factory=collections.deque
    )
    is_asking: bool = False
    renewal: asyncio.TimerHandle | None = None


def resolve(waiter: asyncio.Future, is_admitted: bool) -> bool:
    """Resolve a waiter; return whether it was still waiting."""
    if waiter.done():
        return False
    waiter.set_result(is_admitted)
    return True


def resolve_first(
    waiters: collections.deque[asyncio.Future], count: int, is_admitted: bool
) -> int:
    """Resolve up to so many waiters; return how many were waiting."""
    resolved = 0
    while waiters and resolved < count:
        resolved += resolve(waiters.popleft(), is_admitted)
    return resolved


def drop_done(waiters: collections.deque[asyncio.Future]) -> None:
    """Remove the waiters that were resolved or are gone."""
    for _ in range(len(waiters)):
        waiter = waiters.popleft()
        if not waiter.done():
            waiters.append(waiter)
