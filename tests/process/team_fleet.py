"""Run the team limits of many nodes in one process, without a network.

Nodes exchange encoded messages with a delay. Nodes can be killed, frozen and
cut off, and messages can be lost.
"""

import asyncio
import bisect
import collections
import random

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.process import subset
from jayflow.process import team_limits
from jayflow.request.decisions import team_limit
from jayflow.request import exchange as exchanges

REGIONS = 5
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.012
CONFIG_MAX_AGE_S = 5.0
# A node that is cut off from the store refuses requests with a key.
STALE_AFTER_S = 0.95 * CONFIG_MAX_AGE_S


class FleetNode:
    """Hold one process of a node."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.region = int(name[1:]) % REGIONS
        self.is_stopping = False
        self.is_alive = True
        self.frozen_until = 0.0
        self.admitted_count = 0
        self.member = members.Member(
            name, incarnation, 'd', '127.0.0.1', 1 + int(name[1:])
        )
        self.metrics = metrics_module.Metrics()
        self.directory = member_directory.MemberDirectory(name, 'd')
        self.table = exchanges.ExchangeTable(incarnation, self.metrics)
        self.limits = team_limits.TeamLimits(
            name,
            incarnation,
            self.directory,
            self.table,
            lambda view, lane: Channel(self, view.member.node),
            lambda team: fleet.teams.get(team),
            lambda: self.is_stopping,
            self.metrics,
            CONFIG_MAX_AGE_S,
            fleet.now,
        )

    def receive(self, handle, message):
        """Handle a message, later if the process is frozen."""
        if not self.is_alive:
            return
        wait_s = self.frozen_until - self.fleet.now()
        if wait_s > 0:
            self.fleet.loop.call_later(
                wait_s + 1e-6, self.receive, handle, message
            )
        else:
            handle(message)


class Channel:
    """Carry the messages of one process to a node and the answers back."""

    is_connected = True

    def __init__(self, sender, receiver):
        self.sender = sender
        self.receiver = receiver
        self.connection = self

    async def wait_connected(self):
        if not self.sender.fleet.nodes[self.receiver].is_alive:
            await asyncio.Event().wait()

    def send(self, message):
        fleet = self.sender.fleet
        target = fleet.nodes[self.receiver]
        if not target.is_alive:
            raise sockets.NotSentError
        decoded = messages.decode_request(messages.encode(message))
        fleet.messages += 1
        frozen_s = self.sender.frozen_until - fleet.now()

        def reply(answer):
            fleet.messages += 1
            copy = messages.decode_reply(messages.encode(answer))
            fleet.carry(target, self.sender, self.sender.table.deliver, copy)

        fleet.loop.call_later(
            max(0.0, frozen_s),
            fleet.carry,
            self.sender,
            target,
            lambda query: target.limits.handle_query(query, reply),
            decoded,
        )


class Fleet:
    """Hold the nodes, the links between them and what they admitted."""

    def __init__(self, loop, count, teams, seed=1):
        self.loop = loop
        self.rng = random.Random(seed)
        self.teams = {team.name: team for team in teams}
        self.nodes = {}
        self.messages = 0
        self.loss = 0.0
        # Since when nodes are cut off from the others and from the store.
        self.cut_off = {}
        # Pairs of nodes whose messages to each other are lost.
        self.broken_links = set()
        self.admitted = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.waits_s = collections.defaultdict(list)
        self._incarnations = 0
        self.tasks = set()
        self.names = [f'n{index}' for index in range(count)]
        for name in self.names:
            self.start(name)

    def now(self):
        """Return the virtual time."""
        return self.loop.time()

    def start(self, name):
        """Start or restart a node; all learn of it at once."""
        self._incarnations += 1
        node = FleetNode(self, name, self._incarnations)
        self.nodes[name] = node
        for other in self.nodes.values():
            other.directory.put(node.member)
            node.directory.put(other.member)

    def kill(self, name):
        """End a node's process; it stays a known member."""
        self.nodes[name].is_alive = False

    def freeze(self, name, duration_s):
        """Suspend a node's process."""
        self.nodes[name].frozen_until = self.now() + duration_s

    def stop(self, name):
        """Begin a planned stop of a node."""
        self.nodes[name].is_stopping = True

    def owner(self, team, rank=0):
        """Return the name of a node in the order of a team."""
        return sorted(
            self.names, key=lambda name: subset.rendezvous_hash(team, name)
        )[rank]

    def carry(self, sender, receiver, handle, message):
        """Deliver a message after the delay of its link, or lose it."""
        if not self._is_linked(sender, receiver):
            return
        if self.rng.random() < self.loss:
            return
        delay_s = (
            LOCAL_DELAY_S
            if sender.region == receiver.region
            else REMOTE_DELAY_S
        )
        self.loop.call_later(delay_s, receiver.receive, handle, message)

    def _is_linked(self, sender, receiver):
        if {(sender.name, receiver.name), (receiver.name, sender.name)} & (
            self.broken_links
        ):
            return False
        return (sender.name in self.cut_off) == (receiver.name in self.cut_off)

    async def submit(self, team, name):
        """Send one request of a team to a node."""
        node = self.nodes[name]
        sent_at = self.now()
        if not node.is_alive or node.frozen_until > sent_at:
            return
        if sent_at - self.cut_off.get(name, sent_at) > STALE_AFTER_S:
            return
        retry_after_s = await node.limits.acquire(team)
        if not node.is_alive:
            return
        self.waits_s[team].append(self.now() - sent_at)
        if retry_after_s is None:
            node.admitted_count += 1
            self.admitted[team].append(self.now())
        else:
            self.refused[team].append((sent_at, retry_after_s))

    async def offer(self, team, rate, names, until):
        """Offer requests of a team at random times through some nodes."""
        names = list(names)
        while self.now() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            task = self.loop.create_task(
                self.submit(team, self.rng.choice(names))
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def bound(self, team):
        """Return the most requests of a team in any window."""
        limit = self.teams[team]
        return (
            limit.rate * team_limit.WINDOW_S + limit.burst
        ) * team_limit.MAX_RATIO + team_limit.MAX_EXTRA

    def most_in_window(self, team):
        """Return the most admitted requests of a team in any window."""
        return most_in_window(self.admitted[team])


def most_in_window(times, window_s=team_limit.WINDOW_S):
    """Return the most of these sorted times in any window."""
    return max(
        (
            bisect.bisect_right(times, first + window_s) - index
            for index, first in enumerate(times)
        ),
        default=0,
    )


def counts_in_windows(times, since, until, window_s=team_limit.WINDOW_S):
    """Return the number of times in windows that begin each 0.25 s."""
    counts = []
    while since + window_s <= until:
        counts.append(
            bisect.bisect_left(times, since + window_s)
            - bisect.bisect_left(times, since)
        )
        since += 0.25
    return counts
