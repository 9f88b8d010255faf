"""Send a request to backend servers until it ends in one outcome."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as counting
from jayflow.request import admission
from jayflow.request import exchange as exchanges
from jayflow.request import outcome
from jayflow.request import quarantine
from jayflow.request import resume
from jayflow.request import retry
from jayflow.request import routing
from jayflow.version import objects

Reason = outcome.Reason
ReadBody = Callable[[], Awaitable[tuple[bytes, bool]]]

CONNECT_TIMEOUT_S = 0.25
REVOKE_TIMEOUT_S = 0.25
PART_TIMEOUT_S = 30.0
LOST_LINK_TIMEOUT_S = 1.0
PACE_S = 0.02
SHED_STATUSES = frozenset({429, 503})
RETRY_STATUSES = frozenset({429, 502, 503, 504})
OUTCOME_HEADER = b'jayflow-outcome'
TRIED_HEADER = b'jayflow-tried'
RETRY_AFTER_HEADER = b'retry-after'


@dataclasses.dataclass
class Request:
    """Hold one caller's request; deadline is monotonic seconds."""

    service: objects.ServiceName
    policy: objects.Policy
    method: str
    target: bytes
    headers: messages.Headers
    body: bytes
    more: bool
    read_body: ReadBody
    deadline: float
    repeatable: bool
    fingerprint: quarantine.Fingerprint
    is_keyed: bool = False
    is_suspect: bool = False
    is_body_started: bool = False

    @property
    def lane(self) -> messages.Lane:
        """Return the lane that keeps bulk transfers off short requests."""
        if self.policy.request_class is objects.RequestClass.BULK:
            return messages.Lane.BULK
        return messages.Lane.SHORT

    def remaining_s(self) -> float:
        """Return the time that is left."""
        return self.deadline - time.monotonic()


class AnswerCutError(Exception):
    """Report an answer whose rest will not arrive."""


class Answer:
    """Hold an answer's head and give its body in parts."""

    def __init__(
        self,
        head: messages.Head,
        exchange: exchanges.Exchange,
        node: messages.NodeId,
        on_end: Callable[[], None],
    ) -> None:
        self.node = node
        self.status = head.status
        self.headers = head.headers
        self._data = head.data
        self._last = head.last
        self._exchange = exchange
        self._on_end = on_end
        self._is_ended = False

    @property
    def is_whole(self) -> bool:
        """Return whether the head brought the whole body."""
        return self._last

    @property
    def data(self) -> bytes:
        """Return the body's first part."""
        return self._data

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header."""
        for each, value in self.headers:
            if each == name:
                return value
        return None

    @property
    def is_shed(self) -> bool:
        """Return whether the server says that it did not run this."""
        said = self.header(OUTCOME_HEADER)
        return self.status in SHED_STATUSES and said == b'not-run'

    async def read_parts(self) -> AsyncIterator[bytes]:
        """Yield the body's later parts; AnswerCutError when one lacks."""
        seq = 0
        timeout_s = PART_TIMEOUT_S
        attempt = self._exchange.attempt
        while not self._last:
            message = await self._exchange.next(timeout_s)
            match message:
                case messages.Part() if message.seq == seq + 1:
                    timeout_s = PART_TIMEOUT_S
                    seq, self._last = message.seq, message.last
                    yield message.data
                    if not self._last:
                        self._grant(messages.Credit(attempt, 1))
                case exchanges.LinkLost():
                    timeout_s = LOST_LINK_TIMEOUT_S
                case messages.Part() if message.seq <= seq:
                    pass
                case _:
                    raise AnswerCutError

    def close(self) -> None:
        """End the exchange; tell the door when the body is unread."""
        if self._is_ended:
            return
        self._is_ended = True
        if not self._last:
            self._grant(messages.Cancel(self._exchange.attempt))
        self._on_end()

    def _grant(self, message: messages.ToDoor) -> None:
        try:
            self._exchange.wire.send(message)
        except sockets.LinkDownError:
            self._exchange.deliver(exchanges.LinkLost())


Result = Answer | outcome.Failure


