"""Stand in for an application endpoint.

It speaks what PROTOCOL.md says of endpoints: it echoes the request id, signs
its responses, names its load, answers 421 to a request for another instance,
serves one request at a time on a connection, and sends heartbeats to the
control address of its machine. How it answers a request that it runs is a
function that a test may replace.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import socket
import time

from standins import wire

HEARTBEAT_S = 1.5
WINDOW_BYTES = 64 * 1024
HEALTH_PATH = '/health'
ID_HEADER = 'jayflow-request-id'


@dataclasses.dataclass(frozen=True)
class Run:
    """Record one request that an endpoint began to run (monotonic s)."""

    at: float
    request_id: str
    instance: str
    target: str
    caller_service: str


class Endpoint:
    """Serve requests and send heartbeats."""

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        control: tuple[str, int],
        slots: int = 18,
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.address = address
        # What heartbeats name; differs from address behind a proxy.
        self.announced_address = address
        self.control = control
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.rejected = 0
        self.running = 0
        self.work_s = 0.05
        self.answer: Answer = answer_at_once
        # While set, the load header of each spoiled_every-th answer is this.
        self.spoiled_load = ''
        self.spoiled_every = 0
        self._answers = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats until they are stopped."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Windows are small, so a peer that does not read blocks the writer.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.bind(self.address)
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=WINDOW_BYTES
        )
        self._beats = asyncio.create_task(self._beat_forever())

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def close(self) -> None:
        """Stop beating and listening."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()

    def heartbeat(self, state: str = 'ready') -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        host, port = self.announced_address
        document = {
            'address': f'{host}:{port}',
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': self.sequence,
                'cold_remaining_s': 0,
            },
        }
        return json.dumps(document).encode()

    async def send_beat(self, body: bytes) -> int:
        """Send a heartbeat; return the status, 0 without a response."""
        return await self._post(f'/Instances.Heartbeat/{self.instance}', body)

    async def deregister(self) -> int:
        """Say that this endpoint leaves; return the status or 0."""
        body = json.dumps({'born': self.born}).encode()
        path = f'/Instances.Deregister/{self.instance}'
        return await self._post(path, body)

    async def _post(self, path: str, body: bytes) -> int:
        headers = {'Content-Type': 'application/json'}
        response = await wire.call(
            self.control, 'POST', path, headers, body, 1.0
        )
        return 0 if response.error else response.status

    async def _beat_forever(self) -> None:
        while True:
            await self.send_beat(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def close_connections(self) -> None:
        """Reset all connections, as when the process ends at once."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await wire.read_request_head(reader)
                if not await self._serve_one(req, reader, writer):
                    return
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            wire.close(writer)

    async def _serve_one(self, req, reader, writer) -> bool:
        """Serve one request; return whether the connection stays open."""
        if req.target == HEALTH_PATH:
            headers = {
                'Jayflow-Instance-Id': self.instance,
                'Jayflow-Server-Load': self._load(),
            }
            writer.write(wire.encode_response(200, headers, b'ok'))
            await writer.drain()
            return True
        expected = req.headers.get('jayflow-expected-instance')
        if expected not in (None, self.instance) or (
            ID_HEADER not in req.headers
        ):
            await self._reject(req, reader, writer, expected is not None)
            return True
        self.running += 1
        try:
            return await self.answer(self, req, reader, writer)
        finally:
            self.running -= 1

    async def _reject(self, req, reader, writer, is_other: bool) -> None:
        await wire.read_body(reader, req.headers)
        self.rejected += 1
        headers = self.headers(req)
        headers['Jayflow-Not-Executed'] = '1'
        status = 421 if is_other else 400
        writer.write(wire.encode_response(status, headers, b''))
        await writer.drain()

    def record_run(self, req: wire.Request) -> None:
        """Record that work on a request begins."""
        self.runs.append(
            Run(
                time.monotonic(),
                req.headers.get(ID_HEADER, ''),
                self.instance,
                req.target,
                req.headers.get('jayflow-caller-service', ''),
            )
        )

    def headers(self, req: wire.Request) -> dict[str, str]:
        """Return the headers of a response to a request that was run."""
        request_id = req.headers.get(ID_HEADER, '')
        return {
            'Jayflow-Request-Id': request_id,
            'Jayflow-Instance-Id': self.instance,
            'Jayflow-Server-Load': self._load(),
        }

    def signed_headers(self, req: wire.Request) -> dict[str, str]:
        """Return the headers of a success."""
        headers = self.headers(req)
        signature = f'{self.instance}.{headers["Jayflow-Request-Id"]}'
        return {**headers, 'Jayflow-Server-Signature': signature}

    def _load(self) -> str:
        self._answers += 1
        if self.spoiled_load and self._answers % self.spoiled_every == 0:
            return self.spoiled_load
        return f'{self.running},0,{self.slots},100'


# Answers a request, of which the body is still to be read; returns whether
# the connection stays open.
Answer = Callable[
    [Endpoint, wire.Request, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


async def answer_at_once(endpoint, req, reader, writer) -> bool:
    """Read the body, work for work_s and answer with a short body."""
    await wire.read_body(reader, req.headers)
    endpoint.record_run(req)
    await asyncio.sleep(endpoint.work_s)
    body = f'{endpoint.service} ran it'.encode()
    headers = endpoint.signed_headers(req)
    writer.write(wire.encode_response(200, headers, body))
    await writer.drain()
    return True
