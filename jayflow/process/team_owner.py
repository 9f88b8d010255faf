"""Grant the tokens of the teams that this node owns.

A node that begins to grant, or has not granted for a while, asks the node that
may have granted before or may still do so. Until that is known it grants at
the takeover rate, so that two owners together keep the bound.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import math

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import owner_order
from jayflow.request.decisions import team_limit
from jayflow.version import objects

MIN_TAKEOVER_S = 2.0
# Below the time that the asking node waits for its answer.
PROBE_WAIT_S = 0.06
# A second owner without queries for this long may have been frozen itself.
GAP_S = 1.0
# It keeps this many, so that a team of few requests is not refused each time.
GAP_TOKENS = 2.0
CLAIM_INTERVAL_S = 0.2
PROBE_INTERVAL_S = 0.5
# What a node granted counts in windows until this long after.
ACTIVE_S = team_limit.WINDOW_S + team_limit.STOCK_LIFETIME_S
UNKNOWN_TEAM_RETRY_S = 0.25
MAX_BUCKETS = 1000
# Values of `wanted` that ask for no tokens.
PROBE = 0
CLAIM = -1

FindTeam = Callable[[objects.TeamName], objects.Team | None]
# Sends a PROBE or a CLAIM to a node; returns whether that grants tokens, None
# if it does not answer in time.
Probe = Callable[
    [messages.NodeId, objects.TeamName, int], Awaitable[bool | None]
]


@dataclasses.dataclass
class _Owned:
    """Hold one bucket and what is known of other owners.

    `is_unknown` while nothing is known, as the bucket is new or had no query
    for the takeover time, in which the node may have been frozen;
    `is_confirmed` once the next node does not grant any more. `may_fill`
    while nothing but a grant of the next node can count in the window.
    """

    bucket: team_limit.TeamBucket
    asked_at: float
    may_fill: bool = False
    is_unknown: bool = True
    is_confirmed: bool = False
    probed_at: float = -math.inf
    yields_until: float = -math.inf
    failed_claims: int = 0
    probe: asyncio.Task | None = None


class TeamOwner:
    """Hold the buckets of teams, and who else may grant their tokens."""

    def __init__(
        self,
        node: messages.NodeId,
        find_team: FindTeam,
        order: owner_order.OwnerOrder,
        probe: Probe,
        is_stopping: Callable[[], bool],
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        takeover_s: float = MIN_TAKEOVER_S,
    ) -> None:
        self._node = node
        self._find_team = find_team
        self._order = order
        self._probe = probe
        self._is_stopping = is_stopping
        self._metrics = metrics
        self._clock = clock
        self._takeover_s = max(MIN_TAKEOVER_S, takeover_s)
        self._owned: dict[objects.TeamName, _Owned] = {}
        # Since when no node left, the owner of a team among them, and no
        # bucket was dropped.
        self._settled_at = clock()
        self._removals = order.removals

    def grant(
        self,
        team_name: objects.TeamName,
        asker: team_limit.AskerId,
        demand: team_limit.Demand,
    ) -> team_limit.Grant | asyncio.Task:
        """Grant tokens, or return the probe to wait for before."""
        team = self._find_team(team_name)
        if team is None:
            return team_limit.Grant(0, UNKNOWN_TEAM_RETRY_S)
        if not team.rate:
            return team_limit.Grant(demand.wanted)
        now = self._clock()
        owned = self._prepare(team, now)
        probe = self._begin_probe(team_name, owned, now)
        owned.asked_at = now
        if probe is not None:
            return probe
        return self._grant_now(owned, asker, demand, now)

    async def wait_and_grant(
        self,
        probe: asyncio.Task,
        team_name: objects.TeamName,
        asker: team_limit.AskerId,
        demand: team_limit.Demand,
    ) -> team_limit.Grant:
        """Grant tokens after a probe."""
        await asyncio.wait({probe}, timeout=PROBE_WAIT_S)
        owned = self._owned.get(team_name)
        if owned is None or owned.is_unknown:
            return team_limit.Grant(0, UNKNOWN_TEAM_RETRY_S)
        return self._grant_now(owned, asker, demand, self._clock())

    def answer_probe(self, team_name: objects.TeamName, wanted: int) -> bool:
        """Return whether this node grants tokens; a CLAIM ends that."""
        if self._is_stopping():
            return False
        if wanted != CLAIM:
            return True
        owned = self._owned.get(team_name)
        if owned is None:
            return False
        now = self._clock()
        self._begin_takeover(owned, now)
        owned.is_unknown = False
        owned.yields_until = now + self._takeover_s
        return now - owned.asked_at < ACTIVE_S

    def _grant_now(
        self,
        owned: _Owned,
        asker: team_limit.AskerId,
        demand: team_limit.Demand,
        now: float,
    ) -> team_limit.Grant:
        answer = owned.bucket.grant(asker, demand, now)
        self._metrics.count_event(
            metrics_module.Event.TEAM_TOKENS, answer.tokens
        )
        return dataclasses.replace(
            answer, is_full_rate=owned.bucket.is_full_rate(now)
        )

    def _prepare(self, team: objects.Team, now: float) -> _Owned:
        limit = team_limit.Limit.from_rate(team.rate, team.burst)
        owned = self._owned.get(team.name)
        if owned is None:
            if len(self._owned) >= MAX_BUCKETS:
                del self._owned[next(iter(self._owned))]
                self._settled_at = now
            bucket = team_limit.TeamBucket(
                limit, now, full_at=now + self._takeover_s
            )
            owned = self._owned[team.name] = _Owned(
                bucket, now, self._is_settled(team.name, now)
            )
        elif owned.bucket.limit != limit:
            owned.bucket.set_limit(limit, now)
        return owned

    def _is_settled(self, team: objects.TeamName, now: float) -> bool:
        """Return whether this node has owned a team for a whole window."""
        nodes = self._order.first_nodes(team)
        if self._order.removals != self._removals:
            self._removals = self._order.removals
            self._settled_at = now
        return nodes[0] == self._node and now - self._settled_at > ACTIVE_S

    def _begin_probe(
        self, team: objects.TeamName, owned: _Owned, now: float
    ) -> asyncio.Task | None:
        """Return the probe to wait for, None to grant at once."""
        if now - owned.asked_at > self._takeover_s:
            owned.is_unknown, owned.is_confirmed = True, False
        nodes = self._order.first_nodes(team)
        if nodes[0] != self._node:
            if now - owned.asked_at > GAP_S and not owned.is_unknown:
                # What happened meanwhile is not known.
                if owned.bucket.is_full_rate(now):
                    owned.bucket.clear(now, GAP_TOKENS)
                else:
                    self._begin_takeover(owned, now)
            if owned.is_confirmed or (
                owned.is_unknown and owned.probe is None
            ):
                self._begin_takeover(owned, now)
            if self._is_probe_due(owned, PROBE_INTERVAL_S, now):
                self._start(owned, self._run_probes(team, owned, nodes))
        elif len(nodes) == 1:
            self._confirm(owned, True, now)
        elif (
            not owned.is_confirmed
            and now >= owned.yields_until
            and self._is_probe_due(owned, CLAIM_INTERVAL_S, now)
        ):
            target = nodes[1 + owned.failed_claims % (len(nodes) - 1)]
            self._start(owned, self._run_claim(team, owned, target))
        return owned.probe if owned.is_unknown else None

    def _is_probe_due(
        self, owned: _Owned, interval_s: float, now: float
    ) -> bool:
        if owned.probe is not None or now - owned.probed_at < interval_s:
            return False
        owned.probed_at = now
        return True

    def _start(
        self, owned: _Owned, coroutine: Coroutine[None, None, None]
    ) -> None:
        async def run() -> None:
            # A probe that fails must not keep later ones from being sent.
            try:
                await coroutine
            finally:
                owned.probe = None

        owned.probe = asyncio.get_running_loop().create_task(run())

    async def _run_claim(
        self, team: objects.TeamName, owned: _Owned, target: messages.NodeId
    ) -> None:
        """Tell the next node that this one grants."""
        was_granting = await self._probe(target, team, CLAIM)
        now = self._clock()
        if was_granting is not None:
            may_fill = owned.may_fill and owned.is_unknown
            self._confirm(owned, not was_granting, now)
            if may_fill and not was_granting:
                owned.bucket.fill(now)
        else:
            owned.failed_claims += 1
            if owned.is_unknown and owned.bucket.is_full_rate(now):
                self._begin_takeover(owned, now)
            owned.is_confirmed = owned.bucket.is_full_rate(now)
        owned.is_unknown = owned.may_fill = False

    async def _run_probes(
        self,
        team: objects.TeamName,
        owned: _Owned,
        nodes: list[messages.NodeId],
    ) -> None:
        """Find out whether a node before this one grants."""
        rank = nodes.index(self._node) if self._node in nodes else len(nodes)
        answers = await asyncio.gather(
            *(self._probe(node, team, PROBE) for node in nodes[:rank])
        )
        now = self._clock()
        if any(answers):
            self._begin_takeover(owned, now)
        elif all(answer is False for answer in answers):
            owned.bucket.set_full_rate(now)
        owned.is_unknown = False

    def _confirm(self, owned: _Owned, keeps_tokens: bool, now: float) -> None:
        """Grant at the full rate as the only owner."""
        if not keeps_tokens:
            owned.bucket.clear(now)
        owned.bucket.set_full_rate(now)
        owned.is_confirmed, owned.is_unknown = True, False

    def _begin_takeover(self, owned: _Owned, now: float) -> None:
        if owned.bucket.is_full_rate(now):
            self._metrics.count_event(metrics_module.Event.TEAM_TAKEOVER)
        owned.is_confirmed = False
        owned.bucket.begin_takeover(now, now + self._takeover_s)
