"""Publish the configuration and read the status of the fleet.

The commands of operators use this module. It calls the platform for the
configuration and the member records, and asks each node for its status.
"""

from collections.abc import Callable
import dataclasses
import getpass
import pathlib
import random
import secrets
from typing import Self

import anyio
import msgspec
import zmq

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import peer_connections
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import platform_pauses
from jayflow.process import status
from jayflow.version import objects
from jayflow.version import snapshot
from jayflow.version import validation
from jayflow.version import value_parsers

PLATFORM_CALLS_PER_S = 50
PLATFORM_CALL_TIMEOUT_S = 5.0
PUBLISH_TIMEOUT_S = 30.0
STATUS_TIMEOUT_S = 2.0
STATUS_POLL_INTERVAL_S = 0.25
MAX_CONCURRENT_STATUS_QUERIES = 64


class VersionConflictError(Exception):
    """Report that another operator published a version first."""

    def __init__(self, manifest: snapshot.Manifest) -> None:
        super().__init__(
            f'version {manifest.number} was published by {manifest.author}'
        )
        self.manifest = manifest


@dataclasses.dataclass(frozen=True)
class FleetStatus:
    """Hold the published manifest, the members and their statuses.

    A member that did not answer in time has no status.
    """

    manifest: snapshot.Manifest | None
    members: list[members.Member]
    statuses: dict[messages.NodeId, status.NodeStatus]

    @property
    def lagging(self) -> list[messages.NodeId]:
        """Return the nodes that don't report the published version yet."""
        number = self.manifest.number if self.manifest else snapshot.NO_VERSION
        return [
            member.node
            for member in self.members
            if member.node not in self.statuses
            or self.statuses[member.node].version < number
        ]


class FleetClient:
    """Call the platform and the nodes for one command."""

    def __init__(self, platform: api.Platform) -> None:
        self._platform = platform
        self._rng = random.Random()
        self._log = logs.get_logger(logs.Component.MEMBERS)

    @classmethod
    def from_address(cls, address: value_parsers.Address) -> Self:
        """Return a client that uses the platform at an address."""
        return cls(
            api.HttpPlatform(
                address,
                api.CallBudget(PLATFORM_CALLS_PER_S),
                metrics_module.Metrics(),
                PLATFORM_CALL_TIMEOUT_S,
            )
        )

    async def fetch_manifest(
        self,
    ) -> tuple[snapshot.Manifest | None, api.Revision]:
        """Return the published manifest and its revision."""
        entry = await self._platform.get(snapshot.MANIFEST_KEY)
        if entry is None:
            return None, api.ABSENT
        manifest = msgspec.msgpack.decode(entry.value, type=snapshot.Manifest)
        return manifest, entry.revision

    async def publish(
        self,
        object_set: objects.ObjectSet,
        note: str,
        based_on: snapshot.VersionNumber | None,
    ) -> snapshot.Manifest:
        """Publish all objects as the next version, or nothing.

        Raises VersionConflictError if the published version is not
        based_on, or if another operator publishes at the same time.
        """
        with anyio.fail_after(PUBLISH_TIMEOUT_S):
            current, revision = await self._call(self.fetch_manifest)
            number = current.number if current else snapshot.NO_VERSION
            if based_on is not None and based_on != number:
                raise VersionConflictError(current or _empty_manifest())
            parts = snapshot.encode_parts(object_set)
            for digest, part in parts.items():
                await self._write_part(digest, part)
            manifest = snapshot.Manifest(
                snapshot.VersionNumber(number + 1),
                tuple(parts),
                secrets.token_hex(8),
                getpass.getuser(),
                note,
            )
            await self._replace_manifest(manifest, revision)
            return manifest

    async def fetch_version(
        self, manifest: snapshot.Manifest
    ) -> snapshot.Version:
        """Return the version that a manifest describes."""
        parts = []
        for digest in manifest.parts:
            key = snapshot.part_key(digest)
            entry = await self._call(lambda key=key: self._platform.get(key))
            parts.append(entry.value if entry else b'')
        return snapshot.Version.from_parts(manifest, parts)

    async def fetch_published(self) -> objects.ObjectSet:
        """Return the objects in force; none if no version is published."""
        with anyio.fail_after(PUBLISH_TIMEOUT_S):
            manifest, _ = await self._call(self.fetch_manifest)
            if manifest is None:
                return objects.ObjectSet()
            return (await self.fetch_version(manifest)).objects

    async def fetch_status(self) -> FleetStatus:
        """Return the status of all members that answer in time."""
        manifest, _ = await self._call(self.fetch_manifest)
        listing = await self._call(
            lambda: self._platform.list(members.KEY_PREFIX)
        )
        fleet_members = []
        for entry in listing.entries:
            try:
                fleet_members.append(members.Member.decode(entry.value))
            except msgspec.DecodeError as exc:
                self._log.error(
                    'Member record is malformed.',
                    key=entry.key,
                    error=str(exc),
                )
        return FleetStatus(
            manifest, fleet_members, await query_members(fleet_members)
        )

    async def wait_for_version(
        self, number: snapshot.VersionNumber
    ) -> FleetStatus:
        """Wait until all members report a version or a higher one."""
        while True:
            fleet = await self.fetch_status()
            if all(
                member.node in fleet.statuses
                and fleet.statuses[member.node].version >= number
                for member in fleet.members
            ):
                return fleet
            await anyio.sleep(STATUS_POLL_INTERVAL_S)

    async def _call(self, call: Callable):
        return await api.retry_until_available(
            call, platform_pauses.jittered_pause(self._rng)
        )

    async def _write_part(self, digest: snapshot.Digest, part: bytes) -> None:
        key = snapshot.part_key(digest)

        async def write() -> None:
            if await self._platform.get(key) is None:
                await self._platform.put(key, part, api.ABSENT)

        try:
            await self._call(write)
        except api.ConflictError:
            # The key is the digest, so another writer stored equal bytes.
            return

    async def _replace_manifest(
        self, manifest: snapshot.Manifest, expected: api.Revision
    ) -> None:
        """Write a manifest if the current one has the expected revision.

        If the response to a write is lost, the mark of the manifest that
        is read back shows whether the write took effect.
        """
        data = msgspec.msgpack.encode(manifest)

        async def write() -> None:
            current, revision = await self.fetch_manifest()
            if current is not None and current.mark == manifest.mark:
                return
            if revision != expected:
                raise VersionConflictError(current or _empty_manifest())
            await self._platform.put(snapshot.MANIFEST_KEY, data, expected)

        while True:
            try:
                await self._call(write)
                return
            except api.ConflictError:
                continue


