"""Take callers' HTTP requests and give each its one outcome."""

from collections.abc import Callable
import random
import time

import anyio

from jayflow.connection import http_server
from jayflow.connection import messages
from jayflow import logs
from jayflow import metrics as counting
from jayflow.request import answer as answers
from jayflow.request import dialect as dialects
from jayflow.request import dispatch
from jayflow.request import headers as http
from jayflow.request import inbound
from jayflow.request import keyed
from jayflow.request import outcome
from jayflow.request import problem
from jayflow.request import quarantine
from jayflow.request import splitting
from jayflow.version import objects
from jayflow.version import snapshot

Reason = outcome.Reason
KeyRule = objects.KeyRule
IDEMPOTENT_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'}
)
BODILESS_STATUSES = frozenset({204, 304})
FIRST_VERSION_WAIT_S = 2.0
FIRST_VERSION_POLL_S = 0.02
FIRST_ERROR_STATUS = 500
FIRST_BODY_BYTES = messages.PART_BYTES


class CallerGoneError(Exception):
    """Report a caller that closed its connection."""


class Ingress:
    """Serve callers as an ASGI application."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        keyed_runner: keyed.KeyedRunner,
        version: Callable[[], snapshot.Version],
        metrics: counting.Metrics,
        dialect: dialects.Dialect = dialects.OWN,
        caller: Callable[[], str] = str,
        rng: random.Random | None = None,
    ) -> None:
        self.is_stopping = False
        self._dialect = dialect
        self._caller = caller
        self._splits = splitting.Splits(rng or random.Random())
        self._dispatcher = dispatcher
        self._keyed = keyed_runner
        self._version = version
        self._metrics = metrics
        self._log = logs.get(logs.Part.INGRESS)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        self._metrics.event(counting.Event.REQUEST)
        body = _Body(receive)
        try:
            await body.read_first()
        except CallerGoneError:
            self._metrics.refused(Reason.BODY_CUT)
            return
        disconnect = scope['extensions'][http_server.DISCONNECT]
        with anyio.CancelScope() as cancel:
            disconnect.listen(cancel.cancel)
            await self._serve_whole(scope, body, send)
        disconnect.listen(None)
        if cancel.cancelled_caught:
            self._metrics.event(counting.Event.CALLER_GONE)

    async def _serve_whole(self, scope, body: '_Body', send) -> None:
        """Serve so that a fault or a forced stop is told as unknown.

        When the answer has started, the send fails and the connection is
        closed, which shows the caller that the answer was cut.
        """
        try:
            await self._serve(scope, body, send)
        except anyio.get_cancelled_exc_class():
            if not scope['extensions'][http_server.DISCONNECT].is_lost:
                await self._send_problem(
                    outcome.Unknown(Reason.NODE_STOPPING), send
                )
            raise
        except Exception:
            self._log.exception('Request failed in the node.')
            await self._send_problem(outcome.Unknown(Reason.NODE_FAULT), send)

    async def _serve(self, scope, body: '_Body', send) -> None:
        if self._version().number == snapshot.NO_VERSION:
            await self._wait_first_version()
        found = self._request(scope, body)
        if not isinstance(found, inbound.Request):
            self._log.info(
                'Request is refused.',
                id=_text(self._dialect.id_of(scope['headers'])),
                reason=found.reason.value,
                path=scope['path'],
                version=self._version().number,
            )
            await self._send_problem(found, send)
            return
        try:
            result = await self._run(found, _key_of(scope, found))
        except CallerGoneError:
            self._metrics.refused(Reason.BODY_CUT)
            return
        self._note(found, result)
        if isinstance(result, answers.Answer):
            await self._send_answer(scope, found, result, send)
        elif isinstance(result, keyed.StoredAnswer):
            await self._send_stored(scope, result, send)
        else:
            await self._send_problem(result, send)

    def _note(self, req: inbound.Request, result: keyed.Result) -> None:
        """Measure a request and log the end of one that went wrong."""
        elapsed_s = time.monotonic() - req.arrived
        self._metrics.observe(counting.Timing.REQUEST, elapsed_s)
        if isinstance(result, answers.Answer | keyed.StoredAnswer):
            how, status = 'answered', result.status
        else:
            how, status = result.reason.value, None
        target_s = req.policy.latency_target
        is_late = bool(target_s) and elapsed_s > target_s
        if is_late:
            self._metrics.event(counting.Event.LATE)
        if how == 'answered' and status < FIRST_ERROR_STATUS and not is_late:
            return
        self._log.info(
            'Request ended.',
            id=req.id,
            policy=req.policy.name,
            service=req.service,
            ended=how,
            status=status,
            elapsed_ms=round(elapsed_s * 1000),
            target_ms=round(target_s * 1000),
            remaining_ms=round(req.remaining_s() * 1000),
            version=req.version,
        )

    async def _wait_first_version(self) -> None:
        """Wait a while: a node that has just started soon has a version."""
        with anyio.move_on_after(FIRST_VERSION_WAIT_S):
            while self._version().number == snapshot.NO_VERSION:
                await anyio.sleep(FIRST_VERSION_POLL_S)

    async def _run(
        self, req: inbound.Request, key: bytes | None
    ) -> keyed.Result:
        """Run a request; a keyed one goes on when its caller is gone."""
        if key is None:
            return await self._dispatcher.run(req)
        with anyio.CancelScope(shield=True):
            return await self._keyed.run(req, key)

    def _request(
        self, scope, body: '_Body'
    ) -> inbound.Request | outcome.Failure:
        version = self._version()
        if version.number == snapshot.NO_VERSION:
            return _never_sent(Reason.NO_CONFIGURATION)
        headers = scope['headers']
        if not http.is_single(headers, self._single()):
            return _never_sent(Reason.BAD_REQUEST)
        host = (http.value_of(headers, b'host') or b'').decode('latin-1')
        route = version.objects.route_for(
            host.partition(':')[0].lower(),
            scope['raw_path'].decode('latin-1'),
        )
        if route is None:
            return _never_sent(Reason.NO_ROUTE)
        service = self._splits.choose(route)
        policy = version.objects.policy_for(route)
        try:
            key = http.key_of(headers)
            remaining_s = http.remaining_s(headers, policy.deadline)
        except http.InvalidHeaderError:
            return _never_sent(Reason.BAD_REQUEST)
        if key is None and _is_key_required(route, scope['method']):
            return _never_sent(Reason.KEY_REQUIRED)
        target = scope['raw_path']
        if scope['query_string']:
            target += b'?' + scope['query_string']
        headers = self._dialect.inbound(headers, self._caller())
        return inbound.Request(
            service=service,
            policy=policy,
            method=scope['method'],
            target=target,
            headers=http.framed(headers, body.first, body.more),
            body=body.first,
            more=body.more,
            read_body=body.read,
            deadline=time.monotonic() + remaining_s,
            repeatable=_is_repeatable(route, scope['method']),
            id=_text(self._dialect.id_of(headers)),
            version=version.number,
            is_keyed=key is not None and route.key is not KeyRule.IGNORED,
            fingerprint=quarantine.fingerprint(
                service, scope['method'], target, body.first
            ),
        )

    def _single(self) -> tuple[bytes, ...]:
        """Return the headers that a request may not repeat."""
        own = self._dialect.request_id
        return (b'host', b'content-length', *((own,) if own else ()))

    async def _send_stored(
        self, scope, answer: keyed.StoredAnswer, send
    ) -> None:
        headers = self._answer_headers(scope, answer, is_whole=True)
        await _send_head(send, answer.status, headers)
        await _send_body(send, answer.data, more=False)
        self._metrics.event(counting.Event.ANSWERED)

    async def _send_answer(
        self, scope, req: inbound.Request, answer: answers.Answer, send
    ) -> None:
        try:
            headers = self._answer_headers(scope, answer, answer.is_whole)
            await _send_head(send, answer.status, headers)
            await _send_body(send, answer.data, not answer.is_whole)
            async for data, more in self._dispatcher.read_on(req, answer):
                await _send_body(send, data, more)
            self._metrics.event(counting.Event.ANSWERED)
        except answers.AnswerCutError:
            self._metrics.refused(Reason.ANSWER_CUT)
            self._metrics.event(counting.Event.ANSWER_ABORTED)
            self._log.warning('Answer was cut, caller aborted.')
        finally:
            answer.close()

    def _answer_headers(
        self,
        scope,
        answer: answers.Answer | keyed.StoredAnswer,
        is_whole: bool,
    ) -> messages.Headers:
        headers = http.forwarded(answer.headers)
        length = http.value_of(headers, b'content-length')
        if answer.status in BODILESS_STATUSES:
            headers = [row for row in headers if row[0] != b'content-length']
        elif length is None and is_whole and scope['method'] != 'HEAD':
            length = str(len(answer.data)).encode()
            headers.append((b'content-length', length))
        return self._closing(headers)

    def _closing(self, headers: messages.Headers) -> messages.Headers:
        if self.is_stopping:
            headers.append((b'connection', b'close'))
        return headers

    async def _send_problem(self, failure: outcome.Failure, send) -> None:
        self._metrics.refused(failure.reason)
        not_run = failure.outcome is outcome.Outcome.NOT_RUN
        self._metrics.event(
            counting.Event.NOT_RUN if not_run else counting.Event.UNKNOWN
        )
        document = problem.Problem.from_failure(
            failure, self._dialect.has_fractional_retry_after
        )
        body = document.body()
        headers = self._closing(document.headers(body))
        await _send_head(send, document.status, headers)
        await _send_body(send, body, more=False)


class _Body:
    """Read a request body: a first part, then more on demand."""

    def __init__(self, receive) -> None:
        self._receive = receive
        self.first = b''
        self.more = True

    async def read_first(self) -> None:
        """Read until the body ends or fills the first message."""
        parts = bytearray()
        while self.more and len(parts) < FIRST_BODY_BYTES:
            data, self.more = await self.read()
            parts += data
        self.first = bytes(parts)

    async def read(self) -> tuple[bytes, bool]:
        """Return the next part and whether more follow."""
        message = await self._receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError
        return message['body'], message['more_body']


def _text(value: bytes | None) -> str:
    return (value or b'').decode('latin-1')


def _never_sent(reason: Reason) -> outcome.NotRun:
    return outcome.NotRun(reason, outcome.Evidence.NEVER_SENT)


def _is_repeatable(route: objects.Route, method: str) -> bool:
    if route.idempotent is objects.Idempotency.BY_METHOD:
        return method in IDEMPOTENT_METHODS
    return route.idempotent is objects.Idempotency.YES


def _is_key_required(route: objects.Route, method: str) -> bool:
    if route.key is not objects.KeyRule.REQUIRED:
        return False
    return not _is_repeatable(route, method)


def _key_of(scope, req: inbound.Request) -> bytes | None:
    """Return the key of a request that must run at most once."""
    if req.repeatable or not req.is_keyed:
        return None
    return http.key_of(scope['headers'])


async def _send_head(send, status: int, headers: messages.Headers) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )


async def _send_body(send, data: bytes, more: bool) -> None:
    await send({'type': 'http.response.body', 'body': data, 'more_body': more})
