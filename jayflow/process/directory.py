"""Hold what a node knows of the members and of the version in force.

Both are hints from others: a wrong member costs one refused try, and a
version is taken only when its number is higher and its digests match.
"""

from collections.abc import Callable
import random
import time

import anyio
import msgspec

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import logs
from jayflow import metrics as counting
from jayflow.request import routing
from jayflow.version import objects
from jayflow.version import snapshot

WATCH_PREFIX = 'live/'
WATCH_WAIT_S = 20.0
DIRECT_TRUST_S = 1.0


class Directory:
    """Keep the views of all members, by node and by service."""

    def __init__(
        self, node: messages.NodeId, data_centre: objects.DataCentreName
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._objects = objects.Objects()
        self._views: dict[messages.NodeId, routing.View] = {}
        self._by_service: dict[objects.ServiceName, list[routing.View]] = {}

    def known_members(self) -> list[members.Member]:
        """Return all known members."""
        return [view.member for view in self._views.values()]

    def view(self, node: messages.NodeId) -> routing.View | None:
        """Return what is known of a node."""
        return self._views.get(node)

    def views_of(self, service: objects.ServiceName) -> list[routing.View]:
        """Return the views of the members that serve a service."""
        return self._by_service.get(service, [])

    def put(self, member: members.Member) -> None:
        """Add or replace a member."""
        before = self._views.get(member.node)
        if before and before.member == member:
            return
        view = routing.View(member, self._distance(member))
        if before and before.member.incarnation == member.incarnation:
            before.member = member
            before.distance = view.distance
            before.load = None
            view = before
        self._forget(member.node)
        self._views[member.node] = view
        for service in member.services:
            if member.is_serving(service):
                self._by_service.setdefault(service, []).append(view)

    def put_listed(self, member: members.Member, now: float) -> None:
        """Take a member from a listing, unless it told something newer.

        A listing may lag behind what the node itself said a moment ago.
        """
        view = self._views.get(member.node)
        if (
            view is not None
            and now - view.heard_at < DIRECT_TRUST_S
            and view.member.address == member.address
            and view.member.incarnation != member.incarnation
        ):
            return
        self.put(member)

    def remove_unlisted(self, node: messages.NodeId, now: float) -> None:
        """Remove a member that is no longer listed and no longer heard."""
        view = self._views.get(node)
        if view is not None and now - view.heard_at > DIRECT_TRUST_S:
            self.remove(node)

    def remove(self, node: messages.NodeId) -> None:
        """Remove a member."""
        self._forget(node)
        self._views.pop(node, None)

    def use(self, whole: objects.Objects) -> None:
        """Take the places of a new configuration version."""
        self._objects = whole
        for view in self._views.values():
            view.distance = self._distance(view.member)

    def _forget(self, node: messages.NodeId) -> None:
        for views in self._by_service.values():
            views[:] = [each for each in views if each.member.node != node]

    def _distance(self, member: members.Member) -> routing.Distance:
        if member.data_centre == self._data_centre:
            return routing.Distance.DATA_CENTRE
        mine = self._objects.region_of(self._data_centre)
        theirs = self._objects.region_of(member.data_centre)
        if mine is not None and mine == theirs:
            return routing.Distance.REGION
        return routing.Distance.FAR


class VersionHolder:
    """Hold the version in force; it is never replaced by a lower one."""

    def __init__(
        self,
        metrics: counting.Metrics,
        on_change: Callable[[snapshot.Version], None],
    ) -> None:
        self.current = snapshot.Version.empty()
        self.applied_at = time.monotonic()
        self._metrics = metrics
        self._on_change = on_change
        self._log = logs.get(logs.Part.CONFIG)

    def apply(self, version: snapshot.Version) -> bool:
        """Put a version in force if its number is higher."""
        if version.number <= self.current.number:
            return False
        self.current = version
        self.applied_at = time.monotonic()
        self._metrics.event(counting.Event.CONFIG_APPLIED)
        self._log.info('Version is in force.', version=version.number)
        self._on_change(version)
        return True


ReadVersion = Callable[[bytes], snapshot.Version] | None


class Follower:
    """Follow the platform's objects that every node wants."""

    def __init__(
        self,
        platform: api.Platform,
        directory: Directory,
        holder: VersionHolder,
        metrics: counting.Metrics,
        rng: random.Random,
        prefix: str = WATCH_PREFIX,
        read_version: ReadVersion = None,
        max_pause_s: float = api.BACKOFF_MAX_S,
    ) -> None:
        self._prefix = prefix
        self._read_version = read_version
        self._max_pause_s = max_pause_s
        self.on_own_missing: Callable[[], None] = lambda: None
        self.own_key = ''
        self.has_listed = anyio.Event()
        self._platform = platform
        self._directory = directory
        self._holder = holder
        self._metrics = metrics
        self._rng = rng
        self._log = logs.get(logs.Part.PLATFORM)
        self._pending: snapshot.Head | None = None
        self.heard_at = -1.0

    async def run(self) -> None:
        """Follow until cancelled; an outage leaves all as it was."""
        revision: api.Revision | None = None
        failures = 0
        while True:
            try:
                revision = await self._step(revision)
                failures = 0
                self.heard_at = time.monotonic()
            except api.TooOldError:
                revision = None
            except api.PlatformError as exc:
                failures += 1
                if failures == 1:
                    self._log.warning('Platform is lost.', error=str(exc))
                await anyio.sleep(
                    api.backoff_s(failures, self._rng, self._max_pause_s)
                )

    async def catch_up(self) -> None:
        """Read the version in force without waiting for a change."""
        try:
            entry = await self._platform.get(snapshot.HEAD_KEY)
        except api.PlatformError as exc:
            self._log.warning('Version could not be read.', error=str(exc))
            return
        if entry is not None:
            self._take(entry)

    async def _step(self, revision: api.Revision | None) -> api.Revision:
        if revision is None:
            listing = await self._platform.list(self._prefix)
            self._replace(listing.entries)
            revision = listing.revision
            self.has_listed.set()
        else:
            found = await self._platform.watch(
                self._prefix, revision, WATCH_WAIT_S
            )
            for change in found.changes:
                self._change(change)
            revision = found.revision
        if self._pending is not None:
            await self._fetch(self._pending)
        return revision

    def _replace(self, entries: list[api.Entry]) -> None:
        listed = {entry.key for entry in entries}
        now = time.monotonic()
        for member in self._directory.known_members():
            is_here = member.key.startswith(self._prefix)
            if is_here and member.key not in listed:
                self._directory.remove_unlisted(member.node, now)
        is_own_here = self.own_key.startswith(self._prefix)
        if is_own_here and self.own_key not in listed:
            self.on_own_missing()
        for entry in entries:
            self._take(entry)

    def _change(self, change: api.Change) -> None:
        key = change.entry.key
        if change.kind is api.ChangeKind.PUT:
            self._take(change.entry)
        elif key.startswith(members.PREFIX):
            node = messages.NodeId(key.removeprefix(members.PREFIX))
            self._directory.remove_unlisted(node, time.monotonic())
            if key == self.own_key:
                self.on_own_missing()

    def _take(self, entry: api.Entry) -> None:
        try:
            if entry.key == snapshot.HEAD_KEY and self._read_version:
                self._holder.apply(self._read_version(entry.value))
            elif entry.key == snapshot.HEAD_KEY:
                head = msgspec.msgpack.decode(entry.value, type=snapshot.Head)
                if head.number > self._holder.current.number:
                    self._pending = head
            elif entry.key.startswith(members.PREFIX):
                member = members.Member.decode(entry.value)
                if member.key != entry.key:
                    raise msgspec.ValidationError('entry names another node')
                if entry.key != self.own_key:
                    self._directory.put_listed(member, time.monotonic())
        except (msgspec.DecodeError, ValueError):
            self._metrics.event(counting.Event.CONFIG_REJECTED)
            self._log.error('Object is garbled.', key=entry.key)

    async def _fetch(self, head: snapshot.Head) -> None:
        parts = []
        for digest in head.parts:
            entry = await self._platform.get(snapshot.part_key(digest))
            parts.append(entry.value if entry else b'')
        try:
            self._holder.apply(snapshot.Version.from_parts(head, parts))
        except (snapshot.CorruptPartError, msgspec.DecodeError) as exc:
            self._metrics.event(counting.Event.CONFIG_REJECTED)
            self._log.error('Version is garbled.', error=str(exc))
        self._pending = None


class Registrar:
    """Keep the node's own member object as it should be."""

    def __init__(
        self,
        platform: api.Platform,
        key: str,
        wanted: Callable[[], members.Member | None],
        rng: random.Random,
        max_pause_s: float = api.BACKOFF_MAX_S,
    ) -> None:
        self._platform = platform
        self._key = key
        self._wanted = wanted
        self._rng = rng
        self._max_pause_s = max_pause_s
        self._changed = anyio.Event()
        self._settled = anyio.Event()
        self._held: api.Entry | None = None
        self._is_known = False
        self._log = logs.get(logs.Part.MEMBERS)

    def notify(self) -> None:
        """Say that the wanted object may have changed."""
        self._changed.set()

    def lose(self) -> None:
        """Say that the object is missing from the platform."""
        self._is_known = False
        self.notify()

    async def run(self) -> None:
        """Write the wanted object whenever it changes."""
        while True:
            self._changed = anyio.Event()
            await self.write()
            if not self._changed.is_set():
                self._settled.set()
            await self._changed.wait()

    async def settle(self, limit_s: float) -> bool:
        """Return whether the platform holds what is wanted now, in time."""
        self._settled = anyio.Event()
        self.notify()
        with anyio.move_on_after(limit_s):
            await self._settled.wait()
            return True
        return False

    async def write(self) -> None:
        """Write until the platform holds what is wanted now."""
        failures = 0
        while True:
            try:
                if await self._is_written():
                    return
            except api.PlatformError as exc:
                self._is_known = False
                failures += 1
                if failures == 1:
                    self._log.warning('Member is not written.', error=str(exc))
                await anyio.sleep(
                    api.backoff_s(failures, self._rng, self._max_pause_s)
                )

    async def _is_written(self) -> bool:
        if not self._is_known:
            self._held = await self._platform.get(self._key)
            self._is_known = True
        wanted = self._wanted()
        held = self._held.revision if self._held else api.ABSENT
        if wanted is None:
            if self._held is not None:
                await self._platform.delete(self._key, held)
                self._held = None
            return True
        value = wanted.encode()
        if self._held is None or self._held.value != value:
            revision = await self._platform.put(self._key, value, held)
            self._held = api.Entry(self._key, value, revision)
        return True
