"""Test what a caller above its team's rate gets.

A refused request that ran, or a limit for callers without one, would break
what the two promise.
"""

import asyncio
import unittest

import anyio

from jayflow.connection import http_server
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request.decisions import credentials
from jayflow.request import idempotency
from jayflow.request import ingress
from jayflow.request import outcome
from jayflow.request import problem
from jayflow.version import objects
from jayflow.version import snapshot

KEY = b'k-of-acme'


class _Dispatcher:
    def __init__(self):
        self.ran = []

    async def run(self, req):
        self.ran.append(req.team)
        return idempotency.StoredResponse(200, [], b'')


def team(rate):
    return objects.Team(
        'acme', (credentials.digest_of(KEY),), rate=rate, burst=1.0
    )


class TeamRefusalTest(unittest.TestCase):
    def call(
        self,
        teams,
        is_public,
        wait_s,
        row=(b'jayflow-credential', KEY),
        deadline_ms=None,
    ):
        """Return the head of the answer, what ran and what was acquired."""
        version = snapshot.Version(
            3,
            objects.ObjectSet(
                policy={'p': objects.Policy('p')},
                service={'s': objects.Service('s', 'p')},
                route={
                    'r': objects.Route('r', 'x', '/', 's', public=is_public)
                },
                team={team.name: team for team in teams},
            ),
        )
        acquired, sent, dispatcher = [], [], _Dispatcher()

        async def acquire(name):
            acquired.append(name)
            if deadline_ms is not None:
                await asyncio.sleep(10)
            return wait_s

        async def receive():
            return {'type': 'http.request', 'body': b'', 'more_body': False}

        async def send(message):
            sent.append(message)

        app = ingress.Ingress(
            dispatcher,
            None,
            lambda: version,
            metrics_module.Metrics(),
            platform_headers.DIALECT,
            acquire_allowance=acquire,
        )
        scope = {
            'type': 'http',
            'method': 'GET',
            'path': '/',
            'raw_path': b'/',
            'query_string': b'',
            'headers': [(b'host', b'x'), row],
            'extensions': {
                http_server.DISCONNECT_EXTENSION: (
                    http_server.DisconnectNotifier()
                )
            },
        }
        if deadline_ms is not None:
            row = b'jayflow-deadline-ms', str(deadline_ms).encode()
            scope['headers'].append(row)

        async def run():
            with anyio.fail_after(5):
                await app(scope, receive, send)

        asyncio.run(run())
        return sent[0], dispatcher.ran, acquired

    def test_only_teams_with_a_rate_are_limited(self):
        # Title, teams, whether the route is public, status, acquired.
        cases = [
            ('above the rate', [team(2.0)], False, 429, ['acme']),
            ('no rate', [team(0.0)], False, 200, []),
            ('public route', [team(2.0)], True, 200, []),
            ('no teams', [], False, 200, []),
        ]
        for title, teams, is_public, status, acquired in cases:
            with self.subTest(title):
                head, ran, asked = self.call(teams, is_public, 0.3)
                self.assertEqual(status, head['status'])
                self.assertEqual(acquired, asked)
                self.assertEqual(status == 200, bool(ran))

    def test_a_request_within_the_rate_runs(self):
        head, ran, acquired = self.call([team(2.0)], False, None)
        self.assertEqual(200, head['status'])
        self.assertEqual((['acme'], ['acme']), (ran, acquired))

    def test_a_request_without_a_key_uses_no_token(self):
        head, _, acquired = self.call([team(2.0)], False, None, (b'a', b'b'))
        self.assertEqual((401, []), (head['status'], acquired))

    def test_a_request_does_not_wait_for_a_token_beyond_its_deadline(self):
        # It waited on and used a token, but was too late for any server.
        for deadline_ms in (0, 50):
            with self.subTest(deadline_ms=deadline_ms):
                head, ran, _ = self.call(
                    [team(2.0)], False, None, deadline_ms=deadline_ms
                )
                self.assertEqual((503, []), (head['status'], ran))
                self.assertEqual(
                    b'not-run', dict(head['headers'])[b'jayflow-outcome']
                )

    def test_the_refusal_states_when_to_retry(self):
        head, _, _ = self.call([team(2.0)], False, 0.3)
        self.assertEqual(b'0.3', dict(head['headers'])[b'retry-after'])
        failure = outcome.NotRun(
            outcome.Reason.TEAM_LIMIT, outcome.Evidence.NEVER_SENT, 1.2
        )
        for is_fractional, expected in ((True, 1.2), (False, 2)):
            document = problem.Problem.from_failure(failure, is_fractional)
            self.assertEqual(expected, document.retry_after_s)
            self.assertIs(outcome.Outcome.NOT_RUN, document.outcome)
