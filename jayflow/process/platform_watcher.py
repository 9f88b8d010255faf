"""List and watch the platform's objects: members and configuration.

Only the elected watchers of a region watch the platform; the other nodes
learn of changes from their peers. So the number of calls grows with the
changes and the regions, not with the nodes. Nodes that are not watchers list
the objects at long intervals, in case they missed a change.
"""

from collections.abc import Callable
import math
import random
import time

import anyio

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import boot_clock
from jayflow.process import member_directory
from jayflow.process import platform_objects
from jayflow.process import platform_pauses
from jayflow.process import restored_records
from jayflow.version import snapshot

WATCH_PREFIX = 'live/'
# Longest time that one watch call waits for a change.
WATCH_TIMEOUT_S = 20.0
WATCHER_CHECK_INTERVAL_S = 0.25
# Nodes that are not watchers list again after a random time between half of
# this interval and all of it.
RELIST_INTERVAL_S = 60.0
# Added to the interval for each member: a list takes one call per some hundred
# members, so the nodes of a large fleet list less often.
RELIST_S_PER_MEMBER = 0.1
# A node that is not a watcher first lists again after this time, because nodes
# that start together write their objects within the first few seconds.
FIRST_RELIST_DELAY_S = 3.0
# A first object must be known everywhere within 5 s.
UNKNOWN_PREFIX_RELIST_S = 3.0
FIRST_WATCHES_WAIT_S = 1.5
# Time for the members to write their records again after a restore.
RESTORE_RECOVERY_S = 2.0


