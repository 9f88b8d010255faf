"""Test which announcements a node accepts from its backend server."""

import json
import time
import unittest

from bench import local_cluster

VALID = {
    'instance': 'i1',
    'services': ['lookups'],
    'host': '127.0.0.1',
    'port': 1,
    'slots': 4,
}
INVALID = [
    ('not JSON', b'{'),
    ('no slots', json.dumps({**VALID, 'slots': 0}).encode()),
    ('string for slots', json.dumps({**VALID, 'slots': 'x'}).encode()),
    ('no services', json.dumps({**VALID, 'services': []}).encode()),
    ('port out of range', json.dumps({**VALID, 'port': 0}).encode()),
    ('unknown field', json.dumps({**VALID, 'colour': 1}).encode()),
    ('missing field', json.dumps({'instance': 'i1'}).encode()),
    ('body over the size limit', b'[' * 20_000),
]


class AnnouncementTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(local_cluster.LocalCluster.open())
        cls.node = cls.cluster.start_node()

    def _put(self, body: bytes) -> local_cluster.Response:
        return local_cluster.send_request(
            self.node.announce_port, '/announcement', 'PUT', body
        )

    def test_invalid_announcements_are_rejected(self):
        for title, body in INVALID:
            with self.subTest(title):
                response = self._put(body)
                self.assertEqual(400, response.status)
                self.assertIn('error', json.loads(response.body))
                self.assertEqual([], self.node.status()['services'])

    def test_announce_renew_drain_withdraw_lapse(self):
        cases = [({}, False), ({'draining': True}, True), ({}, False)]
        for changed, is_draining in cases:
            response = self._put(json.dumps({**VALID, **changed}).encode())
            self.assertEqual(0, json.loads(response.body)['running'])
            self.assertEqual(is_draining, self.node.status()['draining'])
        local_cluster.send_request(
            self.node.announce_port, '/announcement', 'DELETE'
        )
        self.assertEqual([], self.node.status()['services'])
        self._put(json.dumps(VALID).encode())
        started_at = time.monotonic()
        local_cluster.wait_until(lambda: not self.node.status()['services'], 6)
        self.assertGreater(time.monotonic() - started_at, 2)
        self.assertEqual(1, self.node.counter('server_lapsed'))

    def test_unknown_paths(self):
        response = local_cluster.send_request(
            self.node.announce_port, '/other'
        )
        self.assertEqual(404, response.status)
