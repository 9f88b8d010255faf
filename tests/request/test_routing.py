"""Test single routing decisions."""

import random
import unittest

from bench import routing as experiment
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request.decisions import routing
from jayflow.version import objects

NOW = 100.0
SAME_DATA_CENTRE = routing.Distance.SAME_DATA_CENTRE
SAME_REGION = routing.Distance.SAME_REGION
OTHER_REGION = routing.Distance.OTHER_REGION


def view(
    name: str, distance=SAME_DATA_CENTRE, running=0, **changes
) -> routing.PeerView:
    """Return a peer view with a fresh report."""
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
    peer_view = routing.PeerView(member, distance, load, NOW)
    for name, value in changes.items():
        setattr(peer_view, name, value)
    return peer_view


# Title, views, nodes tried, whether other regions are allowed, node chosen.
CASES = [
    ('less busy', [view('a', running=9), view('b')], (), True, 'b'),
    (
        'busy member in the same data centre before another region',
        [view('a', OTHER_REGION), view('b', running=9)],
        (),
        True,
        'b',
    ),
    (
        'same data centre before the rest of the region',
        [view('a', SAME_REGION), view('b')],
        (),
        True,
        'b',
    ),
    (
        'other region if there is no other member',
        [view('a', OTHER_REGION)],
        (),
        True,
        'a',
    ),
    ('other regions not allowed', [view('a', OTHER_REGION)], (), False, None),
    (
        'other region without a seat',
        [view('a', OTHER_REGION, has_seat=False)],
        (),
        True,
        None,
    ),
    ('tried', [view('a'), view('b', running=9)], ('a',), True, 'b'),
    ('draining', [view('a', draining=True), view('b', running=9)], (), 1, 'b'),
    (
        'an old report of draining is ignored',
        [view('a', draining=True, load_received_at=NOW - 10)],
        (),
        True,
        'a',
    ),
    (
        'in cooldown',
        [view('a', cooldown_until=NOW + 1), view('b', running=9)],
        (),
        True,
        'b',
    ),
    (
        'half are used when all are in cooldown',
        [view('a', cooldown_until=NOW + 2), view('b', cooldown_until=NOW + 1)],
        (),
        True,
        'b',
    ),
    (
        'no response',
        [view('a', in_flight=1, waiting_since=NOW - 1), view('b', running=9)],
        (),
        True,
        'b',
    ),
    (
        'never heard from, beside one that is heard',
        [view('a'), view('b', running=9, last_heard_at=NOW)],
        (),
        True,
        'b',
    ),
    ('never heard from', [view('a')], (), True, 'a'),
    (
        'too new to have been heard from',
        [view('a', known_since=NOW - 1), view('b', last_heard_at=NOW)],
        ('b',),
        True,
        'a',
    ),
    (
        'never heard from, all others tried',
        [view('a'), view('b', last_heard_at=NOW)],
        ('b',),
        True,
        None,
    ),
    ('no members', [], (), True, None),
]


class RoutingTest(unittest.TestCase):
    def test_choices(self):
        for title, views, tried, cross_region, expected in CASES:
            with self.subTest(title):
                rng = random.Random(1)
                chosen = routing.choose_peer(
                    views, tried, NOW, rng, cross_region
                )
                name = chosen.member.node if chosen else None
                self.assertEqual(expected, name)

    def test_long_work_stays_near_while_the_load_is_even(self):
        # Network time is small beside long work, so all servers counted as
        # equal and three of four responses crossed data centres.
        work = routing.Work(0.8, 4000.0)
        for title, near_running, expected in (
            ('even', 3, 'near'),
            ('nearly even', 4, 'near'),
            ('near server busier', 7, 'far'),
        ):
            views = [
                view('near', SAME_DATA_CENTRE, running=near_running),
                view('far', SAME_REGION, running=3),
            ]
            for seed in range(20):
                with self.subTest(title, seed=seed):
                    chosen = routing.choose_peer(
                        views, (), NOW, random.Random(seed), True, work
                    )
                    self.assertEqual(expected, chosen.member.node)

    def test_a_server_that_fails_fast_is_avoided(self):
        failing, busy = view('a'), view('b', running=9)
        failing.record_failure(NOW)
        later = NOW + routing.INITIAL_COOLDOWN_S + 0.01
        rng = random.Random(1)
        self.assertIs(
            busy, routing.choose_peer([failing, busy], (), later, rng, True)
        )

    def test_a_retry_after_is_honoured_and_capped(self):
        for retry_after_s, expected_s in (
            (5, 5),
            (1e6, routing.MAX_RETRY_AFTER_S),
        ):
            peer_view = view('a')
            peer_view.record_failure(NOW, retry_after_s)
            self.assertEqual(NOW + expected_s, peer_view.cooldown_until)

    def test_p99_with_stragglers_is_at_most_half_that_of_random_choice(self):
        p99 = {
            strategy: experiment.percentile(
                experiment.run_strategy('stragglers_0.8', strategy, 1), 0.99
            )
            for strategy in ('random', 'jayflow')
        }
        self.assertLessEqual(2 * p99['jayflow'], p99['random'])


class TransferCostTest(unittest.TestCase):
    """Choose between a busy server nearby and an idle one farther away."""

    def test_bytes_of_the_request_count(self):
        # Without them, an upload was sent to another region to save less
        # time than its bytes are worth.
        busy = view('a', running=16)
        for title, request_bytes, expected in (
            ('small', 500, 'b'),
            ('large', 20_000, 'a'),
        ):
            with self.subTest(title):
                views = [busy, view('b', OTHER_REGION)]
                chosen = routing.choose_peer(
                    views,
                    (),
                    NOW,
                    random.Random(1),
                    True,
                    routing.Work(0.1, 400, request_bytes),
                )
                self.assertEqual(expected, chosen.member.node)

    def test_allowed_regions_bind_also_when_no_other_server_is_free(self):
        near, far = view('a', running=30), view('b', OTHER_REGION)
        near.region, far.region = 'north', 'south'
        for allowed, expected in (
            (None, 'b'),
            (frozenset({'north'}), 'a'),
            (frozenset({'south'}), 'b'),
            (frozenset({'east'}), None),
            (frozenset(), None),
        ):
            with self.subTest(allowed=allowed):
                chosen = routing.choose_peer(
                    [near, far],
                    (),
                    NOW,
                    random.Random(1),
                    True,
                    routing.Work(0.1),
                    allowed,
                )
                self.assertEqual(
                    expected, chosen.member.node if chosen else None
                )
