"""Call an object store: versions, conditional updates, watches.

Client holds what every protocol shares: a call has a deadline and draws
on the process's call budget. HttpPlatform speaks the product's own
protocol. A write whose answer was lost raises AmbiguousError, and its
caller reads back.
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

from jayflow import metrics as counting
from jayflow.version import quantity

Revision = NewType('Revision', int)
Result = TypeVar('Result')

ABSENT = Revision(0)
BURST_S = 10.0
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 10.0
HEAD_BYTES = 80
MAX_VALUE_BYTES = 1_000_000
MAX_CONNECTIONS = 16
KEEPALIVE_EXPIRY_S = 30
KEEPALIVE_PROBE_S = 1
KEEPALIVE_PROBES = 2
_ROOT = '/v1'
# A watch waits for long on a silent connection, so TCP must find a dead one.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class PlatformError(Exception):
    """Report a call that failed; nothing of it took effect."""


class UnavailableError(PlatformError):
    """Report that the platform did not serve a call."""


class AmbiguousError(PlatformError):
    """Report a write that may have taken effect."""


class ConflictError(PlatformError):
    """Report a conditional write whose revision no longer holds."""


class TooOldError(PlatformError):
    """Report a watch from a revision that is no longer kept."""


class CallBudgetError(UnavailableError):
    """Report a call that the process's own call budget refused."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Hold one object and the revision that wrote it."""

    key: str
    value: bytes
    revision: Revision


class ChangeKind(enum.Enum):
    """Say what happened to an object."""

    PUT = 'put'
    DELETE = 'delete'


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Hold one change; a deleted object has an empty value."""

    kind: ChangeKind
    entry: Entry


class Listing(msgspec.Struct, frozen=True, array_like=True):
    """Hold the objects under a prefix as of one revision."""

    entries: list[Entry]
    revision: Revision


class Changes(msgspec.Struct, frozen=True, array_like=True):
    """Hold the changes under a prefix up to one revision."""

    changes: list[Change]
    revision: Revision


class Platform(Protocol):
    """Name the calls that any platform offers."""

    async def get(self, key: str) -> Entry | None:
        """Return an object, or None."""

    async def put(self, key: str, value: bytes, held: Revision) -> Revision:
        """Write an object if its revision is still the one held."""

    async def delete(self, key: str, held: Revision) -> None:
        """Delete an object if its revision is still the one held."""

    async def list(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""

    async def watch(
        self, prefix: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision."""


