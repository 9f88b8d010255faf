"""Send a request to backend servers until it ends in one outcome.

The dispatcher chooses a server for each attempt, retries and hedges
within the retry budget, and resumes truncated responses.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.request import attempt as attempts
from jayflow.request import caller_request
from jayflow.request.decisions import hedge_budget
from jayflow.request.decisions import hedging
from jayflow.request.decisions import retry
from jayflow.request.decisions import routing
from jayflow.request.decisions import transfer_resume
from jayflow.request.decisions import work_estimates
from jayflow.request import exchange as exchanges
from jayflow.request import header_dialect
from jayflow.request import hedge_choice
from jayflow.request import hedged_attempt
from jayflow.request import outcome
from jayflow.request import response as responses
from jayflow.version import objects

Reason = outcome.Reason
Result = attempts.Result
TRIED_HEADER = b'jayflow-tried'

# Load reports are fresh enough that, after this many nodes refused, the
# others would refuse as well.
MAX_NODES_TRIED = 4
# Responses up to this size are fully buffered; larger ones are streamed.
MAX_BUFFERED_BYTES = 256 * 1024
AllowedRegions = frozenset[objects.RegionName] | None
RetryBudgetFactory = Callable[[float], retry.RetryBudget]


@dataclasses.dataclass
class _RequestState:
    """Track the attempts of one request.

    A node in tried_nodes is not chosen again; servers_reached counts the
    attempts that may have reached a server.
    """

    tried_nodes: list[messages.NodeId] = dataclasses.field(
        default_factory=list
    )
    servers_reached: int = 0


class Dispatcher:
    """Choose servers, run attempts and decide on retries and hedges."""

    def __init__(
        self,
        open_exchanges: exchanges.ExchangeTable,
        peer_views_of: Callable[
            [objects.ServiceName, AllowedRegions], list[routing.PeerView]
        ],
        channel_to: Callable[
            [routing.PeerView, messages.Lane], exchanges.PeerChannel
        ],
        metrics: metrics_module.Metrics,
        rng: random.Random,
        data_centre: objects.DataCentreName,
        new_budget: RetryBudgetFactory = retry.RetryBudget,
        dialect: header_dialect.HeaderDialect = header_dialect.DEFAULT_DIALECT,
        on_server_leaving: Callable[
            [messages.ServerIncarnation], None
        ] = lambda server: None,
        node_hedge_share: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._hedge_limits = hedge_choice.HedgeLimits(node_hedge_share)
        self._dialect = dialect
        self._on_server_leaving = on_server_leaving
        self._new_budget = new_budget
        self._estimates = work_estimates.WorkEstimates()
        self._log = logs.get_logger(logs.Component.DISPATCH)
        self._data_centre = data_centre
        self._exchanges = open_exchanges
        self._peer_views_of = peer_views_of
        self._channel_to = channel_to
        self._metrics = metrics
        self._rng = rng
        self._budgets: dict[objects.ServiceName, retry.RetryBudget] = {}

    async def run(self, req: caller_request.Request) -> Result:
        """Run a request and return its result.

        Once an attempt may have run, the result can't be "not run".
        """
        budget = self._budget_of(req)
        budget.deposit()
        self._hedge_limits.deposit(req)
        state = _RequestState()
        worst_failure: outcome.Failure = outcome.NotRun(
            Reason.NO_MEMBER, outcome.Evidence.NEVER_SENT
        )
        while True:
            view = self._choose(req, state.tried_nodes)
            if view is None:
                return worst_failure
            state.tried_nodes.append(view.member.node)
            started_at = time.monotonic()
            result = await self._attempt_hedged(req, view, state, budget)
            attempt_s = time.monotonic() - started_at
            failure = self._find_failure(req, result)
            if failure is None:
                return result
            worst_failure = outcome.combine_failures(worst_failure, failure)
            state.servers_reached += retry.has_reached_server(failure)
            reason = self._retry_reason(req, failure, state)
            next_view = self._choose(req, state.tried_nodes)
            may_retry = (
                reason is not None
                and next_view is not None
                and retry.is_next_queue_worthwhile(
                    failure, attempt_s, next_view.has_free_slot()
                )
            )
            if (
                may_retry
                and state.servers_reached
                and not budget.try_withdraw()
            ):
                self._metrics.count_refusal(Reason.RETRY_BUDGET)
                may_retry = False
            self._log_failure(req, view, failure, state, may_retry)
            if not may_retry:
                return _final_result(result, worst_failure)
            if isinstance(result, responses.Response):
                result.close()
            self._metrics.count_retry(reason)

    def _log_failure(
        self,
        req: caller_request.Request,
        view: routing.PeerView,
        failure: outcome.Failure,
        state: '_RequestState',
        is_retried: bool,
    ) -> None:
        load_age_s = time.monotonic() - view.load_received_at
        self._log.info(
            'Attempt failed.',
            id=req.id,
            node=view.member.node,
            instance=view.member.instance,
            reason=failure.reason.value,
            outcome=failure.outcome.value,
            servers_reached=state.servers_reached,
            retried=is_retried,
            slowness=view.load.slowness if view.load else None,
            load_age_ms=round(load_age_s * 1000) if view.load else None,
            remaining_ms=round(req.remaining_s() * 1000),
        )

    async def _attempt_hedged(
        self,
        req: caller_request.Request,
        view: routing.PeerView,
        state: '_RequestState',
        budget: retry.RetryBudget,
    ) -> Result:
        """Run an attempt; hedge it on another server if the first is slow."""
        may_hedge = (
            state.servers_reached + 2 <= req.policy.tries
            # Both attempts of a suspect could crash a server.
            and not req.is_suspect
            and self._hedge_limits.share_of(req.policy) != 0
        )
        if not req.is_idempotent or req.has_more_body or not may_hedge:
            return await self._attempt(req, view)
        work = self._estimates.expected_work(req.policy)
        chooser = hedge_choice.HedgeChooser(
            req,
            view,
            hedging.Progress.start(work.service_s, time.monotonic()),
            lambda: self._choose(req, state.tried_nodes),
            lambda: self._peer_views_of(req.service, req.allowed_regions),
            budget,
            self._hedge_limits.budget_of(req),
            self._metrics,
        )

        def choose_hedge() -> routing.PeerView | None:
            hedge_view = chooser.choose()
            if hedge_view is None:
                return None
            state.tried_nodes.append(hedge_view.member.node)
            # Both attempts can reach a server; run() counts only the one
            # whose result it gets.
            state.servers_reached += 1
            self._metrics.count_retry(retry.RetryReason.HEDGE)
            self._log.info(
                'Hedging the attempt on a second server.',
                id=req.id,
                first=view.member.node,
                second=hedge_view.member.node,
                slowness=view.slowness(time.monotonic()),
                done_share=round(
                    chooser.progress.done_work_s / chooser.progress.expected_s,
                    2,
                ),
            )
            return hedge_view

        def run_attempt(chosen: routing.PeerView) -> Awaitable[Result]:
            # Where hedges are limited, one that finds no free slot is refused
            # by its receiver, which knows its slots better than this node.
            may_queue = chosen is view or chooser.limit is None
            return self._attempt(req, chosen, may_queue)

        result = await hedged_attempt.run_hedged(
            view,
            run_attempt,
            choose_hedge,
            lambda result: self._find_failure(req, result) is None,
        )
        if (
            chooser.chosen is not None
            and isinstance(result, responses.Response)
            and result.node == chooser.chosen.member.node
            and self._find_failure(req, result) is None
        ):
            self._metrics.count_hedge(hedge_budget.HedgeEvent.WON)
        return result

    async def stream_rest(
        self, req: caller_request.Request, response: responses.Response
    ) -> AsyncIterator[tuple[bytes, bool]]:
        """Yield the later parts of a response, each with whether more follow.

        A truncated transfer is resumed on another server at the byte
        where it stopped, if the response has a strong validator. If it
        has none or the object has changed, raises TruncatedResponseError.
        """
        sent_bytes = len(response.data)
        transfer = transfer_resume.ResumableTransfer.from_headers(
            req.method, response.status, response.headers
        )
        tried = [response.node]
        while True:
            try:
                async for data in response.iter_parts():
                    sent_bytes += len(data)
                    yield data, not response.is_complete
                return
            except responses.ResponseDeadlineError:
                raise
            except responses.TruncatedResponseError as exc:
                if (
                    transfer is None
                    or not req.is_idempotent
                    or not self._may_resume(req, exc.reason)
                ):
                    raise
            finally:
                response.close()
            response = await self._resume(req, transfer, sent_bytes, tried)
            sent_bytes += len(response.data)
            yield response.data, not response.is_complete

    def _may_resume(self, req: caller_request.Request, reason: Reason) -> bool:
        """Return whether a truncated transfer may be resumed.

        One that crashed a server twice is left to its caller.
        """
        if reason is not Reason.SERVER_CRASHED:
            return True
        was_suspect, req.is_suspect = req.is_suspect, True
        return not was_suspect

    async def _resume(
        self,
        req: caller_request.Request,
        transfer: transfer_resume.ResumableTransfer,
        sent_bytes: int,
        tried: list[messages.NodeId],
    ) -> responses.Response:
        view = self._choose(req, tried)
        if view is None or not self._budget_of(req).try_withdraw():
            raise responses.TruncatedResponseError
        self._metrics.count_retry(retry.RetryReason.TRUNCATED_RESPONSE)
        tried.append(view.member.node)
        rest_req = dataclasses.replace(
            req,
            headers=transfer.range_request_headers(req.headers, sent_bytes),
            deadline=min(
                time.monotonic() + req.policy.deadline, req.response_deadline
            ),
        )
        response = await self._attempt(rest_req, view)
        if not isinstance(response, responses.Response):
            raise responses.TruncatedResponseError
        if not transfer.is_continued_by(
            response.status, response.headers, sent_bytes
        ):
            response.close()
            raise responses.TruncatedResponseError
        self._metrics.count_event(metrics_module.Event.RESPONSE_RESUMED)
        return response

    def _budget_of(self, req: caller_request.Request) -> retry.RetryBudget:
        budget = self._budgets.get(req.service)
        if budget is None:
            budget = self._new_budget(req.policy.retry_share)
            self._budgets[req.service] = budget
        return budget

    def _choose(
        self, req: caller_request.Request, tried: list[messages.NodeId]
    ) -> routing.PeerView | None:
        return routing.choose_peer(
            self._peer_views_of(req.service, req.allowed_regions),
            tried,
            time.monotonic(),
            self._rng,
            req.policy.cross_region,
            dataclasses.replace(
                self._estimates.expected_work(req.policy),
                request_bytes=req.size_bytes,
            ),
            req.allowed_regions,
        )

    def _retry_reason(
        self,
        req: caller_request.Request,
        failure: outcome.Failure,
        state: '_RequestState',
    ) -> retry.RetryReason | None:
        if len(state.tried_nodes) >= MAX_NODES_TRIED:
            return None
        context = retry.RetryContext(
            state.servers_reached,
            req.policy.tries,
            req.remaining_s(),
            req.is_idempotent,
            not req.is_body_started,
            req.is_suspect,
        )
        if failure.reason is Reason.SERVER_CRASHED:
            req.is_suspect = True
        return retry.retry_reason(failure, context)

    async def _attempt(
        self,
        req: caller_request.Request,
        view: routing.PeerView,
        may_queue: bool = True,
    ) -> Result:
        channel = self._channel_to(view, req.lane)
        timeout_s = min(attempts.CONNECT_TIMEOUT_S, req.remaining_s())
        if not await attempts.wait_until_ready(channel, timeout_s):
            return self._record_not_sent(sockets.NotSentError(), view)
        exchange = self._exchanges.open(channel)
        attempt = attempts.Attempt(req, view, exchange)
        try:
            work_s = self._estimates.expected_work(req.policy).service_s
            attempt.send_start(self._data_centre, work_s, may_queue)
        except sockets.NotSentError as exc:
            exchange.close()
            return self._record_not_sent(exc, view)
        self._metrics.count_event(metrics_module.Event.ATTEMPT)
        if view.load is not None:
            self._metrics.observe(
                metrics_module.Histogram.LOAD_AGE,
                time.monotonic() - view.load_received_at,
            )
        sent_at = time.monotonic()
        slowness_at_start = view.slowness(sent_at)
        view.record_sent(sent_at)
        result: Result | None = None
        is_returned = False
        try:
            result = await attempt.wait_for_response()
            if isinstance(result, responses.Response):
                if result.leaving is not None:
                    self._on_server_leaving(result.leaving)
                await self._buffer_response(
                    req, view, result, slowness_at_start
                )
            is_returned = True
            return result
        except responses.ResponseDeadlineError:
            return outcome.Unknown(Reason.DEADLINE)
        except responses.TruncatedResponseError as exc:
            return outcome.Unknown(exc.reason)
        finally:
            if result is None:
                attempt.cancel()
            if not isinstance(result, responses.Response):
                attempt.end()
            elif not is_returned:
                result.close()

    def _find_failure(
        self, req: caller_request.Request, result: Result
    ) -> outcome.Failure | None:
        """Return the failure that a result amounts to, None for a success.

        A response marked by TRIED_HEADER was already retried by a node
        further down the call chain; it is final, so that the layers do
        not multiply each other's retries.
        """
        if not isinstance(result, responses.Response):
            return result
        if result.header(TRIED_HEADER) is not None:
            return None
        if result.was_shed_by_server:
            return outcome.NotRun(
                Reason.SERVER_SHED, outcome.Evidence.SERVER_SHED
            )
        if result.status in self._dialect.retry_statuses and req.is_idempotent:
            return outcome.Unknown(Reason.SERVER_FAILED)
        return None

    async def _buffer_response(
        self,
        req: caller_request.Request,
        view: routing.PeerView,
        response: responses.Response,
        slowness_at_start: float,
    ) -> None:
        """Buffer a response up to MAX_BUFFERED_BYTES.

        If it is truncated before that, the caller has not received any of
        it and the request can be retried. A response without a server error
        also updates the work estimates.
        """
        await response.buffer_body(MAX_BUFFERED_BYTES)
        if header_dialect.is_server_error(response.status):
            return
        slowness = max(slowness_at_start, view.slowness(time.monotonic()))
        self._estimates.record(
            req.policy, response.service_s, slowness, len(response.data)
        )

    def _record_not_sent(
        self, exc: sockets.NotSentError, view: routing.PeerView
    ) -> outcome.NotRun:
        reason = Reason.LINK_BUDGET
        if not isinstance(exc, sockets.LinkBudgetError):
            reason = Reason.PEER_UNREACHABLE
            view.record_failure(time.monotonic())
        self._metrics.count_refusal(reason)
        return outcome.NotRun(reason, outcome.Evidence.NEVER_SENT)


def _final_result(result: Result, worst_failure: outcome.Failure) -> Result:
    """Return the result of a request after its last attempt."""
    if not isinstance(result, responses.Response):
        return worst_failure
    if result.was_shed_by_server and isinstance(
        worst_failure, outcome.Unknown
    ):
        result.close()
        return worst_failure
    return result
