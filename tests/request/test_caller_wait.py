"""Replay an overload in which refused callers come back.

Requests that callers had sent before once counted as new: they took slots
from requests that could still keep their target, and were late themselves.
"""

import heapq
import itertools
import random
import unittest

from jayflow.request import admission
from jayflow.request import caller_wait
from jayflow.request import outcome
from jayflow.version import objects

ROUTE = objects.PolicyName('r')
SLOTS = 9
WORK_S = 0.1
TARGET_S = 0.25
PATIENCE_S = 1.5
RETURN_S = 0.25
MAX_RETURNS = 2
RUN_S = 20.0
TICK_S = 0.02
SEEDS = range(5)
# Title, times that callers state in order, and the last one's wait; in s.
FIRST = [1.5] * caller_wait.MIN_REQUESTS
CASES = [
    ('too few requests', [1.5, 1.2], 0.0),
    ('all alike', FIRST, 0.0),
    ('returned', [*FIRST, 1.2], 0.3),
    ('rounded to milliseconds', [*FIRST, 1.497], 0.0),
    ('one caller that waits for longer', [9.0, *FIRST, 1.5], 0.0),
    ('many that returned', [*FIRST, *(1 + n / 50 for n in range(20)), 1], 0.5),
    ('times of their own', [1.0 + n % 7 / 10 for n in range(400)], 0.0),
]


class Overload:
    """Feed one server's queue; refused callers come back after a pause."""

    def __init__(self, load: float, seed: int, uses_waits: bool) -> None:
        self.on_time = 0
        self.late = 0
        self.callers = 0
        self._queue = admission.AdmissionQueue(SLOTS)
        self._waits = caller_wait.CallerWaits()
        self._uses_waits = uses_waits
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        now = 0.0
        while now < RUN_S:
            now += self._rng.expovariate(load * SLOTS / WORK_S)
            self.callers += 1
            self._at(now, self._arrive, (now, 0))
        for tick in range(int(RUN_S / TICK_S)):
            self._at(tick * TICK_S, self._tick, None)

    def run(self) -> None:
        """Process all events."""
        while self._events:
            now, _, action, arg = heapq.heappop(self._events)
            action(now, arg)

    def _at(self, time_s, action, arg) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), action, arg))

    def _arrive(self, now, caller) -> None:
        first_sent_at, _ = caller
        stated_s = first_sent_at + PATIENCE_S - now
        waited_s = self._waits.waited_s(ROUTE, stated_s, now)
        target_s = TARGET_S - (waited_s if self._uses_waits else 0.0)
        if self._queue.try_start('s', 0):
            self._start(now, caller)
            return
        rejection = self._queue.enqueue(
            admission.QueuedRequest(
                caller,
                's',
                0,
                now + stated_s - WORK_S,
                outcome.Reason.QUEUE_TIME,
                target_start=admission.latest_start(now, target_s, WORK_S),
            ),
            1000,
            now,
        )
        if rejection is not None:
            self._refuse(now, rejection.queued_request.item)

    def _refuse(self, now, caller) -> None:
        first_sent_at, returns = caller
        if returns < MAX_RETURNS:
            returned = (first_sent_at, returns + 1)
            self._at(now + RETURN_S, self._arrive, returned)

    def _start(self, now, caller) -> None:
        work_s = self._rng.gammavariate(9, WORK_S / 9)
        self._at(now + work_s, self._finish, (caller, work_s))

    def _finish(self, now, started) -> None:
        (first_sent_at, _), work_s = started
        self._queue.release_slot('s', 0, work_s)
        if now - first_sent_at <= TARGET_S:
            self.on_time += 1
        else:
            self.late += 1
        while queued_request := self._queue.start_next(now):
            self._start(now, queued_request.item)

    def _tick(self, now, _) -> None:
        for queued_request in self._queue.remove_expired(now):
            self._refuse(now, queued_request.item)


class CallerWaitTest(unittest.TestCase):
    def test_what_is_missing_from_the_stated_time_was_waited(self):
        for title, stated_times_s, expected in CASES:
            with self.subTest(title):
                waits = caller_wait.CallerWaits()
                for stated_s in stated_times_s:
                    waited_s = waits.waited_s(ROUTE, stated_s, 0.0)
                self.assertAlmostEqual(expected, waited_s)

    def test_a_route_follows_when_callers_wait_for_less(self):
        waits = caller_wait.CallerWaits()
        for stated_s in FIRST:
            waits.waited_s(ROUTE, stated_s, 0.0)
        for count in range(caller_wait.MIN_REQUESTS):
            now = caller_wait.PERIOD_S + 1.0 + count
            waited_s = waits.waited_s(ROUTE, 1.0, now)
        self.assertEqual(0.0, waited_s)

    def test_more_callers_are_served_in_time_when_refused_ones_return(self):
        for load in (1.3, 1.6):
            on_time = {}
            for uses_waits in (False, True):
                runs = [Overload(load, seed, uses_waits) for seed in SEEDS]
                for run in runs:
                    run.run()
                on_time[uses_waits] = sum(run.on_time for run in runs)
                callers = sum(run.callers for run in runs)
            with self.subTest(load=load, callers=callers, on_time=on_time):
                self.assertGreater(on_time[True], 1.1 * on_time[False])
