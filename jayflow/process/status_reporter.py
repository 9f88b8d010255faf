"""Build the status document and the metrics of a running node."""

from collections.abc import Callable
import time

import msgspec

from jayflow.connection import connection_registry
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import evacuations
from jayflow.process import member_directory
from jayflow.process import status as documents
from jayflow.request.decisions import quarantine
from jayflow.request import executor as executors

# Bounds the platform's age, which is infinite while its calls fail.
MAX_PLATFORM_AGE_S = 1e6


class StatusReporter:
    """Collect status and metrics from the parts of a node."""

    def __init__(
        self,
        directory: member_directory.MemberDirectory,
        active_version: member_directory.ActiveVersion,
        executor: executors.Executor,
        metrics: metrics_module.Metrics,
        platform_age_s: Callable[[float], float],
        link_statuses: Callable[[], tuple[documents.LinkStatus, ...]],
        config_age_s: Callable[[], float | None],
        team_refusals: Callable[[], dict[str, int]],
        connections: connection_registry.ConnectionRegistry,
    ) -> None:
        self._config_age_s = config_age_s
        self._directory = directory
        self._active_version = active_version
        self._executor = executor
        self._metrics = metrics
        self._platform_age_s = platform_age_s
        self._link_statuses = link_statuses
        self._team_refusals = team_refusals
        self.evacuated: Callable[[], evacuations.Knowledge] = (
            evacuations.Knowledge
        )
        self._connections = connections

    def metrics_text(self) -> str:
        """Return the counters, histograms and gauges as text."""
        load = self._executor.load()
        rate_limit = self._executor.backend.rate_limit
        return self._metrics.to_prometheus_text(
            {
                'version': self._active_version.current.number,
                'platform_age_seconds': self._platform_age_s(time.monotonic()),
                'members': len(self._directory.known_members()),
                'door_running': load.running,
                'door_queued': load.queued,
                'door_slots': load.slots,
                'server_slowness': load.slowness,
                'server_requests_per_s_limit': rate_limit.requests_per_s,
                'server_cold': rate_limit.cold.is_cold(time.monotonic()),
                'evacuated_data_centres': len(self.evacuated().data_centres),
                'connections': len(self._connections),
                'connections_held_bytes': self._connections.held_bytes,
                **self._config_age_gauge(),
            }
            | {
                f'team_refused{{team={_quoted(team)}}}': count
                for team, count in self._team_refusals().items()
            }
        )

    def status(self) -> bytes:
        """Return the node's status as JSON."""
        now = time.monotonic()
        load = self._executor.load()
        announced = self._executor.backend.announcement
        quarantine_set = self._executor.crash_tracker.quarantine
        age_s = self._platform_age_s(now)
        evacuated = self.evacuated()
        return msgspec.json.encode(
            documents.NodeStatus(
                node=self._directory.node,
                incarnation=self._executor.incarnation,
                data_centre=self._directory.data_centre,
                version=self._active_version.current.number,
                services=announced.services if announced else (),
                slots=load.slots,
                running=load.running,
                queued=load.queued,
                draining=load.draining,
                stopping=self._executor.is_stopping,
                suspects=quarantine_set.count(
                    quarantine.QuarantineState.SUSPECT, now
                ),
                quarantined=quarantine_set.count(
                    quarantine.QuarantineState.QUARANTINED, now
                ),
                links=self._link_statuses(),
                platform_age_s=None if age_s >= MAX_PLATFORM_AGE_S else age_s,
                members=tuple(
                    self._member_status(member, now)
                    for member in self._directory.known_members()
                ),
                counters=dict(self._metrics.counters),
                config_age_s=self._config_age_s(),
                team_refusals=self._team_refusals(),
                cold=self._executor.backend.cold.is_cold(now),
                evacuated=evacuated.data_centres,
                evacuation_revision=evacuated.position.revision,
                connections=self._connection_status(),
            )
        )

    def _config_age_gauge(self) -> dict[str, float]:
        age_s = self._config_age_s()
        return {} if age_s is None else {'config_age_seconds': age_s}

    def _connection_status(self) -> documents.ConnectionStatus:
        limits = self._connections.limits
        return documents.ConnectionStatus(
            open=len(self._connections),
            idle=self._connections.idle_count,
            held_bytes=self._connections.held_bytes,
            max_open=limits.connections,
            max_held_bytes=limits.held_bytes,
        )

    def _member_status(
        self, member: members.Member, now: float
    ) -> documents.MemberStatus:
        peer_view = self._directory.peer_view(messages.NodeId(member.node))
        load_age_s = (
            now - peer_view.load_received_at if peer_view.load else None
        )
        return documents.MemberStatus(
            member.node,
            member.data_centre,
            member.services,
            member.draining,
            peer_view.failures,
            max(0.0, peer_view.cooldown_until - now),
            load_age_s,
        )


def _quoted(label: str) -> str:
    """Return the value of a label in the Prometheus text format."""
    escaped = label.replace('\\', '\\\\').replace('"', '\\"')
    return '"' + escaped.replace('\n', '\\n') + '"'
