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
from jayflow.request.decisions import routing

# In a fleet of up to this many nodes, all subscribe to each other.
FULL_MESH_MAX_NODES = 24
# Members of a service that one node sends to. Enough that some of their
# servers are fast at any moment.
SUBSET_SIZE = 12
# Members of a node's own data centre in its subset, if others could be in it.
MAX_DATA_CENTRE_MEMBERS = 6
# A subset has at least this many members in other regions, which take the
# load that those in the node's own region can't.
MIN_OTHER_REGION_MEMBERS = 2
# A subset whose members are all in other regions is smaller, since what they
# publish is billed by volume.
REMOTE_SUBSET_SIZE = 6
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

    Most are in the node's own data centre, as responses from others are
    billed by volume. Those of the rest of the region and, at least
    MIN_OTHER_REGION_MEMBERS if there are so many, of other regions take the
    load that the data centre can't.
    """
    near, region, remote = _split_by_distance(node, views)
    if not near and not region:
        return remote[:REMOTE_SUBSET_SIZE]
    remote_count = min(
        len(remote),
        max(MIN_OTHER_REGION_MEMBERS, SUBSET_SIZE - len(near) - len(region)),
    )
    free = SUBSET_SIZE - remote_count
    near_count = min(
        len(near), max(MAX_DATA_CENTRE_MEMBERS, free - len(region))
    )
    return (
        near[:near_count] + region[: free - near_count] + remote[:remote_count]
    )


def platform_sources(
    node: messages.NodeId,
    views: Iterable[routing.PeerView],
    subscribed_remote: int = 0,
) -> list[routing.PeerView]:
    """Return the peers that inform a node of the platform's objects.

    A node that is subscribed to members of other regions already needs fewer
    of those.
    """
    near, region, remote = _split_by_distance(node, views)
    same_region = sorted(
        near + region, key=lambda view: rendezvous_hash(view.member.node)
    )
    remote_count = max(0, OTHER_REGION_SOURCES - subscribed_remote)
    return same_region[:SAME_REGION_SOURCES] + remote[:remote_count]


def _split_by_distance(
    node: messages.NodeId, views: Iterable[routing.PeerView]
) -> list[list[routing.PeerView]]:
    """Return the members at each distance, the nearest first.

    Each list is in an order that differs from node to node.
    """
    ordered = sorted(
        views, key=lambda view: rendezvous_hash(node, view.member.node)
    )
    return [
        [view for view in ordered if view.distance is distance]
        for distance in routing.Distance
    ]
