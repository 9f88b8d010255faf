"""Test how long work is expected to take on a server that is slow now."""

import random
import unittest

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request.decisions import routing
from jayflow.request.decisions import slowdowns
from jayflow.version import objects

WORK_S = 0.2
# Slowness, time since the server turned slow, expected time of the work; the
# mean slow period is 0.5 s.
EXPECTED_S = [
    ('usual speed', 1.0, 0.0, 0.2),
    ('ends within the slow period', 2.0, 0.0, 0.4),
    ('ends after the slow period', 10.0, 0.0, 0.5 + 0.2 - 0.05),
    (
        'a period longer than the mean lasts as long again',
        10.0,
        1.0,
        1.0 + 0.2 - 0.1,
    ),
    ('slow permanently', 10.0, 60.0, 2.0),
]


def _view(number: int, queued: int, slowness: float) -> routing.PeerView:
    member = members.Member(
        messages.NodeId(f'n{number}'),
        messages.Incarnation(number),
        objects.DataCentreName('dc'),
        '127.0.0.1',
        number,
        (objects.ServiceName('s'),),
        18,
    )
    view = routing.PeerView(member, routing.Distance.SAME_DATA_CENTRE)
    load = messages.Load(0, queued, 18, 0.0, slowness=slowness)
    view.record_load(load, 10.0)
    return view


class SlowdownTrackerTest(unittest.TestCase):
    def test_work_goes_on_at_usual_speed_after_a_slow_period(self):
        for title, slowness, age_s, expected_s in EXPECTED_S:
            with self.subTest(title):
                tracker = slowdowns.SlowdownTracker()
                tracker.observe(slowness, 10.0)
                self.assertAlmostEqual(
                    expected_s, tracker.expected_work_s(WORK_S, 10.0 + age_s)
                )

    def test_the_mean_length_of_slow_periods_is_learnt(self):
        tracker = slowdowns.SlowdownTracker()
        for start in range(50):
            tracker.observe(7.0, float(start))
            tracker.observe(1.0, start + 0.1)
        self.assertAlmostEqual(0.1, tracker.mean_period_s, delta=0.01)

    def test_a_long_queue_is_worse_than_a_slow_period(self):
        for title, queued, expected in (
            ('short queue', 20, 'n1'),
            ('long queue', 80, 'n2'),
        ):
            with self.subTest(title):
                views = [_view(1, queued, 1.0), _view(2, 0, 7.0)]
                chosen = routing.choose_peer(
                    views,
                    [],
                    10.0,
                    random.Random(1),
                    True,
                    routing.Work(WORK_S),
                )
                self.assertEqual(expected, chosen.member.node)
