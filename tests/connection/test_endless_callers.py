"""Send bytes without end in place of a request.

A trailer that never ended was kept in memory until the caller closed, a body
that became malformed after its head left the request without an answer, and
pipelined requests were all parsed at once, at 10 KB each.
"""

import asyncio
import tracemalloc
import unittest

from bench import local_cluster
from jayflow.connection import http_server
from jayflow import metrics as metrics_module
from jayflow.request import ingress
from jayflow.version import snapshot

HOST = local_cluster.HOST
BLOCK = b'y' * 8192
SENT_BYTES = 8 * 1024 * 1024
# What a connection may keep of them: a few reads of the transport, which are
# 256 KB at most.
MAX_KEPT_BYTES = 4 * 256 * 1024
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
CHUNKED = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
LAST_CHUNK = CHUNKED + b'2\r\nok\r\n0\r\n'
# Title, first bytes, the bytes that follow without end, and the status of the
# answer.
CASES = [
    ('header value', b'GET / HTTP/1.1\r\nx: ', BLOCK, 431),
    ('target', b'GET /', BLOCK, 431),
    ('method', b'', b'A' * 8192, 400),
    ('empty lines', b'', b'\r\n' * 4096, 431),
    ('trailer value', LAST_CHUNK + b'x: ', BLOCK, 400),
    ('trailers', LAST_CHUNK, b'name: value\r\n' * 500, 400),
    ('chunk extension', CHUNKED + b'2;', BLOCK, 400),
    ('chunk size', CHUNKED, b'0' * 8192, 400),
    ('malformed chunk', CHUNKED + b'2\r\nok', BLOCK, 400),
    # Answered once a node that has no version has waited for one.
    ('requests', b'', REQUEST * 300, 503),
]


class EndlessCallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        app = ingress.Ingress(
            None, None, snapshot.Version.empty, metrics_module.Metrics()
        )
        self.port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(app, HOST, self.port)
        task = asyncio.create_task(server.serve())
        self.addCleanup(task.cancel)
        while not server.started:
            await asyncio.sleep(0.01)
        # The first request imports modules.
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(REQUEST)
        await reader.readline()
        writer.close()

    async def send(self, first, rest):
        """Send bytes until the connection closes; return the answer's status.

        A server that has answered need not read on.
        """
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.addCleanup(writer.transport.abort)
        answer = asyncio.create_task(reader.readline())
        writer.write(first)
        sent = 0
        while sent < SENT_BYTES and not answer.done():
            writer.write(rest)
            sent += len(rest)
            await asyncio.wait(
                (answer, drain := asyncio.ensure_future(writer.drain())),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if drain.done():
                drain.exception()
            else:
                drain.cancel()
        line = await answer
        return int(line.split()[1])

    async def test_bytes_without_end_from_a_caller_filled_the_memory(self):
        for title, first, rest, expected in CASES:
            with self.subTest(title):
                tracemalloc.start()
                try:
                    async with asyncio.timeout(10):
                        status = await self.send(first, rest)
                    _, peak = tracemalloc.get_traced_memory()
                finally:
                    tracemalloc.stop()
                self.assertEqual(expected, status)
                self.assertLess(peak, MAX_KEPT_BYTES)
