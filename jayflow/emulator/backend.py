"""Serve sample requests as a backend server, for the demo and bench.

It announces itself to its node, sheds when its slots are full, drains,
starts cold, and records what it really ran.
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
from jayflow import logs
from jayflow.version import objects
from jayflow.version import quantity

RENEW_S = 1.0
PART_BYTES = 64 * 1024
DRAIN_POLL_S = 0.05
UNHEARD_POLLS = 20
ANNOUNCE_TIMEOUT_S = 1.0
DEFAULT_ANSWER_BYTES = 1024
MAX_SERVICE_S = 60.0
KEY_HEADER = b'idempotency-key'
DEADLINE_HEADER = b'jayflow-deadline-ms'
MARK_HEADER = b'x-mark'


@dataclasses.dataclass(frozen=True)
class Options:
    """Hold the behaviour of a sample backend server; times in seconds."""

    services: tuple[objects.ServiceName, ...]
    address: quantity.Address
    node: quantity.Address
    slots: int
    service_s: float
    jitter: float
    cold_start_s: float
    drain_limit_s: float
    run_log: pathlib.Path | None = None


class Run(msgspec.Struct, frozen=True):
    """Record one request that this server really started."""

    at: float
    method: str
    path: str
    key: str
    mark: str
    done: bool = False


class Backend:
    """Serve requests as an ASGI application.

    Query parameters change one answer: bytes, ms (service time), status,
    crash=1 (the process dies), cut=N (the answer ends after N bytes),
    chunked=1 (the answer's length is not told), tried=1 (a node below has
    tried elsewhere already).
    """

    def __init__(self, options: Options, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._log = logs.get(logs.Part.BACKEND)
        self.instance = secrets.token_hex(8)
        self.running = 0
        self.is_draining = False
        self.started: list[Run] = []
        self._counts: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_options(cls, options: Options, seed: int) -> Self:
        """Return a server whose service times follow a seed."""
        return cls(options, random.Random(seed))

    def announcement(self) -> announcement.Announcement:
        """Return what the server announces now."""
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
                await _send(send, 200, msgspec.json.encode(self.started), [])
            case _:
                await self._serve(scope, query, receive, send)

    def _load(self) -> bytes:
        return msgspec.json.encode(
            {'running': self.running, 'slots': self._options.slots}
        )

    async def _serve(self, scope, query, receive, send) -> None:
        if self.running >= self._options.slots:
            self._counts['shed'] += 1
            shed = [(b'jayflow-outcome', b'not-run'), (b'retry-after', b'1')]
            await _send(send, 503, b'shed', shed)
            return
        self.running += 1
        try:
            await self._serve_in_slot(scope, query, receive, send)
        finally:
            self.running -= 1

    async def _serve_in_slot(self, scope, query, receive, send) -> None:
        headers = dict(scope['headers'])
        digest, length = await _digest_body(receive)
        run = Run(
            time.time(),
            scope['method'],
            scope['path'],
            headers.get(KEY_HEADER, b'').decode('latin-1'),
            headers.get(MARK_HEADER, b'').decode('latin-1'),
        )
        index = len(self.started)
        self.started.append(run)
        self._write_run(run)
        if query.get('crash'):
            os._exit(1)
        await anyio.sleep(self._service_s(query))
        rows = [
            (b'x-server', self.instance.encode()),
            (b'x-body-sha256', digest.encode()),
            (b'x-body-length', str(length).encode()),
        ]
        if DEADLINE_HEADER in headers:
            rows.append((b'x-deadline-ms', headers[DEADLINE_HEADER]))
        if query.get('tried'):
            rows.append((b'jayflow-tried', b'1'))
        size = min(int(query.get('bytes', DEFAULT_ANSWER_BYTES)), 10**9)
        cut = int(query.get('cut', size))
        status = int(query.get('status', 200))
        mark = query.get('mark', '') or scope['path']
        if not query.get('chunked'):
            rows.append((b'accept-ranges', b'bytes'))
        await _send_sized(send, status, rows, mark, size, cut, headers)
        self.started[index] = msgspec.structs.replace(run, done=True)

    def _write_run(self, run: Run) -> None:
        """Keep the record where a killed server can't lose it."""
        if self._options.run_log is not None:
            with self._options.run_log.open('ab') as log:
                log.write(msgspec.json.encode(run) + b'\n')

    def _service_s(self, query) -> float:
        if 'ms' in query:
            return min(MAX_SERVICE_S, float(query['ms']) / 1000)
        jitter = self._options.jitter
        factor = self._rng.uniform(1 - jitter, 1 + jitter)
        return self._options.service_s * factor

    async def run(self) -> None:
        """Serve until a signal, then drain and withdraw."""
        address = self._options.address
        server = http_server.create(self, *address, _bad_request)
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
        self._log.info('Server is draining.', running=self.running)
        self.is_draining = True
        with anyio.move_on_after(self._options.drain_limit_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._wait_idle, tasks.cancel_scope)
                await anext(signals)
                tasks.cancel_scope.cancel()
        await self._call_node('DELETE', b'')
        self._log.info('Server is stopped.', cut=self.running)

    async def _wait_idle(self, scope: anyio.CancelScope) -> None:
        """Wait until nothing runs here and the node holds nothing for us.

        A node that is gone holds nothing either.
        """
        unheard = 0
        while True:
            left = await self._announce()
            unheard = unheard + 1 if left is None else 0
            is_node_done = left == 0 or unheard >= UNHEARD_POLLS
            if is_node_done and self.running == 0:
                scope.cancel()
                return
            await anyio.sleep(DRAIN_POLL_S)

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await anyio.sleep(RENEW_S)

    async def _announce(self) -> int | None:
        """Announce; return what the node still runs, None if unheard."""
        body = await self._call_node(
            'PUT', msgspec.json.encode(self.announcement())
        )
        if body is None:
            return None
        reply = msgspec.json.decode(body, type=announcement.AnnounceReply)
        return reply.running

    async def _call_node(self, method: str, body: bytes) -> bytes | None:
        url = f'http://{self._options.node}/announcement'
        rows = [(b'content-length', str(len(body)).encode())]
        try:
            with anyio.fail_after(ANNOUNCE_TIMEOUT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request(
                        method, url, headers=rows, content=body
                    )
        except (OSError, TimeoutError, httpcore.NetworkError):
            return None
        except httpcore.ProtocolError:
            return None
        return response.content if response.status == 200 else None


def content(mark: str, size: int) -> bytes:
    """Return the bytes that any sample server answers for a mark."""
    block = hashlib.sha256(mark.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


async def _digest_body(receive) -> tuple[str, int]:
    digest, length, more = hashlib.sha256(), 0, True
    while more:
        message = await receive()
        data = message.get('body', b'')
        digest.update(data)
        length += len(data)
        more = message.get('more_body', False)
    return digest.hexdigest(), length


async def _send_sized(send, status, rows, mark, size, cut, headers) -> None:
    block = content(mark, PART_BYTES)
    etag = b'"%s-%d"' % (block[:16], size)
    first = 0
    asked = headers.get(b'range', b'')
    if asked.startswith(b'bytes=') and headers.get(b'if-range') == etag:
        first = int(asked[6:].partition(b'-')[0])
        status = 206
        span = f'bytes {first}-{size - 1}/{size}'
        rows.append((b'content-range', span.encode()))
    if (b'accept-ranges', b'bytes') in rows:
        length = str(size - first).encode()
        rows += [(b'etag', etag), (b'content-length', length)]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': rows}
    )
    at, end = first, min(cut, size)
    while at < end:
        shift = at % PART_BYTES
        data = block[shift : shift + end - at]
        at += len(data)
        more = at < size
        await send(
            {'type': 'http.response.body', 'body': data, 'more_body': more}
        )
    if size == first:
        await send({'type': 'http.response.body', 'body': b''})


async def _send(send, status: int, body: bytes, rows: list) -> None:
    rows = [*rows, (b'content-length', str(len(body)).encode())]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': rows}
    )
    await send({'type': 'http.response.body', 'body': body})


def _bad_request(is_too_large: bool):
    return (431 if is_too_large else 400), [(b'content-length', b'0')], b''