def _empty_manifest() -> snapshot.Manifest:
    return snapshot.Manifest(snapshot.NO_VERSION, (), '', 'nobody')


async def query_members(
    fleet_members: list[members.Member],
) -> dict[messages.NodeId, status.NodeStatus]:
    """Return the status of each member that answers in time."""
    context = zmq.Context()
    incarnation = messages.Incarnation(secrets.randbits(62))
    pending: dict[messages.AttemptId, messages.NodeId] = {}
    statuses: dict[messages.NodeId, status.NodeStatus] = {}
    all_answered = anyio.Event()

    def receive(data: bytes) -> None:
        message = messages.decode_reply(data)
        node = pending.pop(message.attempt, None)
        if node is not None and isinstance(message, messages.Status):
            statuses[node] = msgspec.json.decode(
                message.body, type=status.NodeStatus
            )
        if not pending:
            all_answered.set()

    connections = peer_connections.PeerConnections(
        context, incarnation, receive, lambda connection: None
    )

    async def query(sequence: int, member: members.Member) -> None:
        connection = connections.connection_to(member, messages.Lane.SHORT)
        await connection.wait_connected()
        try:
            connection.send(messages.StatusQuery(_attempt_id(sequence)))
        except sockets.NotSentError:
            return

    def _attempt_id(sequence: int) -> messages.AttemptId:
        return messages.AttemptId(incarnation, sequence)

    for sequence, member in enumerate(fleet_members):
        pending[_attempt_id(sequence)] = member.node
    with anyio.move_on_after(STATUS_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            for sequence, member in enumerate(fleet_members):
                tasks.start_soon(query, sequence, member)
            if fleet_members:
                await all_answered.wait()
    connections.close()
    context.destroy(linger=0)
    return statuses


def load_object_files(paths: list[pathlib.Path]) -> objects.ObjectSet:
    """Return the objects of files and directories after all checks.

    Raises an ExceptionGroup that holds every fault.
    """
    return load_files_with_sections(paths).objects


def load_files_with_sections(
    paths: list[pathlib.Path],
) -> validation.LoadedObjects:
    """Return the objects of files and directories, with their sections.

    Of a directory, the files whose names end in .ini are read; raises
    FileNotFoundError if there are none. Raises an ExceptionGroup that holds
    every fault.
    """
    files = []
    for path in paths:
        found = sorted(path.glob('*.ini')) if path.is_dir() else [path]
        if not found:
            raise FileNotFoundError(f'{path} contains no .ini file')
        files += found
    return validation.load_with_sections(
        (str(path), path.read_text(encoding='utf-8')) for path in files
    )
