"""Test how a connection handles late, broken and malformed responses."""

import asyncio
import contextlib
import socket
import struct
import unittest

from jayflow.connection import backend_client
from jayflow.platform import headers

HOST = '127.0.0.1'
KEEP_OPEN_S = 0.2
# Closing a socket with a linger time of 0 resets the connection.
ZERO_LINGER = struct.pack('ii', 1, 0)
HEAD_WITH_LENGTH = (
    b'HTTP/1.1 200 OK\r\nJayflow-Request-Id: %b\r\nContent-Length: 2\r\n\r\n'
)
HEAD_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nJayflow-Request-Id: %b\r\n\r\n'


def response(number: bytes, body: bytes) -> bytes:
    """Return a complete response."""
    return HEAD_WITH_LENGTH % number + body


def head_with(count: int) -> bytes:
    """Return a head with so many headers beside its two."""
    return (HEAD_WITH_LENGTH % b'1').replace(
        b'\r\n\r\n', b'\r\n' + b'a: b\r\n' * count + b'\r\n'
    )


# Title, pieces that the server sends (an empty one sends end of file),
# whether it then resets the connection, expected body (None for a failure)
# and whether the connection may be reused.
CASES = [
    ('complete', [response(b'1', b'ok')], False, b'ok', True),
    (
        'late response to an earlier request first',
        [response(b'0', b'no') + response(b'1', b'ok')],
        False,
        b'ok',
        True,
    ),
    (
        'late response in pieces',
        [HEAD_WITH_LENGTH % b'0' + b'n', b'o' + response(b'1', b'ok')],
        False,
        b'ok',
        True,
    ),
    (
        'second response together with the first',
        [response(b'1', b'ok') + response(b'1', b'xx')],
        False,
        b'ok',
        False,
    ),
    (
        'garbage after the response',
        [response(b'1', b'ok') + b'\x00\x01garbage'],
        False,
        b'ok',
        False,
    ),
    ('truncated', [HEAD_WITH_LENGTH % b'1' + b'o', b''], False, None, False),
    (
        'without length, closed',
        [HEAD_WITHOUT_LENGTH % b'1' + b'ok', b''],
        False,
        b'ok',
        False,
    ),
    (
        'without length, reset',
        [HEAD_WITHOUT_LENGTH % b'1' + b'ok'],
        True,
        None,
        False,
    ),
    (
        'as many headers as a response may have',
        [head_with(498) + b'ok'],
        False,
        b'ok',
        True,
    ),
    ('more headers than that', [head_with(499) + b'ok'], False, None, False),
    (
        'garbage instead of a response',
        [b'\x16\x03garbage\r\n\r\n'],
        False,
        None,
        False,
    ),
]

# Title, header of the response, and how long the connection may be idle before
# a request that is idempotent and one that is not.
KEEP_ALIVE_CASES = [
    ('no time-out', b'', [4.0, 1.0]),
    ('long', b'Keep-Alive: timeout=10\r\n', [4.0, 1.0]),
    ('short', b'Keep-Alive: timeout=2, max=9\r\n', [1.5, 1.0]),
    ('one second', b'keep-alive: max=9,timeout=1\r\n', [0.5, 0.5]),
    ('zero', b'Keep-Alive: timeout=0\r\n', [0.0, 0.0]),
    ('malformed', b'Keep-Alive: timeout=x\r\n', [4.0, 1.0]),
]


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, pieces, is_reset):
        async def handle(reader, writer):
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                for piece in pieces:
                    if not piece:
                        writer.write_eof()
                        continue
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.02)
                if is_reset:
                    sock = writer.get_extra_info('socket')
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER
                    )
                else:
                    await asyncio.sleep(KEEP_OPEN_S)
            writer.close()

        listener = await asyncio.start_server(handle, HOST, 0)
        self.addAsyncCleanup(listener.wait_closed)
        self.addCleanup(listener.close)
        return listener.sockets[0].getsockname()[1]

    async def request(self, port):
        """Return the body of the response to request 1 and the connection."""
        conn = await backend_client.Connection.open(
            HOST, port, headers.DIALECT
        )
        self.addCleanup(conn.close)
        request_headers = [(b'host', b'x'), (b'jayflow-request-id', b'1')]
        conn.write_head('GET', b'/', request_headers, b'')
        try:
            async with asyncio.timeout(2):
                await conn.read_head()
                parts = [part async for part in conn.iter_parts()]
        except backend_client.BackendError:
            return None, conn
        return b''.join(parts), conn

    async def test_responses(self):
        for title, pieces, is_reset, body, is_reusable in CASES:
            with self.subTest(title):
                port = await self.serve(pieces, is_reset)
                received, conn = await self.request(port)
                self.assertEqual(body, received)
                await asyncio.sleep(0.05)
                self.assertEqual(is_reusable, conn.is_reusable)
                conn.close()
        await asyncio.sleep(KEEP_OPEN_S)

    async def test_a_trailer_was_passed_on_as_a_header(self):
        chunked = (
            b'HTTP/1.1 200 OK\r\nJayflow-Request-Id: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\nserver-limit: 1\r\n\r\n'
        )
        for title, pieces in (
            ('in one piece', [chunked]),
            ('in two', [chunked[:-20], chunked[-20:]]),
            (
                'after a late response',
                [chunked.replace(b'Id: 1', b'Id: 0'), chunked],
            ),
        ):
            with self.subTest(title):
                port = await self.serve(pieces, False)
                body, conn = await self.request(port)
                self.assertEqual(b'ok', body)
                names = [name for name, _ in conn.headers]
                self.assertNotIn(b'server-limit', names)
                conn.close()
        await asyncio.sleep(2 * KEEP_OPEN_S)

    async def test_a_connection_was_used_when_the_server_had_closed_it(self):
        for title, header, expected in KEEP_ALIVE_CASES:
            with self.subTest(title):
                answer = response(b'1', b'ok').replace(
                    b'\r\n\r\n', b'\r\n%b\r\n' % header, 1
                )
                port = await self.serve([answer], False)
                _, conn = await self.request(port)
                max_idle_s = [
                    conn.max_idle_s(is_idempotent)
                    for is_idempotent in (True, False)
                ]
                self.assertEqual(expected, max_idle_s)
                conn.close()
        await asyncio.sleep(2 * KEEP_OPEN_S)

    async def test_failed_connect_raises_backend_error(self):
        with self.assertRaises(backend_client.BackendError):
            await backend_client.Connection.open(HOST, 1, headers.DIALECT)
