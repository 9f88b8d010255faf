"""Test the dispatcher's hedges under the operator's limit.

Guards against hedges that the limit does not allow, against hedges that
break a constraint of first attempts, and against wrong counters.
"""

import asyncio
import random
import time
import unittest

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.request.decisions import hedge_budget
from jayflow.request.decisions import retry
from jayflow.request.decisions import routing
from jayflow.request import dispatch
from jayflow.request import exchange as exchanges
from jayflow.request import hedge_choice
from jayflow.request import response
from jayflow.version import objects
from tests.request import test_dispatch
from tests import virtual_time

SLOTS = 100
EAST = objects.RegionName('east')
WEST = objects.RegionName('west')
# Pays for one hedge if nearly all slots are free.
DEPOSIT = 1.5


def _policy(**changes) -> objects.Policy:
    values = {'latency_target': 0.4, 'tries': 2}
    return objects.Policy(objects.PolicyName('p'), **(values | changes))


# Title, the node's share, the policy, changes of the request, requests running
# at the second server, tokens of the retry budget, whether a hedge is sent,
# and the counters of hedges.
CASES = [
    (
        'the limit allows it',
        DEPOSIT,
        _policy(),
        {},
        0,
        10,
        True,
        {'sent': 1, 'won': 1},
    ),
    (
        'no limit is set',
        None,
        _policy(),
        {},
        0,
        10,
        True,
        {'sent': 1, 'won': 1},
    ),
    ('hedging is off', 0.0, _policy(), {}, 0, 10, False, {}),
    (
        'the policy turns hedging off',
        DEPOSIT,
        _policy(hedge_share=0.0),
        {},
        0,
        10,
        False,
        {},
    ),
    (
        'the policy allows it',
        0.0,
        _policy(hedge_share=DEPOSIT),
        {},
        0,
        10,
        True,
        {'sent': 1, 'won': 1},
    ),
    (
        'too few requests came before it',
        0.5,
        _policy(),
        {},
        0,
        10,
        False,
        {'hedge_limit': 1},
    ),
    (
        'too few slots are free',
        DEPOSIT,
        _policy(),
        {},
        SLOTS - 1,
        10,
        False,
        {'hedge_limit': 1},
    ),
    (
        'no slot is free',
        DEPOSIT,
        _policy(),
        {},
        SLOTS,
        10,
        False,
        {'no_free_slot': 1},
    ),
    (
        'the retry budget is used up',
        DEPOSIT,
        _policy(),
        {},
        0,
        0,
        False,
        {'retry_budget': 1},
    ),
    (
        'the request is not idempotent',
        DEPOSIT,
        _policy(),
        {'is_idempotent': False},
        0,
        10,
        False,
        {},
    ),
    (
        'the request may have crashed a server',
        DEPOSIT,
        _policy(),
        {'is_suspect': True},
        0,
        10,
        False,
        {},
    ),
    (
        'its body is still being sent',
        DEPOSIT,
        _policy(),
        {'has_more_body': True},
        0,
        10,
        False,
        {},
    ),
    ('only one try', DEPOSIT, _policy(tries=1), {}, 0, 10, False, {}),
    (
        'the second server is outside the allowed regions',
        DEPOSIT,
        _policy(),
        {'allowed_regions': frozenset((EAST,))},
        0,
        10,
        False,
        {},
    ),
]


