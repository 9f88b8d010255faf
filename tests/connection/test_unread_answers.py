"""Send requests ahead without reading the answers.

A client that never read kept its connection, and a node went on to read and
serve its requests.
"""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from bench import local_cluster
from jayflow.connection import connection_limits
from jayflow.connection import connection_registry
from jayflow.connection import http_server
from jayflow import metrics as metrics_module

HOST = local_cluster.HOST
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
REQUESTS = 20_000
ANSWER_BYTES = 1000
# What the sockets of both sides take, in answers.
MAX_SERVED_UNREAD = 15_000
WAIT_S = 20.0
SWEEP_S = 0.1
UNREAD_S = 1.0


class UnreadAnswersTest(unittest.IsolatedAsyncioTestCase):
    @contextlib.asynccontextmanager
    async def serve(self, chunk_bytes, chunks):
        """Yield a connected socket, the metrics and the served requests."""
        served = []

        async def app(scope, receive, send):
            served.append(scope['raw_path'])
            length = str(chunk_bytes * chunks).encode()
            await send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': [(b'content-length', length)],
                }
            )
            for number in range(chunks):
                await send(
                    {
                        'type': 'http.response.body',
                        'body': b'x' * chunk_bytes,
                        'more_body': number < chunks - 1,
                    }
                )

        metrics = metrics_module.Metrics()
        registry = connection_registry.ConnectionRegistry(
            connection_limits.ConnectionLimits.from_resources(), metrics
        )
        port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(app, HOST, port, registry=registry)
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
        try:
            yield sock, metrics, served
        finally:
            sock.close()
            server.should_exit = True
            await serving

    async def test_requests_were_served_while_no_answer_could_be_sent(self):
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(2 * WAIT_S):
            async with self.serve(ANSWER_BYTES, 1) as (sock, _, served):
                sending = asyncio.create_task(
                    loop.sock_sendall(sock, REQUEST * REQUESTS)
                )
                count = -1
                while count != len(served):
                    count = len(served)
                    await asyncio.sleep(0.5)
                self.assertLess(count, MAX_SERVED_UNREAD)
                # All are answered once the client reads.
                received = 0
                while len(served) < REQUESTS or received < (
                    REQUESTS * ANSWER_BYTES
                ):
                    received += len(await loop.sock_recv(sock, 65_536))
                await sending
                self.assertEqual(REQUESTS, len(served))

    async def test_a_client_that_never_read_kept_its_connection(self):
        # How often the client reads 16 KB, None for never.
        for interval_s, expected in ((None, 1), (0.2, 0)):
            with (
                self.subTest(interval_s),
                mock.patch.object(
                    connection_registry, 'SWEEP_INTERVAL_S', SWEEP_S
                ),
                mock.patch.object(
                    connection_limits, 'UNREAD_TIMEOUT_S', UNREAD_S
                ),
            ):
                async with self.serve(65_536, 1000) as (sock, metrics, _):
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(sock, REQUEST)
                    until = loop.time() + 3 * UNREAD_S
                    while loop.time() < until:
                        await asyncio.sleep(interval_s or 0.2)
                        if interval_s:
                            await loop.sock_recv(sock, 16_384)
                    self.assertEqual(
                        expected, metrics.counters['closed_unread']
                    )
