"""Send the claims of one key range to one node to avoid write conflicts.

Each node derives a range's preferred node from the members that it knows, by
rendezvous hashing. It is only a hint: when nodes know different members or
the preferred node does not reply, two nodes may write to one range, and the
conditional write to the segment still lets only one of them succeed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.request import claim_segments
from jayflow.request import claim_writer
from jayflow.request.decisions import routing
from jayflow.request import exchange as exchanges
from jayflow.version import objects

# Limits the wait for the connection and the reply together. After it, this
# node claims the key itself.
CLAIM_QUERY_TIMEOUT_S = 0.5
ClaimFunction = Callable[
    [objects.ServiceName, claim_segments.ClaimRequest, float, float],
    Awaitable[claim_writer.ClaimResult],
]


def preferred_node(
    prefix: str, peer_views: Iterable[routing.PeerView]
) -> routing.PeerView | None:
    """Return the member with the highest hash for a range, if any."""
    return max(
        peer_views,
        key=lambda peer: _weight(prefix, peer.member.node),
        default=None,
    )


def _weight(prefix: str, node: messages.NodeId) -> bytes:
    text = f'{prefix}|{node}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class ClaimRouter:
    """Claim keys through their range's preferred node, else locally."""

    def __init__(
        self,
        node: messages.NodeId,
        claim_locally: ClaimFunction,
        peer_views_of: Callable[[objects.ServiceName], list[routing.PeerView]],
        exchange_table: exchanges.ExchangeTable,
        channel_for: Callable[
            [routing.PeerView, messages.Lane], exchanges.PeerChannel
        ],
    ) -> None:
        self._node = node
        self._claim_locally = claim_locally
        self._peer_views_of = peer_views_of
        self._exchange_table = exchange_table
        self._channel_for = channel_for

    async def claim(
        self,
        service: objects.ServiceName,
        request: claim_segments.ClaimRequest,
        retention_s: float,
        limit_s: float,
    ) -> claim_writer.ClaimResult:
        """Return the result of a claim by the preferred node or this one."""
        deadline = time.monotonic() + limit_s
        range_number = claim_segments.range_of(request.digest)
        prefix = claim_segments.range_prefix(service, range_number)
        peer_view = preferred_node(prefix, self._peer_views_of(service))
        if peer_view is not None and peer_view.member.node != self._node:
            query = _new_query(service, request, retention_s, limit_s)
            result = await self._query_preferred_node(
                peer_view, query, limit_s
            )
            if result is not None:
                return result
        remaining_s = deadline - time.monotonic()
        return await self._claim_locally(
            service, request, retention_s, remaining_s
        )

    async def handle_query(
        self, query: messages.ClaimQuery
    ) -> messages.ClaimAnswer:
        """Claim a key for a peer that prefers this node."""
        request = claim_segments.ClaimRequest(
            claim_segments.KeyDigest(query.digest),
            query.claim,
            query.supersedes,
        )
        result = await self._claim_locally(
            objects.ServiceName(query.service),
            request,
            query.retention_s,
            query.remaining_ms / 1000,
        )
        return messages.ClaimAnswer(
            query.attempt, result.state.value, result.existing
        )

    async def _query_preferred_node(
        self,
        peer_view: routing.PeerView,
        query: messages.ClaimQuery,
        limit_s: float,
    ) -> claim_writer.ClaimResult | None:
        """Return the node's result, None if it does not reply in time."""
        channel = self._channel_for(peer_view, messages.Lane.SHORT)
        exchange = self._exchange_table.open(channel)
        query.attempt = exchange.attempt
        timeout_s = min(CLAIM_QUERY_TIMEOUT_S, limit_s / 2)
        try:
            with anyio.fail_after(timeout_s):
                await channel.wait_connected()
                channel.send(query)
                message = await exchange.next_message(timeout_s)
        except (TimeoutError, sockets.NotSentError):
            return None
        finally:
            exchange.close()
        if not isinstance(message, messages.ClaimAnswer):
            return None
        state = claim_writer.ClaimState(message.state)
        return claim_writer.ClaimResult(state, message.existing)


def _new_query(
    service: objects.ServiceName,
    request: claim_segments.ClaimRequest,
    retention_s: float,
    limit_s: float,
) -> messages.ClaimQuery:
    return messages.ClaimQuery(
        messages.AttemptId(messages.Incarnation(0), 0),
        service,
        request.digest,
        request.claim,
        request.supersedes,
        retention_s,
        max(1, int(min(CLAIM_QUERY_TIMEOUT_S, limit_s) * 1000)),
    )
