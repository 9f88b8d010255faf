"""Choose the other nodes that a node subscribes to.

If every node subscribed to every other, each would receive the state of
the whole fleet ten times a second. With subsets, what a node receives is
bounded by the services that it calls, not by the size of the fleet.
Rendezvous hashing spreads the choices evenly and changes few of them when
a member joins or leaves.
"""

from collections.abc import Iterable
import hashlib

from jayflow.connection import messages
from jayflow.request import routing

# In a fleet of up to this many nodes, all subscribe to each other.
FULL_MESH_MAX_NODES = 24
# Members of a service that one node sends to. Enough that some of their
# servers are fast at any moment.
SUBSET_SIZE = 12
# A subset has at least this many members in other regions, which take the
# load that those in the node's own region can't.
MIN_OTHER_REGION_MEMBERS = 3
# The first nodes of a region in the order of the watcher election, so that
# every node subscribes to those that may watch the platform for its region.
SAME_REGION_SOURCES = 4
# Peers in other regions, so that new configuration versions reach a region
# even when no requests go there.
OTHER_REGION_SOURCES = 2


def rendezvous_hash(*names: str) -> bytes:
    """Return a hash that orders names in the same way on every node."""
    return hashlib.blake2b('/'.join(names).encode(), digest_size=8).digest()


def service_subset(
    node: messages.NodeId, views: Iterable[routing.PeerView]
) -> list[routing.PeerView]:
    """Return the members of a service that a node sends to.

    Members of the node's own region come first; those of other regions
    fill the rest, and at least MIN_OTHER_REGION_MEMBERS of them are chosen
    if there are so many.
    """
    same_region, other_region = _split_by_region(node, views)
    other_region_count = max(
        MIN_OTHER_REGION_MEMBERS, SUBSET_SIZE - len(same_region)
    )
    same_region_count = max(
        0, SUBSET_SIZE - min(other_region_count, len(other_region))
    )
    return same_region[:same_region_count] + other_region[:other_region_count]


def platform_sources(
    node: messages.NodeId, views: Iterable[routing.PeerView]
) -> list[routing.PeerView]:
    """Return the peers that inform a node of the platform's objects."""
    views = list(views)
    same_region = [
        view
        for view in views
        if view.distance is not routing.Distance.OTHER_REGION
    ]
    same_region.sort(key=lambda view: rendezvous_hash(view.member.node))
    _, other_region = _split_by_region(node, views)
    return (
        same_region[:SAME_REGION_SOURCES] + other_region[:OTHER_REGION_SOURCES]
    )


def _split_by_region(
    node: messages.NodeId, views: Iterable[routing.PeerView]
) -> tuple[list[routing.PeerView], list[routing.PeerView]]:
    """Return the members in the node's region and those in other regions.

    Each list is in an order that differs from node to node.
    """
    ordered = sorted(
        views, key=lambda view: rendezvous_hash(node, view.member.node)
    )
    same_region = [
        view
        for view in ordered
        if view.distance is not routing.Distance.OTHER_REGION
    ]
    other_region = [
        view
        for view in ordered
        if view.distance is routing.Distance.OTHER_REGION
    ]
    return same_region, other_region
