"""Ask the owner of a team's limit for tokens, and answer such queries.

Requests that wait share one query. Nothing is sent while a stock lasts, or
while the owner has no token.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import heapq

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import boot_clock
from jayflow.process import member_directory
from jayflow.process import owner_queries
from jayflow.process import team_owner
from jayflow.process import team_waiters
from jayflow.request.decisions import team_limit
from jayflow.request.decisions import team_stock
from jayflow.request import exchange as exchanges
from jayflow.version import objects

MAX_STOCKS = 1000
MAX_SHOWN_TEAMS = 20
OTHER_TEAMS = 'other teams'


class TeamLimits:
    """Admit the requests of teams that have a rate over all nodes."""

    def __init__(
        self,
        node: messages.NodeId,
        incarnation: messages.Incarnation,
        directory: member_directory.MemberDirectory,
        exchange_table: exchanges.ExchangeTable,
        channel_to: owner_queries.ChannelTo,
        find_team: team_owner.FindTeam,
        is_stopping: Callable[[], bool],
        metrics: metrics_module.Metrics,
        config_max_age_s: float | None = None,
        clock: Callable[[], float] = boot_clock.now,
    ) -> None:
        self._node = node
        self._asker = team_limit.AskerId(incarnation)
        self._is_stopping = is_stopping
        self._metrics = metrics
        self._clock = clock
        self._takeover_s = max(
            team_owner.MIN_TAKEOVER_S, config_max_age_s or 0.0
        )
        self._queries = owner_queries.OwnerQueries(
            node,
            directory,
            exchange_table,
            channel_to,
            is_stopping,
            metrics,
            clock,
        )
        self._owner = team_owner.TeamOwner(
            node,
            find_team,
            self._queries.order,
            self._queries.probe,
            is_stopping,
            metrics,
            clock,
            self._takeover_s,
        )
        self._requests: dict[objects.TeamName, team_waiters.TeamRequests] = {}
        self._refusals: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task] = set()

    async def acquire(self, team: objects.TeamName) -> float | None:
        """Return None to admit a request, else its Retry-After in seconds."""
        now = self._clock()
        requests = self._requests_of(team)
        stock = requests.stock
        stock.record_demand(now)
        if stock.take(now):
            if not requests.is_asking and stock.is_low(now):
                self._start_asking(team, requests)
            return None
        if stock.take_carried(now):
            return None
        if stock.is_held(now):
            return self._refuse(team, stock)
        if (
            self._queries.owner_of(team) == self._node
            and not requests.is_asking
        ):
            asked = stock.demand_without_stock(self._node, 1, now)
            grant = self._owner.grant(team, self._asker, asked)
            if isinstance(grant, team_limit.Grant):
                is_admitted = stock.record_grant(asked, grant, now, now)
                return None if is_admitted else self._refuse(team, stock)
        if await self._wait(team, requests):
            return None
        if stock.take_carried(self._clock()):
            return None
        return self._refuse(team, stock)

    def handle_query(
        self,
        query: messages.TeamAllowanceQuery,
        reply: Callable[[messages.TeamAllowance], None],
    ) -> None:
        """Answer a query of another node."""
        self._metrics.count_event(metrics_module.Event.TEAM_ANSWER)
        team = objects.TeamName(query.team)
        answer = messages.TeamAllowance(query.attempt, query.team, 0)
        if query.wanted <= 0:
            answer.is_owner = self._owner.answer_probe(team, query.wanted)
            reply(answer)
            return
        if self._is_stopping():
            answer.is_owner = False
            reply(answer)
            return
        asker = team_limit.AskerId(query.attempt.sender)
        demand = team_limit.Demand(
            query.wanted,
            query.waiting,
            query.returned,
            query.held,
            query.attempt.sequence,
        )

        def send(grant: team_limit.Grant) -> None:
            answer.granted = grant.tokens
            answer.retry_after_ms = round(1000 * grant.retry_after_s)
            answer.is_full_rate = grant.is_full_rate
            reply(answer)

        async def wait_and_send(probe: asyncio.Task) -> None:
            send(await self._owner.wait_and_grant(probe, team, asker, demand))

        grant = self._owner.grant(team, asker, demand)
        if isinstance(grant, team_limit.Grant):
            send(grant)
        else:
            self._start(wait_and_send(grant))

    def refusals(self) -> dict[str, int]:
        """Return the refused requests of the teams with the most."""
        largest = dict(
            heapq.nlargest(
                MAX_SHOWN_TEAMS, self._refusals.items(), lambda item: item[1]
            )
        )
        other = self._refusals.total() - sum(largest.values())
        return largest | ({OTHER_TEAMS: other} if other else {})

    def _refuse(
        self, team: objects.TeamName, stock: team_stock.Stock
    ) -> float:
        self._refusals[team] += 1
        if len(self._refusals) > MAX_STOCKS:
            name, count = min(self._refusals.items(), key=lambda item: item[1])
            del self._refusals[name]
            self._refusals[OTHER_TEAMS] += count
        return stock.refuse(self._clock())

    def _requests_of(
        self, team: objects.TeamName
    ) -> team_waiters.TeamRequests:
        requests = self._requests.get(team)
        if requests is None:
            if len(self._requests) >= MAX_STOCKS:
                # Teams that no version names any more.
                del self._requests[next(iter(self._requests))]
            requests = self._requests[team] = team_waiters.TeamRequests()
        return requests

    async def _wait(
        self, team: objects.TeamName, requests: team_waiters.TeamRequests
    ) -> bool:
        """Wait for a token; return whether there is one."""
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        requests.waiters.append(waiter)
        timer = loop.call_later(
            team_limit.ANSWER_TIMEOUT_S, team_waiters.resolve, waiter, False
        )
        if not requests.is_asking:
            self._start_asking(team, requests)
        try:
            return await waiter
        except asyncio.CancelledError:
            if not waiter.cancelled() and waiter.done() and waiter.result():
                requests.stock.give_up(1)
            raise
        finally:
            timer.cancel()

    def _start_asking(
        self, team: objects.TeamName, requests: team_waiters.TeamRequests
    ) -> None:
        requests.is_asking = True
        self._start(self._ask_while_needed(team, requests))

    async def _ask_while_needed(
        self, team: objects.TeamName, requests: team_waiters.TeamRequests
    ) -> None:
        try:
            while True:
                await self._ask(team, requests)
                self._serve_from_stock(requests)
                if not requests.waiters:
                    return
        finally:
            requests.is_asking = False
            self._renew_later(team, requests)
            team_waiters.resolve_first(
                requests.waiters, len(requests.waiters), False
            )

    def _renew_later(
        self, team: objects.TeamName, requests: team_waiters.TeamRequests
    ) -> None:
        """Ask again when the stock has expired, if it is still in use."""

        def renew() -> None:
            requests.renewal = None
            if requests.is_asking:
                return
            if requests.stock.needs_renewal(self._clock()):
                self._start_asking(team, requests)
            else:
                self._renew_later(team, requests)

        wait_s = requests.stock.renewal_wait_s(self._clock())
        if requests.renewal is None and wait_s is not None:
            requests.renewal = asyncio.get_running_loop().call_later(
                wait_s, renew
            )

    async def _ask(
        self, team: objects.TeamName, requests: team_waiters.TeamRequests
    ) -> None:
        """Ask the owner once, and admit or refuse those who waited."""
        batch, requests.waiters = requests.waiters, collections.deque()
        team_waiters.drop_done(batch)
        stock = requests.stock
        asked_at = self._clock()
        owner = self._queries.owner_of(team)
        if owner is None:
            stock.record_failure()
            stock.carry_over.begin(self._takeover_s, asked_at)
            team_waiters.resolve_first(batch, len(batch), False)
            return
        asked = stock.demand(owner, len(batch), asked_at)
        if owner == self._node:
            grant = self._owner.grant(team, self._asker, asked)
            if not isinstance(grant, team_limit.Grant):
                grant = await self._owner.wait_and_grant(
                    grant, team, self._asker, asked
                )
        else:
            answer = await self._queries.query(owner, team, asked)
            if answer is None or not answer.is_owner:
                self._queries.skip(owner)
                if answer is None:
                    stock.record_failure()
                    stock.carry_over.begin(self._takeover_s, self._clock())
                    team_waiters.resolve_first(batch, len(batch), False)
                else:
                    requests.waiters.extendleft(reversed(batch))
                return
            grant = team_limit.Grant(
                answer.granted,
                answer.retry_after_ms / 1000,
                answer.is_full_rate,
            )
        admitted = stock.record_grant(asked, grant, asked_at, self._clock())
        served = team_waiters.resolve_first(batch, admitted, True)
        served += team_waiters.resolve_first(
            requests.waiters, admitted - served, True
        )
        stock.give_up(admitted - served)
        team_waiters.resolve_first(batch, len(batch), False)

    def _serve_from_stock(self, requests: team_waiters.TeamRequests) -> None:
        """Serve the requests that came while the owner was asked."""
        now = self._clock()
        team_waiters.drop_done(requests.waiters)
        while requests.waiters and requests.stock.take(now):
            team_waiters.resolve_first(requests.waiters, 1, True)
        if requests.stock.is_held(now):
            team_waiters.resolve_first(
                requests.waiters, len(requests.waiters), False
            )

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
