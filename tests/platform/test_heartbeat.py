"""Check the decoding of heartbeats of backend servers."""

import copy
import json
import math
import unittest

from jayflow.platform import heartbeat

HEARTBEAT = {
    'address': '10.0.0.1:8080',
    'info': {'service': 'shop', 'version': 'v1', 'zone': 'a', 'slots': 18},
    'status': {'state': 'ready', 'sequence': 4, 'cold_remaining_s': 1.5},
    'born': 1700000000000,
}


def _changed(*path, value) -> bytes:
    document = copy.deepcopy(HEARTBEAT)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return json.dumps(document).encode()


MALFORMED = [
    ('not JSON', b'\xff\x00'),
    ('not an object', b'[]'),
    ('missing address', b'{"info":{},"status":{}}'),
    ('unknown state', _changed('status', 'state', value='happy')),
    ('state of another type', _changed('status', 'state', value=1)),
    ('sequence of another type', _changed('status', 'sequence', value='4')),
    ('negative cold start', _changed('status', 'cold_remaining_s', value=-1)),
    ('address without port', _changed('address', value='10.0.0.1')),
    ('zero slots', _changed('info', 'slots', value=0)),
    ('service of another type', _changed('info', 'service', value=None)),
    (
        'service with invalid characters',
        _changed('info', 'service', value='a b\n'),
    ),
    ('born of another type', _changed('born', value='x')),
    ('born too large', _changed('born', value=2**70)),
    ('negative born', _changed('born', value=-1)),
    ('sequence of many digits', _changed('status', 'sequence', value=10**400)),
    ('port out of range', _changed('address', value='10.0.0.1:70000')),
    ('slots too large', _changed('info', 'slots', value=2**70)),
    (
        'infinite cold start',
        _changed('status', 'cold_remaining_s', value=math.inf),
    ),
    ('a deep field', b'{"other":%b}' % (b'[' * 50_000 + b']' * 50_000)),
]


class HeartbeatTest(unittest.TestCase):
    def test_heartbeat_is_decoded(self):
        announced = heartbeat.decode('i1', json.dumps(HEARTBEAT).encode())
        self.assertEqual(
            ('i1', ('shop',), '10.0.0.1', 8080, 18, False),
            (
                announced.instance,
                announced.services,
                announced.host,
                announced.port,
                announced.slots,
                announced.draining,
            ),
        )
        self.assertEqual(
            (HEARTBEAT['born'], 4), (announced.born, announced.sequence)
        )
        self.assertEqual(1.5, announced.cold_s)
        warm = _changed('status', value={'state': 'ready', 'sequence': 5})
        self.assertEqual(0.0, heartbeat.decode('i1', warm).cold_s)
        draining = _changed('status', 'state', value='draining')
        self.assertTrue(heartbeat.decode('i1', draining).draining)

    def test_malformed_heartbeats_are_rejected(self):
        for title, body in MALFORMED:
            with self.subTest(title), self.assertRaises(ValueError):
                heartbeat.decode('i1', body)
        with self.assertRaises(ValueError):
            heartbeat.decode('', json.dumps(HEARTBEAT).encode())
