"""Run the trackers of the configuration's age of a fleet without a network."""

import collections
import math
import random

import anyio

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.process import config_age
from jayflow.process import member_directory
from jayflow.process import platform_pauses
from jayflow.process import subset
from jayflow.process import watcher_election
from jayflow.request import exchange as exchanges
from jayflow.version import objects
from jayflow.version import snapshot
from tests.process import test_member_directory

MAX_AGE_S = 5.0
DELAY_S = 0.01


def version(number: int) -> snapshot.Version:
    return snapshot.Version(number, objects.ObjectSet())


class Channel:
    """Carry messages from one node of a fleet to another, unless cut off."""

    is_connected = True

    def __init__(self, fleet: 'Fleet', sender: str, receiver: str) -> None:
        self._fleet, self._sender, self._receiver = fleet, sender, receiver

    @property
    def connection(self):
        return self

    def send(self, message):
        if self._receiver in self._fleet.unconnected:
            raise sockets.NotSentError
        self._fleet.sent[type(message)] += 1
        self._fleet.sent_to[self._receiver] += 1
        self._fleet.loop.call_later(DELAY_S, self._receive, message)

    def _receive(self, message):
        fleet = self._fleet
        if fleet.cut_off & {self._sender, self._receiver}:
            return
        if isinstance(message, messages.VersionQuery):
            number = fleet.held[self._receiver].current.number
            fleet.held[self._sender].apply(version(number))
        elif answer := fleet.trackers[self._receiver].answer(message):
            table = fleet.tables[self._sender]
            fleet.loop.call_later(DELAY_S, table.deliver, answer)


class Fleet:
    """Run the trackers of a fleet whose elected nodes watch a store."""

    def __init__(self, loop, nodes: int) -> None:
        self.loop = loop
        self.names = [f'n{number}' for number in range(nodes)]
        self.metrics = metrics_module.Metrics()
        self.stored = 1
        # Nodes that the store rejects, and those without any connection.
        self.rejected: set[str] = set()
        self.cut_off: set[str] = set()
        self.unconnected: set[str] = set()
        self.sent = collections.Counter()
        self.sent_to = collections.Counter()
        self.read_at: list[float] = []
        self.trackers, self.tables, self.held = {}, {}, {}
        order = sorted(self.names, key=subset.rendezvous_hash)
        self.watchers = order[: watcher_election.WATCHERS_PER_REGION]
        for name in self.names:
            self._add(name)

    def _add(self, name: str) -> None:
        directory = member_directory.MemberDirectory(
            messages.NodeId(name), objects.DataCentreName('a')
        )
        for other in self.names:
            directory.put(test_member_directory.member(other, 'a'))
        for view in directory.peer_views():
            view.last_heard_at = math.inf
            if view.member.node in self.watchers:
                view.platform_heard_at = self.loop.time()
        # In a large fleet, a node knows the members of the services in use.
        directory.candidates(objects.ServiceName('s'))
        self.held[name] = member_directory.ActiveVersion(
            self.metrics, lambda version: None
        )
        self.tables[name] = exchanges.ExchangeTable(
            messages.Incarnation(1), self.metrics
        )
        self.trackers[name] = config_age.ConfigAgeTracker(
            messages.NodeId(name),
            MAX_AGE_S,
            directory,
            self.held[name],
            self.tables[name],
            lambda view, lane: Channel(self, name, view.member.node),
            lambda: self._read(name),
            platform_pauses.jittered_pause(random.Random(1), 1.0),
            self.metrics,
            self.loop.time,
        )

    async def _read(self, name: str) -> int:
        """Return the stored version; refuse nodes without a path to it."""
        self.read_at.append(self.loop.time())
        await anyio.sleep(2 * DELAY_S)
        if name in self.rejected | self.cut_off:
            raise api.UnavailableError('rejected')
        self.held[name].apply(version(self.stored))
        return self.stored

    async def _watch(self, name: str, wait_s: float) -> None:
        """Confirm the stored version as a watcher does."""
        while True:
            sent_at, number = self.loop.time(), self.stored
            await anyio.sleep(wait_s + 2 * DELAY_S)
            if name not in self.rejected | self.cut_off:
                self.held[name].apply(version(number))
                self.trackers[name].confirm(number, sent_at)

    async def run(
        self, duration_s: float, wait_s: float = config_age.MAX_WATCH_S
    ) -> dict[str, float]:
        """Run for a time; return each node's highest age after 3 s."""
        start = self.loop.time()
        highest_s = dict.fromkeys(self.names, 0.0)
        async with anyio.create_task_group() as tasks:
            for name, tracker in self.trackers.items():
                # As after the list at the start of each node.
                self.held[name].apply(version(self.stored))
                tracker.confirm(self.stored, self.loop.time())
                tasks.start_soon(tracker.run)
                await anyio.sleep(0.7 / len(self.names))
            for name in self.watchers:
                tasks.start_soon(self._watch, name, wait_s)
                await anyio.sleep(0.3)
            while self.loop.time() < start + duration_s:
                await anyio.sleep(0.05)
                if self.loop.time() > start + 3.0:
                    for name, tracker in self.trackers.items():
                        highest_s[name] = max(highest_s[name], tracker.age_s())
            tasks.cancel_scope.cancel()
        return highest_s
