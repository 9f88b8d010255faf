"""Exchange the state of nodes by subscriptions.

A node subscribes to the peers that it may send requests to. Each node
publishes its load to its subscribers while it changes: at short intervals in
its data centre, at longer ones to other data centres and regions, whose
traffic is billed. It publishes its member description when a peer subscribes
and whenever the description changes.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import math
import time
from typing import NamedTuple, Self

import anyio
import msgspec

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import peer_connections as peers
from jayflow.connection import sockets
from jayflow import logs
from jayflow.process import evacuations
from jayflow.process import member_directory
from jayflow.request.decisions import routing
from jayflow.request import executor as executors

# A load report of a backend server is meaningful for about this long.
PUBLISH_INTERVAL_S = 0.1
# Servers in other regions are chosen seldom, and the link to them is billed by
# volume.
OTHER_REGION_PUBLISH_INTERVAL_S = 1.5
# Reports while a server runs one request: to its own data centre, where most
# of its requests come from, and to the rest of the region.
REPORTS_PER_REQUEST = {
    routing.Distance.SAME_DATA_CENTRE: 4,
    routing.Distance.SAME_REGION: 2,
}
# A state that has not changed is sent again after this time.
UNCHANGED_PUBLISH_INTERVAL_S = 1.0
# A node with so many subscribers that it would exceed this rate publishes to
# each less often, so that its reports of 100 bytes each stay below the 15 KB/s
# that control traffic may take.
MAX_REPORTS_PER_S = 120
SUBSCRIPTION_RENEW_S = 2.0
# A subscriber that has not renewed for this long is removed.
SUBSCRIPTION_TTL_S = 7.0
# Checks for lost connections and new members come this often once the node
# is subscribed to all peers.
RENEW_CHECK_INTERVAL_S = 0.3
# Minimum time between two queries for a newer configuration version.
VERSION_QUERY_INTERVAL_S = 0.2
# The connection to a peer that publishes nothing for this long is reopened.
PEER_SILENT_S = 3 * UNCHANGED_PUBLISH_INTERVAL_S


def publish_pause_s(
    distance: routing.Distance, mean_service_s: float, subscribers: int
) -> float:
    """Return the pause between two reports of changed load.

    It grows with the time that a request takes, in which the load changes
    little, and with the number of subscribers. A pause as short as the
    interval between two checks counts as none.
    """
    if distance is routing.Distance.OTHER_REGION:
        return OTHER_REGION_PUBLISH_INTERVAL_S
    pause_s = max(
        mean_service_s / REPORTS_PER_REQUEST[distance],
        subscribers / MAX_REPORTS_PER_S,
    )
    if pause_s <= PUBLISH_INTERVAL_S:
        return 0.0
    return min(pause_s, UNCHANGED_PUBLISH_INTERVAL_S)


@dataclasses.dataclass
class _Subscriber:
    """Hold when a subscriber last renewed, and its last report."""

    distance: routing.Distance
    renewed_at: float
    last_report: '_StateReport | None' = None
    sent_at: float = -math.inf

    def is_due(
        self, report: '_StateReport', now: float, pause_s: float
    ) -> bool:
        """Return whether to send a report now.

        A change of load waits for the pause after the last report. To other
        regions, so does a change of slowness.
        """
        age_s = now - self.sent_at
        is_remote = self.distance is routing.Distance.OTHER_REGION
        unchanged_pause_s = (
            OTHER_REGION_PUBLISH_INTERVAL_S
            if is_remote
            else UNCHANGED_PUBLISH_INTERVAL_S
        )
        if self.last_report is None or age_s >= unchanged_pause_s:
            return True
        if report.is_urgent_after(self.last_report):
            return True
        if not is_remote and report.has_other_slowness(self.last_report):
            return True
        return report != self.last_report and age_s >= pause_s


class _StateReport(NamedTuple):
    """Hold the state of a node that its subscribers receive."""

    load: messages.Load
    version: int
    member: bytes
    evacuated: evacuations.Knowledge

    def is_urgent_after(self, previous: Self) -> bool:
        """Return whether the change is to be sent without a pause."""
        return (
            self.load.draining != previous.load.draining
            or self[1:] != previous[1:]
        )

    def has_other_slowness(self, previous: Self) -> bool:
        """Return whether the slowness of the server has changed since."""
        return self.load.slowness != previous.load.slowness


class StatePublisher:
    """Keep a node's subscribers and publish its state to them."""

    def __init__(
        self,
        executor: executors.Executor,
        member: Callable[[], members.Member],
        version: Callable[[], int],
        platform_age_s: Callable[[float], float],
        send: Callable[[sockets.RoutingId, messages.PeerReply], None],
    ) -> None:
        self._executor = executor
        self._member = member
        self._version = version
        self._platform_age_s = platform_age_s
        self._send = send
        self.evacuated: Callable[[], evacuations.Knowledge] = (
            evacuations.Knowledge
        )
        self._subscribers: dict[sockets.RoutingId, _Subscriber] = {}

    def subscribe(
        self,
        peer: sockets.RoutingId,
        distance: routing.Distance = routing.Distance.SAME_DATA_CENTRE,
        is_renewal: bool = False,
    ) -> None:
        """Add or renew a subscriber; send a new one a full report."""
        now = time.monotonic()
        subscriber = self._subscribers.get(peer)
        if is_renewal and subscriber is not None:
            subscriber.renewed_at = now
            subscriber.distance = distance
            return
        self._subscribers[peer] = _Subscriber(distance, now)
        self._send_state(peer, self._current_report(), now)

    async def run(self) -> None:
        """Publish to the subscribers until cancelled."""
        while True:
            pause_s = publish_pause_s(
                routing.Distance.SAME_DATA_CENTRE,
                self._executor.load().latency_ms / 1000,
                len(self._subscribers),
            )
            await anyio.sleep(max(pause_s, PUBLISH_INTERVAL_S))
            self.publish()

    def publish(self) -> None:
        """Send a report to each subscriber that is due for one.

        Subscribers that did not renew in time are removed.
        """
        now = time.monotonic()
        report = self._current_report()
        pauses_s = {
            distance: publish_pause_s(
                distance,
                report.load.latency_ms / 1000,
                len(self._subscribers),
            )
            for distance in routing.Distance
        }
        for peer, subscriber in list(self._subscribers.items()):
            pause_s = pauses_s[subscriber.distance]
            if now - subscriber.renewed_at >= SUBSCRIPTION_TTL_S:
                del self._subscribers[peer]
            elif subscriber.is_due(report, now, pause_s):
                self._send_state(peer, report, now)

    def broadcast(self, message: messages.MemberUpdate) -> None:
        """Send the subscribers an update of another member."""
        for peer in list(self._subscribers):
            try:
                self._send(peer, message)
            except sockets.NotSentError:
                del self._subscribers[peer]

    def _current_report(self) -> _StateReport:
        return _StateReport(
            self._executor.load(),
            self._version(),
            self._member().encode(),
            self.evacuated(),
        )

    def _send_state(
        self, peer: sockets.RoutingId, report: _StateReport, now: float
    ) -> None:
        subscriber = self._subscribers[peer]
        last_report = subscriber.last_report
        is_member_new = (
            last_report is None or last_report.member != report.member
        )
        own_member = self._member()
        state = messages.NodeState(
            own_member.node,
            own_member.incarnation,
            report.load,
            report.version,
            round(self._platform_age_s(now), 1),
            report.member if is_member_new else b'',
            report.evacuated.data_centres,
            report.evacuated.position.revision,
            report.evacuated.position.era,
        )
        subscriber.last_report, subscriber.sent_at = report, now
        try:
            self._send(peer, state)
        except sockets.NotSentError:
            del self._subscribers[peer]


