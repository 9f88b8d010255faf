"""Check how often the load of a backend server is polled."""

import unittest

from jayflow.process import load_polling

# Title, mean time in service, whether the server is busy, interval; in s.
CASES = [
    ('no request yet', 0.0, True, False, 0.04),
    ('short requests', 0.06, True, False, 0.04),
    ('long requests', 0.8, True, False, 0.2),
    ('very long requests', 30.0, True, False, 0.2),
    ('idle, short requests', 0.06, False, False, 0.2),
    ('idle, long requests', 0.8, False, False, 1.0),
    ('short requests, rate limit', 0.06, True, True, 1.0),
]


class PollIntervalTest(unittest.TestCase):
    def test_the_interval_grows_with_the_time_in_service(self):
        for title, mean_service_s, is_busy, is_limited, expected in CASES:
            with self.subTest(title):
                interval_s = load_polling.poll_interval_s(
                    mean_service_s, is_busy, is_limited
                )
                self.assertAlmostEqual(expected, interval_s)
