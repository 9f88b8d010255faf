"""Check when a node publishes its state to its subscribers."""

import unittest
from unittest import mock

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.process import evacuations
from jayflow.process import member_directory
from jayflow.process import state_publishing
from jayflow.request.decisions import routing
from jayflow.version import objects

NEAR, REGION, REMOTE = b'near', b'region', b'remote'
ALL = [NEAR, REGION, REMOTE]
DISTANCES = dict(zip(ALL, routing.Distance, strict=True))
# What changes, the time since the last report in s, and who gets a report.
CHANGES = [
    ('nothing', {}, 0.6, []),
    ('nothing for more than a second', {}, 1.1, [NEAR, REGION]),
    ('nothing for longer', {}, 1.6, ALL),
    ('one more request', {'running': 4}, 0.1, [NEAR, REGION]),
    ('one more request, later', {'running': 4}, 0.6, [NEAR, REGION]),
    ('slowness', {'slowness': 7.0}, 0.01, [NEAR, REGION]),
    ('the server drains', {'draining': True}, 0.01, ALL),
    ('configuration version', {'version': 2}, 0.01, ALL),
    ('an evacuation', {'evacuated': ('dc',)}, 0.01, ALL),
]
# Distance, mean time in service in s, subscribers, pause in s.
PAUSES = [
    ('short requests', routing.Distance.SAME_DATA_CENTRE, 0.06, 8, 0.0),
    ('short requests, region', routing.Distance.SAME_REGION, 0.06, 8, 0.0),
    ('long requests', routing.Distance.SAME_DATA_CENTRE, 0.8, 8, 0.2),
    ('long requests, region', routing.Distance.SAME_REGION, 0.8, 8, 0.4),
    ('very long requests', routing.Distance.SAME_REGION, 9.0, 8, 1.0),
    ('many subscribers', routing.Distance.SAME_DATA_CENTRE, 0.06, 60, 0.5),
    ('other region', routing.Distance.OTHER_REGION, 0.06, 8, 1.5),
]


class FakeExecutor:
    """Report the load that the test sets."""

    def __init__(self) -> None:
        self.values = {'running': 3, 'slowness': 1.0, 'draining': False}

    def load(self) -> messages.Load:
        running, slowness, draining = self.values.values()
        return messages.Load(running, 0, 18, 5.0, draining, slowness)


class MalformedStateTest(unittest.TestCase):
    def test_a_malformed_member_record_is_ignored(self):
        directory = member_directory.MemberDirectory(
            messages.NodeId('n1'), objects.DataCentreName('dc')
        )
        subscriptions = state_publishing.PeerSubscriptions(
            messages.NodeId('n1'), 'dc', directory, None, None, None, int
        )
        load = messages.Load(0, 0, 1, 0.0)
        for title, record in (
            ('no JSON', b'{'),
            ('missing fields', b'{"node": "n2"}'),
            ('other types', b'{"node": 2}'),
        ):
            with self.subTest(title):
                state = messages.NodeState(
                    messages.NodeId('n2'),
                    messages.Incarnation(2),
                    load,
                    0,
                    0.0,
                    record,
                )
                subscriptions.handle_state(state)
                self.assertEqual([], directory.known_members())


class StatePublisherTest(unittest.TestCase):
    def setUp(self):
        self.executor, self.version, self.sent = FakeExecutor(), 1, []
        member = members.Member(
            messages.NodeId('n1'),
            messages.Incarnation(1),
            objects.DataCentreName('dc'),
            '127.0.0.1',
            1,
        )
        self.publisher = state_publishing.StatePublisher(
            self.executor,
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
                self.executor, self.version = FakeExecutor(), 1
                self.publisher.evacuated = evacuations.Knowledge
                self.publisher._executor = self.executor
                for peer, distance in DISTANCES.items():
                    self.publisher.subscribe(peer, distance)
                self.sent.clear()
                self.now += after_s
                self.version = change.pop('version', self.version)
                evacuated = change.pop('evacuated', ())
                self.publisher.evacuated = lambda names=evacuated: (
                    evacuations.Knowledge(data_centres=names)
                )
                self.executor.values |= change
                self.publisher.publish()
                self.assertEqual(expected, self.sent)

    def test_the_pause_between_reports(self):
        for title, distance, mean_service_s, subscribers, expected in PAUSES:
            with self.subTest(title):
                pause_s = state_publishing.publish_pause_s(
                    distance, mean_service_s, subscribers
                )
                self.assertAlmostEqual(expected, pause_s)

    def test_only_a_new_subscriber_gets_a_full_report_at_once(self):
        # Each renewal once sent both member records again, a fifth of the
        # bytes between nodes at rest.
        for title, is_renewal, is_known, expected in (
            ('new', False, False, [NEAR]),
            ('on a new connection', False, True, [NEAR]),
            ('renewal', True, True, []),
            ('renewal of one that was dropped', True, False, [NEAR]),
        ):
            with self.subTest(title):
                self.setUp()
                if is_known:
                    self.publisher.subscribe(NEAR)
                self.sent.clear()
                self.publisher.subscribe(NEAR, is_renewal=is_renewal)
                self.assertEqual(expected, self.sent)

    def test_the_rate_of_reports_is_bounded(self):
        for count in (4, 12, 30, 60):
            with self.subTest(subscribers=count):
                self.setUp()
                for number in range(count):
                    self.publisher.subscribe(b'%d' % number)
                self.sent.clear()
                for turn in range(20):
                    self.now += state_publishing.PUBLISH_INTERVAL_S
                    self.executor.values['running'] = turn
                    self.publisher.publish()
                expected_max = 2 * min(
                    10 * count, state_publishing.MAX_REPORTS_PER_S
                )
                self.assertLessEqual(len(self.sent), expected_max + count)
                self.assertGreaterEqual(len(self.sent), expected_max / 2)

    def test_a_subscriber_without_a_connection_is_removed(self):
        self.publisher.subscribe(NEAR)
        with mock.patch.object(
            self.publisher, '_send', side_effect=sockets.NotSentError
        ) as send:
            for _ in range(3):
                self.now += 1.1
                self.publisher.publish()
        self.assertEqual(1, send.call_count)
