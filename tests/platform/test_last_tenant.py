"""Test requests after the operator has removed the last tenant.

A table of tenants without rows was taken for a missing table: every key was
accepted and passed on to the server, with the tenant that the client named.
"""

import json
import unittest

from jayflow import metrics as metrics_module
from jayflow.platform import configuration
from jayflow.platform import headers as platform_headers
from jayflow.process import settings
from jayflow.request import ingress
from jayflow.request import outcome
from tests.platform import test_configuration
from tests.request import test_credentials

KEY, OTHER_KEY = 'key-of-acme', 'key-of-nobody'
CREDENTIAL, TENANT = test_credentials.CREDENTIAL, test_credentials.TEAM
NO_TEAM = outcome.Reason.NO_TEAM
COLUMNS = ['name', 'api_keys']
# Title, the table of tenants, and whether keys are needed.
TABLES = [
    ('one tenant', {'columns': COLUMNS, 'rows': [['acme', [KEY]]]}, True),
    ('no rows', {'columns': COLUMNS, 'rows': []}, True),
    ('no rows and no columns', {'columns': [], 'rows': []}, True),
    ('no key', {'columns': COLUMNS, 'rows': [['acme', []]]}, True),
    (
        'null for the keys',
        {'columns': COLUMNS, 'rows': [['acme', None]]},
        True,
    ),
    ('null for the table', None, False),
]


def _ingress(config: dict) -> ingress.Ingress:
    cfg = settings.Settings.from_text('node.ini', test_configuration.SETTINGS)
    decode = configuration.create_version_decoder(cfg)
    version = decode(json.dumps(config).encode())
    return ingress.Ingress(
        None,
        None,
        lambda: version,
        metrics_module.Metrics(),
        platform_headers.DIALECT,
    )


def _config(is_public: bool, **tables) -> dict:
    routes = {
        'columns': ['name', 'hostname', 'path_prefix', 'type', 'service'],
        'rows': [['r', 'x', '/', 'non_idempotent', 'a']],
    }
    routes['columns'] = [*routes['columns'], 'public']
    routes['rows'][0].append(is_public)
    return test_configuration.CONFIG | {'routes': routes} | tables


def _request(config: dict, key: str | None):
    rows = [(TENANT, b'another')]
    if key is not None:
        rows.append((CREDENTIAL, key.encode()))
    return test_credentials.build_with(_ingress(config), rows)


class LastTenantTest(unittest.TestCase):
    def test_keys_are_checked_whatever_rows_the_table_has(self):
        for title, table, needs_key in TABLES:
            for key in (None, KEY, OTHER_KEY):
                with self.subTest(title, key=key):
                    config = _config(False, tenants=table)
                    req = _request(config, key)
                    reason = getattr(req, 'reason', None)
                    holds_key = title == 'one tenant' and key == KEY
                    is_refused = needs_key and not holds_key
                    self.assertIs(NO_TEAM if is_refused else None, reason)

    def test_a_missing_table_needs_no_keys(self):
        req = _request(_config(False), OTHER_KEY)
        self.assertEqual('', req.team)

    def test_public_routes_get_neither_a_key_nor_a_tenant(self):
        for title, table, needs_key in TABLES:
            if not needs_key:
                continue
            with self.subTest(title):
                req = _request(_config(True, tenants=table), OTHER_KEY)
                names = {name for name, _ in req.headers}
                self.assertFalse(names & {CREDENTIAL, TENANT})


if __name__ == '__main__':
    unittest.main()