class Dispatcher:
    """Choose servers, run attempts and decide on retries."""

    def __init__(
        self,
        open_exchanges: exchanges.Exchanges,
        views_of: Callable[[objects.ServiceName], list[routing.View]],
        wire_to: Callable[[routing.View, messages.Lane], exchanges.Wire],
        metrics: counting.Metrics,
        rng: random.Random,
        data_centre: objects.DataCentreName,
    ) -> None:
        self._data_centre = data_centre
        self._exchanges = open_exchanges
        self._views_of = views_of
        self._wire_to = wire_to
        self._metrics = metrics
        self._rng = rng
        self._log = logs.get(logs.Part.DISPATCH)
        self._budgets: dict[objects.ServiceName, retry.RetryBudget] = {}

    async def run(self, req: Request) -> Result:
        """Return the request's one outcome.

        Once an attempt may have run, the request can't end as not run.
        """
        budget = self._budget_of(req)
        budget.earn()
        tried: list[messages.NodeId] = []
        worst: outcome.Failure = outcome.NotRun(
            Reason.NO_MEMBER, outcome.Evidence.NEVER_SENT
        )
        while True:
            view = self._choose(req, tried)
            if view is None:
                return worst
            tried.append(view.member.node)
            result = await self._attempt(req, view)
            failure = _failure_of(req, result)
            if failure is None:
                return result
            worst = outcome.worse(worst, failure)
            reason = self._retry_reason(req, failure, len(tried))
            if not self._may_retry(req, tried, reason, budget):
                return _final(result, worst)
            if isinstance(result, Answer):
                result.close()
            self._metrics.retried(reason)

    def _may_retry(
        self,
        req: Request,
        tried: list[messages.NodeId],
        reason: retry.RetryReason | None,
        budget: retry.RetryBudget,
    ) -> bool:
        if reason is None or self._choose(req, tried) is None:
            return False
        if not budget.spend():
            self._metrics.refused(Reason.RETRY_BUDGET)
            return False
        return True

    async def read_on(
        self, req: Request, answer: Answer
    ) -> AsyncIterator[tuple[bytes, bool]]:
        """Yield an answer's later parts, each with whether more follow.

        A cut transfer goes on from another server at the byte where it
        stopped, if the answer has a strong validator; else, or when the
        object has changed, AnswerCutError.
        """
        sent = len(answer.data)
        transfer = resume.Transfer.from_headers(
            req.method, answer.status, answer.headers
        )
        tried = [answer.node]
        while True:
            try:
                async for data in answer.read_parts():
                    sent += len(data)
                    yield data, not answer.is_whole
                return
            except AnswerCutError:
                if transfer is None or not req.repeatable:
                    raise
            finally:
                answer.close()
            answer = await self._resume(req, transfer, sent, tried)
            sent += len(answer.data)
            yield answer.data, not answer.is_whole

    async def _resume(
        self,
        req: Request,
        transfer: resume.Transfer,
        sent: int,
        tried: list[messages.NodeId],
    ) -> Answer:
        view = self._choose(req, tried)
        if view is None or not self._budget_of(req).spend():
            raise AnswerCutError
        self._metrics.retried(retry.RetryReason.CUT_ANSWER)
        tried.append(view.member.node)
        rest = dataclasses.replace(
            req,
            headers=transfer.headers_from(req.headers, sent),
            deadline=time.monotonic() + req.policy.deadline,
        )
        answer = await self._attempt(rest, view)
        if not isinstance(answer, Answer):
            raise AnswerCutError
        if not transfer.is_continued(answer.status, answer.headers, sent):
            answer.close()
            raise AnswerCutError
        self._metrics.event(counting.Event.ANSWER_RESUMED)
        return answer

    def _budget_of(self, req: Request) -> retry.RetryBudget:
        budget = self._budgets.get(req.service)
        if budget is None:
            budget = retry.RetryBudget(req.policy.retry_share)
            self._budgets[req.service] = budget
        budget.share = req.policy.retry_share
        return budget

    def _choose(
        self, req: Request, tried: list[messages.NodeId]
    ) -> routing.View | None:
        return routing.choose(
            self._views_of(req.service),
            tried,
            time.monotonic(),
            self._rng,
            req.policy.cross_region,
        )

    def _retry_reason(
        self, req: Request, failure: outcome.Failure, tries: int
    ) -> retry.RetryReason | None:
        situation = retry.Situation(
            tries,
            req.policy.tries,
            req.remaining_s(),
            req.repeatable,
            not req.is_body_started,
            req.is_suspect,
        )
        if failure.reason is Reason.SERVER_CRASHED:
            req.is_suspect = True
        return retry.retry_reason(failure, situation)

    async def _attempt(self, req: Request, view: routing.View) -> Result:
        wire = self._wire_to(view, req.lane)
        if not await _is_ready(wire, req.remaining_s()):
            return self._not_sent(sockets.LinkDownError(), view)
        exchange = self._exchanges.open(wire)
        start = _start(req, exchange.attempt, view, self._data_centre)
        try:
            wire.send(start)
        except sockets.LinkDownError as exc:
            self._exchanges.close(exchange)
            return self._not_sent(exc, view)
        self._metrics.event(counting.Event.ATTEMPT)
        view.sent(time.monotonic())
        result: Result | None = None
        try:
            result = await self._wait_answer(req, view, exchange)
        finally:
            if result is None:
                _send_quietly(wire, messages.Cancel(exchange.attempt))
            if not isinstance(result, Answer):
                self._end(view, exchange)
        return result

    def _not_sent(
        self, exc: sockets.LinkDownError, view: routing.View
    ) -> outcome.NotRun:
        reason = Reason.LINK_BUDGET
        if not isinstance(exc, sockets.LinkBudgetError):
            reason = Reason.PEER_UNREACHABLE
            view.observe_failure(time.monotonic())
        self._metrics.refused(reason)
        return outcome.NotRun(reason, outcome.Evidence.NEVER_SENT)

    def _end(self, view: routing.View, exchange: exchanges.Exchange) -> None:
        view.ended(time.monotonic())
        self._exchanges.close(exchange)

    async def _wait_answer(
        self,
        req: Request,
        view: routing.View,
        exchange: exchanges.Exchange,
    ) -> Result:
        begun = time.monotonic()
        limit_s = req.remaining_s()
        if req.repeatable and not req.is_suspect:
            limit_s = min(limit_s, req.policy.try_timeout)
        revoked = False
        while True:
            left_s = begun + limit_s - time.monotonic()
            wait_s = REVOKE_TIMEOUT_S if revoked else max(0.0, left_s)
            message = await exchange.next(wait_s)
            now = time.monotonic()
            match message:
                case messages.Head():
                    return self._answered(message, view, exchange, now - begun)
                case messages.Refused():
                    return self._refused(message, view, now)
                case messages.Broken():
                    _observe(view, message.load, now)
                    view.observe_failure(now)
                    return outcome.Unknown(Reason(message.reason))
                case messages.Credit():
                    await self._send_body(req, exchange)
                case messages.Revoked():
                    result = self._revoked(message, view, now)
                    if result is None and left_s <= 0:
                        result = self._silent(req, view, exchange)
                    if result is not None:
                        return result
                    revoked = False
                case None if revoked or req.is_body_started:
                    return self._silent(req, view, exchange)
                case None | exchanges.LinkLost():
                    if not await _revoke(view, exchange):
                        return self._silent(req, view, exchange)
                    revoked = True

    def _answered(
        self,
        head: messages.Head,
        view: routing.View,
        exchange: exchanges.Exchange,
        elapsed_s: float,
    ) -> Answer:
        now = time.monotonic()
        _observe(view, head.load, now)
        answer = Answer(
            head,
            exchange,
            view.member.node,
            lambda: self._end(view, exchange),
        )
        if head.status in RETRY_STATUSES or head.status >= 500:
            view.observe_failure(now, _retry_after_s(answer))
        else:
            view.observe_answer(elapsed_s)
        return answer

    def _refused(
        self, message: messages.Refused, view: routing.View, now: float
    ) -> outcome.Failure:
        _observe(view, message.load, now)
        reason = Reason(message.reason)
        if reason is Reason.FORGOTTEN:
            return outcome.Unknown(reason)
        if reason in _COOLING:
            view.observe_failure(now)
        return outcome.NotRun(reason, outcome.Evidence.REFUSED_BEFORE_START)

    def _revoked(
        self, message: messages.Revoked, view: routing.View, now: float
    ) -> outcome.Failure | None:
        _observe(view, message.load, now)
        match message.state:
            case messages.AttemptState.NEVER_STARTED:
                return outcome.NotRun(
                    Reason.REVOKED, outcome.Evidence.REVOKED_BEFORE_START
                )
            case messages.AttemptState.RUNNING:
                return None
            case messages.AttemptState.DONE:
                return outcome.Unknown(Reason.ANSWER_CUT)
            case messages.AttemptState.FORGOTTEN:
                return outcome.Unknown(Reason.FORGOTTEN)
            case messages.AttemptState.OTHER_INCARNATION:
                return outcome.Unknown(Reason.PEER_INCARNATION)

    def _silent(
        self,
        req: Request,
        view: routing.View,
        exchange: exchanges.Exchange,
    ) -> outcome.Unknown:
        view.observe_failure(time.monotonic())
        _send_quietly(exchange.wire, messages.Cancel(exchange.attempt))
        if req.remaining_s() <= 0:
            return outcome.Unknown(Reason.DEADLINE)
        return outcome.Unknown(Reason.PEER_SILENT)

    async def _send_body(
        self, req: Request, exchange: exchanges.Exchange
    ) -> None:
        """Send body parts as the door grants credit."""
        if req.is_body_started:
            return
        req.is_body_started = True
        seq, credit, more = 0, messages.WINDOW_PARTS, req.more
        while more:
            data, more = await req.read_body()
            for part in _split(data):
                while credit < 1:
                    message = await exchange.next(PART_TIMEOUT_S)
                    if not isinstance(message, messages.Credit):
                        if message is not None:
                            exchange.deliver(message)
                        return
                    credit += message.parts
                body = messages.BodyPart(exchange.attempt, seq, part, False)
                if not await _send_paced(exchange, body):
                    return
                seq, credit = seq + 1, credit - 1
        last = messages.BodyPart(exchange.attempt, seq, b'', True)
        await _send_paced(exchange, last)


