"""Run a sample backend server for the demo, the bench and the tests.

The server announces itself to its node, rejects requests when all its
slots are in use, announces a cold start, may name a rate limit, and drains
before it stops. It records every request that it runs, so that a test can
compare the outcomes that callers saw with what was executed.
"""

import collections
import dataclasses
import hashlib
import os
import pathlib
import random
import secrets
import signal
import time
from typing import Self
import urllib.parse

import anyio
import httpcore
import msgspec

from jayflow.connection import announcement
from jayflow.connection import http_server
from jayflow.connection import messages
from jayflow import logs
from jayflow.request import header_dialect
from jayflow.version import objects
from jayflow.version import value_parsers

ANNOUNCE_INTERVAL_S = 1.0
CHUNK_BYTES = 64 * 1024
DRAIN_POLL_INTERVAL_S = 0.05
# Unanswered calls in a row after which a draining server considers its
# node gone.
MAX_UNANSWERED_POLLS = 20
NODE_CALL_TIMEOUT_S = 1.0
DEFAULT_RESPONSE_BYTES = 1024
MAX_SERVICE_TIME_S = 60.0
IDEMPOTENCY_KEY_HEADER = b'idempotency-key'
DEADLINE_HEADER = b'jayflow-deadline-ms'
MARK_HEADER = b'x-mark'


@dataclasses.dataclass(frozen=True)
class BackendOptions:
    """Configure a sample backend server; times are in seconds.

    A service time is drawn uniformly from service_time_s plus or minus the
    fraction jitter of it.
    """

    services: tuple[objects.ServiceName, ...]
    address: value_parsers.Address
    node: value_parsers.Address
    slots: int
    service_time_s: float
    jitter: float
    cold_start_s: float
    drain_timeout_s: float
    # Requests per second that the server says it takes, None for no limit.
    rate_limit: float | None = None
    run_log: pathlib.Path | None = None


class Run(msgspec.Struct, frozen=True):
    """Record one request that the server started to run.

    The field at is Unix time in seconds; mark is the caller's x-mark
    header; done is set once the response has been sent.
    """

    at: float
    method: str
    path: str
    key: str
    mark: str
    done: bool = False


