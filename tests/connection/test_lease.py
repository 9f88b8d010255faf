"""Test that a seat has one user at a time and a share is never exceeded."""

import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from jayflow.connection import lease
from jayflow.connection import link_budget
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.version import objects

LINK = objects.Link('l', ('a', 'b'), 1e6, 80_000.0, 800.0, 0.0, 0.0, 8)
DETERMINISTIC = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=60,
)


class FakePlatform:
    """Store objects in memory; calls fail or lose responses on demand."""

    def __init__(self) -> None:
        self.entries: dict[str, api.Entry] = {}
        self.revision = 0
        self.is_down = False
        self.loses_responses = False

    def _check(self) -> None:
        if self.is_down:
            raise api.UnavailableError

    async def get(self, key):
        self._check()
        return self.entries.get(key)

    async def list(self, prefix):
        self._check()
        return api.Listing(list(self.entries.values()), self.revision)

    async def put(self, key, value, expected):
        self._check()
        entry = self.entries.get(key)
        if (entry.revision if entry else api.ABSENT) != expected:
            raise api.ConflictError
        self.revision += 1
        self.entries[key] = api.Entry(key, value, self.revision)
        if self.loses_responses:
            raise api.AmbiguousError
        return self.revision

    async def delete(self, key, expected):
        self._check()
        if self.entries[key].revision != expected:
            raise api.ConflictError
        del self.entries[key]


def _run_to_end(coro):
    """Run a coroutine that completes without suspending."""
    try:
        coro.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError('the coroutine suspended')


class SeatMachine(stateful.RuleBasedStateMachine):
    """Check that a seat has at most one user, with two nodes and one seat."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.platform = FakePlatform()
        self.seat_leases = [self._seat_lease(number) for number in range(2)]

    def _seat_lease(self, number):
        seat_lease = lease.SeatLease(
            self.platform,
            messages.NodeId(f'n{number}'),
            messages.Incarnation(number + 1),
            random.Random(number),
            lambda: self.now,
        )
        seat_lease.configure('l/a', 1)
        return seat_lease

    @stateful.rule(number=st.integers(0, 1))
    def step(self, number):
        _run_to_end(self.seat_leases[number].acquire_or_renew())

    @stateful.rule(number=st.integers(0, 1))
    def release(self, number):
        _run_to_end(self.seat_leases[number].release())

    @stateful.rule(number=st.integers(0, 1))
    def restart(self, number):
        self.seat_leases[number] = self._seat_lease(number)
        self.seat_leases[number]._incarnation += 10 * (
            1 + int(self.now * 1000)
        )

    @stateful.rule(later=st.sampled_from([0.5, 15.0, 30.0, 61.0, 70.0]))
    def pass_time(self, later):
        self.now += later

    @stateful.rule(is_down=st.booleans(), loses=st.booleans())
    def fault(self, is_down, loses):
        self.platform.is_down = is_down
        self.platform.loses_responses = loses

    @stateful.invariant()
    def a_seat_has_one_user(self):
        users = [
            seat_lease._held_entry.key
            for seat_lease in self.seat_leases
            if seat_lease.is_held(self.now)
        ]
        assert len(users) <= 1


class SeatTest(SeatMachine.TestCase):
    settings = DETERMINISTIC


class _FakeSeatLease:
    def is_held(self, now):
        return now < 100.0

    def configure(self, group, seat_count):
        self.group = (group, seat_count)


class LinkBudgetTest(unittest.TestCase):
    def setUp(self):
        self.link_budget = link_budget.LinkBudget(_FakeSeatLease())
        self.link_budget.configure(LINK, objects.RegionName('a'))

    def test_no_window_exceeds_the_share(self):
        rng = random.Random(1)
        sent, now = [], 0.0
        for _ in range(5000):
            now += rng.expovariate(500)
            size = rng.choice((10, 100, 1000, 5000))
            if self.link_budget.try_spend_traffic(size, now):
                sent.append((now, link_budget.network_bytes(size)))
            if self.link_budget.try_spend_measuring(now):
                sent.append((now, link_budget.LOAD_REPORT_BYTES))
        for end, _ in sent:
            window = sum(cost for at, cost in sent if end - 1 < at <= end)
            self.assertLessEqual(window, (80_000 + 800) / 8)
        self.assertGreater(len(sent), 100)

    def test_nothing_is_sent_without_a_seat(self):
        self.assertFalse(self.link_budget.try_spend_traffic(1, 100.0))
        self.assertFalse(self.link_budget.try_spend_measuring(100.0))

    def test_shares_add_up_to_the_budget(self):
        shares = link_budget.Shares.from_link(LINK)
        self.assertEqual(80_000.0, shares.traffic * LINK.seats)
        self.assertEqual(800.0, shares.measuring * LINK.seats)


class TakeoverTest(unittest.TestCase):
    def test_a_paused_lease_holder_stops_before_another_starts(self):
        now = 0.0
        platform = FakePlatform()
        first, second = (
            lease.SeatLease(
                platform,
                messages.NodeId(f'n{number}'),
                messages.Incarnation(number),
                random.Random(number),
                lambda: now,
            )
            for number in (1, 2)
        )
        for seat_lease in (first, second):
            seat_lease.configure('l/a', 1)
            _run_to_end(seat_lease.acquire_or_renew())
        self.assertTrue(first.is_held(now))
        users = []
        for now in range(1, 300):
            _run_to_end(second.acquire_or_renew())
            users.append(first.is_held(now) + second.is_held(now))
        self.assertEqual({0, 1}, set(users))
        self.assertTrue(second.is_held(now))
        _run_to_end(first.acquire_or_renew())
        self.assertFalse(first.is_held(now))
