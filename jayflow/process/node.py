"""Run one node: the process that serves one backend server.

Node creates the parts of the process, connects them and stops them in
order. The parts' modules describe what each does.
"""

from collections.abc import Callable
import contextlib
import math
import random
import secrets
import signal
import time
from typing import Self

import anyio
import anyio.abc
import zmq

from jayflow.connection import connection_limits
from jayflow.connection import connection_registry
from jayflow.connection import http_server
from jayflow.connection import link_budget
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import peer_connections
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import config_age
from jayflow.process import crash_broadcast
from jayflow.process import crash_recovery
from jayflow.process import environment as environments
from jayflow.process import evacuations
from jayflow.process import link_budgets
from jayflow.process import live_settings
from jayflow.process import load_polling
from jayflow.process import member_directory
from jayflow.process import member_writer
from jayflow.process import message_router
from jayflow.process import monitoring
from jayflow.process import own_member
from jayflow.process import platform_objects
from jayflow.process import platform_pauses
from jayflow.process import platform_watcher as platform_watchers
from jayflow.process import server_registration
from jayflow.process import settings as process_settings
from jayflow.process import state_publishing
from jayflow.process import status_reporter
from jayflow.process import team_limits
from jayflow.process import watcher_election
from jayflow.request import claim_routing
from jayflow.request import claim_segments
from jayflow.request import claim_writer
from jayflow.request.decisions import retry
from jayflow.request.decisions import routing
from jayflow.request import dispatch
from jayflow.request import exchange as exchanges
from jayflow.request import executor as executors
from jayflow.request import idempotency
from jayflow.request import ingress
from jayflow.request import outcome
from jayflow.request import planned_stop
from jayflow.request import problem
from jayflow.version import objects
from jayflow.version import snapshot
from jayflow.version import value_parsers

Reason = outcome.Reason
INCARNATION_BITS = 62
_BAD_HEAD_REASONS = {
    http_server.BadHead.MALFORMED: Reason.BAD_REQUEST,
    http_server.BadHead.TIMED_OUT: Reason.HEADERS_TIMED_OUT,
    http_server.BadHead.TOO_LARGE: Reason.HEADERS_TOO_LARGE,
}
IDLE_CONNECTION_CHECK_INTERVAL_S = 5.0
# A forced stop begins when this share of the stop limit is left, so that a
# node with little processor time ends before it is killed.
FORCED_STOP_SHARE = 0.1
# Shorter than the interval at which each watched prefix checks the role.
WATCHER_CHECK_VALID_S = 0.2
# Time for peers to read the last replies: a peer's socket discards what it
# has not read once the connection is closed.
REPLY_DELIVERY_S = 0.5


class _LocalChannel:
    """Pass messages to the executor of the same node, without a socket."""

    def __init__(
        self,
        executor: executors.Executor,
        deliver: Callable[[messages.PeerReply], None],
    ) -> None:
        self._executor = executor
        self._deliver = deliver

    def send(self, message: messages.PeerRequest) -> None:
        """Pass a message to the executor at once."""
        self._executor.handle(message, self._deliver)

    @property
    def connection(self) -> Self:
        """Return the channel itself."""
        return self

    @property
    def is_connected(self) -> bool:
        """Return True: a message can always be sent."""
        return True

    async def wait_connected(self) -> None:
        """Return at once."""


