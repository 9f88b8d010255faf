"""Close client connections while the garbage collector is off.

A closed connection was part of reference cycles. It was freed only by the
next collection of the oldest generation, thousands of connections later.
"""

import asyncio
import contextlib
import gc
import socket
import struct
import unittest
import weakref

from bench import local_cluster
from jayflow.connection import connection_limits
from jayflow.connection import connection_registry
from jayflow.connection import http_server

HOST = local_cluster.HOST
TIMEOUT_S = 5.0
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
UPLOAD = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n'
HELD = b'GET /held HTTP/1.1\r\nhost: x\r\n\r\n'
SENT_AHEAD = HELD + REQUEST * 3000
# Title and what is sent before the connection is closed.
CASES = [
    ('no request', b''),
    ('part of a head', REQUEST[:20]),
    ('malformed head', b'\x00\r\n\r\n'),
    ('answered request', REQUEST),
    ('part of a body', UPLOAD),
    ('running request', HELD),
    ('requests sent ahead', SENT_AHEAD),
    ('unread answers', REQUEST * 3000),
]


class _Registry(connection_registry.ConnectionRegistry):
    """Refer weakly to all connections and their transports."""

    def __init__(self):
        super().__init__(
            connection_limits.ConnectionLimits.from_resources(None, None)
        )
        self.references = []

    def add(self, connection):
        super().add(connection)
        self.references.append(weakref.ref(connection))
        self.references.append(weakref.ref(connection.transport))

    def close_all(self):
        """Close all connections, as at a limit."""
        while len(self):
            self._close_next(connection_registry.CloseReason.BYTES)

    def all_freed(self):
        return all(reference() is None for reference in self.references)


class ClosedConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.registry = _Registry()
        self.is_released = asyncio.Event()
        self.port = local_cluster.reserve_ports(1)[0]

        # uvicorn takes a bound method for an older kind of application.
        async def app(scope, receive, send):
            await self._serve(scope, receive, send)

        server = http_server.create(
            app, HOST, self.port, registry=self.registry
        )
        serving = asyncio.create_task(server.serve())
        self.addCleanup(serving.cancel)
        while not server.started:
            await asyncio.sleep(0.01)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    async def _serve(self, scope, receive, send):
        message = await receive()
        while message['type'] != 'http.disconnect' and message['more_body']:
            message = await receive()
        if scope['path'] == '/held':
            await self.is_released.wait()
        start = {'type': 'http.response.start', 'status': 200}
        await send(start | {'headers': [(b'content-length', b'2')]})
        await send({'type': 'http.response.body', 'body': b'ok'})

    async def _connect(self, data: bytes) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (HOST, self.port))
        await loop.sock_sendall(sock, data)
        return sock

    async def _check_freed(self):
        # A request that runs keeps its connection until it ends.
        self.is_released.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                while not self.registry.all_freed():
                    await asyncio.sleep(0.01)
        self.assertTrue(self.registry.references)
        self.assertTrue(self.registry.all_freed())

    async def test_a_connection_that_the_client_closed_was_kept(self):
        for title, data in CASES:
            for is_reset in (False, True):
                with self.subTest(title, is_reset=is_reset):
                    self.registry.references.clear()
                    self.is_released.clear()
                    sock = await self._connect(data)
                    await asyncio.sleep(0.1)
                    if is_reset:
                        sock.setsockopt(
                            socket.SOL_SOCKET,
                            socket.SO_LINGER,
                            struct.pack('ii', 1, 0),
                        )
                    sock.close()
                    await self._check_freed()

    async def test_a_connection_that_was_closed_at_a_limit_was_kept(self):
        for title, data in CASES:
            with self.subTest(title):
                self.registry.references.clear()
                self.is_released.clear()
                sock = await self._connect(data)
                await asyncio.sleep(0.1)
                self.registry.close_all()
                await self._check_freed()
                sock.close()

    async def test_an_idle_caller_was_closed_before_one_that_sent_ahead(self):
        loop = asyncio.get_running_loop()
        idle = await self._connect(REQUEST)
        self.addCleanup(idle.close)
        await loop.sock_recv(idle, 4096)
        ahead = await self._connect(SENT_AHEAD)
        self.addCleanup(ahead.close)
        await asyncio.sleep(0.1)
        self.registry._close_next(connection_registry.CloseReason.CONNECTIONS)
        self.assertEqual(1, len(self.registry))
        async with asyncio.timeout(TIMEOUT_S):
            await loop.sock_sendall(idle, REQUEST)
            self.assertTrue(await loop.sock_recv(idle, 4096))
