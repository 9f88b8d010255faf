"""Send claims of one key range to one node, so that writes don't collide.

The owner is a hint that every node works out from its own view of the
members. When views differ or the owner is silent, two nodes write to one
range; the segment's revision still fences them.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.request import claims
from jayflow.request import exchange as exchanges
from jayflow.request import keys
from jayflow.request import routing
from jayflow.version import objects

OWNER_TIMEOUT_S = 0.5
ClaimOwn = Callable[
    [objects.ServiceName, claims.Wanted, float, float],
    Awaitable[keys.ClaimResult],
]


def owner_of(
    prefix: str, views: Iterable[routing.View]
) -> routing.View | None:
    """Return the member with the highest hash for a range."""
    return max(
        views, key=lambda view: _weight(prefix, view.member.node), default=None
    )


def _weight(prefix: str, node: messages.NodeId) -> bytes:
    text = f'{prefix}|{node}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class ClaimRouter:
    """Claim keys through the owner of their range."""

    def __init__(
        self,
        node: messages.NodeId,
        claim_own: ClaimOwn,
        views_of: Callable[[objects.ServiceName], list[routing.View]],
        open_exchanges: exchanges.Exchanges,
        wire_to: Callable[[routing.View, messages.Lane], exchanges.Wire],
    ) -> None:
        self._node = node
        self._claim_own = claim_own
        self._views_of = views_of
        self._exchanges = open_exchanges
        self._wire_to = wire_to

    async def claim(
        self,
        service: objects.ServiceName,
        wanted: claims.Wanted,
        retention_s: float,
        limit_s: float,
    ) -> keys.ClaimResult:
        """Return how a claim ended, by the owner or by this node."""
        end = time.monotonic() + limit_s
        number = claims.range_of(wanted.digest)
        prefix = claims.range_prefix(service, number)
        owner = owner_of(prefix, self._views_of(service))
        if owner is not None and owner.member.node != self._node:
            query = _query(service, wanted, retention_s, limit_s)
            found = await self._ask(owner, query, limit_s)
            if found is not None:
                return found
        left_s = end - time.monotonic()
        return await self._claim_own(service, wanted, retention_s, left_s)

    async def answer(self, query: messages.ClaimQuery) -> messages.ClaimAnswer:
        """Claim for a peer that takes this node for the owner."""
        wanted = claims.Wanted(
            claims.KeyDigest(query.digest), query.claim, query.supersedes
        )
        found = await self._claim_own(
            objects.ServiceName(query.service),
            wanted,
            query.retention_s,
            query.remaining_ms / 1000,
        )
        return messages.ClaimAnswer(
            query.attempt, found.state.value, found.held
        )

    async def _ask(
        self,
        owner: routing.View,
        query: messages.ClaimQuery,
        limit_s: float,
    ) -> keys.ClaimResult | None:
        wire = self._wire_to(owner, messages.Lane.SHORT)
        exchange = self._exchanges.open(wire)
        query.attempt = exchange.attempt
        wait_s = min(OWNER_TIMEOUT_S, limit_s / 2)
        try:
            with anyio.fail_after(wait_s):
                await wire.wait_ready()
            wire.send(query)
            message = await exchange.next(wait_s)
        except (TimeoutError, sockets.LinkDownError):
            return None
        finally:
            exchange.close()
        if not isinstance(message, messages.ClaimAnswer):
            return None
        state = keys.ClaimState(message.state)
        return keys.ClaimResult(state, message.held)


def _query(
    service: objects.ServiceName,
    wanted: claims.Wanted,
    retention_s: float,
    limit_s: float,
) -> messages.ClaimQuery:
    return messages.ClaimQuery(
        messages.AttemptId(messages.Incarnation(0), 0),
        service,
        wanted.digest,
        wanted.claim,
        wanted.supersedes,
        retention_s,
        max(1, int(min(OWNER_TIMEOUT_S, limit_s) * 1000)),
    )
