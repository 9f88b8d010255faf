"""Test the queries for tokens of a team between nodes.

A query per request, or one that a caller's disconnection leaks tokens from,
would cost what the limit is to save.
"""

import asyncio
from unittest import mock

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import member_directory
from jayflow.process import owner_order
from jayflow.process import subset
from jayflow.process import team_limits
from jayflow.version import objects
from tests.process import team_fleet
from tests import virtual_time

TEAM = objects.Team('t', rate=20.0, burst=20.0)
# The owner's bucket is full by then.
FULL_AT_S = 3.0


class QueriesTest(virtual_time.VirtualTimeTestCase):
    def run_fleet(self, scenario, count=4):
        """Return what a scenario returns for a fleet with full buckets."""

        async def main(loop):
            fleet = team_fleet.Fleet(loop, count, [TEAM])
            # The first query makes the owner's bucket.
            await fleet.submit('t', fleet.owner('t', 1))
            await asyncio.sleep(FULL_AT_S)
            for node in fleet.nodes.values():
                node.metrics.counters.clear()
            fleet.admitted.clear()
            fleet.messages = 0
            return await scenario(fleet)

        return self.run_virtual(main)

    def test_the_owner_sends_no_message_for_its_own_requests(self):
        async def scenario(fleet):
            for _ in range(20):
                await fleet.submit('t', fleet.owner('t'))
            return fleet

        fleet = self.run_fleet(scenario)
        self.assertEqual(20, len(fleet.admitted['t']))
        self.assertEqual(0, fleet.messages)

    def test_requests_that_wait_share_one_query(self):
        async def scenario(fleet):
            name = fleet.owner('t', 1)
            await asyncio.gather(*(fleet.submit('t', name) for _ in range(9)))
            return fleet

        fleet = self.run_fleet(scenario)
        self.assertEqual(9, len(fleet.admitted['t']))
        # One for the first, one for those that came meanwhile.
        self.assertLessEqual(fleet.messages, 4)

    def test_refused_requests_send_no_message_while_no_token_is_free(self):
        async def scenario(fleet):
            name = fleet.owner('t', 1)
            await asyncio.gather(*(fleet.submit('t', name) for _ in range(60)))
            await fleet.submit('t', name)
            before = fleet.messages
            await asyncio.gather(*(fleet.submit('t', name) for _ in range(50)))
            return fleet.messages - before, fleet

        sent, fleet = self.run_fleet(scenario)
        self.assertEqual(0, sent)
        waits_s = [wait_s for _, wait_s in fleet.refused['t']]
        self.assertTrue(all(wait_s > 0 for wait_s in waits_s))
        # Callers do not all come back at the same time.
        self.assertGreater(len(set(waits_s[-50:])), 20)

    def test_a_caller_that_disconnects_leaks_no_token(self):
        async def scenario(fleet):
            name = fleet.owner('t', 1)
            limits = fleet.nodes[name].limits
            for _ in range(10):
                # They are gone before the answer, or at the same moment.
                for wait_s in (0.0, 0.001, 0.024):
                    tasks = [
                        asyncio.ensure_future(limits.acquire('t'))
                        for _ in range(5)
                    ]
                    await asyncio.sleep(wait_s)
                    for task in tasks:
                        task.cancel()
                    await asyncio.gather(*tasks, return_exceptions=True)
            # The next query returns what is left.
            await asyncio.sleep(1.1)
            await asyncio.gather(*(fleet.submit('t', name) for _ in range(18)))
            return fleet

        fleet = self.run_fleet(scenario)
        self.assertEqual(18, len(fleet.admitted['t']))

    def test_a_planned_stop_moves_the_bucket_at_once(self):
        async def scenario(fleet):
            fleet.stop(fleet.owner('t'))
            await fleet.offer('t', 100, [fleet.owner('t', 2)], fleet.now() + 2)
            return fleet

        fleet = self.run_fleet(scenario)
        # The new bucket begins empty.
        self.assertGreater(len(fleet.admitted['t']), 0.8 * 2 * TEAM.rate)
        self.assertLess(len(fleet.admitted['t']), 1.2 * 2 * TEAM.rate)

    def test_a_lowered_limit_holds_within_a_second(self):
        async def scenario(fleet):
            lower = objects.Team('t', rate=2.0, burst=2.0)
            fleet.teams['t'] = lower
            await asyncio.sleep(1.0)
            fleet.admitted.clear()
            names = fleet.names
            await fleet.offer('t', 50, names, fleet.now() + 5)
            return fleet

        fleet = self.run_fleet(scenario)
        self.assertLessEqual(len(fleet.admitted['t']), 2 * 5 + 4)

    def test_a_claim_that_fails_is_sent_again(self):
        # The team was refused for ever, as the failed claim never ended.
        async def main(loop):
            fleet = team_fleet.Fleet(loop, 4, [TEAM])
            owner = fleet.owner('t')
            loop.set_exception_handler(lambda *_: None)
            with mock.patch.object(
                team_fleet.Channel, 'send', side_effect=OSError
            ):
                await fleet.submit('t', owner)
            await fleet.offer('t', TEAM.rate, [owner], fleet.now() + 3)
            return fleet

        fleet = self.run_virtual(main)
        self.assertGreater(len(fleet.admitted['t']), TEAM.rate)

    def test_teams_with_most_refusals_are_named(self):
        async def scenario(fleet):
            limits = next(iter(fleet.nodes.values())).limits
            for index in range(30):
                fleet.teams[f'x{index}'] = objects.Team(f'x{index}', rate=0.1)
                for _ in range(index + 1):
                    await limits.acquire(f'x{index}')
            return limits.refusals()

        refusals = self.run_fleet(scenario)
        self.assertEqual(team_limits.MAX_SHOWN_TEAMS + 1, len(refusals))
        self.assertIn(team_limits.OTHER_TEAMS, refusals)
        self.assertIn('x29', refusals)

    def test_a_team_without_a_rate_is_not_limited_by_the_owner(self):
        # The owner may know of a lifted limit before the asking node.
        async def scenario(fleet):
            fleet.teams['t'] = objects.Team('t')
            name = fleet.owner('t', 1)
            await asyncio.gather(*(fleet.submit('t', name) for _ in range(99)))
            return fleet

        fleet = self.run_fleet(scenario)
        self.assertEqual(99, len(fleet.admitted['t']))