class SampleBackend:
    """Serve requests as an ASGI application.

    Query parameters set the response to one request: bytes (length of the
    body), ms (service time), status, mark (selects the content), crash=1
    (the process exits), cut=N (the body is truncated after N bytes),
    chunked=1 (no Content-Length), tried=1 (adds the jayflow-tried header
    of a node that has already tried other servers).
    """

    def __init__(self, options: BackendOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._log = logs.get_logger(logs.Component.BACKEND)
        self.instance = secrets.token_hex(8)
        self.running = 0
        self.is_draining = False
        self.runs: list[Run] = []
        self._counts: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_options(cls, options: BackendOptions, seed: int) -> Self:
        """Return a server whose service times are drawn from a seed."""
        return cls(options, random.Random(seed))

    def announcement(self) -> announcement.Announcement:
        """Return the announcement of the server's present state."""
        return announcement.Announcement(
            instance=self.instance,
            services=self._options.services,
            host=self._options.address.host,
            port=self._options.address.port,
            slots=self._options.slots,
            cold_start_s=self._options.cold_start_s,
            draining=self.is_draining,
        )

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        match scope['path']:
            case '/.health':
                await _send(send, 200, b'ok', [])
            case '/.load':
                await _send(send, 200, self._load(), [])
            case '/.runs':
                await _send(send, 200, msgspec.json.encode(self.runs), [])
            case _:
                await self._serve(scope, query, receive, send)

    def _load(self) -> bytes:
        return msgspec.json.encode(
            {'running': self.running, 'slots': self._options.slots}
        )

    async def _serve(self, scope, query, receive, send) -> None:
        if self.running >= self._options.slots:
            self._counts['shed'] += 1
            shed_headers = [
                (b'jayflow-outcome', b'not-run'),
                (b'retry-after', b'1'),
            ]
            await _send(send, 503, b'shed', shed_headers)
            return
        self.running += 1
        try:
            await self._serve_in_slot(scope, query, receive, send)
        finally:
            self.running -= 1

    async def _serve_in_slot(self, scope, query, receive, send) -> None:
        request_headers = dict(scope['headers'])
        digest, length = await _digest_body(receive)
        run = Run(
            time.time(),
            scope['method'],
            scope['path'],
            request_headers.get(IDEMPOTENCY_KEY_HEADER, b'').decode('latin-1'),
            request_headers.get(MARK_HEADER, b'').decode('latin-1'),
        )
        index = len(self.runs)
        self.runs.append(run)
        self._write_run(run)
        if query.get('crash'):
            os._exit(1)
        await anyio.sleep(self._service_time_s(query))
        response_headers = [
            *self._statements(),
            (b'x-server', self.instance.encode()),
            (b'x-body-sha256', digest.encode()),
            (b'x-body-length', str(length).encode()),
        ]
        if DEADLINE_HEADER in request_headers:
            response_headers.append(
                (b'x-deadline-ms', request_headers[DEADLINE_HEADER])
            )
        if query.get('tried'):
            response_headers.append((b'jayflow-tried', b'1'))
        size = min(int(query.get('bytes', DEFAULT_RESPONSE_BYTES)), 10**9)
        cut_at = int(query.get('cut', size))
        status = int(query.get('status', 200))
        mark = query.get('mark', '') or scope['path']
        if not query.get('chunked'):
            response_headers.append((b'accept-ranges', b'bytes'))
        await _send_content(
            send, status, response_headers, mark, size, cut_at, request_headers
        )
        self.runs[index] = msgspec.structs.replace(run, done=True)

    def _statements(self) -> messages.Headers:
        """Return the headers in which the server describes its state."""
        statements = []
        if self._options.rate_limit is not None:
            limit = f'{self._options.rate_limit:f}'.encode()
            statements.append((header_dialect.RATE_LIMIT_HEADER, limit))
        if self.is_draining:
            statements.append((header_dialect.LEAVING_HEADER, b'1'))
        return statements

    def _write_run(self, run: Run) -> None:
        """Append a record to the run log.

        The record is written before the request runs, so that it survives
        if the process is killed.
        """
        if self._options.run_log is not None:
            with self._options.run_log.open('ab') as log:
                log.write(msgspec.json.encode(run) + b'\n')

    def _service_time_s(self, query) -> float:
        if 'ms' in query:
            return min(MAX_SERVICE_TIME_S, float(query['ms']) / 1000)
        jitter = self._options.jitter
        factor = self._rng.uniform(1 - jitter, 1 + jitter)
        return self._options.service_time_s * factor

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and deregister."""
        address = self._options.address
        server = http_server.create(self, *address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            tasks.start_soon(self._announce_forever)
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as signals:
                await anext(signals)
                await self._drain(signals)
            server.should_exit = True
            tasks.cancel_scope.cancel()

    async def _drain(self, signals) -> None:
        """Drain until idle, the time limit or a second signal."""
        self._log.info('Server is draining.', running=self.running)
        self.is_draining = True
        with anyio.move_on_after(self._options.drain_timeout_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._wait_idle, tasks.cancel_scope)
                await anext(signals)
                tasks.cancel_scope.cancel()
        await self._call_node('DELETE', b'')
        self._log.info('Server has stopped.', cut=self.running)

    async def _wait_idle(self, scope: anyio.CancelScope) -> None:
        """Cancel the scope once neither server nor node has work left.

        A node that leaves MAX_UNANSWERED_POLLS calls in a row unanswered
        counts as gone, with no work left.
        """
        unanswered = 0
        while True:
            node_running = await self._announce()
            unanswered = unanswered + 1 if node_running is None else 0
            is_node_done = (
                node_running == 0 or unanswered >= MAX_UNANSWERED_POLLS
            )
            if is_node_done and self.running == 0:
                scope.cancel()
                return
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self) -> int | None:
        """Announce the server to its node.

        Returns how many of its requests the node still runs, or None
        without a response.
        """
        body = await self._call_node(
            'PUT', msgspec.json.encode(self.announcement())
        )
        if body is None:
            return None
        reply = msgspec.json.decode(body, type=announcement.AnnouncementReply)
        return reply.running

    async def _call_node(self, method: str, body: bytes) -> bytes | None:
        url = f'http://{self._options.node}/announcement'
        headers = [(b'content-length', str(len(body)).encode())]
        try:
            with anyio.fail_after(NODE_CALL_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method, url, headers=headers, content=body
                    )
        except (OSError, TimeoutError, httpcore.NetworkError):
            return None
        except httpcore.ProtocolError:
            return None
        return response.content if response.status == 200 else None


def response_body(mark: str, size: int) -> bytes:
    """Return the body of this size that every sample server has for a mark."""
    pattern = hashlib.sha256(mark.encode()).hexdigest().encode()
    return (pattern * (size // len(pattern) + 1))[:size]


async def _digest_body(receive) -> tuple[str, int]:
    digest, length, more = hashlib.sha256(), 0, True
    while more:
        message = await receive()
        data = message.get('body', b'')
        digest.update(data)
        length += len(data)
        more = message.get('more_body', False)
    return digest.hexdigest(), length


async def _send_content(
    send, status, headers, mark, size, cut_at, request_headers
) -> None:
    """Send the content that belongs to a mark, or the rest of it.

    A Range header sets the first byte if an If-Range header has the
    content's ETag. The end of a range is ignored.
    """
    chunk = response_body(mark, CHUNK_BYTES)
    etag = b'"%s-%d"' % (chunk[:16], size)
    first = 0
    byte_range = request_headers.get(b'range', b'')
    if (
        byte_range.startswith(b'bytes=')
        and request_headers.get(b'if-range') == etag
    ):
        first = int(byte_range[6:].partition(b'-')[0])
        status = 206
        content_range = f'bytes {first}-{size - 1}/{size}'
        headers.append((b'content-range', content_range.encode()))
    if (b'accept-ranges', b'bytes') in headers:
        length = str(size - first).encode()
        headers += [(b'etag', etag), (b'content-length', length)]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    position, end = first, min(cut_at, size)
    while position < end:
        offset = position % CHUNK_BYTES
        data = chunk[offset : offset + end - position]
        position += len(data)
        more = position < size
        await send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )
    if size == first:
        await send({'type': 'http.response.body', 'body': b''})


async def _send(send, status: int, body: bytes, headers: list) -> None:
    headers = [*headers, (b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})
