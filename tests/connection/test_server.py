"""Check what a connection makes of a server's odd answers."""

import asyncio
import contextlib
import socket
import struct
import unittest

from jayflow.connection import server
from jayflow.platform import headers

HOST = '127.0.0.1'
HOLD_S = 0.2
# Closing a socket that lingers for no time resets the connection.
LINGER_NONE = struct.pack('ii', 1, 0)
HEAD = (
    b'HTTP/1.1 200 OK\r\nJayflow-Request-Id: %b\r\nContent-Length: 2\r\n\r\n'
)
OPEN = b'HTTP/1.1 200 OK\r\nJayflow-Request-Id: %b\r\n\r\n'


def answer(number: bytes, body: bytes) -> bytes:
    """Return a whole answer."""
    return HEAD % number + body


# What the server sends, whether it resets after it, the body that is read
# (None for a failure) and whether the connection may be used again.
CASES = [
    ('whole', [answer(b'1', b'ok')], False, b'ok', True),
    (
        'late answer of an earlier request first',
        [answer(b'0', b'no') + answer(b'1', b'ok')],
        False,
        b'ok',
        True,
    ),
    (
        'late answer in pieces',
        [HEAD % b'0' + b'n', b'o' + answer(b'1', b'ok')],
        False,
        b'ok',
        True,
    ),
    (
        'a second answer with the first',
        [answer(b'1', b'ok') + answer(b'1', b'xx')],
        False,
        b'ok',
        False,
    ),
    (
        'odd bytes after the answer',
        [answer(b'1', b'ok') + b'\x00\x01garbage'],
        False,
        b'ok',
        False,
    ),
    ('truncated', [HEAD % b'1' + b'o', b''], False, None, False),
    ('without length, ended', [OPEN % b'1' + b'ok', b''], False, b'ok', False),
    ('without length, reset', [OPEN % b'1' + b'ok'], True, None, False),
    ('no answer at all', [b'\x16\x03garbage\r\n\r\n'], False, None, False),
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
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                    )
                else:
                    await asyncio.sleep(HOLD_S)
            writer.close()

        listener = await asyncio.start_server(handle, HOST, 0)
        self.addAsyncCleanup(listener.wait_closed)
        self.addCleanup(listener.close)
        return listener.sockets[0].getsockname()[1]

    async def ask(self, port):
        """Return the body of the answer to request 1 and the connection."""
        conn = await server.Connection.open(HOST, port, headers.DIALECT)
        self.addCleanup(conn.close)
        rows = [(b'host', b'x'), (b'jayflow-request-id', b'1')]
        conn.write_head('GET', b'/', rows, b'')
        try:
            async with asyncio.timeout(2):
                await conn.read_head()
                parts = [part async for part in conn.read_parts()]
        except server.ServerError:
            return None, conn
        return b''.join(parts), conn

    async def test_answers(self):
        for title, pieces, is_reset, body, is_usable in CASES:
            with self.subTest(title):
                port = await self.serve(pieces, is_reset)
                found, conn = await self.ask(port)
                self.assertEqual(body, found)
                await asyncio.sleep(0.05)
                self.assertEqual(is_usable, conn.is_usable)
                conn.close()
        await asyncio.sleep(HOLD_S)

    async def test_a_silent_address_is_given_up(self):
        with self.assertRaises(server.ServerError):
            await server.Connection.open(HOST, 1, headers.DIALECT)