class CallBudget:
    """Allow a process so many calls a second, with a bounded burst."""

    def __init__(
        self,
        calls_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate = calls_per_s
        self._most = max(1.0, calls_per_s * BURST_S)
        self._left = self._most
        self._clock = clock
        self._at = clock()

    def take(self) -> bool:
        """Return whether a call may be made now, and count it."""
        now = self._clock()
        earned = (now - self._at) * self._rate
        self._left = min(self._most, self._left + earned)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class Response(NamedTuple):
    """Hold a store's answer to one call."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Client:
    """Make HTTP calls with a deadline and a call budget."""

    def __init__(
        self,
        address: quantity.Address,
        budget: CallBudget,
        metrics: counting.Metrics,
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
        self, method, path, headers=(), body=b'', extra_s=0.0
    ) -> Response:
        """Make a call; UnavailableError when it has no answer in time."""
        if not self._budget.take():
            self._metrics.event(counting.Event.PLATFORM_BUDGET)
            raise CallBudgetError('call budget is used up')
        self._metrics.event(counting.Event.PLATFORM_CALL)
        rows = [*headers, (b'content-length', str(len(body)).encode())]
        try:
            with anyio.fail_after(self._deadline_s + extra_s):
                response = await self._pool.request(
                    method, self._base + path, headers=rows, content=body
                )
        except (OSError, TimeoutError, *_TRANSPORT_ERRORS) as exc:
            self._metrics.event(counting.Event.PLATFORM_FAILED)
            raise UnavailableError(repr(exc)) from exc
        self._count_bytes(rows, path, body, response)
        return Response(response.status, response.headers, response.content)

    async def write(
        self, method, path, headers=(), body=b'', undone=()
    ) -> Response:
        """Make a changing call; AmbiguousError when it may have worked.

        A server error is ambiguous unless its status is one of undone.
        """
        try:
            answer = await self.call(method, path, headers, body)
        except CallBudgetError:
            raise
        except UnavailableError as exc:
            raise AmbiguousError(str(exc)) from exc
        if answer.status >= 500 and answer.status not in undone:
            raise AmbiguousError(f'status {answer.status}')
        return answer

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    def _count_bytes(self, rows, path, body, response) -> None:
        sent = HEAD_BYTES + len(path) + _size(rows) + len(body)
        received = HEAD_BYTES + _size(response.headers)
        received += len(response.content)
        self._metrics.event(counting.Event.CONTROL_SENT_BYTES, sent)
        self._metrics.event(counting.Event.CONTROL_RECEIVED_BYTES, received)


class HttpPlatform:
    """Call a platform that speaks the product's own protocol."""

    def __init__(
        self,
        address: quantity.Address,
        budget: CallBudget,
        metrics: counting.Metrics,
        deadline_s: float,
    ) -> None:
        self._client = Client(address, budget, metrics, deadline_s)

    async def get(self, key: str) -> Entry | None:
        """Return an object, or None."""
        status, headers, body = await self._client.call('GET', _object(key))
        if status == 404:
            return None
        check(status)
        return Entry(key, body, _revision(headers))

    async def put(self, key: str, value: bytes, held: Revision) -> Revision:
        """Write an object if its revision is still the one held."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f'{key} is over the limit of a value')
        status, headers, _ = await self._client.write(
            'PUT', _object(key), [_condition(held)], value
        )
        check(status)
        return _revision(headers)

    async def delete(self, key: str, held: Revision) -> None:
        """Delete an object if its revision is still the one held."""
        answer = await self._client.write(
            'DELETE', _object(key), [_condition(held)]
        )
        check(answer.status)

    async def list(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""
        query = urllib.parse.urlencode({'prefix': prefix})
        answer = await self._client.call('GET', f'{_ROOT}/list?{query}')
        check(answer.status)
        return msgspec.msgpack.decode(answer.body, type=Listing)

    async def watch(
        self, prefix: str, after: Revision, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'wait': wait_s}
        )
        answer = await self._client.call(
            'GET', f'{_ROOT}/watch?{query}', extra_s=wait_s
        )
        check(answer.status)
        return msgspec.msgpack.decode(answer.body, type=Changes)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_ERRORS = {409: ConflictError, 410: TooOldError, 412: ConflictError}


def _size(headers) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers)


def _object(key: str) -> str:
    return f'{_ROOT}/objects/{urllib.parse.quote(key)}'


def _condition(held: Revision) -> tuple[bytes, bytes]:
    if held == ABSENT:
        return b'if-none-match', b'*'
    return b'if-match', str(held).encode()


def check(status: int) -> None:
    """Raise the PlatformError that an error status stands for."""
    if status >= 400:
        raise _ERRORS.get(status, UnavailableError)(f'status {status}')


def _revision(headers) -> Revision:
    for name, value in headers:
        if name.lower() == b'etag':
            return Revision(int(value.strip(b'"')))
    raise UnavailableError('answer has no revision')


def backoff_s(
    failures: int, rng: random.Random, max_s: float = BACKOFF_MAX_S
) -> float:
    """Return a wait with full jitter after so many failures in a row."""
    most = min(max_s, BACKOFF_BASE_S * 2 ** min(failures, 10))
    return rng.uniform(0, most)


async def insist(
    call: Callable[[], Awaitable[Result]],
    rng: random.Random,
    max_pause_s: float = BACKOFF_MAX_S,
) -> Result:
    """Repeat a call until the platform serves it.

    For reads and for writes that read back first: a conflict is raised.
    """
    failures = 0
    while True:
        try:
            return await call()
        except (AmbiguousError, UnavailableError):
            failures += 1
            await anyio.sleep(backoff_s(failures, rng, max_pause_s))
