"""Check when a node pushes its state to its subscribers."""

import unittest
from unittest import mock

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.process import pushing
from jayflow.version import objects

NEAR, FAR = b'near', b'far'
# What changes, the time since the last push in s, and who gets a report.
CHANGES = [
    ('nothing', {}, 0.6, []),
    ('nothing for more than a second', {}, 1.1, [NEAR, FAR]),
    ('one more request', {'running': 4}, 0.1, [NEAR]),
    ('one more request, later', {'running': 4}, 0.6, [NEAR, FAR]),
    ('slowness', {'slowness': 7.0}, 0.01, [NEAR, FAR]),
    ('the server drains', {'draining': True}, 0.01, [NEAR, FAR]),
    ('configuration version', {'version': 2}, 0.01, [NEAR, FAR]),
]


class FakeDoor:
    """Report the load that the test sets."""

    def __init__(self) -> None:
        self.values = {'running': 3, 'slowness': 1.0, 'draining': False}

    def load(self) -> messages.Load:
        running, slowness, draining = self.values.values()
        return messages.Load(running, 0, 18, 5.0, draining, slowness)


class PusherTest(unittest.TestCase):
    def setUp(self):
        self.door, self.version, self.sent = FakeDoor(), 1, []
        member = members.Member(
            messages.NodeId('n1'),
            messages.Incarnation(1),
            objects.DataCentreName('dc'),
            '127.0.0.1',
            1,
        )
        self.pusher = pushing.Pusher(
            self.door,
            lambda: member,
            lambda: self.version,
            lambda now: 0.0,
            self.send,
        )
        patch = mock.patch('time.monotonic', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.now = 100.0

    def send(self, peer, state):
        self.sent.append(peer)

    def test_which_subscribers_get_a_report_of_a_change(self):
        for title, change, after_s, expected in CHANGES:
            with self.subTest(title):
                self.door, self.version = FakeDoor(), 1
                self.pusher._door = self.door
                self.pusher.subscribe(NEAR)
                self.pusher.subscribe(FAR, is_far=True)
                self.sent.clear()
                self.now += after_s
                self.version = change.pop('version', self.version)
                self.door.values |= change
                self.pusher.push()
                self.assertEqual(expected, self.sent)

    def test_the_rate_of_reports_is_bounded(self):
        for count in (4, 12, 30, 60):
            with self.subTest(subscribers=count):
                self.setUp()
                for number in range(count):
                    self.pusher.subscribe(b'%d' % number)
                self.sent.clear()
                for turn in range(20):
                    self.now += pushing.PUSH_INTERVAL_S
                    self.door.values['running'] = turn
                    self.pusher.push()
                expected_max = 2 * min(10 * count, pushing.MAX_REPORTS_PER_S)
                self.assertLessEqual(len(self.sent), expected_max + count)
                self.assertGreaterEqual(len(self.sent), expected_max / 2)

    def test_a_subscriber_without_a_link_is_removed(self):
        self.pusher.subscribe(NEAR)
        with mock.patch.object(
            self.pusher, '_send', side_effect=sockets.LinkDownError
        ) as send:
            for _ in range(3):
                self.now += 1.1
                self.pusher.push()
        self.assertEqual(1, send.call_count)
