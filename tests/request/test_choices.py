"""Test hedging, traffic splits, slot limits and retry budgets."""

import collections
import random
import unittest

from jayflow.request.decisions import concurrency_limit
from jayflow.request.decisions import hedging
from jayflow.request.decisions import quarantine
from jayflow.request.decisions import retry
from jayflow.request.decisions import splitting
from jayflow.version import objects

# Work done, slowness, time of the hedge, time elapsed, latency target, and
# whether to hedge, for a request of 0.2 s; times in seconds.
HEDGES = [
    ('not slow', 0.1, 1, 0.2, 0.1, 0.6, False),
    ('slow, and the hedge keeps the target', 0.1, 7, 0.2, 0.1, 0.6, True),
    (
        'slow, but the hedge misses the target too',
        0.1,
        7,
        0.2,
        0.5,
        0.6,
        False,
    ),
    ('nearly done', 0.19, 7, 0.2, 0.2, 0.6, False),
    ('slow, but within the target', 0.1, 2, 0.1, 0.1, 0.6, False),
    ('stuck', 0.7, 1, 0.2, 0.7, 0.6, True),
    ('slow without a target', 0.05, 7, 0.2, 0.3, 0.0, True),
]


class HedgingTest(unittest.TestCase):
    def test_hedges_when_worth_the_cost(self):
        for title, done, slowness, hedge, elapsed, target, expected in HEDGES:
            with self.subTest(title):
                progress = hedging.Progress(0.2, 0.0, done)
                is_worth = hedging.is_hedge_worthwhile(
                    progress, slowness, hedge, elapsed, target, 2.0
                )
                self.assertIs(expected, is_worth)

    def test_hedges_to_keep_the_deadline(self):
        for title, until_deadline, expected in (
            ('the first attempt ends in time', 2.0, False),
            ('only the hedge ends in time', 0.5, True),
            ('neither ends in time', 0.1, False),
        ):
            with self.subTest(title):
                progress = hedging.Progress(0.2, 0.0, 0.1)
                is_worth = hedging.is_hedge_worthwhile(
                    progress, 7, 0.2, 0.7, 0.6, until_deadline
                )
                self.assertIs(expected, is_worth)

    def test_slowness_reduces_the_work_done(self):
        progress = hedging.Progress.start(0.2, 10.0)
        progress.advance(10.1, 1.0)
        progress.advance(10.8, 7.0)
        self.assertAlmostEqual(0.2, progress.done_work_s)


class TrafficSplitterTest(unittest.TestCase):
    def test_short_runs_keep_the_weights(self):
        parts = (
            objects.WeightedService('a', 90),
            objects.WeightedService('b', 10),
        )
        route = objects.Route('r', 'h', '/', 'a', split=parts)
        for seed in range(20):
            splitter = splitting.TrafficSplitter(random.Random(seed))
            chosen = collections.Counter(
                splitter.choose_service(route) for _ in range(100)
            )
            self.assertAlmostEqual(90, chosen['a'], delta=1)

    def test_nodes_do_not_choose_in_step(self):
        parts = (
            objects.WeightedService('a', 90),
            objects.WeightedService('b', 10),
        )
        route = objects.Route('r', 'h', '/', 'a', split=parts)
        first_choices = collections.Counter(
            splitting.TrafficSplitter(random.Random(seed)).choose_service(
                route
            )
            for seed in range(400)
        )
        self.assertAlmostEqual(40, first_choices['b'], delta=20)


