"""Test the tokens of a team's limit at their owner and in the stocks.

A token that is granted twice lets a team exceed its limit; one that is lost
refuses a request that is within it.
"""

import bisect
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from jayflow.request.decisions import team_limit
from jayflow.request.decisions import team_stock

Demand = team_limit.Demand
LIMIT = team_limit.Limit.from_rate(10.0, 10.0)


def new_bucket(limit=LIMIT, now=0.0):
    """Return an empty bucket that grants at the full rate."""
    return team_limit.TeamBucket(limit, now, full_at=now)


class LimitTest(unittest.TestCase):
    def test_the_parts_of_the_bound_add_up(self):
        for rate in (0.2, 5, 20, 40, 110, 1000):
            for burst in (0, 1, rate, 5 * rate):
                with self.subTest(rate=rate, burst=burst):
                    limit = team_limit.Limit.from_rate(rate, burst)
                    most = limit.capacity + limit.stock
                    most += rate * 5.15 + limit.takeover_rate * 6
                    self.assertLessEqual(
                        most, (rate * 5 + burst) * 1.1 + 20 + 1e-6
                    )
                    self.assertGreater(limit.takeover_rate, 0)
                    self.assertGreaterEqual(limit.capacity, max(1, burst))


class TeamBucketTest(unittest.TestCase):
    def test_tokens_by_time(self):
        # Title, time of the query, wanted, granted.
        cases = [
            ('a new bucket is empty', 0.0, 1, 0),
            ('it fills at the rate', 0.5, 9, 5),
            ('and not beyond the burst', 60.0, 99, 10),
        ]
        for title, now, wanted, granted in cases:
            with self.subTest(title):
                grant = new_bucket().grant(1, Demand(wanted, wanted), now)
                self.assertEqual(granted, grant.tokens)
                self.assertEqual(granted < wanted, grant.retry_after_s > 0)

    def test_a_lower_limit_holds_at_once(self):
        bucket = new_bucket()
        bucket.set_limit(team_limit.Limit.from_rate(2.0, 5.0), 60.0)
        self.assertEqual(5, bucket.grant(1, Demand(9, 9), 60.0).tokens)
        self.assertEqual(1, bucket.grant(1, Demand(9, 9), 60.5).tokens)

    def test_returned_tokens_come_back_only_where_there_is_room(self):
        # Title, time of the return, tokens that are free after it.
        cases = [('soon', 60.2, 10), ('late', 61.5, 10), ('never', 60.2, 2)]
        for title, now, free in cases:
            with self.subTest(title):
                bucket = new_bucket()
                self.assertEqual(
                    10, bucket.grant(1, Demand(10, 10), 60).tokens
                )
                returned = 0 if title == 'never' else 10
                bucket.grant(1, Demand(0, 0, returned), now)
                grant = bucket.grant(2, Demand(99, 99), now)
                self.assertEqual(free, grant.tokens)

    def test_tokens_that_were_never_granted_do_not_come_back(self):
        bucket = new_bucket()
        grant = bucket.grant(1, Demand(99, 99, returned=50), 0.1)
        self.assertEqual(1, grant.tokens)

    def test_a_repeated_query_gets_the_same_answer(self):
        bucket = new_bucket()
        demand = Demand(3, 3, sequence=7)
        first = bucket.grant(1, demand, 60.0)
        self.assertEqual(first, bucket.grant(1, demand, 60.0))
        self.assertEqual(7, bucket.grant(2, Demand(9, 9), 60.0).tokens)

    def test_a_takeover_grants_less_and_has_no_stock(self):
        bucket = team_limit.TeamBucket(LIMIT, 0.0, full_at=5.0)
        tokens = sum(
            bucket.grant(1, Demand(9, 9), step / 10).tokens
            for step in range(50)
        )
        self.assertAlmostEqual(LIMIT.takeover_rate * 4.9, tokens, delta=1.5)
        self.assertEqual(0, bucket.grant(2, Demand(5, 0), 4.9).tokens)
        self.assertEqual(10, bucket.grant(1, Demand(99, 99), 60.0).tokens)

    def test_a_takeover_drops_the_tokens_of_the_full_rate(self):
        bucket = new_bucket()
        bucket.begin_takeover(60.0, 65.0)
        self.assertEqual(0, bucket.grant(1, Demand(9, 9), 60.0).tokens)

    def test_competitors_get_equal_shares(self):
        # One asks ten times as often and for more.
        bucket = new_bucket(team_limit.Limit.from_rate(20.0, 0.0))
        tokens = [0, 0, 0]
        for step in range(1, 2001):
            for asker, every, wanted in ((0, 1, 9), (1, 10, 3), (2, 10, 3)):
                if step % every == 0:
                    grant = bucket.grant(
                        asker, Demand(wanted, wanted), step * 0.03
                    )
                    tokens[asker] += grant.tokens
        self.assertGreater(min(tokens), sum(tokens) / 3 / 3)
        self.assertGreater(sum(tokens), 0.95 * 20 * 60)

    def test_a_takeover_keeps_no_token_for_askers_that_waited_longer(self):
        # It holds one token, so that only one of all askers could get it, and
        # most of the takeover rate was lost.
        bucket = team_limit.TeamBucket(LIMIT, 0.0, full_at=5.0)
        for asker in range(12):
            bucket.grant(asker, Demand(1, 1), asker / 100)
        self.assertEqual(1, bucket.grant(11, Demand(1, 1), 0.9).tokens)

    def test_the_retry_time_grows_with_the_refused_demand(self):
        bucket = new_bucket()
        waits_s = [
            bucket.grant(asker, Demand(5, 5), 0.01).retry_after_s
            for asker in range(20)
        ]
        self.assertEqual(sorted(waits_s), waits_s)
        self.assertLess(waits_s[0], 1)
        self.assertGreater(waits_s[-1], 4)
        self.assertLessEqual(waits_s[-1], team_limit.MAX_RETRY_AFTER_S)

    def test_state_is_bounded_by_the_recent_askers(self):
        bucket = new_bucket()
        for asker in range(10000):
            bucket.grant(asker, Demand(1, 1), asker / 100)
        self.assertLess(len(bucket._askers), 200)


