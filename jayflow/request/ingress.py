"""Serve callers' HTTP requests: route, dispatch and respond.

Each request ends in one outcome: the server's response, or a problem
document that says whether the request may have run.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math
import random
import time

import anyio
import msgspec

from jayflow.connection import http_server
from jayflow.connection import messages
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.request import caller_request
from jayflow.request.decisions import credentials
from jayflow.request.decisions import quarantine
from jayflow.request.decisions import splitting
from jayflow.request.decisions import team_limit
from jayflow.request import dispatch
from jayflow.request import header_dialect
from jayflow.request import headers as http_headers
from jayflow.request import idempotency
from jayflow.request import outcome
from jayflow.request import planned_stop
from jayflow.request import problem
from jayflow.request import response as responses
from jayflow.version import objects
from jayflow.version import snapshot

Reason = outcome.Reason
KeyMode = objects.IdempotencyKeyMode
IDEMPOTENT_METHODS = frozenset(
    {'GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'}
)
BODILESS_STATUSES = frozenset({204, 304})
FIRST_VERSION_WAIT_S = 2.0
FIRST_VERSION_POLL_S = 0.02
FIRST_BODY_BYTES = messages.MAX_PART_BYTES


# Returns None if a request of the team may run, else its Retry-After in s.
AcquireAllowance = Callable[[objects.TeamName], Awaitable[float | None]]


class CallerGoneError(Exception):
    """Report that the caller closed its connection."""


class BodyTooLargeError(Exception):
    """Report a body that exceeds the limit after a part of it was sent."""


class MalformedBodyError(Exception):
    """Report a body that can't be read to its end."""