_COOLING = frozenset(
    {
        Reason.PEER_INCARNATION,
        Reason.NOT_SERVED_HERE,
        Reason.SERVER_UNREACHABLE,
    }
)


def _observe(
    view: routing.View, load: messages.Load | None, now: float
) -> None:
    """Take a load report; over a link between regions it can be absent."""
    if load is not None:
        view.observe_load(load, now)


def _start(
    req: Request,
    attempt: messages.AttemptId,
    view: routing.View,
    origin: objects.DataCentreName,
) -> messages.Start:
    return messages.Start(
        attempt=attempt,
        door=view.member.incarnation,
        service=req.service,
        method=req.method,
        target=req.target,
        headers=req.headers,
        body=req.body,
        more=req.more,
        remaining_ms=max(0, int(req.remaining_s() * 1000)),
        rank=admission.RANKS.index(req.policy.request_class),
        queue_ms=int(req.policy.queue_time * 1000),
        queue_length=req.policy.queue_length,
        repeatable=req.repeatable,
        fingerprint=req.fingerprint,
        suspect=req.is_suspect,
        origin=origin,
    )


async def _revoke(view: routing.View, exchange: exchanges.Exchange) -> bool:
    """Ask the door never to start an attempt; return whether sent."""
    if not await _is_ready(exchange.wire, REVOKE_TIMEOUT_S):
        return False
    revoke = messages.Revoke(exchange.attempt, view.member.incarnation)
    _send_quietly(exchange.wire, revoke)
    return True


