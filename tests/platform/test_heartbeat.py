"""Check which heartbeats name a backend server."""

import copy
import json
import unittest

from jayflow.platform import heartbeat

BEAT = {
    'address': '10.0.0.1:8080',
    'info': {'service': 'shop', 'version': 'v1', 'zone': 'a', 'slots': 18},
    'status': {'state': 'ready', 'sequence': 4, 'cold_remaining_s': 1.5},
    'born': 1700000000000,
}


def _changed(*path, value) -> bytes:
    beat = copy.deepcopy(BEAT)
    inner = beat
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return json.dumps(beat).encode()


GARBLED = [
    ('no JSON', b'\xff\x00'),
    ('another type', b'[]'),
    ('no address', b'{"info":{},"status":{}}'),
    ('unknown state', _changed('status', 'state', value='happy')),
    ('state of another type', _changed('status', 'state', value=1)),
    ('sequence of another type', _changed('status', 'sequence', value='4')),
    ('negative cold start', _changed('status', 'cold_remaining_s', value=-1)),
    ('no port', _changed('address', value='10.0.0.1')),
    ('no slots', _changed('info', 'slots', value=0)),
    ('service of another type', _changed('info', 'service', value=None)),
    ('service with odd bytes', _changed('info', 'service', value='a b\n')),
    ('born of another type', _changed('born', value='x')),
]


class HeartbeatTest(unittest.TestCase):
    def test_a_heartbeat(self):
        said = heartbeat.decode('i1', json.dumps(BEAT).encode())
        self.assertEqual(
            ('i1', ('shop',), '10.0.0.1', 8080, 18, False),
            (
                said.instance,
                said.services,
                said.host,
                said.port,
                said.slots,
                said.draining,
            ),
        )
        self.assertEqual((BEAT['born'], 4), (said.born, said.sequence))
        leaving = _changed('status', 'state', value='draining')
        self.assertTrue(heartbeat.decode('i1', leaving).draining)

    def test_garbled_heartbeats_name_no_server(self):
        for title, body in GARBLED:
            with self.subTest(title), self.assertRaises(ValueError):
                heartbeat.decode('i1', body)
        with self.assertRaises(ValueError):
            heartbeat.decode('', json.dumps(BEAT).encode())
