"""Publish configuration and read status on behalf of operators."""

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

from jayflow.connection import links as peers
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow import metrics as counting
from jayflow.process import status
from jayflow.version import checks
from jayflow.version import objects
from jayflow.version import quantity
from jayflow.version import snapshot

CALLS_PER_S = 50
CALL_DEADLINE_S = 5.0
PUBLISH_LIMIT_S = 30.0
STATUS_TIMEOUT_S = 2.0
POLL_S = 0.25
STATUS_AT_ONCE = 64


class LostRaceError(Exception):
    """Report that another operator published first."""

    def __init__(self, head: snapshot.Head) -> None:
        super().__init__(
            f'version {head.number} was published by {head.author}'
        )
        self.head = head


@dataclasses.dataclass(frozen=True)
class FleetStatus:
    """Hold the head and what each member answered, if it did."""

    head: snapshot.Head | None
    members: list[members.Member]
    answers: dict[messages.NodeId, status.NodeStatus]

    @property
    def lagging(self) -> list[messages.NodeId]:
        """Return the nodes that don't show the head's version yet."""
        number = self.head.number if self.head else snapshot.NO_VERSION
        return [
            member.node
            for member in self.members
            if member.node not in self.answers
            or self.answers[member.node].version < number
        ]


class Operator:
    """Call the platform and the nodes for one command."""

    def __init__(self, platform: api.Platform) -> None:
        self._platform = platform
        self._rng = random.Random()

    @classmethod
    def from_address(cls, address: quantity.Address) -> Self:
        """Return an operator of the platform at an address."""
        return cls(
            api.HttpPlatform(
                address,
                api.CallBudget(CALLS_PER_S),
                counting.Metrics(),
                CALL_DEADLINE_S,
            )
        )

    async def head(self) -> tuple[snapshot.Head | None, api.Revision]:
        """Return the head and its revision."""
        entry = await self._platform.get(snapshot.HEAD_KEY)
        if entry is None:
            return None, api.ABSENT
        head = msgspec.msgpack.decode(entry.value, type=snapshot.Head)
        return head, entry.revision

    async def publish(
        self,
        whole: objects.Objects,
        note: str,
        based_on: snapshot.VersionNumber | None,
    ) -> snapshot.Head:
        """Publish all objects as the next version, or nothing.

        Raises LostRaceError when the head is not the version that the
        operator based the change on.
        """
        with anyio.fail_after(PUBLISH_LIMIT_S):
            before, held = await self._call(self.head)
            number = before.number if before else snapshot.NO_VERSION
            if based_on is not None and based_on != number:
                raise LostRaceError(before or _no_head())
            parts = snapshot.split(whole)
            for digest, part in parts.items():
                await self._write_part(digest, part)
            head = snapshot.Head(
                snapshot.VersionNumber(number + 1),
                tuple(parts),
                secrets.token_hex(8),
                getpass.getuser(),
                note,
            )
            await self._move_head(head, held)
            return head

    async def fetch(self, head: snapshot.Head) -> snapshot.Version:
        """Return the objects of a head."""
        parts = []
        for digest in head.parts:
            key = snapshot.part_key(digest)
            entry = await self._call(lambda key=key: self._platform.get(key))
            parts.append(entry.value if entry else b'')
        return snapshot.Version.from_parts(head, parts)

    async def fleet(self) -> FleetStatus:
        """Return the status of every member that answers."""
        head, _ = await self._call(self.head)
        listing = await self._call(lambda: self._platform.list(members.PREFIX))
        found = [members.Member.decode(each.value) for each in listing.entries]
        return FleetStatus(head, found, await ask_members(found))

    async def wait(self, number: snapshot.VersionNumber) -> FleetStatus:
        """Wait until every member shows a version or a higher one."""
        while True:
            fleet = await self.fleet()
            if all(
                member.node in fleet.answers
                and fleet.answers[member.node].version >= number
                for member in fleet.members
            ):
                return fleet
            await anyio.sleep(POLL_S)

    async def _call(self, call: Callable):
        return await api.insist(call, self._rng)

    async def _write_part(self, digest: snapshot.Digest, part: bytes) -> None:
        key = snapshot.part_key(digest)

        async def write() -> None:
            if await self._platform.get(key) is None:
                await self._platform.put(key, part, api.ABSENT)

        try:
            await self._call(write)
        except api.ConflictError:
            return

    async def _move_head(
        self, head: snapshot.Head, held: api.Revision
    ) -> None:
        """Move the head; a lost answer is read back by its mark."""
        data = msgspec.msgpack.encode(head)

        async def write() -> None:
            seen, revision = await self.head()
            if seen is not None and seen.mark == head.mark:
                return
            if revision != held:
                raise LostRaceError(seen or _no_head())
            await self._platform.put(snapshot.HEAD_KEY, data, held)

        while True:
            try:
                await self._call(write)
                return
            except api.ConflictError:
                continue


def _no_head() -> snapshot.Head:
    return snapshot.Head(snapshot.NO_VERSION, (), '', 'nobody')


async def ask_members(
    found: list[members.Member],
) -> dict[messages.NodeId, status.NodeStatus]:
    """Ask members for their status; those that stay silent are left out."""
    context = zmq.Context()
    incarnation = messages.Incarnation(secrets.randbits(62))
    waiting: dict[messages.AttemptId, messages.NodeId] = {}
    answers: dict[messages.NodeId, status.NodeStatus] = {}
    all_answered = anyio.Event()

    def receive(data: bytes) -> None:
        message = messages.decode_to_sender(data)
        node = waiting.pop(message.attempt, None)
        if node is not None and isinstance(message, messages.Status):
            answers[node] = msgspec.json.decode(
                message.body, type=status.NodeStatus
            )
        if not waiting:
            all_answered.set()

    links = peers.Links(context, incarnation, receive, lambda link: None)

    async def ask(count: int, member: members.Member) -> None:
        link = links.to(member, messages.Lane.SHORT)
        await link.wait_ready()
        try:
            link.send(messages.StatusQuery(_attempt(count)))
        except sockets.LinkDownError:
            return

    def _attempt(count: int) -> messages.AttemptId:
        return messages.AttemptId(incarnation, count)

    for count, member in enumerate(found):
        waiting[_attempt(count)] = member.node
    with anyio.move_on_after(STATUS_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            for count, member in enumerate(found):
                tasks.start_soon(ask, count, member)
            if found:
                await all_answered.wait()
    links.close()
    context.destroy(linger=0)
    return answers


def load_files(paths: list[pathlib.Path]) -> objects.Objects:
    """Return the checked objects of files; an ExceptionGroup of faults."""
    return checks.load(
        (str(path), path.read_text(encoding='utf-8')) for path in paths
    )
