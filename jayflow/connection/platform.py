"""Access the platform, the object service that the nodes share.

It stores objects with revisions and reports their changes to watches.
Writes are conditional on the revision of the object. Client implements
what all protocols share: every call has a deadline and is counted
against the process's call budget. HttpPlatform implements the product's
own protocol. A write whose response was lost raises AmbiguousError; the
caller then has to read the object back.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
import random
import socket
import time
from typing import NamedTuple, NewType, Protocol, TypeVar
import urllib.parse

import anyio
import httpcore
import msgspec

from jayflow import metrics as metrics_module
from jayflow.version import value_parsers

Revision = NewType('Revision', int)
# Rises when the platform is restored from a copy: revisions of different eras
# can't be compared.
Era = NewType('Era', int)
Result = TypeVar('Result')

ABSENT = Revision(0)
# The era of a platform that names none.
ONLY_ERA = Era(0)
BURST_S = 10.0
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 10.0
HEAD_OVERHEAD_BYTES = 80
MAX_VALUE_BYTES = 1_000_000
MAX_CONNECTIONS = 16
KEEPALIVE_EXPIRY_S = 30
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
_ROOT = '/v1'
# A watch keeps a connection silent for long, so TCP keepalive has to detect
# a dead peer.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
)


class PlatformError(Exception):
    """Report a failed call; it had no effect unless a subclass says so."""


class UnavailableError(PlatformError):
    """Report that the platform did not serve a call."""


class AmbiguousError(PlatformError):
    """Report a write that may have taken effect."""


class ConflictError(PlatformError):
    """Report a conditional write whose revision is out of date."""


class TooOldError(PlatformError):
    """Report a watch from a revision that is no longer kept."""


class CallBudgetError(UnavailableError):
    """Report a call that the process's own call budget rejected."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Represent one object and the revision of its last write."""

    key: str
    value: bytes
    revision: Revision


class ChangeKind(enum.Enum):
    """Enumerate the kinds of changes to an object."""

    PUT = 'put'
    DELETE = 'delete'


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Represent one change; a deleted object has an empty value."""

    kind: ChangeKind
    entry: Entry


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """Represent the objects under a prefix at one revision.

    If the platform does not know the prefix, it has no objects and can't be
    watched.
    """

    entries: list[Entry]
    revision: Revision
    era: Era = ONLY_ERA
    is_known: bool = True


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Represent the changes under a prefix up to one revision.

    `unreadable` counts the changes that are left out as malformed.
    """

    changes: list[Change]
    revision: Revision
    era: Era = ONLY_ERA
    unreadable: int = 0


Read = Listing | Changes