class Ingress:
    """Serve callers as an ASGI application."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        idempotent_runner: idempotency.IdempotentRunner,
        version: Callable[[], snapshot.Version],
        metrics: metrics_module.Metrics,
        dialect: header_dialect.HeaderDialect = header_dialect.DEFAULT_DIALECT,
        caller: Callable[[], str] = str,
        rng: random.Random | None = None,
        is_config_fresh: Callable[[], bool] = lambda: True,
        may_lack_keys: Callable[[], bool] = lambda: False,
        acquire_allowance: AcquireAllowance | None = None,
        knows_evacuations: Callable[[], bool] = lambda: True,
    ) -> None:
        self._knows_evacuations = knows_evacuations
        self._is_config_fresh = is_config_fresh
        self._may_lack_keys = may_lack_keys
        self.planned_stop: planned_stop.PlannedStop | None = None
        self._dialect = dialect
        self._caller_service = caller
        self._key_ring = credentials.KeyRing({})
        self._key_ring_version = snapshot.NO_VERSION
        self._splitter = splitting.TrafficSplitter(rng or random.Random())
        self._dispatcher = dispatcher
        self._acquire_allowance = acquire_allowance
        self._idempotent_runner = idempotent_runner
        self._version = version
        self._metrics = metrics
        self._log = logs.get_logger(logs.Component.INGRESS)

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.planned_stop is not None

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        self._metrics.count_event(metrics_module.Event.REQUEST)
        disconnect = scope['extensions'][http_server.DISCONNECT_EXTENSION]
        body = _RequestBody(receive, disconnect)
        try:
            await body.read_first()
        except CallerGoneError:
            self._metrics.count_refusal(Reason.BODY_CUT)
            return
        except MalformedBodyError:
            await self._send_problem(_never_sent(Reason.BAD_REQUEST), send)
            return
        with anyio.CancelScope() as cancel:
            disconnect.set_callback(cancel.cancel)
            await self._serve_or_report(scope, body, send)
        disconnect.set_callback(None)
        if cancel.cancelled_caught:
            self._metrics.count_event(metrics_module.Event.CALLER_GONE)

    async def _serve_or_report(
        self, scope, body: '_RequestBody', send
    ) -> None:
        """Serve a request; report a fault or a forced stop as unknown.

        If the response has already started, sending the problem fails and
        the connection is closed, so the caller sees a truncated response.
        """
        try:
            await self._serve(scope, body, send)
        except anyio.get_cancelled_exc_class():
            if not scope['extensions'][
                http_server.DISCONNECT_EXTENSION
            ].is_disconnected:
                await self._send_problem(
                    outcome.Unknown(Reason.NODE_STOPPING), send
                )
            raise
        except Exception:
            self._log.exception(
                'Unhandled exception in the node while serving a request.'
            )
            await self._send_problem(outcome.Unknown(Reason.NODE_FAULT), send)

    async def _serve(self, scope, body: '_RequestBody', send) -> None:
        if not self._is_informed():
            await self._wait_informed()
        req_or_failure = self._build_request(scope, body)
        if not isinstance(req_or_failure, caller_request.Request):
            self._log.info(
                'Request is refused.',
                id=_text(self._dialect.request_id_of(scope['headers'])),
                reason=req_or_failure.reason.value,
                path=scope['path'],
                version=self._version().number,
            )
            await self._send_problem(req_or_failure, send)
            return
        refusal = await self._team_refusal(req_or_failure)
        if refusal is not None:
            await self._send_problem(refusal, send)
            return
        try:
            result = await self._run(
                req_or_failure, _idempotency_key(scope, req_or_failure)
            )
        except CallerGoneError:
            self._metrics.count_refusal(Reason.BODY_CUT)
            return
        except BodyTooLargeError:
            result = outcome.Unknown(Reason.BODY_TOO_LARGE)
        except MalformedBodyError:
            result = outcome.Unknown(Reason.BODY_CUT)
        self._record_end(req_or_failure, result)
        if isinstance(result, responses.Response):
            await self._send_response(scope, req_or_failure, result, send)
        elif isinstance(result, idempotency.StoredResponse):
            await self._send_stored_response(scope, result, send)
        else:
            await self._send_problem(result, send)

    def _record_end(
        self, req: caller_request.Request, result: idempotency.Result
    ) -> None:
        """Record the duration of a request; log it if failed or late."""
        elapsed_s = time.monotonic() - req.arrived_at
        self._metrics.observe(metrics_module.Histogram.REQUEST, elapsed_s)
        if isinstance(result, responses.Response | idempotency.StoredResponse):
            ended, status = 'answered', result.status
        else:
            ended, status = result.reason.value, None
        target_s = req.policy.latency_target
        is_late = bool(target_s) and elapsed_s > target_s
        if is_late:
            self._metrics.count_event(metrics_module.Event.LATE_RESPONSE)
        if (
            ended == 'answered'
            and not header_dialect.is_server_error(status)
            and not is_late
        ):
            return
        self._log.info(
            'Request ended.',
            id=req.id,
            policy=req.policy.name,
            service=req.service,
            ended=ended,
            status=status,
            elapsed_ms=round(elapsed_s * 1000),
            target_ms=round(target_s * 1000),
            remaining_ms=round(req.remaining_s() * 1000),
            version=req.version,
        )

    def _is_informed(self) -> bool:
        """Return whether the node knows what it may run, and where."""
        has_version = self._version().number != snapshot.NO_VERSION
        return has_version and self._knows_evacuations()

    async def _wait_informed(self) -> None:
        """Wait a limited time for the first configuration and evacuations.

        A node that has just started receives them soon.
        """
        with anyio.move_on_after(FIRST_VERSION_WAIT_S):
            while not self._is_informed():
                await anyio.sleep(FIRST_VERSION_POLL_S)

    async def _run(
        self, req: caller_request.Request, key: bytes | None
    ) -> idempotency.Result:
        """Run a request.

        A request with an idempotency key is not cancelled when its caller
        disconnects.
        """
        if key is None:
            return await self._dispatcher.run(req)
        with anyio.CancelScope(shield=True):
            return await self._idempotent_runner.run(req, key)

    def _build_request(
        self, scope, body: '_RequestBody'
    ) -> caller_request.Request | outcome.Failure:
        version = self._version()
        if version.number == snapshot.NO_VERSION:
            return _never_sent(Reason.NO_CONFIGURATION)
        if not self._knows_evacuations():
            return _never_sent(Reason.EVACUATIONS_UNKNOWN)
        headers = scope['headers']
        if not http_headers.has_no_duplicates(
            headers, self._single_value_headers()
        ):
            return _never_sent(Reason.BAD_REQUEST)
        body.limit_bytes = version.objects.limits.body_bytes
        if body.is_too_large(headers):
            return _never_sent(Reason.BODY_TOO_LARGE)
        host = (http_headers.value_of(headers, b'host') or b'').decode(
            'latin-1'
        )
        route = version.objects.route_for(
            host.partition(':')[0].lower(),
            scope['raw_path'].decode('latin-1'),
        )
        if route is None:
            return _never_sent(Reason.NO_ROUTE)
        team = self._team_of(version, route, headers)
        if isinstance(team, outcome.NotRun):
            return team
        service = self._splitter.choose_service(route)
        policy = version.objects.route_policy(route)
        if team is not None and team.priority is not None:
            policy = msgspec.structs.replace(policy, priority=team.priority)
        try:
            key = http_headers.idempotency_key(headers)
            remaining_s = http_headers.remaining_s(headers, policy.deadline)
        except http_headers.InvalidHeaderError:
            return _never_sent(Reason.BAD_REQUEST)
        if key is None and _is_key_required(route, scope['method']):
            return _never_sent(Reason.KEY_REQUIRED)
        target = scope['raw_path']
        if scope['query_string']:
            target += b'?' + scope['query_string']
        request_id = self._dialect.request_id_of(headers)
        # Comes first: a caller's Connection header may name what is to be
        # dropped, and must not drop the headers that the node sets.
        headers = http_headers.with_framing(headers, body.first, body.more)
        headers = self._dialect.caller_headers(headers, self._caller_service())
        if version.objects.has_keys:
            headers = self._dialect.team_headers(
                headers, team.name if team else ''
            )
        req = caller_request.Request(
            service=service,
            policy=policy,
            method=scope['method'],
            target=target,
            headers=headers,
            body=body.first,
            has_more_body=body.more,
            read_body=body.read,
            deadline=time.monotonic() + remaining_s,
            is_idempotent=_is_idempotent(route, scope['method']),
            id=_text(request_id),
            version=version.number,
            team=team.name if team else caller_request.NO_TEAM,
            allowed_regions=credentials.allowed_regions(route, team),
            uses_idempotency_key=key is not None
            and route.key is not KeyMode.IGNORED,
            fingerprint=quarantine.fingerprint(
                service, scope['method'], target, body.first
            ),
        )
        return req if self._accepts(req) else _never_sent(Reason.NODE_STOPPING)

    def _team_of(
        self,
        version: snapshot.Version,
        route: objects.Route,
        headers: messages.Headers,
    ) -> objects.Team | outcome.NotRun | None:
        """Return the team whose key a request has, or why it is refused.

        None stands for a request that needs no key.
        """
        if not version.objects.has_keys or route.public:
            return None
        name = self._dialect.credential
        key = http_headers.value_of(headers, name)
        if key is None:
            return _never_sent(Reason.NO_TEAM)
        if not credentials.is_well_formed(
            key
        ) or not http_headers.has_no_duplicates(headers, (name,)):
            return _never_sent(Reason.BAD_REQUEST)
        # The caller sent the request before this check, so that a key that
        # is valid here was not revoked longer before than the bound.
        if not self._is_config_fresh():
            return _never_sent(Reason.STALE_CONFIGURATION)
        if self._key_ring_version != version.number:
            self._key_ring = credentials.KeyRing.from_teams(
                version.objects.team.values()
            )
            self._key_ring_version = version.number
        team = self._key_ring.team_of(key)
        if team is None and self._may_lack_keys():
            return _never_sent(Reason.STALE_CONFIGURATION)
        return team or _never_sent(Reason.NO_TEAM)

    async def _team_refusal(
        self, req: caller_request.Request
    ) -> outcome.NotRun | None:
        """Return why a request gets no token of its team, None if it may run.

        A request that waits for a token gives up at its deadline.
        """
        team = self._version().objects.team.get(req.team)
        if team is None or not team.rate or self._acquire_allowance is None:
            return None
        remaining_s = req.remaining_s()
        if remaining_s > team_limit.ANSWER_TIMEOUT_S:
            # No timeout is needed; one would cost each request about 10 us.
            retry_after_s = await self._acquire_allowance(req.team)
        else:
            retry_after_s = None
            with anyio.move_on_after(remaining_s) as scope:
                retry_after_s = await self._acquire_allowance(req.team)
            if scope.cancelled_caught:
                return _never_sent(Reason.DEADLINE)
        if retry_after_s is None:
            return None
        return outcome.NotRun(
            Reason.TEAM_LIMIT, outcome.Evidence.NEVER_SENT, retry_after_s
        )

    def _accepts(self, req: caller_request.Request) -> bool:
        return self.planned_stop is None or self.planned_stop.accepts(
            time.monotonic(), req.deadline, req.lane is messages.Lane.BULK
        )

    def _single_value_headers(self) -> tuple[bytes, ...]:
        """Return the names of the headers that must not be repeated."""
        request_id = self._dialect.request_id
        return (
            b'host',
            b'content-length',
            *((request_id,) if request_id else ()),
        )

    async def _send_stored_response(
        self, scope, response: idempotency.StoredResponse, send
    ) -> None:
        headers = self._response_headers(scope, response, is_complete=True)
        await _send_head(send, response.status, headers)
        await _send_body(send, response.data, more=False)
        self._metrics.count_event(metrics_module.Event.ANSWERED)

    async def _send_response(
        self,
        scope,
        req: caller_request.Request,
        response: responses.Response,
        send,
    ) -> None:
        try:
            headers = self._response_headers(
                scope, response, response.is_complete
            )
            # A caller that does not read makes each send wait.
            deadline = (
                math.inf if response.is_complete else req.response_deadline
            )
            with _until(deadline):
                await _send_head(send, response.status, headers)
                await _send_body(send, response.data, not response.is_complete)
                async for data, more in self._dispatcher.stream_rest(
                    req, response
                ):
                    await _send_body(send, data, more)
            self._metrics.count_event(metrics_module.Event.ANSWERED)
        except responses.TruncatedResponseError:
            self._metrics.count_refusal(Reason.RESPONSE_TRUNCATED)
            self._metrics.count_event(metrics_module.Event.RESPONSE_ABORTED)
            self._log.warning(
                'Response was truncated; the caller connection is aborted.'
            )
        finally:
            response.close()

    def _response_headers(
        self,
        scope,
        response: responses.Response | idempotency.StoredResponse,
        is_complete: bool,
    ) -> messages.Headers:
        headers = http_headers.end_to_end(response.headers)
        length = http_headers.value_of(headers, b'content-length')
        if response.status in BODILESS_STATUSES:
            headers = [row for row in headers if row[0] != b'content-length']
        elif length is None and is_complete and scope['method'] != 'HEAD':
            length = str(len(response.data)).encode()
            headers.append((b'content-length', length))
        return self._with_connection_close(headers)

    def _with_connection_close(
        self, headers: messages.Headers
    ) -> messages.Headers:
        if self.is_stopping:
            headers.append((b'connection', b'close'))
        return headers

    async def _send_problem(self, failure: outcome.Failure, send) -> None:
        self._metrics.count_refusal(failure.reason)
        not_run = failure.outcome is outcome.Outcome.NOT_RUN
        self._metrics.count_event(
            metrics_module.Event.NOT_RUN
            if not_run
            else metrics_module.Event.UNKNOWN
        )
        document = problem.Problem.from_failure(
            failure, self._dialect.allows_fractional_retry_after
        )
        body = document.body()
        headers = self._with_connection_close(document.headers(body))
        await _send_head(send, document.status, headers)
        await _send_body(send, body, more=False)


class _RequestBody:
    """Read a request body: a first part, the rest on demand."""

    def __init__(
        self, receive, connection: http_server.DisconnectNotifier
    ) -> None:
        self._receive = receive
        self._connection = connection
        self._read_bytes = 0
        self.limit_bytes: int | None = None
        self.first = b''
        self.more = True

    def is_too_large(self, headers: messages.Headers) -> bool:
        """Return whether the stated length, or what was read, is too large."""
        if self.limit_bytes is None:
            return False
        length = http_headers.value_of(headers, b'content-length') or b'0'
        return max(int(length), self._read_bytes) > self.limit_bytes

    async def read_first(self) -> None:
        """Read until the body ends or the first message is full."""
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
        if self._connection.is_body_malformed:
            raise MalformedBodyError
        self._read_bytes += len(message['body'])
        if (
            self.limit_bytes is not None
            and self._read_bytes > self.limit_bytes
        ):
            raise BodyTooLargeError
        return message['body'], message['more_body']


@contextlib.contextmanager
def _until(deadline: float) -> Iterator[None]:
    """Raise ResponseDeadlineError if the block lasts until a deadline."""
    if math.isinf(deadline):
        yield
        return
    remaining_s = max(0.0, deadline - time.monotonic())
    try:
        with anyio.fail_after(remaining_s):
            yield
    except TimeoutError as exc:
        raise responses.ResponseDeadlineError from exc


def _text(value: bytes | None) -> str:
    return (value or b'').decode('latin-1')


def _never_sent(reason: Reason) -> outcome.NotRun:
    return outcome.NotRun(reason, outcome.Evidence.NEVER_SENT)


def _is_idempotent(route: objects.Route, method: str) -> bool:
    if route.idempotent is objects.Idempotency.BY_METHOD:
        return method in IDEMPOTENT_METHODS
    return route.idempotent is objects.Idempotency.YES


def _is_key_required(route: objects.Route, method: str) -> bool:
    if route.key is not objects.IdempotencyKeyMode.REQUIRED:
        return False
    return not _is_idempotent(route, method)


def _idempotency_key(scope, req: caller_request.Request) -> bytes | None:
    """Return the idempotency key of a request that must not run twice."""
    if req.is_idempotent or not req.uses_idempotency_key:
        return None
    return http_headers.idempotency_key(scope['headers'])


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
