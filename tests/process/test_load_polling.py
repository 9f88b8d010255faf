"""Check how often the load of a backend server is polled."""

import math
import types
import unittest

import anyio

from jayflow.connection import messages
from jayflow.process import load_polling
from jayflow.request.decisions import rate_limit
from jayflow.version import objects
from tests import virtual_time

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


class _Executor:
    """Count the polls of a server whose responses report its load."""

    def __init__(self, cold_rate: float, limit: float, reports: bool) -> None:
        limits = rate_limit.RateLimit()
        limits.cold.set_rate(cold_rate, 0.0)
        limits.update(limit, 0.0)
        self.backend = types.SimpleNamespace(
            announcement=object(),
            has_responded=True,
            rate_limit=limits,
            cold=limits.cold,
            services=('s',),
            load_reported_at=math.inf if reports else -math.inf,
        )
        self.in_flight = int(reports)
        self.polls = 0

    def load(self) -> messages.Load:
        return messages.Load(self.in_flight, 0, 4, 800.0)

    async def poll_load(self, path: str) -> None:
        self.polls += 1


class ColdPollTest(virtual_time.VirtualTimeTestCase):
    def test_a_busy_server_that_turned_cold_was_not_polled(self):
        service = objects.Service('s', 'p', health_path='/health')
        # Title, cold rate, rate limit, whether requests report the load, and
        # polls in 10 s.
        for title, cold_rate, limit, reports, expected in (
            ('busy, no cold rate', 0.0, math.inf, True, 0),
            ('idle, no cold rate', 0.0, math.inf, False, 10),
            ('busy', 5.0, math.inf, True, 50),
            ('idle', 5.0, math.inf, False, 50),
            ('busy with a rate limit', 5.0, 3.0, True, 10),
        ):
            with self.subTest(title):
                executor = _Executor(cold_rate, limit, reports)
                poller = load_polling.LoadPoller(
                    executor, lambda name: service
                )

                async def main(loop, poller=poller):
                    with anyio.move_on_after(10.1):
                        await poller.run()

                self.run_virtual(main)
                self.assertAlmostEqual(expected, executor.polls, delta=1)
