"""Elect the nodes that watch the platform on behalf of their region.

The election takes no messages: each node orders the nodes of its region by
the same hash and works out by itself whether it is among the first. While
the platform can't be reached, the same order decides how often each node
tries again, so that the calls of a large fleet stay few.
"""

from collections.abc import Iterable

from jayflow.connection import messages
from jayflow.process import subset
from jayflow.request.decisions import routing

# Two, so that one goes on while the other is cut off or frozen.
WATCHERS_PER_REGION = 2
# How recently a node must have been heard from to count as reachable.
PEER_FRESH_S = 2.0
# Longer than one watch call for configuration versions waits, so that a
# platform without changes still counts as reachable.
PLATFORM_FRESH_S = 6.0
# Longest pause of a node that is far down the order. It bounds how late a node
# calls again that hears of nobody who reaches the platform.
MAX_OUTAGE_PAUSE_S = 15.0


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
    ahead = [
        view
        for view in _nodes_ahead(node, views, now)
        if _reaches_platform(view, now)
    ]
    return len(ahead) < WATCHERS_PER_REGION


def outage_pause_s(
    node: messages.NodeId,
    views: Iterable[routing.PeerView],
    now: float,
    max_pause_s: float,
) -> float:
    """Return the longest pause before a node calls the platform again.

    It is max_pause_s if some node reaches the platform. Otherwise it grows
    with the number of nodes ahead in the order: so the calls of a region in
    an outage grow with the logarithm of its size.
    """
    views = list(views)
    if is_platform_reported(views, now):
        return max_pause_s
    ahead = len(_nodes_ahead(node, views, now))
    pause_s = max_pause_s * max(1.0, ahead / WATCHERS_PER_REGION)
    return min(pause_s, max(max_pause_s, MAX_OUTAGE_PAUSE_S))


def is_platform_reported(
    views: Iterable[routing.PeerView], now: float
) -> bool:
    """Return whether any node that is heard from reaches the platform."""
    return any(
        now - view.last_heard_at < PEER_FRESH_S
        and _reaches_platform(view, now)
        for view in views
    )


def _nodes_ahead(
    node: messages.NodeId, views: Iterable[routing.PeerView], now: float
) -> list[routing.PeerView]:
    """Return the nodes of the region that are heard from and come earlier."""
    own_rank = subset.rendezvous_hash(node)
    return [
        view
        for view in views
        if view.distance is not routing.Distance.OTHER_REGION
        and view.member.node != node
        and now - view.last_heard_at < PEER_FRESH_S
        and subset.rendezvous_hash(view.member.node) < own_rank
    ]


def _reaches_platform(view: routing.PeerView, now: float) -> bool:
    return now - view.platform_heard_at < PLATFORM_FRESH_S
