"""Test the limits that a configuration sets on what callers send.

Callers that were slow, silent or sent too much were served by constants of
the node, whatever the configuration said.
"""

import asyncio
import unittest

from bench import local_cluster
from jayflow.connection import http_server
from jayflow import metrics as metrics_module
from jayflow.request import ingress
from jayflow.version import objects
from jayflow.version import snapshot

LIMITS = objects.Limits(
    header_bytes=200, body_bytes=10, header_timeout=0.3, idle_timeout=0.3
)
CLOSE_TIMEOUT_S = 5.0
HEAD = b'POST / HTTP/1.1\r\nhost: x\r\n'
CHUNKED = HEAD + b'transfer-encoding: chunked\r\n\r\n'
# Title, what the caller sends, and the status that it gets, 0 for none.
HEAD_CASES = [
    ('sends nothing', b'', 0),
    ('stops in the head', HEAD, 408),
    ('sends a long head', HEAD + b'a: ' + b'x' * 200 + b'\r\n\r\n', 431),
    ('is idle after a request', HEAD + b'content-length: 0\r\n\r\n', 404),
]
# Title, what the caller sends, and the status that it gets.
BODY_CASES = [
    ('at the limit', HEAD + b'content-length: 10\r\n\r\n' + b'x' * 10, 404),
    ('over it', HEAD + b'content-length: 11\r\n\r\n' + b'x' * 11, 413),
    ('chunks over it', CHUNKED + b'b\r\n' + b'x' * 11 + b'\r\n0\r\n\r\n', 413),
]


class CallerLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        version = snapshot.Version(1, objects.ObjectSet(limits=LIMITS))
        app = ingress.Ingress(
            None, None, lambda: version, metrics_module.Metrics()
        )
        self.port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(
            app,
            local_cluster.HOST,
            self.port,
            find_limits=lambda: version.objects.limits,
        )
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        self.addAsyncCleanup(self._stop, server, serving)

    async def _stop(self, server, serving):
        server.should_exit = True
        await serving

    async def exchange(self, data):
        """Return what arrives until the server closes the connection."""
        reader, writer = await asyncio.open_connection(
            local_cluster.HOST, self.port
        )
        self.addAsyncCleanup(writer.wait_closed)
        self.addCleanup(writer.close)
        writer.write(data)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            return await reader.read()

    async def test_a_configured_limit_on_callers_was_not_in_force(self):
        for title, data, status in HEAD_CASES + BODY_CASES:
            with self.subTest(title):
                response = await self.exchange(data)
                self.assertEqual(
                    status, int(response[9:12]) if response else 0
                )


class LateBodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_body_grew_over_the_limit_while_it_was_sent(self):
        parts = [b'x' * ingress.FIRST_BODY_BYTES, b'x']

        async def receive():
            return {
                'type': 'http.request',
                'body': parts.pop(0),
                'more_body': True,
            }

        body = ingress._RequestBody(receive, http_server.DisconnectNotifier())
        await body.read_first()
        body.limit_bytes = ingress.FIRST_BODY_BYTES
        self.assertFalse(body.is_too_large([]))
        with self.assertRaises(ingress.BodyTooLargeError):
            await body.read()


class PipelinedHeadTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_response_was_written_into_another_response(self):
        cases = [
            ('malformed', b'\x00\x00\r\n\r\n'),
            ('too long', b'GET /' + b'x' * 300),
            ('never completed', b'GET / HTTP'),
        ]
        for title, data in cases:
            with self.subTest(title):
                response = await self._exchange(data)
                self.assertTrue(response.startswith(b'HTTP/1.1 200 OK'))
                self.assertTrue(response.endswith(b'\r\n\r\nfirst second'))

    async def _exchange(self, data):
        """Return what arrives if data follow a request that still runs."""

        async def respond(scope, receive, send):
            headers = [(b'content-length', b'12')]
            await send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': headers,
                }
            )
            for body, more in ((b'first ', True), (b'second', False)):
                await send(
                    {
                        'type': 'http.response.body',
                        'body': body,
                        'more_body': more,
                    }
                )
                await asyncio.sleep(2 * LIMITS.header_timeout)

        port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(
            respond, local_cluster.HOST, port, find_limits=lambda: LIMITS
        )
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(
            local_cluster.HOST, port
        )
        writer.write(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        await asyncio.sleep(0.1)
        writer.write(data)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            response = await reader.read()
        writer.close()
        server.should_exit = True
        await serving
        return response


class PipelinedRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def test_pipelined_requests_are_answered_in_order(self):
        async def app(scope, receive, send):
            body, more = b'', True
            while more:
                message = await receive()
                body += message['body']
                more = message['more_body']
            answer = scope['raw_path'] + b' %d' % len(body)
            await asyncio.sleep(0)
            length = str(len(answer)).encode()
            await send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': [(b'content-length', length)],
                }
            )
            await send({'type': 'http.response.body', 'body': answer})

        port = local_cluster.reserve_ports(1)[0]
        server = http_server.create(app, local_cluster.HOST, port)
        task = asyncio.create_task(server.serve())
        self.addCleanup(task.cancel)
        while not server.started:
            await asyncio.sleep(0.01)
        for count, body_bytes in ((1000, 0), (300, 700), (40, 90_000)):
            with self.subTest(count=count, body_bytes=body_bytes):
                reader, writer = await asyncio.open_connection(
                    local_cluster.HOST, port
                )
                for number in range(count):
                    writer.write(
                        b'POST /%d HTTP/1.1\r\nhost: x\r\n'
                        b'content-length: %d\r\n\r\n'
                        % (number, body_bytes)
                        + b'b' * body_bytes
                    )
                async with asyncio.timeout(20):
                    for number in range(count):
                        head = await reader.readuntil(b'\r\n\r\n')
                        length = int(head.split(b': ')[1].split(b'\r')[0])
                        self.assertEqual(
                            b'/%d %d' % (number, body_bytes),
                            await reader.readexactly(length),
                        )
                writer.close()
