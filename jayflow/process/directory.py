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


class Follower:
    """Follow the platform's objects that every node wants."""

    def __init__(
        self,
        platform: api.Platform,
        directory: Directory,
        holder: VersionHolder,
        metrics: counting.Metrics,
        rng: random.Random,
    ) -> None:
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
                await anyio.sleep(api.backoff_s(failures, self._rng))

    async def _step(self, revision: api.Revision | None) -> api.Revision:
        if revision is None:
            listing = await self._platform.list(WATCH_PREFIX)
            self._replace(listing.entries)
            revision = listing.revision
        else:
            found = await self._platform.watch(
                WATCH_PREFIX, revision, WATCH_WAIT_S
            )
            for change in found.changes:
                self._change(change)
            revision = found.revision
        if self._pending is not None:
            await self._fetch(self._pending)
        return revision

    def _replace(self, entries: list[api.Entry]) -> None:
        listed = {entry.key for entry in entries}
        for member in self._directory.known_members():
            if member.key not in listed:
                self._directory.remove(member.node)
        for entry in entries:
            self._take(entry)

    def _change(self, change: api.Change) -> None:
        key = change.entry.key
        if change.kind is api.ChangeKind.PUT:
            self._take(change.entry)
        elif key.startswith(members.PREFIX):
            node = messages.NodeId(key.removeprefix(members.PREFIX))
            self._directory.remove(node)

    def _take(self, entry: api.Entry) -> None:
        try:
            if entry.key == snapshot.HEAD_KEY:
                head = msgspec.msgpack.decode(entry.value, type=snapshot.Head)
                if head.number > self._holder.current.number:
                    self._pending = head
            elif entry.key.startswith(members.PREFIX):
                self._directory.put(members.Member.decode(entry.value))
        except msgspec.DecodeError:
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
    ) -> None:
        self._platform = platform
        self._key = key
        self._wanted = wanted
        self._rng = rng
        self._changed = anyio.Event()
        self._log = logs.get(logs.Part.MEMBERS)

    def notify(self) -> None:
        """Say that the wanted object may have changed."""
        self._changed.set()

    async def run(self) -> None:
        """Write the wanted object whenever it changes."""
        while True:
            self._changed = anyio.Event()
            await self.write()
            await self._changed.wait()

    async def write(self) -> None:
        """Write until the platform holds what is wanted now."""
        failures = 0
        while True:
            try:
                if await self._is_written():
                    return
            except api.PlatformError:
                failures += 1
                await anyio.sleep(api.backoff_s(failures, self._rng))

    async def _is_written(self) -> bool:
        entry = await self._platform.get(self._key)
        wanted = self._wanted()
        held = entry.revision if entry else api.ABSENT
        if wanted is None:
            if entry is not None:
                await self._platform.delete(self._key, held)
            return True
        if entry is None or entry.value != wanted.encode():
            await self._platform.put(self._key, wanted.encode(), held)
        return True
