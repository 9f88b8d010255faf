"""Test the limit on hedges.

Guards against more extra work than the operator allows, and against hedges
that take slots of a service that needs them for first attempts.
"""

import math
import unittest

import hypothesis
from hypothesis import strategies

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.request.decisions import hedge_budget
from jayflow.request.decisions import routing
from jayflow.version import objects

NOW = 100.0
SLOTS = 10
# Float error of sums of shares.
TOLERANCE = 1e-6


def view(
    running: int = 0,
    slots: int = SLOTS,
    queued: int = 0,
    draining: bool = False,
    is_heard: bool = True,
    in_flight: int = 0,
    cooldown_until: float = -math.inf,
    has_load: bool = True,
) -> routing.PeerView:
    """Return the view of one server."""
    member = members.Member(
        messages.NodeId('n'),
        messages.Incarnation(1),
        objects.DataCentreName('dc'),
        '127.0.0.1',
        1,
        (objects.ServiceName('s'),),
        SLOTS,
    )
    peer = routing.PeerView(member, routing.Distance.SAME_DATA_CENTRE)
    if has_load:
        load = messages.Load(running, queued, slots, 0.0, draining=draining)
        peer.record_load(load, NOW - 0.1)
    peer.last_heard_at = NOW - (0.1 if is_heard else 60)
    peer.in_flight = in_flight
    peer.cooldown_until = cooldown_until
    return peer


FREE_SHARES = [
    ('no server', [], 0.0),
    ('idle', [view()], 1.0),
    ('half full', [view(5)], 0.5),
    ('full', [view(SLOTS)], 0.0),
    ('full with a queue', [view(SLOTS, queued=5)], 0.0),
    ('one of two is full', [view(SLOTS), view()], 0.5),
    ('a drained server does not count', [view(draining=True), view(5)], 0.5),
    ('a silent server does not count', [view(is_heard=False), view(5)], 0.5),
    ('an outage of all nodes', [view(is_heard=False, running=SLOTS)], 0.0),
    ('a server in cooldown is full', [view(cooldown_until=NOW + 1)], 0.0),
    ('no report yet', [view(has_load=False)], 0.0),
    ('no slots', [view(slots=0)], 0.0),
    # False reports: a server counts as one server, whatever it reports, and
    # as no emptier than this node's own attempts in flight show.
    (
        'a huge number of slots',
        [view(slots=10**9)] + 3 * [view(SLOTS)],
        0.25,
    ),
    ('reported idle while attempts wait', [view(0, in_flight=SLOTS)], 0.0),
    ('a negative number of requests', [view(-50), view(SLOTS)], 0.5),
]
SHARES = [
    ('neither', None, None, None),
    ('the node', None, 0.05, 0.05),
    ('the policy overrides the node', 0.1, 0.05, 0.1),
    ('the policy turns hedging off', 0.0, 0.05, 0.0),
    ('the policy allows it where the node does not', 0.1, 0.0, 0.1),
]
# Requests, share, free share of slots, and hedges sent if each request wants
# one.
LOADS = [
    ('off', 1000, 0.0, 1.0, 0),
    ('idle service', 1000, 0.05, 1.0, 50),
    ('half full service', 1000, 0.05, 0.5, 25),
    ('full service', 1000, 0.05, 0.0, 0),
    ('nearly full service', 1000, 0.05, 0.05, 0),
    ('a share above 1', 100, 2.0, 1.0, 100),
]


class FreeShareTest(unittest.TestCase):
    def test_free_share(self):
        for title, views, expected in FREE_SHARES:
            with self.subTest(title):
                share = hedge_budget.free_share(views, NOW)
                self.assertAlmostEqual(expected, share, places=6)


class HedgeBudgetTest(unittest.TestCase):
    def test_the_policy_overrides_the_node(self):
        for title, policy_share, node_share, expected in SHARES:
            with self.subTest(title):
                self.assertEqual(
                    expected,
                    hedge_budget.share_in_force(policy_share, node_share),
                )

    def test_hedges_under_constant_load(self):
        for title, requests, share, free, expected in LOADS:
            with self.subTest(title):
                budget = hedge_budget.HedgeBudget()
                sent = 0
                for _ in range(requests):
                    budget.deposit(share)
                    sent += budget.try_withdraw(free)
                self.assertAlmostEqual(expected, sent, delta=1)

    def test_a_new_budget_allows_no_hedge(self):
        self.assertFalse(hedge_budget.HedgeBudget().try_withdraw(1.0))

    def test_unused_tokens_are_limited_to_the_burst(self):
        budget = hedge_budget.HedgeBudget()
        for _ in range(10_000):
            budget.deposit(0.1)
        sent = sum(budget.try_withdraw(1.0) for _ in range(1000))
        self.assertEqual(int(hedge_budget.BURST_TOKENS), sent)

    @hypothesis.given(
        share=strategies.floats(0, 2),
        steps=strategies.lists(
            strategies.one_of(
                strategies.just(None), strategies.floats(0, 1, width=32)
            ),
            max_size=300,
        ),
        start=strategies.integers(0, 300),
    )
    def test_extra_work_is_bounded_in_every_order(self, share, steps, start):
        # A step is a request (None) or a wanted hedge with the free share.
        budget = hedge_budget.HedgeBudget()
        requests = sent = 0
        window_requests = window_sent = 0
        window_max_free = 0.0
        for number, free in enumerate(steps):
            if free is None:
                budget.deposit(share)
                requests += 1
                window_requests += number >= start
                continue
            was_sent = budget.try_withdraw(free)
            self.assertFalse(was_sent and free == 0)
            sent += was_sent
            if number >= start:
                window_sent += was_sent
                window_max_free = max(window_max_free, free)
        self.assertLessEqual(sent, share * requests + TOLERANCE)
        bound = hedge_budget.BURST_TOKENS + share * window_requests
        self.assertLessEqual(window_sent, window_max_free * bound + TOLERANCE)


if __name__ == '__main__':
    unittest.main()