class PlatformWatcher:
    """Apply the objects below a prefix of the platform, and their changes.

    The callbacks report what the node has to pass on: a member that the
    platform doesn't list (with whether it must read its record, as the listed
    one may be old), a changed member, that calls succeed again after failures,
    a new era, the objects of each list, what each call has read, and the
    version that the platform held when a call was sent (by boot_clock).
    """

    def __init__(
        self,
        platform: api.Platform,
        directory: member_directory.MemberDirectory,
        active_version: member_directory.ActiveVersion,
        metrics: metrics_module.Metrics,
        rng: random.Random,
        prefix: str = WATCH_PREFIX,
        decode_version: platform_objects.DecodeVersion = None,
        pause: platform_pauses.Pause | None = None,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
        batch_delay_s: float = 0.0,
        first_relist_delay_s: float = FIRST_RELIST_DELAY_S,
        watch_delay_s: float = 0.0,
        watchers_only: bool = False,
        max_first_list_delay_s: float = 0.0,
    ) -> None:
        self._watchers_only = watchers_only
        self._first_list_delay_s = rng.uniform(0.5, 1.0) * (
            max_first_list_delay_s
        )
        self._created_at = time.monotonic()
        self._watch_timeout_s = watch_timeout_s
        self._batch_delay_s = batch_delay_s
        self._prefix = prefix
        self._pause = pause or platform_pauses.jittered_pause(rng)
        self._watch_delay_s = watch_delay_s
        self.is_watcher: Callable[[float], bool] = lambda now: True
        self.on_member_missing: Callable[[messages.NodeId, bool], None] = (
            lambda node, must_read: None
        )
        self.on_member_update: Callable[[messages.MemberUpdate], None] = (
            lambda update: None
        )
        self.on_reconnected: Callable[[], None] = lambda: None
        self.on_restored: Callable[[api.Era], None] = lambda era: None
        self.on_listed: Callable[[list[api.Entry]], None] = lambda entries: (
            None
        )
        # Whether all peers report their state and the changes of others, so
        # that a node that joined a running fleet needs no second list soon.
        self._may_postpone_list = True
        self.is_informed: Callable[[float], bool] = lambda now: False
        # Whether what only watchers list is known, from them or from a peer.
        self.is_known: Callable[[], bool] = lambda: True
        self.on_confirmed: Callable[[int | None, float], None] = (
            lambda stored_version, sent_at: None
        )
        self.on_read: Callable[[api.Read], None] = lambda read: None
        self._call_scope: anyio.CancelScope | None = None
        self._listed_at = -math.inf
        self._first_listed_at = math.inf
        self._platform = platform
        self._objects = platform_objects.PlatformObjects(
            platform, directory, active_version, metrics, decode_version
        )
        self._directory = directory
        self._metrics = metrics
        self._rng = rng
        self._log = logs.get_logger(logs.Component.PLATFORM)
        self._relist_after_s = first_relist_delay_s
        self.last_success_at = -math.inf
        self._era: api.Era | None = None
        self._is_restored = False
        self._recheck_at = math.inf

    async def run(self) -> None:
        """List and watch until cancelled; an outage removes no object."""
        revision: api.Revision | None = None
        failures = 0
        while True:
            if not self._is_due(time.monotonic()):
                revision = None
                await anyio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            new_revision = None
            try:
                with anyio.CancelScope() as self._call_scope:
                    new_revision = await self._list_or_watch(revision)
                revision = new_revision
                self.last_success_at = time.monotonic()
                if failures:
                    self._log.info(
                        'Platform is reachable again.',
                        prefix=self._prefix,
                        failed_calls=failures,
                    )
                    failures = 0
                    self.on_reconnected()
            except api.TooOldError:
                revision = None
            except api.PlatformError as exc:
                failures += 1
                # A list shows at once that the platform is back; a watch would
                # wait for a change.
                revision = None
                self.last_success_at = -math.inf
                if failures == 1:
                    self._log.warning(
                        'Platform is unreachable.',
                        prefix=self._prefix,
                        error=str(exc),
                    )
                await self._pause(failures)

    def relist(self) -> None:
        """Cancel the call in progress, if any, and list again.

        A watch can hang for long on a connection that has gone silent.
        """
        if self._call_scope is not None:
            self._call_scope.cancel()

    def expect_era(self, era: api.Era) -> None:
        """List again if the last call was answered in another era."""
        if self._era != era:
            self.relist()

    def _is_due(self, now: float) -> bool:
        """Return whether to call: as a watcher, or when a list is due.

        After its first list a node waits for watch_delay_s before it watches,
        since it has not heard of the watchers yet. If only watchers list the
        prefix, it waits for that long after its start; a node that has not
        heard from a peer what is there lists it once before.
        """
        if self._watchers_only:
            age_s = now - self._created_at
            if not self.is_known():
                return age_s >= self._first_list_delay_s
            may_watch = age_s >= self._watch_delay_s or self.is_informed(now)
            return may_watch and self.is_watcher(now)
        if self._listed_at < 0:
            return True
        may_watch = now - self._first_listed_at >= self._watch_delay_s
        if may_watch and self.is_watcher(now):
            return True
        if now - self._listed_at <= self._relist_after_s:
            return False
        if self._may_postpone_list and self.is_informed(now):
            self._may_postpone_list = False
            self._relist_after_s += self._next_relist_s()
            return False
        return True

    def _watch_wait_s(self, now: float) -> float:
        """Return how long to let a watch wait.

        All nodes of a fleet that starts watch until they hear of each other,
        so the first watches wait for longer.
        """
        if now - self._first_listed_at < FIRST_RELIST_DELAY_S:
            return max(self._watch_timeout_s, FIRST_WATCHES_WAIT_S)
        return self._watch_timeout_s

    def _next_relist_s(self) -> float:
        """Return the time until the next list of a node that doesn't watch."""
        for_members_s = RELIST_S_PER_MEMBER * len(self._directory.peer_views())
        interval_s = RELIST_INTERVAL_S + for_members_s
        return self._rng.uniform(0.5, 1.0) * interval_s

    async def _list_or_watch(
        self, revision: api.Revision | None
    ) -> api.Revision | None:
        """Return the revision to watch from, None to list again."""
        until_recheck_s = self._recheck_at - time.monotonic()
        is_unchanged, sent_at = True, boot_clock.now()
        if revision is None or until_recheck_s <= 0:
            listing = await self._platform.list(self._prefix)
            self._observe_era(listing.era)
            self._objects.forget_version()
            self._apply_listing(listing.entries)
            self.on_read(listing)
            revision = listing.revision
            if self._listed_at >= 0:
                self._relist_after_s = self._next_relist_s()
            self._listed_at = time.monotonic()
            self._first_listed_at = min(self._first_listed_at, self._listed_at)
            if not listing.is_known:
                await anyio.sleep(UNKNOWN_PREFIX_RELIST_S)
                return None
        else:
            batch = await self._platform.watch(
                self._prefix,
                revision,
                min(self._watch_wait_s(time.monotonic()), until_recheck_s),
            )
            if self._observe_era(batch.era):
                return None
            is_unchanged = not batch.changes
            for change in batch.changes:
                self._apply_change(change)
            self.on_read(batch)
            revision = None if batch.unreadable else batch.revision
            if batch.changes:
                await anyio.sleep(self._batch_delay_s)
        await self._objects.fetch_pending()
        if is_unchanged and revision is not None:
            self.on_confirmed(self._objects.stored_version, sent_at)
        return revision

    def _observe_era(self, era: api.Era) -> bool:
        """Return whether the platform was restored since the last call."""
        is_new = self._era not in (None, era)
        if is_new:
            self._is_restored = True
            self._metrics.count_event(metrics_module.Event.PLATFORM_RESTORED)
            self._log.warning(
                'Platform was restored from a copy.',
                prefix=self._prefix,
                era=era,
                previous_era=self._era,
            )
        self._era = era
        return is_new

    def _apply_listing(self, entries: list[api.Entry]) -> None:
        if self._is_restored:
            self._is_restored = False
            self._apply_restored(entries)
            return
        listed = {entry.key for entry in entries}
        now = time.monotonic()
        for member in self._directory.known_members():
            is_below_prefix = member.key.startswith(self._prefix)
            if is_below_prefix and member.key not in listed:
                if now < self._recheck_at < math.inf:
                    self.on_member_missing(member.node, True)
                else:
                    self._handle_missing(member.node, now)
        if now >= self._recheck_at:
            self._recheck_at = math.inf
        for entry in entries:
            self._objects.apply(entry)
        self.on_listed(entries)

    def _apply_restored(self, entries: list[api.Entry]) -> None:
        """Apply a list whose records may be older than what is known.

        Members whose record is not the known one are told to write it again;
        those still missing after RESTORE_RECOVERY_S are removed.
        """
        known = {
            member.key: member
            for member in self._directory.known_members()
            if member.key.startswith(self._prefix)
        }
        lost = restored_records.lost_members(known, entries)
        for node in lost:
            self.on_member_missing(node, True)
        for entry in entries:
            if not restored_records.is_older_copy(known, entry):
                self._objects.apply(entry)
        self._log.info(
            'Records that a restored platform has lost.',
            prefix=self._prefix,
            listed=len(entries),
            lost=len(lost),
        )
        self._recheck_at = time.monotonic() + RESTORE_RECOVERY_S
        self.on_listed(entries)
        self.on_restored(self._era)

    def _apply_change(self, change: api.Change) -> None:
        key = change.entry.key
        node = messages.NodeId(key.removeprefix(members.KEY_PREFIX))
        if change.kind is api.ChangeKind.PUT:
            is_valid = self._objects.apply(change.entry)
            if is_valid and key.startswith(members.KEY_PREFIX):
                self.on_member_update(
                    messages.MemberUpdate(node, change.entry.value)
                )
        elif key == snapshot.MANIFEST_KEY:
            self._objects.forget_version()
        elif key.startswith(members.KEY_PREFIX):
            self._handle_missing(node, time.monotonic())
            self.on_member_update(messages.MemberUpdate(node))

    def _handle_missing(self, node: messages.NodeId, now: float) -> None:
        """Remove a member that the platform doesn't list.

        If the directory keeps it, because it is this node or was heard
        from lately, report it, so that it writes its record again.
        """
        self._directory.remove_if_not_heard(node, now)
        if self._directory.peer_view(node) is not None:
            self.on_member_missing(node, False)
