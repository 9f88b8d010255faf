"""Elect the nodes that watch the platform on behalf of their region.

The election takes no messages: each node orders the nodes of its region by
the same hash and works out by itself whether it is among the first.
"""

from collections.abc import Iterable

from jayflow.connection import messages
from jayflow.process import subset
from jayflow.request import routing

# Two, so that one goes on while the other is cut off or frozen.
WATCHERS_PER_REGION = 2
# How recently a node must have been heard from to count as reachable.
PEER_FRESH_S = 2.0
# Longer than one watch call for configuration versions waits, so that a
# platform without changes still counts as reachable.
PLATFORM_FRESH_S = 6.0


def is_watcher(
    node: messages.NodeId,
    views: Iterable[routing.PeerView],
    now: float,
) -> bool:
    """Return whether a node is to watch the platform for its region.

    It is if fewer than WATCHERS_PER_REGION available nodes come before it
    in the order of the region. Nodes that are silent or can't reach the
    platform are not available.
    """
    own_rank = subset.rendezvous_hash(node)
    ahead = sum(
        subset.rendezvous_hash(view.member.node) < own_rank
        for view in views
        if view.distance is not routing.Distance.OTHER_REGION
        and view.member.node != node
        and now - view.last_heard_at < PEER_FRESH_S
        and now - view.platform_heard_at < PLATFORM_FRESH_S
    )
    return ahead < WATCHERS_PER_REGION
