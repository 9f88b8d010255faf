"""Check what a node takes from the backend server beside it."""

import json
import time
import unittest

from bench import stack as stacks

SOUND = {
    'instance': 'i1',
    'services': ['lookups'],
    'host': '127.0.0.1',
    'port': 1,
    'slots': 4,
}
BAD = [
    ('no JSON', b'{'),
    ('no slots', json.dumps({**SOUND, 'slots': 0}).encode()),
    ('text for slots', json.dumps({**SOUND, 'slots': 'x'}).encode()),
    ('no services', json.dumps({**SOUND, 'services': []}).encode()),
    ('port', json.dumps({**SOUND, 'port': 0}).encode()),
    ('unknown field', json.dumps({**SOUND, 'colour': 1}).encode()),
    ('missing field', json.dumps({'instance': 'i1'}).encode()),
    ('too long', b'[' * 20_000),
]


class AnnouncementTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.stack = cls.enterClassContext(stacks.Stack.open())
        cls.node = cls.stack.start_node()

    def _put(self, body: bytes) -> stacks.Answer:
        return stacks.call(self.node.announce, '/announcement', 'PUT', body)

    def test_bad_announcements(self):
        for title, body in BAD:
            with self.subTest(title):
                answer = self._put(body)
                self.assertEqual(400, answer.status)
                self.assertIn('error', json.loads(answer.body))
                self.assertEqual([], self.node.status()['services'])

    def test_announce_renew_drain_withdraw_lapse(self):
        changes = [({}, False), ({'draining': True}, True), ({}, False)]
        for change, is_draining in changes:
            answer = self._put(json.dumps({**SOUND, **change}).encode())
            self.assertEqual(0, json.loads(answer.body)['running'])
            self.assertEqual(is_draining, self.node.status()['draining'])
        stacks.call(self.node.announce, '/announcement', 'DELETE')
        self.assertEqual([], self.node.status()['services'])
        self._put(json.dumps(SOUND).encode())
        begun = time.monotonic()
        stacks.wait_until(lambda: not self.node.status()['services'], 6)
        self.assertGreater(time.monotonic() - begun, 2)
        self.assertEqual(1, self.node.counter('server_lapsed'))

    def test_unknown_paths(self):
        answer = stacks.call(self.node.announce, '/other')
        self.assertEqual(404, answer.status)