async def _is_ready(wire: exchanges.Wire, remaining_s: float) -> bool:
    if wire.is_up:
        return True
    with anyio.move_on_after(min(CONNECT_TIMEOUT_S, max(0, remaining_s))):
        await wire.wait_ready()
        return True
    return False


async def _send_paced(
    exchange: exchanges.Exchange, message: messages.BodyPart
) -> bool:
    """Send a body part once the link's budget allows it.

    The attempt has started: a part that can't be sent is a lost link, it
    says nothing on whether the request ran.
    """
    while True:
        try:
            exchange.wire.send(message)
            return True
        except sockets.LinkBudgetError:
            await anyio.sleep(PACE_S)
        except sockets.LinkDownError:
            exchange.deliver(exchanges.LinkLost())
            return False


def _send_quietly(wire: exchanges.Wire, message: messages.ToDoor) -> None:
    try:
        wire.send(message)
    except sockets.LinkDownError:
        return


def _split(data: bytes) -> list[bytes]:
    size = messages.PART_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]


def _failure_of(req: Request, result: Result) -> outcome.Failure | None:
    """Return the failure that a result stands for, if it is one.

    An answer that a lower node already tried elsewhere is final, so that
    layers do not multiply each other's retries.
    """
    if not isinstance(result, Answer):
        return result
    if result.header(TRIED_HEADER) is not None:
        return None
    if result.is_shed:
        return outcome.NotRun(Reason.SERVER_SHED, outcome.Evidence.SERVER_SHED)
    if result.status in RETRY_STATUSES and req.repeatable:
        return outcome.Unknown(Reason.SERVER_SHED)
    return None


def _final(result: Result, worst: outcome.Failure) -> Result:
    """Return what a request ends with after its last attempt."""
    if not isinstance(result, Answer):
        return worst
    if result.is_shed and isinstance(worst, outcome.Unknown):
        result.close()
        return worst
    return result


def _retry_after_s(answer: Answer) -> float:
    value = answer.header(RETRY_AFTER_HEADER) or b''
    return float(value) if value.isdigit() else 0.0