class ConcurrencyLimitTest(unittest.TestCase):
    """Fill all slots of servers, some of which slow down when nearly full."""

    def settle(
        self, slow_from: int, disturbed_share: float = 0.0, seed: int = 1
    ):
        """Return the limit that results, with some requests disturbed.

        The server slows down when slow_from requests or more run at once. A
        disturbed request is slowed by other load on the machine.
        """
        limit = concurrency_limit.ConcurrencyLimit()
        rng = random.Random(seed)
        for running in [4] * 40 + [18] * 600:
            running = min(running, limit.usable_slots(18))
            ratio = 1.6 if running >= slow_from else 1.0
            if rng.random() < disturbed_share:
                ratio *= rng.uniform(2, 5)
            limit.observe(running, ratio * rng.uniform(0.7, 1.3))
        return limit.usable_slots(18)

    def test_a_server_of_few_slots_starts_with_all(self):
        # With 2 of 3 slots, a third of the servers' room was never offered.
        for slots, expected in ((1, 1), (3, 3), (5, 5), (9, 7), (18, 14)):
            with self.subTest(slots=slots):
                limit = concurrency_limit.ConcurrencyLimit()
                self.assertEqual(expected, limit.usable_slots(slots))

    def test_disturbed_requests_do_not_change_the_limit(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                slowing_limit = self.settle(
                    15, disturbed_share=0.25, seed=seed
                )
                self.assertAlmostEqual(14, slowing_limit, delta=1)
                steady_limit = self.settle(99, disturbed_share=0.25, seed=seed)
                self.assertGreaterEqual(steady_limit, 17)

    def test_a_server_that_slows_gets_a_lower_limit(self):
        self.assertAlmostEqual(14, self.settle(15), delta=1)

    def test_a_server_that_does_not_slow_gets_all_slots(self):
        self.assertEqual(18, self.settle(99))

    def test_slow_calls_of_all_requests_do_not_change_the_limit(self):
        # A server that waits for other services once lost a third of its
        # slots when those were overloaded, and the overload spread to it.
        limit = concurrency_limit.ConcurrencyLimit()
        rng = random.Random(1)
        for running, ratio in [(4, 1.0)] * 100 + [(18, 3.0)] * 600:
            running = min(running, limit.usable_slots(18))
            limit.observe(running, ratio * rng.uniform(0.7, 1.3))
        self.assertEqual(18, limit.usable_slots(18))

    def test_the_limit_keeps_a_minimum_share(self):
        self.assertGreaterEqual(self.settle(5), 12)


class CrashCountTest(unittest.TestCase):
    def test_third_crash_without_a_clean_end_quarantines(self):
        request_quarantine = quarantine.Quarantine()
        culprit, bystander = (
            quarantine.Fingerprint(digest) for digest in (b'b', b'o')
        )
        states = []
        for crash in range(3):
            request_quarantine.count_crashes(
                [culprit, bystander], crash, 3, 60.0
            )
            request_quarantine.clear(bystander)
            states.append(request_quarantine.state_of(culprit, crash))
        suspect = quarantine.QuarantineState.SUSPECT
        quarantined = quarantine.QuarantineState.QUARANTINED
        self.assertEqual([suspect, suspect, quarantined], states)
        free = quarantine.QuarantineState.FREE
        self.assertIs(free, request_quarantine.state_of(bystander, 3))
        self.assertIs(free, request_quarantine.state_of(culprit, 63))


class NodeShareTest(unittest.TestCase):
    def test_all_nodes_together_keep_the_budget(self):
        share, burst, nodes = 0.2, 62, 13
        budgets = [
            retry.RetryBudget.for_node(share, burst, lambda: nodes)
            for _ in range(nodes)
        ]
        retries, requests = 0, 0
        for _ in range(200):
            for budget in budgets:
                budget.deposit()
                requests += 1
                retries += budget.try_withdraw()
        self.assertLessEqual(retries, share * requests)

    def test_budget_covers_calls_repeated_by_retried_callers(self):
        share, burst, requests, calls = 0.2, 10, 1000, 1.5
        retries = {}
        for service in ('caller', 'called'):
            budget = retry.RetryBudget.for_node(share, burst, lambda: 1)
            count = requests * (calls if service == 'called' else 1)
            for _ in range(int(count)):
                budget.deposit()
                retries[service] = (
                    retries.get(service, 0) + budget.try_withdraw()
                )
        repeats = retries['called'] + calls * retries['caller']
        allowed = share * requests * calls + burst * (1 + calls)
        self.assertLessEqual(repeats, allowed)

    def test_a_part_shrinks_when_nodes_join(self):
        node_count = 1
        budget = retry.RetryBudget.for_node(0.2, 62, lambda: node_count)
        node_count = 13
        budget.deposit()
        retries = sum(budget.try_withdraw() for _ in range(1000))
        self.assertLessEqual(retries, 62 / 13)

    def test_saved_tokens_of_all_nodes_stay_within_the_burst(self):
        budgets = [
            retry.RetryBudget.for_node(0.2, 62, lambda: 13) for _ in range(13)
        ]
        for budget in budgets:
            for _ in range(1000):
                budget.deposit()
        retries = sum(
            budget.try_withdraw() for budget in budgets for _ in range(1000)
        )
        self.assertLessEqual(retries, 62)