class HedgeChoiceTest(virtual_time.VirtualTimeTestCase):
    def build(self, node_share, second_running, retry_tokens, *scripts):
        """Return a dispatcher; its first server is the one chosen first."""
        self.metrics = metrics_module.Metrics()
        self.receivers = [test_dispatch.FakeReceiver(row) for row in scripts]
        self.exchanges = exchanges.ExchangeTable(
            test_dispatch.SENDER, self.metrics
        )
        now = time.monotonic()
        self.views = []
        for number, region in enumerate((EAST, WEST)):
            member = members.Member(
                messages.NodeId(f'n{number}'),
                messages.Incarnation(10 + number),
                objects.DataCentreName('dc'),
                '127.0.0.1',
                number,
                (objects.ServiceName('s'),),
                SLOTS,
            )
            view = routing.PeerView(member, routing.Distance.SAME_DATA_CENTRE)
            view.region = region
            running = second_running if number else 0
            view.record_load(messages.Load(running, 0, SLOTS, 0.0), now)
            self.receivers[number].deliver = self.exchanges.deliver
            self.views.append(view)
        # Until the first server was chosen.
        self.views[1].cooldown_until = now + 0.1

        def new_budget(share):
            return retry.RetryBudget(share, lambda: retry_tokens)

        return dispatch.Dispatcher(
            self.exchanges,
            lambda service, regions: self.views,
            lambda view, lane: self.receivers[self.views.index(view)],
            self.metrics,
            random.Random(1),
            objects.DataCentreName('dc'),
            new_budget,
            node_hedge_share=lambda: node_share,
        )

    def hedge_counters(self) -> dict[str, int]:
        return {
            name.removeprefix('hedge.'): count
            for name, count in self.metrics.counters.items()
            if name.startswith('hedge.')
        }

    def run_request(self, *build_arguments, **changes):
        """Run one request and close its response; return the result."""

        async def main(loop):
            dispatcher = self.build(*build_arguments)
            now = time.monotonic()
            values = {'deadline': now + 2, 'arrived_at': now} | changes
            result = await dispatcher.run(test_dispatch.request(**values))
            if isinstance(result, response.Response):
                result.close()
            self.assertEqual(0, len(self.exchanges))
            self.assertEqual([0, 0], [view.in_flight for view in self.views])
            return result

        return self.run_virtual(main)

    def test_hedges_and_their_counters(self):
        for (
            title,
            node_share,
            policy,
            changes,
            running,
            tokens,
            is_sent,
            counters,
        ) in CASES:
            with self.subTest(title):
                result = self.run_request(
                    node_share,
                    running,
                    tokens,
                    self.respond_after(1.5),
                    self.respond_after(0.01),
                    policy=policy,
                    **changes,
                )
                self.assertIsInstance(result, response.Response)
                starts = self.receivers[1].starts
                self.assertEqual(int(is_sent), len(starts))
                self.assertEqual(counters, self.hedge_counters())
                cancelled = len(self.receivers[0].cancelled)
                self.assertEqual(int(is_sent), cancelled)
                if is_sent:
                    may_queue = starts[0].max_queue_length > 0
                    self.assertEqual(node_share is None, may_queue)

    def test_a_hedge_that_loses_is_cancelled_and_not_counted_as_won(self):
        result = self.run_request(
            DEPOSIT, 0, 10, self.respond_after(0.8), lambda start: []
        )
        self.assertIsInstance(result, response.Response)
        self.assertEqual({'sent': 1}, self.hedge_counters())
        self.assertEqual(1, len(self.receivers[1].cancelled))
        self.assertEqual([], self.receivers[0].cancelled)

    def test_a_hedge_that_its_receiver_refuses_ends_nothing(self):
        # The server reported a free slot that it doesn't have.
        result = self.run_request(
            DEPOSIT,
            0,
            10,
            self.respond_after(0.8),
            lambda start: [
                messages.Refused(start.attempt, 'queue_full', None)
            ],
        )
        self.assertIsInstance(result, response.Response)
        self.assertEqual(1, len(self.receivers[1].starts))
        self.assertEqual({'sent': 1}, self.hedge_counters())

    def test_each_hedge_is_paid_for(self):
        async def main(loop):
            respond = self.respond_after(1.5)
            dispatcher = self.build(0.6, 0, 10, respond, respond)
            now = time.monotonic()
            results = await asyncio.gather(
                *[
                    dispatcher.run(
                        test_dispatch.request(deadline=now + 2, arrived_at=now)
                    )
                    for _ in range(3)
                ]
            )
            for result in results:
                result.close()

        self.run_virtual(main)
        # The three requests deposit 1.8 tokens.
        self.assertEqual(1, self.metrics.counters['hedge.sent'])
        self.assertEqual(2, self.metrics.counters['hedge.hedge_limit'])

    def respond_after(self, delay_s):
        """Return a script that responds to each Start after a delay."""

        def respond(start):
            loop = asyncio.get_running_loop()
            loop.call_later(
                delay_s, self.exchanges.deliver, test_dispatch.head(start)
            )
            return []

        return respond


class HedgeLimitsTest(unittest.TestCase):
    def test_services_have_separate_budgets(self):
        limits = hedge_choice.HedgeLimits(lambda: 1.0)
        other = test_dispatch.request(service=objects.ServiceName('other'))
        req = test_dispatch.request()
        limits.deposit(other)
        self.assertFalse(limits.budget_of(req).has_tokens(1.0))
        self.assertTrue(limits.budget_of(other).has_tokens(1.0))

    def test_a_changed_setting_takes_effect(self):
        shares = [1.0]
        limits = hedge_choice.HedgeLimits(lambda: shares[0])
        req = test_dispatch.request()
        limits.deposit(req)
        self.assertIsInstance(limits.budget_of(req), hedge_budget.HedgeBudget)
        shares[0] = None
        self.assertIsNone(limits.budget_of(req))


if __name__ == '__main__':
    unittest.main()
