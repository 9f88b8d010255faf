"""Check the decoding of the operator's configuration."""

import copy
import json
import unittest

from jayflow.platform import configuration
from jayflow.process import settings
from jayflow.version import objects

SETTINGS = """
[node]
name = n1
data-centre = west-a
http = 10.0.0.1:1
peer = 10.0.0.1:2
announce = 10.0.0.1:3
retry-share = 0.2
[platform]
address = 10.0.0.9:1
protocol = metadata-store
[regions]
west-a = west
east-a = east
"""
SPLIT = [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}]
CONFIG = {
    'version': 'r12',
    'routes': {
        'columns': [
            'name',
            'hostname',
            'path_prefix',
            'type',
            'timeout_s',
            'target_latency_s',
            'priority',
            'service',
            'max_attempts',
            'traffic_split',
        ],
        'rows': [
            ['r1', 'A.x', '/p/', 'non_idempotent', 2.5, 0.8, 1, 'a', 2, None],
            ['r2', 'a.x', '/q/', 'idempotent', 2, 0.6, 2, None, 3, SPLIT],
            ['r3', 'a.x', '/', 'download', 4, 0.6, 0, 'b', None, None],
        ],
    },
    'services': {
        'columns': ['name', 'health_check_path', 'max_connections', 'tls'],
        'rows': [['a', '/health', 260, False], ['b', '/h', 260, False]],
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    },
}


def _changed(change) -> bytes:
    config = copy.deepcopy(CONFIG)
    change(config)
    return json.dumps(config).encode()


MALFORMED = [
    ('not JSON', b'{'),
    ('missing version', _changed(lambda c: c.pop('version'))),
    (
        'version without a number',
        _changed(lambda c: c.update(version='latest')),
    ),
    (
        'row shorter than the columns',
        _changed(lambda c: c['routes']['rows'][0].pop()),
    ),
    (
        'split that is not a list',
        _changed(lambda c: c['routes']['rows'][1].__setitem__(9, 3)),
    ),
    (
        'neither a service nor a split',
        _changed(lambda c: c['routes']['rows'][0].__setitem__(7, None)),
    ),
    (
        'split without a positive weight',
        _changed(
            lambda c: c['routes']['rows'][1].__setitem__(
                9, [{'service': 'a', 'weight': 0}]
            )
        ),
    ),
    (
        'timeout that is not a number',
        _changed(lambda c: c['routes']['rows'][0].__setitem__(4, 'x')),
    ),
]


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        cfg = settings.Settings.from_text('node.ini', SETTINGS)
        self.decode = configuration.create_version_decoder(cfg)

    def test_configuration_is_decoded(self):
        version = self.decode(json.dumps(CONFIG).encode())
        self.assertEqual(12, version.number)
        decoded = version.objects
        save = decoded.route_for('a.x', '/p/1')
        self.assertEqual('r1', save.name)
        self.assertIs(objects.Idempotency.NO, save.idempotent)
        policy = decoded.route_policy(save)
        self.assertEqual(
            (2.5, 2, 0.8, 1, 0.2),
            (
                policy.deadline,
                policy.tries,
                policy.latency_target,
                policy.rank,
                policy.retry_share,
            ),
        )
        split = decoded.route_for('a.x', '/q/1').split
        self.assertEqual([90, 10], [target.weight for target in split])
        pack = decoded.route_policy(decoded.route_for('a.x', '/z'))
        self.assertIs(objects.RequestClass.BULK, pack.request_class)
        self.assertEqual(configuration.DEFAULT_MAX_ATTEMPTS, pack.tries)
        self.assertEqual('east', decoded.region_of('east-a'))
        self.assertEqual(15, decoded.limits.idle_timeout)
        self.assertEqual('/health', decoded.service['a'].health_path)

    def test_only_known_types_are_idempotent(self):
        # A misspelt type once allowed a purchase to run twice.
        for route_type, expected in (
            ('idempotent', objects.Idempotency.YES),
            ('download', objects.Idempotency.YES),
            ('non_idempotent', objects.Idempotency.NO),
            ('non-idempotent', objects.Idempotency.NO),
            ('Idempotent', objects.Idempotency.NO),
            ('', objects.Idempotency.NO),
        ):
            with self.subTest(type=route_type):
                config = copy.deepcopy(CONFIG)
                config['routes']['rows'][0][3] = route_type
                version = self.decode(json.dumps(config).encode())
                route = version.objects.route_for('a.x', '/p/1')
                self.assertIs(expected, route.idempotent)

    def test_a_retry_share_of_zero_allows_no_retries(self):
        cfg = settings.Settings.from_text(
            'node.ini',
            SETTINGS.replace('retry-share = 0.2', 'retry-share = 0'),
        )
        decode = configuration.create_version_decoder(cfg)
        version = decode(json.dumps(CONFIG).encode())
        self.assertEqual(
            {0.0},
            {policy.retry_share for policy in version.objects.policy.values()},
        )

    def test_malformed_configuration_is_rejected(self):
        for title, data in MALFORMED:
            with self.subTest(title), self.assertRaises(ValueError):
                self.decode(data)
