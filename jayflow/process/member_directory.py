"""Hold the known members of the fleet and the active configuration.

A member is a node with its backend server, as the platform or a peer
describes it. Members and versions come from elsewhere and may be stale or
wrong: a wrong member costs one refused attempt, and a version is applied
only if its number is higher and its digests match.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools
import math
import time

from jayflow.connection import codec
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import departures
from jayflow.process import subset
from jayflow.request.decisions import routing
from jayflow.version import objects
from jayflow.version import snapshot

# How long a member's own report outranks a listing of the platform.
DIRECT_PRECEDENCE_S = 1.0
SUBSET_REFRESH_S = 1.0
# How long a member that fell silent is left out of the subsets.
SILENT_EXCLUSION_S = 30.0
# The subsets of a service differ by the regions that requests may run in.
_SubsetKey = tuple[objects.ServiceName, frozenset[objects.RegionName] | None]
# Leaving servers that are remembered; beyond it, the oldest is forgotten.
MAX_LEAVING_SERVERS = 1000


class MemberDirectory:
    """Hold the peer views of all known members, by node and by service.

    In a large fleet a node sends only to a subset of each service's
    members; the subsets are kept here.
    """

    def __init__(
        self, node: messages.NodeId, data_centre: objects.DataCentreName
    ) -> None:
        self.node = node
        self.data_centre = data_centre
        self._objects = objects.ObjectSet()
        self._views: dict[messages.NodeId, routing.PeerView] = {}
        # Increases when a node becomes known or is forgotten.
        self.membership = 0
        self._by_service: dict[
            objects.ServiceName, list[routing.PeerView]
        ] = {}
        self._subsets: dict[_SubsetKey, list[routing.PeerView]] = {}
        self._platform_sources: list[routing.PeerView] = []
        self._refreshed_at = -math.inf
        # Whether anything that the subsets depend on has changed since they
        # were chosen.
        self._is_outdated = True
        self._excluded_until: dict[messages.NodeId, float] = {}
        self._leaving = departures.Departures(MAX_LEAVING_SERVERS)
        self._evacuated: frozenset[objects.DataCentreName] = frozenset()
        # Nodes that would use a server that is leaving.
        self.forgetful_nodes: set[messages.NodeId] = set()

    def known_members(self) -> list[members.Member]:
        """Return all known members."""
        return [view.member for view in self._views.values()]

    def peer_views(self) -> list[routing.PeerView]:
        """Return the peer views of all members."""
        return list(self._views.values())

    def peer_view(self, node: messages.NodeId) -> routing.PeerView | None:
        """Return the peer view of a node, or None if it is unknown."""
        return self._views.get(node)

    def peer_views_of(
        self, service: objects.ServiceName
    ) -> list[routing.PeerView]:
        """Return the peer views of the members that serve a service."""
        return self._by_service.get(service, [])

    @property
    def is_full_mesh(self) -> bool:
        """Return whether each node subscribes to all others.

        True up to FULL_MESH_MAX_NODES members; larger fleets use subsets.
        """
        return len(self._views) <= subset.FULL_MESH_MAX_NODES

    def candidates(
        self,
        service: objects.ServiceName,
        allowed_regions: frozenset[objects.RegionName] | None = None,
    ) -> list[routing.PeerView]:
        """Return the peer views of the members that this node may send to.

        None of them is in an evacuated data centre.
        """
        views = self._candidates(service, allowed_regions)
        return self._not_evacuated(views) if self._evacuated else views

    def _candidates(
        self,
        service: objects.ServiceName,
        allowed_regions: frozenset[objects.RegionName] | None,
    ) -> list[routing.PeerView]:
        if self.is_full_mesh:
            return self.peer_views_of(service)
        key = service, allowed_regions
        chosen = self._subsets.get(key)
        if chosen is None:
            chosen = self._subsets[key] = self._choose_subset(key)
            self._is_outdated = True
        return chosen or self.peer_views_of(service)

    def peers_to_subscribe(self, now: float) -> list[routing.PeerView]:
        """Return the peer views of the members to subscribe to.

        In a large fleet these are the subsets of the services in use and
        the peers that report the platform's state; both are chosen again
        after each change of the members. Which are silent is checked at
        intervals. Choosing orders all members, so it is not done in vain.
        """
        if self.is_full_mesh:
            return self.peer_views()
        if now - self._refreshed_at > SUBSET_REFRESH_S:
            self._refreshed_at = now
            if self._exclude_silent(now) or self._is_outdated:
                self._is_outdated = False
                self._choose_all()
        chosen = [
            *self._platform_sources,
            *itertools.chain(*self._subsets.values()),
        ]
        return list({view.member.node: view for view in chosen}.values())

    def hears_all_peers(self, now: float) -> bool:
        """Return whether enough peers are known and all send their state."""
        peers = [
            view
            for view in self.peers_to_subscribe(now)
            if view.member.node != self.node
        ]
        return len(peers) >= subset.SAME_REGION_SOURCES and all(
            now - view.last_heard_at <= routing.SILENCE_TIMEOUT_S
            for view in peers
        )

    def _choose_subset(self, key: _SubsetKey) -> list[routing.PeerView]:
        service, allowed_regions = key
        views = self._not_evacuated(self.peer_views_of(service))
        available = [
            view
            for view in self._not_excluded(views)
            if allowed_regions is None or view.region in allowed_regions
        ]
        return subset.service_subset(self.node, available)

    def _choose_all(self) -> None:
        """Choose the subsets and the peers that report the platform."""
        self._subsets = {
            key: self._choose_subset(key) for key in self._subsets
        }
        available = self._not_excluded(self._views.values())
        subscribed_remote = {
            view.member.node
            for view in itertools.chain(*self._subsets.values())
            if view.distance is routing.Distance.OTHER_REGION
        }
        self._platform_sources = subset.platform_sources(
            self.node, available, len(subscribed_remote)
        )

    def _exclude_silent(self, now: float) -> bool:
        """Exclude silent members from selection for SILENT_EXCLUSION_S.

        Returns whether other members are excluded than before.
        """
        excluded_before = set(self._excluded_until)
        for view in [
            *self._platform_sources,
            *itertools.chain(*self._subsets.values()),
        ]:
            if view.is_silent(now):
                self._excluded_until[view.member.node] = (
                    now + SILENT_EXCLUSION_S
                )
        self._excluded_until = {
            node: until
            for node, until in self._excluded_until.items()
            if until > now
        }
        return self._excluded_until.keys() != excluded_before

    def _not_evacuated(
        self, views: Iterable[routing.PeerView]
    ) -> list[routing.PeerView]:
        return [
            view
            for view in views
            if view.member.data_centre not in self._evacuated
        ]

    def _not_excluded(
        self, views: Iterable[routing.PeerView]
    ) -> list[routing.PeerView]:
        return [
            view
            for view in views
            if view.member.node not in self._excluded_until
        ]

    def put(self, member: members.Member) -> None:
        """Add or replace a member; remember the departures it names."""
        for server in member.departures():
            self.mark_leaving(server)
        previous = self._views.get(member.node)
        if previous and previous.member == member:
            return
        view = routing.PeerView(
            member,
            self.distance_to(member.data_centre),
            requires_seat=self._objects.limits_links,
            known_since=time.monotonic(),
            region=self._objects.region_of(member.data_centre),
        )
        if previous and previous.member.incarnation == member.incarnation:
            previous.member = member
            previous.distance = view.distance
            previous.region = view.region
            previous.load = None
            view = previous
        if member.node == self.node:
            view.last_heard_at = math.inf
        self._drop_from_services(member.node)
        if (
            previous is None
            or previous.member.incarnation != member.incarnation
        ):
            self._excluded_until.pop(member.node, None)
        if previous is None:
            self.membership += 1
        self._views[member.node] = view
        self.forgetful_nodes.discard(member.node)
        if self.forgets_departure(member):
            self.forgetful_nodes.add(member.node)
            return
        for service in member.services:
            if member.accepts(service):
                self._by_service.setdefault(service, []).append(view)

    def mark_leaving(self, server: messages.ServerIncarnation) -> None:
        """Use a server no more that is leaving.

        Its own node may forget that when it restarts. A server that states
        no start time can't be told from its successor and is not recorded.
        """
        if not server.born or not self._leaving.add(server):
            return
        for view in self._views.values():
            if self.forgets_departure(view.member):
                self.forgetful_nodes.add(view.member.node)
                self._drop_from_services(view.member.node)

    def forgets_departure(self, member: members.Member) -> bool:
        """Return whether a node would use a server that is leaving."""
        return member.server in self._leaving and not member.draining

    def put_from_node(self, member: members.Member) -> None:
        """Add a member that described itself.

        Other members at its address are gone: a new host got the address of
        theirs, and requests sent to them would reach it.
        """
        for view in list(self._views.values()):
            other = view.member
            if other.node not in (member.node, self.node) and (
                other.address == member.address
            ):
                self.remove(other.node)
        self.put(member)

    def put_from_listing(self, member: members.Member, now: float) -> None:
        """Add a member from a listing, unless its own report is newer.

        A listing may lag behind what the node itself reported a moment
        ago, such as a new incarnation.
        """
        view = self._views.get(member.node)
        if (
            view is not None
            and now - view.last_heard_at < DIRECT_PRECEDENCE_S
            and view.member.address == member.address
            and view.member.incarnation != member.incarnation
        ):
            return
        self.put(member)

    def remove_if_not_heard(self, node: messages.NodeId, now: float) -> None:
        """Remove an unlisted member, unless it was heard from lately."""
        view = self._views.get(node)
        if node == self.node or view is None:
            return
        if now - view.last_heard_at > DIRECT_PRECEDENCE_S:
            self.remove(node)

    def remove(self, node: messages.NodeId) -> None:
        """Remove a member."""
        self._drop_from_services(node)
        if self._views.pop(node, None) is not None:
            self.membership += 1
        self.forgetful_nodes.discard(node)

    def set_evacuated(
        self, data_centres: Iterable[objects.DataCentreName]
    ) -> None:
        """Send nothing more to the servers of these data centres."""
        self._evacuated = frozenset(data_centres)
        self._is_outdated = True
        self._subsets = {
            key: self._choose_subset(key) for key in self._subsets
        }

    def apply_objects(self, config: objects.ObjectSet) -> None:
        """Apply the regions and data centres of a configuration version."""
        self._objects = config
        self._is_outdated = True
        for view in self._views.values():
            view.distance = self.distance_to(view.member.data_centre)
            view.region = config.region_of(view.member.data_centre)
            view.requires_seat = config.limits_links

    def _drop_from_services(self, node: messages.NodeId) -> None:
        for views in (*self._by_service.values(), *self._subsets.values()):
            views[:] = [view for view in views if view.member.node != node]
        self._refreshed_at = -math.inf
        self._is_outdated = True

    def distance_to(
        self, data_centre: objects.DataCentreName
    ) -> routing.Distance:
        """Return the distance to a data centre.

        One whose region is unknown counts as another region.
        """
        if data_centre == self.data_centre:
            return routing.Distance.SAME_DATA_CENTRE
        own_region = self._objects.region_of(self.data_centre)
        other_region = self._objects.region_of(data_centre)
        if own_region is not None and own_region == other_region:
            return routing.Distance.SAME_REGION
        return routing.Distance.OTHER_REGION


class ActiveVersion:
    """Hold the active version; a lower one never replaces it."""

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        on_change: Callable[[snapshot.Version], None],
    ) -> None:
        self.current = snapshot.Version.empty()
        self.encoded = b''
        self._compressed = b''
        self.applied_at = time.monotonic()
        self._metrics = metrics
        self._on_change = on_change
        self._log = logs.get_logger(logs.Component.CONFIG)

    def compressed(self) -> bytes:
        """Return the encoded version as it is sent to peers."""
        if not self._compressed:
            self._compressed = codec.compress(self.encoded)
        return self._compressed

    def apply(self, version: snapshot.Version, encoded: bytes = b'') -> bool:
        """Activate a version if its number is higher; return whether it is.

        The encoded form is sent to peers that ask for the version.
        """
        if version.number <= self.current.number:
            return False
        self.current = version
        self.encoded = encoded
        self._compressed = b''
        self.applied_at = time.monotonic()
        self._metrics.count_event(metrics_module.Event.CONFIG_APPLIED)
        self._log.info(
            'Configuration version applied.', version=version.number
        )
        self._on_change(version)
        return True
