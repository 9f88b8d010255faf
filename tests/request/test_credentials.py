"""Test which team a request belongs to, and what its key may not reach.

A key that was forwarded to a backend server or accepted without a team would
let its holder act for others.
"""

import time
import unittest

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request.decisions import credentials
from jayflow.request import ingress
from jayflow.request import outcome
from jayflow.version import objects
from jayflow.version import snapshot

KEY = b'k-of-acme'
ACME = objects.Team(
    'acme',
    (credentials.digest_of(KEY),),
    priority=4,
    regions=('north', 'south'),
)
ROUTE = objects.Route('r', 'x', '/', 's', policy='p', regions=('south',))
CREDENTIAL, TEAM = b'jayflow-credential', b'jayflow-tenant'


class _Body:
    first, more = b'', False
    read = None

    def is_too_large(self, headers):
        return False


def build(rows: messages.Headers, route=ROUTE, teams=(ACME,)):
    """Return what an ingress makes of a request with these headers."""
    version = snapshot.Version(
        3,
        objects.ObjectSet(
            policy={'p': objects.Policy('p', priority=1)},
            service={'s': objects.Service('s', 'p')},
            route={'r': route},
            team={team.name: team for team in teams},
        ),
    )
    app = ingress.Ingress(
        None,
        None,
        lambda: version,
        metrics_module.Metrics(),
        platform_headers.DIALECT,
    )
    scope = {
        'method': 'GET',
        'path': '/',
        'raw_path': b'/',
        'query_string': b'',
        'headers': [(b'host', b'x'), *rows],
    }
    return app._build_request(scope, _Body())


class RefusedKeyTest(unittest.TestCase):
    def test_a_request_without_a_teams_key_is_refused(self):
        cases = [
            ('no key', [], outcome.Reason.NO_TEAM),
            ('unknown', [(CREDENTIAL, b'guess')], outcome.Reason.NO_TEAM),
            ('empty', [(CREDENTIAL, b'')], outcome.Reason.BAD_REQUEST),
            ('not ascii', [(CREDENTIAL, b'\xff')], outcome.Reason.BAD_REQUEST),
            (
                'too long',
                [(CREDENTIAL, b'k' * 256)],
                outcome.Reason.BAD_REQUEST,
            ),
            (
                'two keys',
                [(CREDENTIAL, KEY), (CREDENTIAL, KEY)],
                outcome.Reason.BAD_REQUEST,
            ),
        ]
        for name, rows, reason in cases:
            with self.subTest(name):
                self.assertEqual(reason, build(rows).reason)


class TeamOfRequestTest(unittest.TestCase):
    def test_a_server_gets_the_team_and_never_the_key(self):
        public = objects.Route(
            'r', 'x', '/', 's', policy='p', public=True, regions=('south',)
        )
        cases = [
            ('own team', ROUTE, [(CREDENTIAL, KEY)], [b'acme']),
            (
                'forged team',
                ROUTE,
                [(TEAM, b'other'), (CREDENTIAL, KEY)],
                [b'acme'],
            ),
            (
                'public route',
                public,
                [(TEAM, b'other'), (CREDENTIAL, KEY)],
                [],
            ),
        ]
        for name, route, rows, teams in cases:
            with self.subTest(name):
                req = build(rows, route)
                sent = [value for key, value in req.headers if key == TEAM]
                self.assertEqual(teams, sent)
                self.assertNotIn(KEY, dict(req.headers).values())

    def test_a_teams_priority_and_regions_bind(self):
        req = build([(CREDENTIAL, KEY)])
        self.assertEqual(4, req.policy.rank)
        self.assertEqual(frozenset({'south'}), req.allowed_regions)
        self.assertGreater(req.deadline, time.monotonic())

    def test_without_teams_headers_pass_unchanged(self):
        rows = [(CREDENTIAL, b'x'), (TEAM, b'y')]
        req = build(rows, teams=())
        self.assertLessEqual(set(rows), set(req.headers))
        self.assertEqual('', req.team)


class KeyRingTest(unittest.TestCase):
    def test_a_key_is_not_kept(self):
        ring = credentials.KeyRing.from_teams([ACME])
        self.assertIs(ACME, ring.team_of(KEY))
        self.assertIsNone(ring.team_of(KEY + b'x'))
        self.assertNotIn(KEY.decode(), repr(vars(ring)))