class StockTest(unittest.TestCase):
    def fill(self, stock, tokens, now):
        """Grant tokens to a stock without a request that waits."""
        asked = Demand(tokens, 0)
        stock.record_grant(asked, team_limit.Grant(tokens), now, now)

    def test_a_stock_expires_and_returns_its_tokens_to_its_owner(self):
        # Title, owner that is asked, time, returned, held.
        cases = [
            ('in time', 'a', 0.9, 0, 2),
            ('expired', 'a', 1.0, 2, 0),
            ('of another owner', 'b', 1.0, 0, 0),
        ]
        for title, owner, now, returned, held in cases:
            with self.subTest(title):
                stock = team_stock.Stock()
                stock.demand('a', 0, 0.0)
                self.fill(stock, 3, 0.0)
                self.assertTrue(stock.take(0.5))
                asked = stock.demand(owner, 1, now)
                self.assertEqual(
                    (returned, held), (asked.returned, asked.held)
                )
                self.assertEqual(held > 0, stock.take(now))

    def test_an_expired_stock_is_not_looked_at_again_and_again(self):
        # Every 2 ms until the owner's refusal had passed.
        stock = team_stock.Stock()
        for _ in range(9):
            stock.record_demand(0.0)
        self.fill(stock, 3, 0.0)
        asked = stock.demand('n1', 0, 0.9)
        stock.record_grant(asked, team_limit.Grant(0, 0.4), 0.9, 0.9)
        self.assertFalse(stock.needs_renewal(1.1))
        self.assertGreater(stock.renewal_wait_s(1.1), 0.1)

    def test_only_tokens_that_were_asked_for_are_kept(self):
        # Title, granted, time of the answer, admitted, kept for later.
        cases = [
            ('as asked', 5, 0.01, 2, 3),
            ('more than asked', 9, 0.01, 2, 3),
            ('fewer than wait', 1, 0.01, 1, 0),
            ('after the time-out', 5, 0.2, 0, 3),
        ]
        for title, granted, now, admitted, kept in cases:
            with self.subTest(title):
                stock = team_stock.Stock()
                grant = team_limit.Grant(granted)
                self.assertEqual(
                    admitted, stock.record_grant(Demand(5, 2), grant, 0.0, now)
                )
                taken = [stock.take(now) for _ in range(5)]
                self.assertEqual(kept, sum(taken))

    def test_a_refusal_is_remembered(self):
        stock = team_stock.Stock()
        stock.record_demand(0.0)
        stock.record_grant(Demand(1, 1), team_limit.Grant(0, 0.3), 0.0, 0.0)
        self.assertTrue(stock.is_held(0.29))
        self.assertFalse(stock.is_low(0.29))
        self.assertFalse(stock.is_held(0.3))
        waits_s = [stock.refuse(0.1) for _ in range(5)]
        self.assertEqual(sorted(waits_s), waits_s)
        self.assertLess(waits_s[0], waits_s[-1])


class TeamTokensMachine(stateful.RuleBasedStateMachine):
    """Check the bound over all nodes for any order of what may happen."""

    RATE, BURST, NODES = 20.0, 10.0, 3

    def __init__(self):
        super().__init__()
        self.now = 0.0
        limit = team_limit.Limit.from_rate(self.RATE, self.BURST)
        self.bucket = new_bucket(limit)
        self.stocks = [team_stock.Stock() for _ in range(self.NODES)]
        self.answers = []
        self.served = []

    @stateful.rule(node=st.integers(0, NODES - 1), waiting=st.integers(0, 12))
    def ask(self, node, waiting):
        for _ in range(waiting):
            self.stocks[node].record_demand(self.now)
        asked = self.stocks[node].demand('owner', waiting, self.now)
        grant = self.bucket.grant(node, asked, self.now)
        self.answers.append((self.stocks[node], asked, grant, self.now))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(index=st.integers(0, 100), gone=st.integers(0, 3))
    def receive(self, index, gone):
        answer = self.answers.pop(index % len(self.answers))
        stock, asked, grant, asked_at = answer
        admitted = stock.record_grant(asked, grant, asked_at, self.now)
        gone = min(gone, admitted)
        stock.give_up(gone)
        self.served += [self.now] * (admitted - gone)

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(index=st.integers(0, 100))
    def lose(self, index):
        self.answers.pop(index % len(self.answers))

    @stateful.rule(node=st.integers(0, NODES - 1), count=st.integers(1, 20))
    def use_stock(self, node, count):
        for _ in range(count):
            if self.stocks[node].take(self.now):
                self.served.append(self.now)

    @stateful.rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        old, self.stocks[node] = self.stocks[node], team_stock.Stock()
        self.answers = [row for row in self.answers if row[0] is not old]

    @stateful.rule(elapsed_s=st.sampled_from((0.01, 0.1, 0.3, 0.9, 2.0)))
    def wait(self, elapsed_s):
        self.now += elapsed_s

    @stateful.invariant()
    def the_bound_holds(self):
        since = bisect.bisect_left(self.served, self.now - 5.0)
        bound = (self.RATE * 5 + self.BURST) * 1.1 + 20
        assert len(self.served) - since <= bound


TeamTokensTest = TeamTokensMachine.TestCase
TeamTokensTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=50,
)