class _Renewal(NamedTuple):
    """Hold when, on which connection and as whom a node subscribed last."""

    at: float
    disconnect_count: int
    own_member: bytes


class PeerSubscriptions:
    """Subscribe to peers and apply the state that they publish."""

    def __init__(
        self,
        node: messages.NodeId,
        data_centre: str,
        directory: member_directory.MemberDirectory,
        peer_connections: peers.PeerConnections,
        new_attempt_id: Callable[[], messages.AttemptId],
        own_member: Callable[[], members.Member],
        version: Callable[[], int],
    ) -> None:
        self.on_evacuated: Callable[[evacuations.Knowledge], None] = (
            lambda knowledge: None
        )
        self._own_member = own_member
        self._version = version
        self._version_asked_at = -math.inf
        self._node = node
        self._data_centre = data_centre
        self._directory = directory
        self._peer_connections = peer_connections
        self._new_attempt_id = new_attempt_id
        self._renewed: dict[str, _Renewal] = {}
        self._reopened_at: dict[messages.NodeId, float] = {}
        self._silent: set[messages.NodeId] = set()
        self._log = logs.get_logger(logs.Component.MEMBERS)

    async def run(self) -> None:
        """Renew the subscriptions until cancelled."""
        while True:
            has_all = self.renew(time.monotonic())
            await anyio.sleep(
                RENEW_CHECK_INTERVAL_S if has_all else PUBLISH_INTERVAL_S
            )

    def renew(self, now: float) -> bool:
        """Subscribe where it is due or the connection was lost since.

        Returns whether the node is subscribed to all peers.
        """
        has_all = True
        own_member = self._own_member().encode()
        for view in self._directory.peers_to_subscribe(now):
            member = view.member
            if member.node == self._node:
                continue
            connection = self._peer_connections.connection_to(
                member, messages.Lane.SHORT
            )
            if self._is_peer_silent(member, connection.connected_at, now):
                self._reopen(member, now)
                connection = self._peer_connections.connection_to(
                    member, messages.Lane.SHORT
                )
            renewal = _Renewal(now, connection.disconnect_count, own_member)
            last_renewal = self._renewed.get(member.address)
            is_known = last_renewal is not None and (
                last_renewal[1:] == renewal[1:]
            )
            has_all = has_all and is_known
            if not connection.is_connected or (
                is_known and now - last_renewal.at < SUBSCRIPTION_RENEW_S
            ):
                continue
            self._renewed[member.address] = renewal
            try:
                connection.send(
                    messages.Subscribe(
                        self._new_attempt_id(),
                        self._data_centre,
                        b'' if is_known else renewal.own_member,
                    )
                )
            except sockets.NotSentError:
                del self._renewed[member.address]
        return has_all

    def _is_peer_silent(
        self, member: members.Member, connected_at: float, now: float
    ) -> bool:
        """Return whether a peer has published nothing for PEER_SILENT_S.

        One that was away has that long from when it is connected again.
        """
        view = self._directory.peer_view(member.node)
        renewal = self._renewed.get(member.address)
        renewed_at = renewal.at if renewal else now
        heard_at = max(
            view.last_heard_at,
            self._reopened_at.get(member.node, renewed_at),
            connected_at,
        )
        return now - heard_at > PEER_SILENT_S

    def _reopen(self, member: members.Member, now: float) -> None:
        """Open a new connection to a silent peer.

        A connection can go silent without a reset while new ones work.
        """
        view = self._directory.peer_view(member.node)
        self._log.warning(
            'Peer is silent; reopening the connection to it.',
            node=member.node,
            silent_s=round(now - view.last_heard_at, 1)
            if math.isfinite(view.last_heard_at)
            else None,
        )
        self._silent.add(member.node)
        self._reopened_at[member.node] = now
        self._renewed.pop(member.address, None)
        self._peer_connections.reset(member)

    def handle_state(self, state: messages.NodeState) -> None:
        """Apply the state that a peer published.

        A state of an unknown node or of another incarnation is ignored. If
        the peer has a newer configuration version, ask it for that.
        """
        now = time.monotonic()
        if state.node == self._node:
            return
        if state.member:
            try:
                member = members.Member.decode(state.member)
            except msgspec.DecodeError as exc:
                self._log.warning(
                    'Member record from a peer is malformed; its state is '
                    'ignored.',
                    node=state.node,
                    error=str(exc),
                )
                return
            self._directory.put_from_node(member)
        view = self._directory.peer_view(state.node)
        if view is None or view.member.incarnation != state.incarnation:
            return
        if state.node in self._silent:
            self._silent.discard(state.node)
            self._log.info('Peer is responding again.', node=state.node)
        view.last_heard_at = now
        view.platform_heard_at = now - state.platform_age_s
        view.record_load(state.load, now)
        # After a restore to a copy without this kind the revision is 0.
        if state.evacuation_revision or state.evacuation_era:
            self.on_evacuated(evacuations.Knowledge.from_state(state))
        if state.node in self._directory.forgetful_nodes:
            self._send(
                view.member,
                messages.ServerLeft(
                    self._new_attempt_id(), view.member.server
                ),
            )
        is_newer = state.version > self._version()
        if (
            is_newer
            and now - self._version_asked_at > VERSION_QUERY_INTERVAL_S
        ):
            self._version_asked_at = now
            self._ask_for_version(view.member)

    def notify_missing(self, node: messages.NodeId, must_read: bool) -> None:
        """Notify a node that its record is missing from the platform."""
        view = self._directory.peer_view(node)
        if view is not None:
            message = messages.MemberMissing(self._new_attempt_id(), must_read)
            self._send(view.member, message)

    def _ask_for_version(self, member: members.Member) -> None:
        self._send(member, messages.VersionQuery(self._new_attempt_id()))

    def _send(
        self, member: members.Member, message: messages.PeerRequest
    ) -> None:
        connection = self._peer_connections.connection_to(
            member, messages.Lane.SHORT
        )
        with contextlib.suppress(sockets.NotSentError):
            connection.send(message)
