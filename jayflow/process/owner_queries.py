"""Find the node that grants the tokens of a team, and send it queries."""

from collections.abc import Callable

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.process import owner_order
from jayflow.request.decisions import routing
from jayflow.request.decisions import team_limit
from jayflow.request import exchange as exchanges
from jayflow.version import objects

# A query is sent again once, as a lost one would make its node skip the owner.
RESEND_AFTER_S = 0.07
SKIP_S = 2.0

ChannelTo = Callable[[routing.PeerView, messages.Lane], exchanges.PeerChannel]


class OwnerQueries:
    """Send queries to the first node of each team that answers."""

    def __init__(
        self,
        node: messages.NodeId,
        directory: member_directory.MemberDirectory,
        exchange_table: exchanges.ExchangeTable,
        channel_to: ChannelTo,
        is_stopping: Callable[[], bool],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.order = owner_order.OwnerOrder(node, directory)
        self._node = node
        self._directory = directory
        self._exchange_table = exchange_table
        self._channel_to = channel_to
        self._is_stopping = is_stopping
        self._metrics = metrics
        self._clock = clock
        self._skipped: dict[
            messages.NodeId, tuple[messages.Incarnation, float]
        ] = {}

    def owner_of(self, team: objects.TeamName) -> messages.NodeId | None:
        """Return the first node that is not known to be unavailable."""
        now = self._clock()
        for node in self.order.first_nodes(team):
            if node == self._node:
                if not self._is_stopping():
                    return node
                continue
            view = self._directory.peer_view(node)
            if view is None:
                continue
            skipped = self._skipped.get(node)
            if skipped is None or skipped[1] <= now:
                return node
            # A restarted node is another process.
            if skipped[0] != view.member.incarnation:
                return node
        return None

    def skip(self, node: messages.NodeId) -> None:
        """Use the next node for a while instead of one."""
        now = self._clock()
        self._skipped = {
            other: entry
            for other, entry in self._skipped.items()
            if entry[1] > now
        }
        view = self._directory.peer_view(node)
        if view is not None:
            self._skipped[node] = view.member.incarnation, now + SKIP_S

    async def probe(
        self, node: messages.NodeId, team: objects.TeamName, wanted: int
    ) -> bool | None:
        """Return whether a node grants tokens, None if it does not answer."""
        answer = await self.query(node, team, team_limit.Demand(wanted, 0))
        return None if answer is None else answer.is_owner

    async def query(
        self,
        node: messages.NodeId,
        team: objects.TeamName,
        asked: team_limit.Demand,
    ) -> messages.TeamAllowance | None:
        """Return the answer of a node, None if none comes in time."""
        view = self._directory.peer_view(node)
        if view is None:
            return None
        channel = self._channel_to(view, messages.Lane.SHORT)
        exchange = self._exchange_table.open(channel)
        query = messages.TeamAllowanceQuery(
            exchange.attempt,
            team,
            asked.wanted,
            asked.returned,
            asked.waiting,
            asked.held,
        )
        try:
            with anyio.move_on_after(team_limit.ANSWER_TIMEOUT_S):
                await channel.wait_connected()
                for wait_s in (RESEND_AFTER_S, team_limit.ANSWER_TIMEOUT_S):
                    channel.send(query)
                    self._metrics.count_event(metrics_module.Event.TEAM_QUERY)
                    answer = await exchange.next_message(wait_s)
                    if isinstance(answer, messages.TeamAllowance):
                        return answer
        except sockets.NotSentError:
            pass
        finally:
            exchange.close()
        return None
