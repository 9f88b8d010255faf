"""Test that a request waits for a starting node's first configuration."""

import asyncio
import unittest

from jayflow.connection import http_server
from jayflow import metrics as metrics_module
from jayflow.request import ingress
from jayflow.version import objects
from jayflow.version import snapshot


class FirstVersionTest(unittest.IsolatedAsyncioTestCase):
    async def _status(self, appears: bool) -> int:
        version = snapshot.Version.empty()
        app = ingress.Ingress(
            None, None, lambda: version, metrics_module.Metrics()
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
        await task
        return sent[0]['status']

    async def test_wait_for_the_first_version(self):
        for appears, expected in ((True, 404), (False, 503)):
            with self.subTest(appears=appears):
                self.assertEqual(expected, await self._status(appears))
