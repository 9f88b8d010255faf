"""Send bytes without end in place of a response.

A server in trouble may send a head, interim responses, trailers or an answer
to an earlier request that never ends. A node once kept all of a head in
memory until the deadline of the request.
"""

import asyncio
import itertools
import unittest

from jayflow.connection import backend_client
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.platform import headers
from jayflow.version import value_parsers

HOST = '127.0.0.1'
BLOCK = b'x' * 8192
# A server has written this much more than the node accepts when it notices
# that the connection is closed.
MAX_SOCKET_BUFFER_BYTES = 16 * 1024 * 1024
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = (
    STATUS_LINE + b'Jayflow-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n'
    b'\r\n2\r\nok\r\n0\r\n'
)
# Title, first bytes, and the bytes that follow without end.
CASES = [
    ('header value', STATUS_LINE + b'x: ', BLOCK),
    ('header name', STATUS_LINE, BLOCK),
    ('many headers', STATUS_LINE, b'name: value\r\n' * 500),
    ('reason phrase', b'HTTP/1.1 200 ', BLOCK),
    ('interim responses', b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 300),
    (
        'response to an earlier request',
        STATUS_LINE + b'Jayflow-Request-Id: 0\r\n\r\n',
        BLOCK,
    ),
    ('trailers', CHUNKED_HEAD, b'name: value\r\n' * 500),
    ('trailer value', CHUNKED_HEAD + b'x: ', BLOCK),
    ('no protocol', b'', b'\x00\x01\x02\x03' * 2000),
]


class EndlessServer:
    """Send bytes without end until the connection is closed."""

    def __init__(self, first: bytes, rest: bytes) -> None:
        self._first = first
        self._rest = rest
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            for data in itertools.chain(
                (self._first,), itertools.repeat(self._rest)
            ):
                writer.write(data)
                await writer.drain()
                self.sent += len(data)
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


class EndlessBytesTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, server) -> int:
        listener = await asyncio.start_server(server.serve, HOST, 0)
        self.addCleanup(listener.close)
        return listener.sockets[0].getsockname()[1]

    async def test_the_connection_to_a_server_is_closed(self):
        for title, first, rest in CASES:
            with self.subTest(title):
                server = EndlessServer(first, rest)
                pool = backend_client.Pool(
                    HOST, await self._start(server), headers.DIALECT
                )
                conn = await pool.open()
                request_headers = [(b'jayflow-request-id', b'1')]
                conn.write_head('GET', b'/', request_headers, b'')
                async with asyncio.timeout(10):
                    with self.assertRaises(backend_client.BackendError) as ctx:
                        await conn.read_head()
                        async for _ in conn.iter_parts():
                            pass
                    await server.closed.wait()
                self.assertIs(
                    backend_client.ConnectionFault.INVALID,
                    ctx.exception.fault,
                )
                self.assertLess(server.sent, MAX_SOCKET_BUFFER_BYTES)

    async def test_the_response_of_the_platform_is_bounded(self):
        server = EndlessServer(
            STATUS_LINE + b'content-type: application/json\r\n\r\n',
            BLOCK * 32,
        )
        address = value_parsers.Address(HOST, await self._start(server))
        client = api.Client(
            address, api.CallBudget(10), metrics_module.Metrics(), 60.0
        )
        async with asyncio.timeout(30):
            with self.assertRaises(api.UnavailableError):
                await client.call('GET', '/')
            await server.closed.wait()
        await client.close()
        self.assertLess(
            server.sent, api.MAX_RESPONSE_BYTES + MAX_SOCKET_BUFFER_BYTES
        )