class Node:
    """Create, connect, run and stop the parts of one node process."""

    def __init__(
        self,
        cfg: process_settings.Settings,
        environment: environments.Environment = environments.STANDALONE,
    ) -> None:
        self._cfg = cfg
        self._environment = environment
        self._live = live_settings.LiveSettings(cfg)
        self._log = logs.get_logger(logs.Component.NODE)
        self._metrics = metrics_module.Metrics.from_address(cfg.statsd)
        self._connections = connection_registry.ConnectionRegistry(
            connection_limits.ConnectionLimits.from_resources(
                cfg.memory_mb, cfg.max_descriptors
            ),
            self._metrics,
        )
        self._rng = random.Random(secrets.randbits(INCARNATION_BITS))
        self.incarnation = messages.Incarnation(
            secrets.randbits(INCARNATION_BITS)
        )
        self._directory = member_directory.MemberDirectory(
            cfg.name, cfg.data_centre
        )
        self._active_version = member_directory.ActiveVersion(
            self._metrics, self._apply_version
        )
        self._executor = executors.Executor(
            self.incarnation,
            self._metrics,
            dialect=environment.dialect,
            announcement_ttl_s=cfg.announcement_ttl,
            max_crashes=cfg.crash_strikes,
            is_adaptive=cfg.adaptive_slots,
        )
        self._exchange_table = exchanges.ExchangeTable(
            self.incarnation, self._metrics
        )
        self._local = _LocalChannel(
            self._executor, self._exchange_table.deliver
        )
        self._context = zmq.Context()
        self._peer_connections = peer_connections.PeerConnections(
            self._context,
            self.incarnation,
            lambda data: self._message_router.handle_reply(data),
            self._exchange_table.notify_connection_lost,
        )
        dispatcher = dispatch.Dispatcher(
            self._exchange_table,
            self._candidates,
            self._channel_to,
            self._metrics,
            self._rng,
            cfg.data_centre,
            self._new_retry_budget,
            environment.dialect,
            self._directory.mark_leaving,
            lambda: self._live.current.hedge_share,
        )
        writer = claim_writer.ClaimWriter(
            self._platform_at(cfg.claims_per_s), self._metrics
        )
        self._claim_router = claim_routing.ClaimRouter(
            cfg.name,
            writer.claim,
            self._directory.peer_views_of,
            self._exchange_table,
            self._channel_to,
        )
        self._idempotent_runner = idempotency.IdempotentRunner(
            cfg.name,
            self.incarnation,
            self._claim_router.claim,
            dispatcher.run,
            self._exchange_table,
            self._channel_to_claimant,
            self._metrics,
        )
        self._team_limits = team_limits.TeamLimits(
            cfg.name,
            self.incarnation,
            self._directory,
            self._exchange_table,
            self._channel_to,
            self._find_limited_team,
            lambda: self._ingress.is_stopping,
            self._metrics,
            cfg.config_max_age,
        )
        self._ingress = ingress.Ingress(
            dispatcher,
            self._idempotent_runner,
            lambda: self._active_version.current,
            self._metrics,
            environment.dialect,
            lambda: self._live.current.service,
            self._rng,
            lambda: self._config_age.is_fresh(),
            lambda: self._config_age.may_lack_keys(),
            self._team_limits.acquire,
            self._knows_evacuations,
        )
        self._platform = self._platform_at(cfg.calls_per_s)
        self._platform_pause = platform_pauses.shared_pause(
            cfg.name, self._directory.peer_views, self._rng, cfg.max_pause
        )
        self._config_age = self._new_config_age()
        self._is_watcher = False
        self._watcher_checked_at = -math.inf
        self._evacuations = evacuations.Evacuations(self._metrics)
        self._evacuations.on_change = self._apply_evacuations
        # Peers that have just started need to hear of it as well.
        self._evacuations.on_known = lambda: self._publisher.publish()
        self._platform_watchers = [
            self._new_platform_watcher(watch)
            for watch in environment.watched_prefixes
            if cfg.evacuations or watch.prefix != evacuations.KEY_PREFIX
        ]
        self._platform_watchers[0].on_reconnected = self._relist_other_prefixes
        self._member_writer = member_writer.MemberWriter(
            self._platform,
            members.KEY_PREFIX + cfg.name,
            lambda: self._own_member.to_store(),
            self._platform_pause,
        )
        self._registration = server_registration.ServerRegistration(
            self._executor, self._member_writer, self._is_known_service
        )
        self._registration.is_restored = False
        self._own_member = own_member.OwnMember(
            cfg,
            self.incarnation,
            self._executor,
            self._registration.announcement_order,
            lambda: self._link_budgets.holds_all_seats(),
            keeps_server=environment is not environments.STANDALONE,
        )
        self._record_listed = anyio.Event()
        self._publisher = state_publishing.StatePublisher(
            self._executor,
            self._own_member.describe,
            lambda: self._active_version.current.number,
            self._platform_age_s,
            lambda peer, state: self._message_router.send(peer, state),
        )
        self._subscriptions = state_publishing.PeerSubscriptions(
            cfg.name,
            cfg.data_centre,
            self._directory,
            self._peer_connections,
            self._exchange_table.new_attempt_id,
            self._own_member.describe,
            lambda: self._active_version.current.number,
        )
        self._load_poller = load_polling.LoadPoller(
            self._executor,
            lambda name: self._active_version.current.objects.service.get(
                name
            ),
        )
        self._publisher.evacuated = lambda: self._evacuations.current
        self._subscriptions.on_evacuated = self._evacuations.adopt
        self._executor.on_slowness_change = self._publisher.publish
        self._executor.backend.cold_rate_of = self._cold_rate_of
        self._executor.on_state_change = self._on_own_member_change
        self._executor.crash_tracker.broadcast = (
            crash_broadcast.CrashBroadcaster(
                cfg.name,
                self._executor.backend,
                self._directory,
                self._exchange_table,
                self._channel_to,
            ).broadcast
        )
        self._crash_recovery = crash_recovery.CrashRecovery(
            cfg.name,
            self._executor.backend,
            self._executor.crash_tracker,
            self._directory,
            self._exchange_table,
            self._channel_to,
            self._rng,
        )
        self._executor.crash_tracker.quarantine_duration_s = (
            self._quarantine_duration_s
        )
        self._executor.crash_tracker.on_quarantined = (
            self._on_own_member_change
        )
        self._executor.link_budget_for = self._budget_for
        self._link_budgets = link_budgets.LinkBudgets(
            self._platform_at(cfg.calls_per_s),
            cfg.name,
            cfg.data_centre,
            self.incarnation,
            self._rng,
            self._member_writer.notify,
        )
        self._status_reporter = status_reporter.StatusReporter(
            self._directory,
            self._active_version,
            self._executor,
            self._metrics,
            self._platform_age_s,
            self._link_budgets.status,
            self._config_age.reported_age_s,
            self._team_limits.refusals,
            self._connections,
        )
        self._status_reporter.evacuated = lambda: self._evacuations.current
        create_version_decoder = environment.create_version_decoder
        self._message_router = message_router.MessageRouter(
            cfg.name,
            self._directory,
            self._metrics,
            message_router.MessageHandlers(
                self._executor,
                self._exchange_table,
                self._publisher,
                self._subscriptions,
                self._member_writer,
                self._registration,
                self._status_reporter,
                self._active_version,
                self._idempotent_runner,
                self._claim_router,
                self._config_age,
                self._team_limits,
            ),
            self._budget_for,
            create_version_decoder(cfg)
            if create_version_decoder is not None
            else None,
        )

    @classmethod
    def from_settings(
        cls,
        cfg: process_settings.Settings,
        environment: environments.Environment = environments.STANDALONE,
    ) -> Self:
        """Return a node that has not started."""
        return cls(cfg, environment)

    async def run(self) -> None:
        """Serve until a signal asks to stop, then stop gracefully.

        A second signal, or the stop limit, forces the stop.
        """
        listener = sockets.Listener(
            self._context,
            f'tcp://{self._cfg.peer}',
            self._message_router.handle_request,
        )
        self._message_router.send = listener.send
        caller_server = http_server.create(
            self._ingress,
            *self._cfg.http,
            self._bad_request,
            lambda: self._active_version.current.objects.limits,
            self._connections,
        )
        control_app = self._environment.create_control_app(
            self._cfg, self._registration, self._status_reporter.status
        )
        announcement_server = http_server.create(
            control_app,
            *self._cfg.announce,
            self._bad_request,
            registry=self._connections,
        )
        async with anyio.create_task_group() as tasks:
            self._message_router.tasks = tasks
            for background_task in (
                self._executor.run,
                self._run_member_writer,
                self._metrics.run,
                self._link_budgets.run,
                self._close_idle_connections,
                self._publisher.run,
                self._load_poller.run,
                self._crash_recovery.run,
                self._subscriptions.run,
                caller_server.serve,
                announcement_server.serve,
                self._live.run,
                self._config_age.run,
            ):
                tasks.start_soon(background_task)
            for platform_watcher in self._platform_watchers:
                tasks.start_soon(platform_watcher.run)
            if self._cfg.ready is not None:
                app = monitoring.ReadinessApp(lambda: self._is_ready)
                tasks.start_soon(self._serve, app, self._cfg.ready)
            if self._cfg.metrics is not None:
                app = monitoring.MetricsApp(self._status_reporter.metrics_text)
                tasks.start_soon(self._serve, app, self._cfg.metrics)
            self._log.info(
                'Node started.',
                node=self._cfg.name,
                incarnation=self.incarnation,
                http=str(self._cfg.http),
            )
            await self._wait_stop(caller_server)
            announcement_server.should_exit = True
            tasks.cancel_scope.cancel()
        self._close(listener)
        self._log.info('Node stopped.', node=self._cfg.name)

    def _new_platform_watcher(
        self, watch: environments.WatchedPrefix
    ) -> platform_watchers.PlatformWatcher:
        create_version_decoder = self._environment.create_version_decoder
        platform_watcher = platform_watchers.PlatformWatcher(
            self._platform,
            self._directory,
            self._active_version,
            self._metrics,
            self._rng,
            watch.prefix,
            create_version_decoder(self._cfg)
            if create_version_decoder is not None
            else None,
            self._platform_pause,
            self._watch_timeout_s(watch),
            watch.batch_delay_s,
            watch.first_relist_delay_s,
            watch.watch_delay_s,
            watch.watchers_only,
            watch.max_first_list_delay_s,
        )
        if watch.watchers_only:
            platform_watcher.is_informed = self._directory.hears_all_peers
        if evacuations.KEY_PREFIX.startswith(watch.prefix):
            platform_watcher.on_read = self._evacuations.apply
            platform_watcher.is_known = lambda: self._evacuations.is_known
        if members.KEY_PREFIX.startswith(watch.prefix):
            platform_watcher.on_listed = self._restore_record
            platform_watcher.is_informed = self._directory.hears_all_peers
        if snapshot.MANIFEST_KEY.startswith(watch.prefix):
            platform_watcher.on_confirmed = self._config_age.confirm
        platform_watcher.on_member_missing = self._on_member_missing
        platform_watcher.on_restored = self._on_platform_restored
        platform_watcher.on_member_update = self._broadcast_member_update
        if self._environment.elects_watchers:
            platform_watcher.is_watcher = self._check_is_watcher
        return platform_watcher

    def _new_config_age(self) -> config_age.ConfigAgeTracker:
        create_decoder = self._environment.create_version_decoder
        store_objects = platform_objects.PlatformObjects(
            self._platform,
            self._directory,
            self._active_version,
            self._metrics,
            create_decoder(self._cfg) if create_decoder else None,
        )
        return config_age.ConfigAgeTracker(
            self._cfg.name,
            self._cfg.config_max_age,
            self._directory,
            self._active_version,
            self._exchange_table,
            self._channel_to,
            config_age.version_reader(self._platform, store_objects),
            self._platform_pause,
            self._metrics,
        )

    def _watch_timeout_s(self, watch: environments.WatchedPrefix) -> float:
        """Return the longest wait of a watch; short if the age is bounded."""
        is_config = snapshot.MANIFEST_KEY.startswith(watch.prefix)
        if is_config and self._config_age.is_enabled:
            return min(watch.watch_timeout_s, config_age.MAX_WATCH_S)
        return watch.watch_timeout_s

    def _find_limited_team(
        self, name: objects.TeamName
    ) -> objects.Team | None:
        """Return a team whose tokens this node may grant.

        Before it has listed the members, a node would take itself for the
        only owner.
        """
        if not self._record_listed.is_set():
            return None
        return self._active_version.current.objects.team.get(name)

    def _relist_other_prefixes(self) -> None:
        """List again below all prefixes but that of the configuration."""
        for platform_watcher in self._platform_watchers[1:]:
            platform_watcher.relist()

    def _check_is_watcher(self, now: float) -> bool:
        # Each watched prefix asks; the answer takes a look at all members.
        if now - self._watcher_checked_at < WATCHER_CHECK_VALID_S:
            return self._is_watcher
        self._watcher_checked_at = now
        views = self._directory.peer_views()
        was_watcher = self._is_watcher
        self._is_watcher = watcher_election.is_watcher(
            self._cfg.name, views, now
        )
        if self._is_watcher != was_watcher:
            self._log.info(
                'Role as a watcher of the platform changed.',
                on_duty=self._is_watcher,
                members=len(views),
            )
        return self._is_watcher

    def _on_member_missing(
        self, node: messages.NodeId, must_read: bool
    ) -> None:
        if node == self._cfg.name:
            self._member_writer.mark_missing(must_read)
        else:
            self._subscriptions.notify_missing(node, must_read)

    def _on_platform_restored(self, era: api.Era) -> None:
        """Check the own record, and list again below all prefixes."""
        self._member_writer.mark_missing(must_read=True)
        for platform_watcher in self._platform_watchers:
            platform_watcher.expect_era(era)

    def _broadcast_member_update(self, update: messages.MemberUpdate) -> None:
        """Send an update of a member to the subscribers.

        In a small fleet each member sends its changes to all nodes itself.
        """
        if not self._directory.is_full_mesh:
            self._publisher.broadcast(update)

    def _platform_age_s(self, now: float) -> float:
        """Return the seconds since a call to the platform last succeeded.

        It is MAX_PLATFORM_AGE_S before the first success and after a failure.
        """
        return min(
            now - self._platform_watchers[0].last_success_at,
            status_reporter.MAX_PLATFORM_AGE_S,
        )

    async def _run_member_writer(self) -> None:
        """Restore departures and draining, then maintain the member record.

        Both are in the record that the node's last process wrote;
        until it is read, announcements are not accepted.
        """
        await self._record_listed.wait()
        await self._member_writer.run()

    def _restore_record(self, entries: list[api.Entry]) -> None:
        """Restore what the last process recorded, from the first list."""
        if self._registration.is_restored:
            return
        own_key = members.KEY_PREFIX + self._cfg.name
        entry = next((row for row in entries if row.key == own_key), None)
        self._restore_quarantined(entries, own_key)
        if entry is not None:
            try:
                last_member = members.Member.decode(entry.value)
                self._registration.restore(last_member, self._cfg.server)
            except ValueError as exc:
                self._log.error(
                    'Own member record is malformed; departures that it '
                    'names are not known.',
                    error=str(exc),
                )
        self._member_writer.set_stored(entry)
        self._registration.is_restored = True
        self._record_listed.set()

    def _restore_quarantined(
        self, entries: list[api.Entry], own_key: str
    ) -> None:
        """Refuse the requests that any node has recorded as crashing."""
        for entry in entries:
            # The watcher has logged those that can't be decoded.
            with contextlib.suppress(ValueError):
                member = members.Member.decode(entry.value)
                self._executor.crash_tracker.restore(
                    member.quarantined, is_own=entry.key == own_key
                )

    async def _serve(self, app, address: value_parsers.Address) -> None:
        await http_server.create(
            app, *address, self._bad_request, registry=self._connections
        ).serve()

    @property
    def _is_ready(self) -> bool:
        """Return whether callers should be sent to this node."""
        has_version = (
            self._active_version.current.number != snapshot.NO_VERSION
        )
        return (
            has_version
            and self._knows_evacuations()
            and not self._ingress.is_stopping
        )

    def _knows_evacuations(self) -> bool:
        return not self._cfg.evacuations or self._evacuations.is_known

    def _new_retry_budget(self, share: float) -> retry.RetryBudget:
        burst = self._live.current.fleet_retry_burst
        if burst is None:
            return retry.RetryBudget(share)
        return retry.RetryBudget.for_node(
            share, burst, lambda: len(self._directory.known_members())
        )

    async def _wait_stop(self, caller_server) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(signals)
            self._log.info('Node is stopping.', busy=self._executor.in_flight)
            live = self._live.current
            forced_after_s = live.stop_limit * (1 - FORCED_STOP_SHARE)
            self._ingress.planned_stop = planned_stop.PlannedStop.begin(
                time.monotonic(), live.leave_time, forced_after_s
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._stop_gracefully, caller_server, tasks.cancel_scope
                )
                with anyio.move_on_after(forced_after_s):
                    await anext(signals)
                cut_requests = self._executor.in_flight + len(
                    self._exchange_table
                )
                self._log.warning('Stop was forced.', cut=cut_requests)
                tasks.cancel_scope.cancel()

    async def _stop_gracefully(
        self, caller_server, scope: anyio.CancelScope
    ) -> None:
        self._executor.stop_accepting()
        with anyio.move_on_after(self._cfg.call_deadline):
            await self._own_member.check_server()
            await self._member_writer.reconcile()
            await self._link_budgets.release_seats()
        await anyio.sleep(self._live.current.leave_time)
        await self._executor.wait_idle()
        await anyio.sleep(REPLY_DELIVERY_S)
        caller_server.should_exit = True
        while caller_server.server_state.connections or len(
            self._exchange_table
        ):
            await anyio.sleep(executors.EXPIRY_INTERVAL_S)
        scope.cancel()

    def _close(self, listener: sockets.Listener) -> None:
        self._peer_connections.close()
        listener.close()
        self._context.destroy(linger=0)
        self._metrics.flush()

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CONNECTION_CHECK_INTERVAL_S)
            self._peer_connections.close_idle(
                self._exchange_table.uses_connection
            )

    def _platform_at(self, calls_per_s: int) -> api.Platform:
        """Return a client of the platform with a call budget of its own."""
        return self._environment.open_platform(
            self._cfg, api.CallBudget(calls_per_s), self._metrics
        )

    def _channel_to_claimant(
        self, claim: claim_segments.Claim
    ) -> exchanges.PeerChannel | None:
        view = self._directory.peer_view(claim.node)
        if view is None or view.member.incarnation != claim.incarnation:
            return None
        return self._peer_connections.connection_to(
            view.member, messages.Lane.SHORT
        )

    def _candidates(
        self,
        service: objects.ServiceName,
        allowed_regions: dispatch.AllowedRegions,
    ) -> list[routing.PeerView]:
        """Return the peers for a service; the load of the own one is exact."""
        views = self._directory.candidates(service, allowed_regions)
        for view in views:
            if view.member.node == self._cfg.name:
                view.record_load(self._executor.load(), time.monotonic())
        return views

    def _channel_to(
        self, view: routing.PeerView, lane: messages.Lane
    ) -> exchanges.PeerChannel:
        if view.member.incarnation == self.incarnation:
            return self._local
        connection = self._peer_connections.connection_to(view.member, lane)
        budget = self._link_budgets.budget_for(view.member.data_centre)
        return (
            link_budgets.BudgetedChannel(connection, budget)
            if budget
            else connection
        )

    def _budget_for(
        self, sender_data_centre: str
    ) -> link_budget.LinkBudget | None:
        return self._link_budgets.budget_for(
            objects.DataCentreName(sender_data_centre)
        )

    def _bad_request(self, bad_head: http_server.BadHead):
        reason = _BAD_HEAD_REASONS[bad_head]
        self._metrics.count_refusal(reason)
        failure = outcome.NotRun(reason, outcome.Evidence.NEVER_SENT)
        document = problem.Problem.from_failure(failure)
        body = document.body()
        return document.status, document.headers(body), body

    def _apply_version(self, version: snapshot.Version) -> None:
        self._directory.apply_objects(version.objects)
        self._executor.backend.refresh_cold_rate()
        self._link_budgets.apply_objects(version.objects)
        self._publisher.publish()

    def _apply_evacuations(self) -> None:
        evacuated = self._evacuations.current.data_centres
        self._directory.set_evacuated(evacuated)
        self._executor.set_evacuated(self._cfg.data_centre in evacuated)
        self._publisher.publish()

    def _cold_rate_of(self, names: tuple[objects.ServiceName, ...]) -> float:
        """Return the lowest cold rate of services, 0 if none has one."""
        services = self._active_version.current.objects.service
        rates = [
            services[name].cold_rate for name in names if name in services
        ]
        return min(filter(None, rates), default=0.0)

    def _quarantine_duration_s(self, service: objects.ServiceName) -> float:
        config = self._active_version.current.objects
        try:
            return config.service_policy(service).quarantine
        except KeyError:
            return objects.DEFAULT_QUARANTINE_S

    def _is_known_service(self, name: objects.ServiceName) -> bool:
        version = self._active_version.current
        # With jayflow's own control interface a server may start before its
        # service is published.
        is_own_interface = self._environment is environments.STANDALONE
        if is_own_interface or version.number == snapshot.NO_VERSION:
            return True
        return name in version.objects.service

    def _on_own_member_change(self) -> None:
        self._directory.put(self._own_member.describe())
        self._member_writer.notify()
        self._crash_recovery.notify()
        self._publisher.publish()


async def serve_until_signal(server) -> None:
    """Serve one HTTP server until a signal asks to stop."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(signals)
        tasks.cancel_scope.cancel()
