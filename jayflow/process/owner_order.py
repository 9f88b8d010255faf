"""Order the known nodes by who grants the tokens of a team."""

import bisect
import heapq

from jayflow.connection import messages
from jayflow.process import member_directory
from jayflow.process import subset
from jayflow.version import objects

# Nodes that are kept for each team, and how many of them may leave before the
# whole fleet is ordered again.
KEPT_NODES = 8
MIN_KEPT_NODES = 4
MAX_TEAMS = 1000

_Entry = tuple[bytes, messages.NodeId]


class OwnerOrder:
    """Keep the first nodes in the rendezvous order of each team in use.

    A change of the members costs one hash per team and new member.
    """

    def __init__(
        self,
        node: messages.NodeId,
        directory: member_directory.MemberDirectory,
    ) -> None:
        self._node = node
        self._directory = directory
        # Changes of the members in which at least one was removed.
        self.removals = 0
        self._membership = -1
        self._nodes: set[messages.NodeId] = set()
        self._first_by_team: dict[objects.TeamName, list[_Entry]] = {}

    def first_nodes(self, team: objects.TeamName) -> list[messages.NodeId]:
        """Return the first nodes of a team, the owner first."""
        if self._directory.membership != self._membership:
            self._update()
        entries = self._first_by_team.get(team)
        if entries is None:
            if len(self._first_by_team) >= MAX_TEAMS:
                self._first_by_team.clear()
            entries = self._first_by_team[team] = heapq.nsmallest(
                KEPT_NODES, (_entry(team, node) for node in self._nodes)
            )
        return [node for _, node in entries]

    def _update(self) -> None:
        self._membership = self._directory.membership
        nodes = {view.member.node for view in self._directory.peer_views()}
        nodes.add(self._node)
        added, removed = nodes - self._nodes, self._nodes - nodes
        self._nodes = nodes
        self.removals += bool(removed)
        for team, entries in list(self._first_by_team.items()):
            kept = [entry for entry in entries if entry[1] not in removed]
            for node in added:
                entry = _entry(team, node)
                # Nodes beyond the last one kept are not known in order.
                if kept and entry < kept[-1]:
                    bisect.insort(kept, entry)
            self._first_by_team[team] = kept[:KEPT_NODES]
            if len(kept) < min(MIN_KEPT_NODES, len(nodes)):
                del self._first_by_team[team]


def _entry(team: objects.TeamName, node: messages.NodeId) -> _Entry:
    return subset.rendezvous_hash(team, node), node
