"""Check single routing decisions in a table."""

import random
import unittest

from bench import routing as experiment
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request import routing
from jayflow.version import objects

NOW = 100.0
NEAR = routing.Distance.DATA_CENTRE
REGION = routing.Distance.REGION
FAR = routing.Distance.FAR


def view(name: str, distance=NEAR, running=0, **changes) -> routing.View:
    """Return a view with a fresh report."""
    member = members.Member(
        messages.NodeId(name),
        messages.Incarnation(1),
        objects.DataCentreName('dc'),
        '127.0.0.1',
        1,
        (objects.ServiceName('s'),),
        10,
        has_seat=changes.pop('has_seat', True),
    )
    load = messages.Load(running, 0, 10, 5.0, changes.pop('draining', False))
    made = routing.View(member, distance, load, NOW)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


CASES = [
    ('less busy', [view('a', running=9), view('b')], (), True, 'b'),
    ('near first', [view('a', FAR), view('b', running=9)], (), True, 'b'),
    ('same region', [view('a', REGION), view('b')], (), True, 'b'),
    ('far when alone', [view('a', FAR)], (), True, 'a'),
    ('far not allowed', [view('a', FAR)], (), False, None),
    ('far without a seat', [view('a', FAR, has_seat=False)], (), True, None),
    ('tried', [view('a'), view('b', running=9)], ('a',), True, 'b'),
    ('leaving', [view('a', draining=True), view('b', running=9)], (), 1, 'b'),
    (
        'an old leaving report is not trusted',
        [view('a', draining=True, load_at=NOW - 10)],
        (),
        True,
        'a',
    ),
    (
        'cooling',
        [view('a', cooldown_until=NOW + 1), view('b', running=9)],
        (),
        True,
        'b',
    ),
    (
        'half stay when all are cooling',
        [view('a', cooldown_until=NOW + 2), view('b', cooldown_until=NOW + 1)],
        (),
        True,
        'b',
    ),
    (
        'silent',
        [view('a', inflight=1, waiting_since=NOW - 1), view('b', running=9)],
        (),
        True,
        'b',
    ),
    ('nobody', [], (), True, None),
]


class RoutingTest(unittest.TestCase):
    def test_choices(self):
        for title, views, tried, far_allowed, expected in CASES:
            with self.subTest(title):
                rng = random.Random(1)
                found = routing.choose(views, tried, NOW, rng, far_allowed)
                name = found.member.node if found else None
                self.assertEqual(expected, name)

    def test_failing_fast_is_not_fast(self):
        bad, good = view('a'), view('b', running=9)
        bad.observe_failure(NOW)
        later = NOW + routing.COOLDOWN_S + 0.01
        rng = random.Random(1)
        self.assertIs(good, routing.choose([bad, good], (), later, rng, True))

    def test_a_retry_after_is_honoured_and_capped(self):
        for asked, expected in ((5, 5), (1e6, routing.MAX_RETRY_AFTER_S)):
            each = view('a')
            each.observe_failure(NOW, asked)
            self.assertEqual(NOW + expected, each.cooldown_until)

    def test_stragglers_against_random(self):
        p99 = {
            way: experiment.percentile(
                experiment.run_way('stragglers_0.8', way, 1), 0.99
            )
            for way in ('random', 'jayflow')
        }
        self.assertLessEqual(2 * p99['jayflow'], p99['random'])
