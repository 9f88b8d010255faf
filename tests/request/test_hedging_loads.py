"""Test the limit on hedges under whole loads, in virtual time.

Guards against hedges beyond the limit, against hedges that make a full
service fuller, and against a limit that leaves the tail as it was.
"""

import unittest
from unittest import mock

from bench import hedging
from bench import routing as routing_bench

REQUESTS = 2500
SEED = 1
LIMIT = 0.1
# Of 1.1 times the capacity, some requests still find free slots.
MAX_HEDGES_WHEN_FULL = 0.01
MAX_MEDIAN_RATIO = 1.05
# The longest p99 with the limit, as a ratio to that without hedges.
MAX_P99_RATIOS = {
    'calm': 1.05,
    'tail_by_attempt': 0.7,
    # The long requests are as long on any server.
    'tail_by_request': 1.05,
    'slow_half_seconds': 0.8,
    'slow_busy': 0.8,
    'full': 1.05,
    'false_load': 0.8,
    'outage': 0.8,
}


class HedgingLoadsTest(unittest.TestCase):
    def test_hedges_under_each_load(self):
        self.assertEqual(set(hedging.SCENARIOS), set(MAX_P99_RATIOS))
        self.enterContext(mock.patch.object(hedging, 'REQUESTS', REQUESTS))
        for title, max_ratio in MAX_P99_RATIOS.items():
            with self.subTest(title):
                without, limited = (
                    hedging.Simulation(title, limit, SEED).run()
                    for limit in (0.0, LIMIT)
                )
                self.assertEqual(0, without.hedges)
                self.assertLessEqual(limited.hedges, LIMIT * REQUESTS)
                if title == 'full':
                    max_hedges = MAX_HEDGES_WHEN_FULL * REQUESTS
                    self.assertLessEqual(limited.hedges, max_hedges)
                for share, ratio in (
                    (0.5, MAX_MEDIAN_RATIO),
                    (0.99, max_ratio),
                ):
                    before, after = (
                        routing_bench.percentile(totals.latencies_ms, share)
                        for totals in (without, limited)
                    )
                    self.assertLessEqual(after, ratio * before, share)

    def test_no_slot_stays_taken(self):
        # An attempt that is cancelled must not keep its slot.
        self.enterContext(mock.patch.object(hedging, 'REQUESTS', 500))
        for title in hedging.SCENARIOS:
            with self.subTest(title):
                simulation = hedging.Simulation(title, LIMIT, SEED)
                simulation.run()
                for server in simulation.servers:
                    self.assertEqual(0, server.admission.running)
                    self.assertEqual(0, server.admission.queued)
                for sender in simulation.senders:
                    for view in sender.views.values():
                        self.assertEqual(0, view.in_flight)


if __name__ == '__main__':
    unittest.main()
