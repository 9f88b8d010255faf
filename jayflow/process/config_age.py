"""Keep the age of the configuration known, by queries to peers.

A call to the store confirms the version; a peer passes on what it knows. All
times are those at which a call or query was sent, so that a delay on the way
makes a version older and never fresher.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import boot_clock
from jayflow.process import crash_broadcast
from jayflow.process import member_directory
from jayflow.process import platform_objects
from jayflow.process import platform_pauses
from jayflow.request.decisions import config_age
from jayflow.request.decisions import routing
from jayflow.request import exchange as exchanges
from jayflow.version import snapshot

QUERY_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 0.3
# Minimum time between two reads of the version from the store.
READ_INTERVAL_S = 1.0
# The time is doubled up to this while the store holds a version that can't be
# confirmed, as every node reads then.
MAX_READ_INTERVAL_S = 60.0
# All nodes of a region would query the few that watch the store. Those that
# get no answer query others, which adds one hop to their age.
MAX_ANSWERS_PER_S = 100
# Longest wait of one watch call for the configuration, if its age is bounded.
# The age of a watcher is between one and two times this. With 1.0 s, half of
# its answers exceed USEFUL_AGE_S and other nodes read from the store instead.
MAX_WATCH_S = 0.7
FIRST_CONFIRMATION_S = 2.0
# JSON has no infinity.
MAX_REPORTED_AGE_S = 1e6

# Reads the version that the store holds and applies it; None if there is none
# or it can't be applied.
ReadVersion = Callable[[], Awaitable[int | None]]


def version_reader(
    platform: api.Platform, store_objects: platform_objects.PlatformObjects
) -> ReadVersion:
    """Return a function that reads the version from the store.

    The objects must be others than those of a watch, which keep what the
    watch returned last.
    """

    async def read() -> int | None:
        entry = await platform.get(snapshot.MANIFEST_KEY)
        store_objects.forget_version()
        if entry is not None:
            store_objects.apply(entry)
            await store_objects.fetch_pending()
        return store_objects.stored_version

    return read


class ConfigAgeTracker:
    """Track the age of the active version and answer for it."""

    def __init__(
        self,
        node: messages.NodeId,
        max_age_s: float | None,
        directory: member_directory.MemberDirectory,
        active_version: member_directory.ActiveVersion,
        exchange_table: exchanges.ExchangeTable,
        channel_to: crash_broadcast.ChannelTo,
        read_version: ReadVersion,
        pause: platform_pauses.Pause,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float] = boot_clock.now,
    ) -> None:
        self.is_enabled = max_age_s is not None
        self.clock = clock
        self._node = node
        self._age = config_age.ConfigAge(max_age_s)
        self._directory = directory
        self._active_version = active_version
        self._exchange_table = exchange_table
        self._channel_to = channel_to
        self._read_version = read_version
        self._pause = pause
        self._metrics = metrics
        self._sources: dict[messages.NodeId, config_age.Source] = {}
        self._is_reading = False
        self._second = 0
        self._answers_in_second = 0
        self._log = logs.get_logger(logs.Component.CONFIG)

    def age_s(self) -> float:
        """Return the age of the active version, infinite if unknown."""
        number = self._active_version.current.number
        return self._age.age_s(number, self.clock())

    def reported_age_s(self) -> float | None:
        """Return the age to report, None if it is not bounded.

        An unknown age is reported as MAX_REPORTED_AGE_S.
        """
        if not self.is_enabled:
            return None
        return min(self.age_s(), MAX_REPORTED_AGE_S)

    def is_fresh(self) -> bool:
        """Return whether requests with a key may run."""
        number = self._active_version.current.number
        return self._age.is_fresh(number, self.clock())

    def may_lack_keys(self) -> bool:
        """Return whether a key may belong to a version not yet known here."""
        return self.is_enabled and self.age_s() > config_age.OVERDUE_AGE_S

    def _is_read_due(self) -> bool:
        age_s = self.age_s()
        if not self.is_enabled or age_s <= config_age.READ_AGE_S:
            return False
        # The next watch or answer confirms a version that has just arrived.
        held_s = time.monotonic() - self._active_version.applied_at
        return math.isfinite(age_s) or held_s > FIRST_CONFIRMATION_S

    def confirm(self, stored_version: int | None, sent_at: float) -> None:
        """Record the version that a call to the store showed as the newest.

        Only the active version is confirmed: the store may hold one that
        can't be applied, or a lower one after it was restored from a copy.
        """
        if stored_version == self._active_version.current.number:
            self._age.record_confirmed(stored_version, sent_at)

    def answer(
        self, query: messages.ConfigAgeQuery
    ) -> messages.ConfigAge | None:
        """Return the answer to a peer, None if there were too many queries."""
        second = int(self.clock())
        if second != self._second:
            self._second, self._answers_in_second = second, 0
        self._answers_in_second += 1
        if self._answers_in_second > MAX_ANSWERS_PER_S:
            return None
        age_s = self.age_s()
        return messages.ConfigAge(
            query.attempt,
            self._active_version.current.number,
            math.ceil(age_s * 1000) if math.isfinite(age_s) else None,
        )

    async def run(self) -> None:
        """Query peers, and the store if need be, until cancelled."""
        if not self.is_enabled:
            return
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.sleep(QUERY_INTERVAL_S)
                tasks.start_soon(self._refresh, tasks)

    async def _refresh(self, tasks: anyio.abc.TaskGroup) -> None:
        """Query one peer; if that does not help, read from the store.

        A node without a version accepts no key, whatever its age.
        """
        has_version = (
            self._active_version.current.number != snapshot.NO_VERSION
        )
        if not has_version or self.age_s() < config_age.QUERY_AGE_S:
            return
        view = self._choose_peer()
        if view is not None:
            await self._query(view)
        if self._is_read_due() and not self._is_reading:
            self._is_reading = True
            tasks.start_soon(self._read_until_recent)

    def _choose_peer(self) -> routing.PeerView | None:
        """Return the peer to query of those that are heard from."""
        now = time.monotonic()
        # Of equal peers the one that called the platform last comes first: it
        # is likely to be a watcher.
        views = {
            view.member.node: view
            for view in sorted(
                self._directory.peers_to_subscribe(now),
                key=lambda view: -view.platform_heard_at,
            )
            if view.member.node != self._node and view.is_heard(now)
        }
        self._sources = {
            node: self._sources.get(node)
            or config_age.Source(
                view.distance is not routing.Distance.OTHER_REGION
            )
            for node, view in views.items()
        }
        chosen = config_age.choose_source(self._sources.values(), self.clock())
        return next(
            (
                views[node]
                for node, source in self._sources.items()
                if source is chosen
            ),
            None,
        )

    async def _query(self, view: routing.PeerView) -> None:
        """Query a peer and record its answer."""
        channel = self._channel_to(view, messages.Lane.SHORT)
        source = self._sources[view.member.node]
        source.queried_at = sent_at = self.clock()
        self._metrics.count_event(metrics_module.Event.CONFIG_AGE_QUERY)
        exchange = self._exchange_table.open(channel)
        answer = None
        try:
            channel.send(messages.ConfigAgeQuery(exchange.attempt))
            answer = await exchange.next_message(ANSWER_TIMEOUT_S)
        except sockets.NotSentError:
            pass
        finally:
            exchange.close()
        if isinstance(answer, messages.ConfigAge):
            self._record_answer(answer, source, channel, sent_at)
        else:
            source.record_silence(self.clock())
            self._metrics.count_event(metrics_module.Event.CONFIG_AGE_SILENT)

    def _record_answer(
        self,
        answer: messages.ConfigAge,
        source: config_age.Source,
        channel: exchanges.PeerChannel,
        sent_at: float,
    ) -> None:
        age_s = math.inf if answer.age_ms is None else answer.age_ms / 1000
        number = self._active_version.current.number
        source.record_answer(age_s if answer.version >= number else math.inf)
        if answer.version == number and answer.age_ms is not None:
            self._age.record_confirmed(number, sent_at - age_s)
        elif answer.version > number:
            attempt = self._exchange_table.new_attempt_id()
            with contextlib.suppress(sockets.NotSentError):
                channel.send(messages.VersionQuery(attempt))

    async def _read_until_recent(self) -> None:
        """Read the version from the store while its age is too high."""
        failures = useless = 0
        try:
            while self._is_read_due():
                sent_at = self.clock()
                self._metrics.count_event(metrics_module.Event.CONFIG_AGE_READ)
                try:
                    self.confirm(await self._read_version(), sent_at)
                    failures, useless = 0, useless + 1
                except api.PlatformError as exc:
                    failures += 1
                    if failures == 1:
                        self._log.warning(
                            'Age of the configuration can not be confirmed.',
                            age_s=round(self.age_s(), 1),
                            error=str(exc),
                        )
                    await self._pause(failures)
                pause_s = READ_INTERVAL_S * 2 ** min(useless, 10)
                await self._wait_recent(
                    sent_at + min(pause_s, MAX_READ_INTERVAL_S)
                )
        finally:
            self._is_reading = False

    async def _wait_recent(self, until: float) -> None:
        """Wait until a time, or until the age is low again."""
        while self._is_read_due() and self.clock() < until:
            await anyio.sleep(min(QUERY_INTERVAL_S, until - self.clock()))
