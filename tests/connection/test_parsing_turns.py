"""Send bodies and requests that are parsed over many turns of the event loop.

Chunks of one byte on 100 connections kept the event loop busy, so that no
other caller got an answer.
"""

import asyncio
import unittest

from bench import local_cluster
from jayflow.connection import http_protocol
from jayflow.connection import http_server

TIMEOUT_S = 30.0
CHUNKS = 30_000
HEAD = b'POST / HTTP/1.1\r\nhost: x\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
LINES = b'line\r\n' * 20_000
# Title, what is sent, and the bodies that arrive.
CASES = [
    (
        'chunks of one byte, then a request',
        CHUNKED
        + b'1\r\nx\r\n' * CHUNKS
        + b'0\r\n\r\n'
        + HEAD
        + b'content-length: 2\r\n\r\nok',
        [b'x' * CHUNKS, b'ok'],
    ),
    (
        'many lines of a stated length',
        HEAD + b'content-length: %d\r\n\r\n%b' % (len(LINES), LINES),
        [LINES],
    ),
    (
        'many requests',
        (HEAD + b'content-length: 1\r\n\r\ny') * 500,
        [b'y'] * 500,
    ),
    (
        'blank lines in a body, then a request',
        HEAD
        + b'content-length: 40000\r\n\r\n'
        + b'\r\n' * 20_000
        + HEAD
        + b'content-length: 0\r\n\r\n',
        [b'\r\n' * 20_000, b''],
    ),
]
BODY_OF_ONE = HEAD + b'content-length: 1\r\n\r\ny'
CHUNK_OF_ONE = CHUNKED + b'1\r\ny\r\n0\r\n\r\n'
# Title and what is repeated behind a request that still runs.
AHEAD_CASES = [
    ('short heads', b'GET / HTTP/1.1\r\n\r\n'),
    ('empty lines between heads', b'\r\n\r\nGET / HTTP/1.1\r\n\r\n'),
    ('bodies', BODY_OF_ONE),
    ('chunked bodies', CHUNK_OF_ONE),
    ('long heads', HEAD + b'x: ' + b'y' * 1000 + b'\r\n\r\n'),
]


class ParsingTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = []
        self.is_released = asyncio.Event()
        self.is_released.set()

        async def app(scope, receive, send):
            body, more = b'', True
            while more:
                message = await receive()
                body += message['body']
                more = message['more_body']
            self.bodies.append(body)
            await self.is_released.wait()
            start = {'type': 'http.response.start', 'status': 200}
            await send(start | {'headers': [(b'content-length', b'2')]})
            await send({'type': 'http.response.body', 'body': b'ok'})

        self.port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(app, local_cluster.HOST, self.port)
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)

        async def stop():
            server.should_exit = True
            await serving

        self.addAsyncCleanup(stop)

    async def test_bytes_were_lost_or_reordered_between_turns(self):
        for title, data, expected in CASES:
            with self.subTest(title):
                self.bodies.clear()
                async with asyncio.timeout(TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        local_cluster.HOST, self.port
                    )
                    writer.write(data)
                    for _ in expected:
                        await reader.readuntil(b'\r\n\r\nok')
                    writer.close()
                self.assertEqual(expected, self.bodies)

    async def test_one_turn_parsed_all_chunks_of_one_byte(self):
        parsed = []
        original = http_protocol.ClientProtocol._parse

        def count(protocol, data):
            parsed.append(len(data))
            original(protocol, data)

        http_protocol.ClientProtocol._parse = count
        self.addCleanup(
            setattr, http_protocol.ClientProtocol, '_parse', original
        )
        reader, writer = await asyncio.open_connection(
            local_cluster.HOST, self.port
        )
        writer.write(CASES[0][1])
        async with asyncio.timeout(TIMEOUT_S):
            await reader.readuntil(b'\r\n\r\nok')
        writer.close()
        self.assertLessEqual(max(parsed), 2048)

    async def test_more_requests_waited_on_a_connection_than_the_limit(self):
        waiting = []
        original = http_protocol.ClientProtocol._parse

        def count(protocol, data):
            original(protocol, data)
            waiting.append(len(protocol.pipeline))

        http_protocol.ClientProtocol._parse = count
        self.addCleanup(
            setattr, http_protocol.ClientProtocol, '_parse', original
        )
        for title, repeated in AHEAD_CASES:
            with self.subTest(title):
                waiting.clear()
                self.is_released.clear()
                count = max(60, 20_000 // len(repeated))
                reader, writer = await asyncio.open_connection(
                    local_cluster.HOST, self.port
                )
                writer.write(repeated * count)
                async with asyncio.timeout(TIMEOUT_S):
                    while max(waiting, default=0) == 0:
                        await asyncio.sleep(0.01)
                    await asyncio.sleep(0.1)
                    self.is_released.set()
                    for _ in range(count):
                        await reader.readuntil(b'\r\n\r\nok')
                writer.close()
                self.assertLessEqual(max(waiting), http_protocol.MAX_PIPELINED)