class OwnerOrderTest(virtual_time.VirtualTimeTestCase):
    def member(self, index):
        return members.Member(
            messages.NodeId(f'n{index}'), index, 'd', '127.0.0.1', index
        )

    def expected(self, directory):
        names = {view.member.node for view in directory.peer_views()} | {'n0'}
        return sorted(
            names, key=lambda name: subset.rendezvous_hash('t', name)
        )[: owner_order.MIN_KEPT_NODES]

    def test_the_order_follows_the_members(self):
        directory = member_directory.MemberDirectory('n0', 'd')
        order = owner_order.OwnerOrder('n0', directory)
        self.assertEqual(['n0'], order.first_nodes('t'))
        for index in range(1, 60):
            directory.put(self.member(index))
            self.assertEqual(
                self.expected(directory),
                order.first_nodes('t')[: owner_order.MIN_KEPT_NODES],
            )
        for index in range(1, 60):
            directory.remove(f'n{index}')
            self.assertEqual(
                self.expected(directory),
                order.first_nodes('t')[: owner_order.MIN_KEPT_NODES],
            )

    def test_a_restart_keeps_the_order_cached(self):
        directory = member_directory.MemberDirectory('n0', 'd')
        directory.put(self.member(1))
        before = directory.membership
        directory.put(
            members.Member(messages.NodeId('n1'), 99, 'd', '127.0.0.1', 1)
        )
        self.assertEqual(before, directory.membership)
