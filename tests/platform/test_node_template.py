"""Check that the node accepts what the platform fills into its template.

A retry burst of 35.9, as small deployments have, once kept every node from
starting: the setting took whole numbers only.
"""

import pathlib
import re
import unittest

from jayflow.process import settings

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE = (ROOT / 'deploy' / 'node.ini').read_text(encoding='utf-8')
VALUES = {
    'node_name': 'sidecar-cdmx-a-1',
    'zone': 'cdmx-a',
    'ip': '10.1.0.38',
    'service': 'huvo11a',
    'app_addr': '10.1.0.38:8145',
    'listen_addrs.outbound': '10.1.0.38:8147',
    'listen_addrs.ready': '10.1.0.38:8141',
    'listen_addrs.control': '10.1.0.38:8144',
    'internal_ports.0': '7380',
    'platform.address': '10.200.1.7:8142',
    'bounds.grace_s': '6',
    'bounds.retry_budget_ratio': '0.2',
    'bounds.retry_budget_slack': '62',
    'limits.memory_mb': '200',
    'limits.max_fds': '4100',
}
ZONES = {'cdmx-a': 'mx-centro', 'mty-a': 'mx-norte'}
_SECTION = re.compile(r'\{\{#zones\}\}(.*?)\{\{/zones\}\}', re.DOTALL)
_PLACEHOLDER = re.compile(r'\{\{([^}]+)\}\}')
# Field of the platform, its text, setting and the value of the setting.
NUMBERS = [
    ('bounds.retry_budget_slack', '0', 'fleet_retry_burst', 0.0),
    ('bounds.retry_budget_slack', '62', 'fleet_retry_burst', 62.0),
    ('bounds.retry_budget_slack', '35.9', 'fleet_retry_burst', 35.9),
    ('bounds.retry_budget_slack', '4.3e2', 'fleet_retry_burst', 430.0),
    ('bounds.retry_budget_ratio', '0', 'retry_share', 0.0),
    ('bounds.retry_budget_ratio', '0.0', 'retry_share', 0.0),
    ('bounds.retry_budget_ratio', '2e-1', 'retry_share', 0.2),
    ('bounds.retry_budget_ratio', '1.5', 'retry_share', 1.5),
    ('bounds.grace_s', '0', 'stop_limit', 0.0),
    ('bounds.grace_s', '6.5', 'stop_limit', 6.5),
    ('bounds.grace_s', '1e1', 'stop_limit', 10.0),
    ('limits.memory_mb', '200', 'memory_mb', 200.0),
    ('limits.memory_mb', '256.5', 'memory_mb', 256.5),
    ('limits.memory_mb', '2e2', 'memory_mb', 200.0),
    ('limits.memory_mb', '0', 'memory_mb', 0.0),
    ('limits.max_fds', '4100', 'max_descriptors', 4100.0),
    ('limits.max_fds', '4100.0', 'max_descriptors', 4100.0),
    ('limits.max_fds', '0', 'max_descriptors', 0.0),
]


def render(values: dict[str, str]) -> str:
    """Return the template with the values of the platform's fields."""

    def expand_zones(section: re.Match) -> str:
        return ''.join(
            section[1].replace('{{@}}', zone).replace('{{.}}', region)
            for zone, region in ZONES.items()
        )

    text = _SECTION.sub(expand_zones, TEMPLATE)
    return _PLACEHOLDER.sub(lambda field: values.get(field[1], ''), text)


class NodeTemplateTest(unittest.TestCase):
    def test_numbers_of_the_platform_are_accepted(self):
        for field, text, setting, expected in NUMBERS:
            with self.subTest(field=field, text=text):
                cfg = settings.Settings.from_text(
                    'node.ini', render(VALUES | {field: text})
                )
                self.assertEqual(expected, getattr(cfg, setting))

    def test_the_age_is_bounded_where_revocations_are_strict(self):
        # A bound where none is asked for would refuse requests in an outage.
        cases = [
            ('absent', {}, None),
            ('false', {'bounds.revoke_strict': 'false'}, None),
            ('true', {'bounds.revoke_strict': 'true'}, 5.0),
        ]
        for name, changes, expected in cases:
            with self.subTest(name):
                values = VALUES | {'bounds.revoke_s': '5'} | changes
                cfg = settings.Settings.from_text('node.ini', render(values))
                self.assertEqual(expected, cfg.config_max_age)

    def test_what_the_platform_does_not_name_is_unset(self):
        # Values that were empty once kept every node from starting.
        values = {
            key: value
            for key, value in VALUES.items()
            if not key.startswith('limits.')
        }
        cfg = settings.Settings.from_text('node.ini', render(values))
        for setting in ('config_max_age', 'memory_mb', 'max_descriptors'):
            with self.subTest(setting):
                self.assertIsNone(getattr(cfg, setting))

    def test_regions_are_read(self):
        cfg = settings.Settings.from_text('node.ini', render(VALUES))
        self.assertEqual(ZONES, cfg.regions)

    def test_evacuations_are_watched_where_the_platform_bounds_them(self):
        # Each call of the store is billed, also where there is none to find.
        cases = [
            ('absent', {}, False),
            ('5', {'bounds.evacuate_s': '5'}, True),
        ]
        for title, values, expected in cases:
            with self.subTest(title):
                cfg = settings.Settings.from_text(
                    'node.ini', render(VALUES | values)
                )
                self.assertEqual(expected, cfg.evacuations)