class Platform(Protocol):
    """Define the calls that every platform client implements.

    `expected` is the revision that the object must still have; `ABSENT` means
    that the object must not exist.
    """

    async def get(self, key: str) -> Entry | None:
        """Return an object, or None."""

    async def put(
        self, key: str, value: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is still the expected one."""

    async def delete(self, key: str, expected: Revision) -> None:
        """Delete an object if its revision is still the expected one."""

    async def list(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""

    async def watch(
        self, prefix: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision.

        Returns without changes after `wait_s` seconds.
        """


class CallBudget:
    """Limit the calls of a process with a token bucket.

    The bucket holds the calls of `BURST_S` seconds, at least one.
    """

    def __init__(
        self,
        calls_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._calls_per_s = calls_per_s
        self._capacity = max(1.0, calls_per_s * BURST_S)
        self._tokens = self._capacity
        self._clock = clock
        self._refilled_at = clock()

    def try_take(self) -> bool:
        """Return whether a call may be made now, and count it if so."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._calls_per_s
        self._tokens = min(self._capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


MAX_REVISION_DIGITS = 18
# A page of a list holds about as much as one value.
MAX_RESPONSE_BYTES = 8 * MAX_VALUE_BYTES


class Response(NamedTuple):
    """Represent the platform's response to one call."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Client:
    """Make HTTP calls with a deadline and a call budget."""

    def __init__(
        self,
        address: value_parsers.Address,
        budget: CallBudget,
        metrics: metrics_module.Metrics,
        deadline_s: float,
    ) -> None:
        self._base = f'http://{address}'
        self._budget = budget
        self._metrics = metrics
        self._deadline_s = deadline_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=_KEEPALIVE_OPTIONS,
        )

    async def call(
        self, method, path, headers=(), body=b'', extra_timeout_s=0.0
    ) -> Response:
        """Make a call and return its response.

        Raises UnavailableError if there is no response in time, which is
        the deadline plus `extra_timeout_s`.
        """
        if not self._budget.try_take():
            self._metrics.count_event(
                metrics_module.Event.PLATFORM_RATE_LIMITED
            )
            raise CallBudgetError('platform call budget is exhausted')
        self._metrics.count_event(metrics_module.Event.PLATFORM_CALL)
        all_headers = [*headers, (b'content-length', str(len(body)).encode())]
        try:
            with anyio.fail_after(self._deadline_s + extra_timeout_s):
                async with self._pool.stream(
                    method,
                    self._base + path,
                    headers=all_headers,
                    content=body,
                ) as streamed:
                    content = await _read_bounded(streamed)
        except (OSError, TimeoutError, *_TRANSPORT_ERRORS) as exc:
            self._metrics.count_event(metrics_module.Event.PLATFORM_FAILED)
            raise UnavailableError(repr(exc)) from exc
        response = Response(streamed.status, streamed.headers, content)
        self._count_bytes(all_headers, path, body, response)
        return response

    async def write(
        self, method, path, headers=(), body=b'', no_effect_statuses=()
    ) -> Response:
        """Make a call that changes an object.

        Raises AmbiguousError if the change may have taken effect. That
        holds for a server error, too, unless its status is one of
        `no_effect_statuses`.
        """
        try:
            response = await self.call(method, path, headers, body)
        except CallBudgetError:
            raise
        except UnavailableError as exc:
            raise AmbiguousError(str(exc)) from exc
        if (
            response.status >= 500
            and response.status not in no_effect_statuses
        ):
            raise AmbiguousError(f'status {response.status}')
        return response

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    def _count_bytes(self, all_headers, path, body, response) -> None:
        sent = (
            HEAD_OVERHEAD_BYTES
            + len(path)
            + _headers_size(all_headers)
            + len(body)
        )
        received = HEAD_OVERHEAD_BYTES + _headers_size(response.headers)
        received += len(response.body)
        self._metrics.count_event(
            metrics_module.Event.CONTROL_SENT_BYTES, sent
        )
        self._metrics.count_event(
            metrics_module.Event.CONTROL_RECEIVED_BYTES, received
        )


async def _read_bounded(response: httpcore.Response) -> bytes:
    """Return a response's body; UnavailableError if it is too long."""
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > MAX_RESPONSE_BYTES:
            raise UnavailableError(
                f'response exceeds {MAX_RESPONSE_BYTES} bytes'
            )
    return bytes(content)


class HttpPlatform:
    """Access a platform that speaks the product's own protocol."""

    def __init__(
        self,
        address: value_parsers.Address,
        budget: CallBudget,
        metrics: metrics_module.Metrics,
        deadline_s: float,
    ) -> None:
        self._client = Client(address, budget, metrics, deadline_s)

    async def get(self, key: str) -> Entry | None:
        """Return an object, or None."""
        status, headers, body = await self._client.call(
            'GET', _object_path(key)
        )
        if status == 404:
            return None
        raise_for_status(status)
        return Entry(key, body, _revision(headers))

    async def put(
        self, key: str, value: bytes, expected: Revision
    ) -> Revision:
        """Write an object if its revision is still the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f'value of {key} exceeds the size limit')
        status, headers, _ = await self._client.write(
            'PUT', _object_path(key), [_precondition_header(expected)], value
        )
        raise_for_status(status)
        return _revision(headers)

    async def delete(self, key: str, expected: Revision) -> None:
        """Delete an object if its revision is still the expected one."""
        response = await self._client.write(
            'DELETE', _object_path(key), [_precondition_header(expected)]
        )
        raise_for_status(response.status)

    async def list(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""
        query = urllib.parse.urlencode({'prefix': prefix})
        response = await self._client.call('GET', f'{_ROOT}/list?{query}')
        raise_for_status(response.status)
        return msgspec.msgpack.decode(response.body, type=Listing)

    async def watch(
        self, prefix: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'wait': wait_s}
        )
        response = await self._client.call(
            'GET', f'{_ROOT}/watch?{query}', extra_timeout_s=wait_s
        )
        raise_for_status(response.status)
        return msgspec.msgpack.decode(response.body, type=Changes)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_ERROR_BY_STATUS = {409: ConflictError, 410: TooOldError, 412: ConflictError}


def _headers_size(headers) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers)


def _object_path(key: str) -> str:
    return f'{_ROOT}/objects/{urllib.parse.quote(key)}'


def _precondition_header(expected: Revision) -> tuple[bytes, bytes]:
    if expected == ABSENT:
        return b'if-none-match', b'*'
    return b'if-match', str(expected).encode()


def raise_for_status(status: int) -> None:
    """Raise the PlatformError that matches an error status, if it is one."""
    if status >= 400:
        raise _ERROR_BY_STATUS.get(status, UnavailableError)(
            f'status {status}'
        )


def _revision(headers) -> Revision:
    for name, value in headers:
        digits = value.strip(b'"')
        if (
            name.lower() == b'etag'
            and digits.isdigit()
            and len(digits) <= MAX_REVISION_DIGITS
        ):
            return Revision(int(digits))
    raise UnavailableError('response has no ETag header with a revision')


def backoff_s(
    failures: int, rng: random.Random, max_s: float = BACKOFF_MAX_S
) -> float:
    """Return an exponential backoff delay with full jitter, in seconds.

    `failures` counts the consecutive failures.
    """
    upper_s = min(max_s, BACKOFF_BASE_S * 2 ** min(failures, 10))
    return rng.uniform(0, upper_s)


async def retry_until_available(
    call: Callable[[], Awaitable[Result]],
    pause: Callable[[int], Awaitable[None]],
) -> Result:
    """Retry a call until the platform serves it.

    `pause` waits after a number of consecutive failures.

    Only for reads and for writes that read the object back first, as an
    ambiguous write is repeated. A conflict is raised.
    """
    failures = 0
    while True:
        try:
            return await call()
        except (AmbiguousError, UnavailableError):
            failures += 1
            await pause(failures)
