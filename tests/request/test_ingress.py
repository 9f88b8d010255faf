"""Test how long callers of an ingress wait.

A request waits for a starting node's first configuration. A caller that did
not read its response held an exchange beyond the route's timeout.
"""

import asyncio
import time
import unittest
from unittest import mock

from jayflow.connection import http_server
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.request import exchange as exchanges
from jayflow.request import ingress
from jayflow.request import response as responses
from jayflow.version import objects
from jayflow.version import snapshot
from tests.request import test_dispatch


class FirstVersionTest(unittest.IsolatedAsyncioTestCase):
    async def _status(
        self,
        appears: bool,
        knows_evacuations: bool = True,
        learns_evacuations: bool = False,
    ) -> int:
        """Return the status for a caller of a node that has just started.

        It may learn a moment later what is evacuated.
        """
        version = snapshot.Version.empty()
        app = ingress.Ingress(
            None,
            None,
            lambda: version,
            metrics_module.Metrics(),
            knows_evacuations=lambda: knows_evacuations,
        )
        sent = []

        async def receive():
            return {'type': 'http.request', 'body': b'', 'more_body': False}

        async def send(message):
            sent.append(message)

        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/',
            'raw_path': b'/',
            'query_string': b'',
            'headers': [(b'host', b'x')],
            'extensions': {
                http_server.DISCONNECT_EXTENSION: (
                    http_server.DisconnectNotifier()
                )
            },
        }
        task = asyncio.create_task(app(scope, receive, send))
        await asyncio.sleep(0.1)
        if appears:
            version = snapshot.Version(1, objects.ObjectSet())
            await asyncio.sleep(0.1)
            self.assertIs(knows_evacuations, bool(sent))
        if learns_evacuations:
            knows_evacuations = True
        await task
        return sent[0]['status']

    async def test_wait_for_the_first_version(self):
        for appears, expected in ((True, 404), (False, 503)):
            with self.subTest(appears=appears):
                self.assertEqual(expected, await self._status(appears))

    async def test_a_request_ran_before_evacuations_were_known(self):
        for learns, expected in ((True, 404), (False, 503)):
            with self.subTest(learns=learns):
                status = await self._status(True, False, learns)
                self.assertEqual(expected, status)


class UnreadResponseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_caller_that_did_not_read_held_its_exchange(self):
        timeout_s = 0.2
        metrics = metrics_module.Metrics()
        app = ingress.Ingress(None, None, snapshot.Version.empty, metrics)
        ended = []
        head = messages.ResponseHead(
            messages.AttemptId(1, 1), 200, [], b'x', last=False, load=None
        )
        exchange = exchanges.ExchangeTable(1, metrics).open(mock.Mock())
        response = responses.Response(
            head, exchange, 'n1', lambda: ended.append(True)
        )
        req = test_dispatch.request(
            policy=objects.Policy(
                'p', deadline_scope=objects.DeadlineScope.RESPONSE
            ),
            deadline=time.monotonic() + timeout_s,
        )

        async def send(message):
            if message['type'] == 'http.response.body':
                await asyncio.sleep(100)

        async with asyncio.timeout(10 * timeout_s):
            await app._send_response({'method': 'GET'}, req, response, send)
        self.assertEqual([True], ended)
        self.assertEqual(1, metrics.counters['answer_aborted'])
