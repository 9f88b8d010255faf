"""Test which team a request belongs to, and what its key may not reach.

A key that was forwarded to a backend server or accepted without a team would
let its holder act for others.
"""

import time
import unittest

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request import claim_segments
from jayflow.request.decisions import credentials
from jayflow.request import header_dialect
from jayflow.request import ingress
from jayflow.request import outcome
from jayflow.request import problem
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
PUBLIC = objects.Route('r', 'x', '/', 's', policy='p', public=True)
NO_TEAM = outcome.Reason.NO_TEAM
STALE = outcome.Reason.STALE_CONFIGURATION
CREDENTIAL, TEAM = b'jayflow-credential', b'jayflow-tenant'


class _Body:
    first, more = b'', False
    read = None

    def is_too_large(self, headers):
        return False


def build(rows: messages.Headers, route=ROUTE, teams=(ACME,), **callables):
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
        **callables,
    )
    return build_with(app, rows)


def build_with(app: ingress.Ingress, rows: messages.Headers):
    """Return what an ingress makes of a request with these headers."""
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


class StaleConfigurationTest(unittest.TestCase):
    """Check what a node refuses that may not know of a revoked key."""

    # Title, headers, route, whether the version is fresh, whether it may lack
    # a key, and the reason of the refusal.
    CASES = (
        ('fresh', [(CREDENTIAL, KEY)], ROUTE, True, False, None),
        ('fresh, may lack keys', [(CREDENTIAL, KEY)], ROUTE, True, True, None),
        ('stale', [(CREDENTIAL, KEY)], ROUTE, False, True, STALE),
        ('stale, unknown', [(CREDENTIAL, b'new')], ROUTE, False, True, STALE),
        ('new key', [(CREDENTIAL, b'new')], ROUTE, True, True, STALE),
        ('unknown key', [(CREDENTIAL, b'new')], ROUTE, True, False, NO_TEAM),
        ('stale, no key', [], ROUTE, False, True, NO_TEAM),
        ('stale, public', [], PUBLIC, False, True, None),
        (
            'stale, key on public',
            [(CREDENTIAL, KEY)],
            PUBLIC,
            False,
            True,
            None,
        ),
        (
            'stale, malformed key',
            [(CREDENTIAL, b'')],
            ROUTE,
            False,
            True,
            outcome.Reason.BAD_REQUEST,
        ),
    )

    def test_only_requests_with_a_key_are_refused(self):
        for name, rows, route, is_fresh, may_lack_keys, reason in self.CASES:
            with self.subTest(name):
                result = build(
                    rows,
                    route,
                    is_config_fresh=lambda is_fresh=is_fresh: is_fresh,
                    may_lack_keys=lambda may=may_lack_keys: may,
                )
                self.assertEqual(reason, getattr(result, 'reason', None))

    def test_without_teams_the_age_has_no_effect(self):
        req = build([], teams=(), is_config_fresh=lambda: False)
        self.assertEqual('', req.team)

    def test_a_caller_is_told_to_return_soon(self):
        failure = build([(CREDENTIAL, KEY)], is_config_fresh=lambda: False)
        document = problem.Problem.from_failure(failure, is_fractional=True)
        self.assertEqual(
            (503, 0.25), (document.status, document.retry_after_s)
        )
        self.assertIs(outcome.Outcome.NOT_RUN, document.outcome)


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
            (
                'team named as hop-by-hop',
                ROUTE,
                [(b'connection', TEAM), (CREDENTIAL, KEY)],
                [b'acme'],
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


class KeyOfTeamTest(unittest.TestCase):
    def test_a_team_does_not_get_the_stored_response_of_another(self):
        digests = {
            claim_segments.key_digest('s', b'k', team)
            for team in ('', 'acme', 'other')
        }
        self.assertEqual(3, len(digests))

    def test_nodes_of_the_own_protocol_read_and_remove_keys_too(self):
        dialect = header_dialect.DEFAULT_DIALECT
        rows = [(dialect.credential, KEY), (dialect.team, b'forged')]
        self.assertEqual(
            [(dialect.team, b'acme')], dialect.team_headers(rows, 'acme')
        )
