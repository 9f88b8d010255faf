"""Test admission under a load above the capacity, in virtual time."""

import heapq
import itertools
import random
import unittest

from jayflow.request.decisions import admission
from jayflow.request import outcome

SLOTS = 18
WORK_S = 0.22
TARGET_S = 0.6
DEADLINE_S = 1.5
CAPACITY_PER_S = SLOTS / WORK_S
TICK_S = 0.01


class Simulation:
    """Feed the queue of one server and count what callers get."""

    def __init__(self, load: float, urgent_share: float = 0.0) -> None:
        self.admission = admission.AdmissionQueue(SLOTS)
        self.on_time = [0, 0]
        self.late = 0
        self.refusal_times_s = []
        self._events = []
        self._order = itertools.count()
        rng = random.Random(1)
        now = 0.0
        while now < 10.0:
            now += rng.expovariate(load * CAPACITY_PER_S)
            rank = 0 if rng.random() < urgent_share else 1
            work_s = rng.gammavariate(16, WORK_S / 16)
            self._schedule(now, self._arrive, (now, rank, work_s))
        for tick in range(int(12.0 / TICK_S)):
            self._schedule(tick * TICK_S, self._tick, None)

    def run(self) -> None:
        """Process all events."""
        while self._events:
            now, _, action, arg = heapq.heappop(self._events)
            action(now, arg)

    def _schedule(self, time_s, action, arg) -> None:
        event = (time_s, next(self._order), action, arg)
        heapq.heappush(self._events, event)

    def _arrive(self, now, req) -> None:
        arrived, rank, _ = req
        if self.admission.try_start('s', rank):
            self._start(now, req)
            return
        queued_request = admission.QueuedRequest(
            req,
            's',
            rank,
            arrived + DEADLINE_S - WORK_S,
            outcome.Reason.QUEUE_TIME,
            target_start=admission.latest_start(arrived, TARGET_S, WORK_S),
        )
        rejection = self.admission.enqueue(queued_request, 1000, now)
        if rejection is not None:
            refused_arrival = rejection.queued_request.item[0]
            self.refusal_times_s.append(now - refused_arrival)

    def _start(self, now, req) -> None:
        self._schedule(now + req[2], self._finish, req)

    def _finish(self, now, req) -> None:
        arrived, rank, work_s = req
        self.admission.release_slot('s', rank, work_s)
        if now - arrived <= TARGET_S:
            self.on_time[rank] += 1
        else:
            self.late += 1
        while queued_request := self.admission.start_next(now):
            self._start(now, queued_request.item)

    def _tick(self, now, _) -> None:
        for queued_request in self.admission.remove_expired(now):
            self.refusal_times_s.append(now - queued_request.item[0])


class OverloadTest(unittest.TestCase):
    def test_most_of_the_capacity_is_used_on_time(self):
        for load in (1.2, 1.5, 2.0):
            with self.subTest(load=load):
                simulation = Simulation(load)
                simulation.run()
                capacity = 10.0 * CAPACITY_PER_S
                self.assertGreater(sum(simulation.on_time), 0.9 * capacity)
                served = sum(simulation.on_time) + simulation.late
                self.assertGreater(served, 0.9 * capacity)

    def test_urgent_requests_are_served_first(self):
        simulation = Simulation(1.5, urgent_share=0.3)
        simulation.run()
        urgent = 0.3 * 1.5 * 10.0 * CAPACITY_PER_S
        self.assertGreater(simulation.on_time[0], 0.95 * urgent)

    def test_requests_are_refused_well_before_the_deadline(self):
        simulation = Simulation(2.0)
        simulation.run()
        self.assertLess(max(simulation.refusal_times_s), DEADLINE_S - WORK_S)
        early = sum(time_s < TARGET_S for time_s in simulation.refusal_times_s)
        self.assertGreater(early, 0.8 * len(simulation.refusal_times_s))
