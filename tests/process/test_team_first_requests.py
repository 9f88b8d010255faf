"""Test what the first requests of a team get after a quiet time.

A bucket that always starts empty refuses requests within the limit; one that
starts full although another node has granted lets the bound be exceeded.
"""

import asyncio
import itertools
from unittest import mock

from jayflow.process import team_owner
from jayflow.version import objects
from tests.process import team_fleet
from tests import virtual_time

NODES = 12
RATES = (5, 7, 10, 15, 20, 40, 70, 110)
USUAL_LOAD = 1 / 1.6
SURGE = 7.5
LARGE = objects.Team('t', rate=110.0, burst=110.0)
# Nodes have been up for longer than a window by then.
QUIET_UNTIL_S = 10.0


def remove_owner(fleet):
    """Kill the owner of the time, and let all nodes forget it."""
    name = next(
        name
        for name in (fleet.owner('t', rank) for rank in range(NODES))
        if fleet.nodes[name].is_alive
    )
    fleet.kill(name)
    for node in fleet.nodes.values():
        node.directory.remove(name)


def restart_owner(fleet):
    fleet.kill(fleet.owner('t'))
    fleet.start(fleet.owner('t'))


def freeze(duration_s):
    return lambda fleet: fleet.freeze(fleet.owner('t'), duration_s)


def part_first_two(fleet):
    """Break the link of the first two, and let half reach the first."""
    first = fleet.owner('t')
    for rank in (1, *range(2, NODES, 2)):
        fleet.broken_links.add((first, fleet.owner('t', rank)))


def join(fleet):
    fleet.broken_links.clear()


def evict(fleet):
    """Let the owner drop the bucket of the team for those of others."""
    owner = fleet.owner('t')
    names = (f'x{index}' for index in itertools.count())
    owned = (name for name in names if fleet.owner(name) == owner)
    for name in itertools.islice(owned, team_owner.MAX_BUCKETS):
        fleet.teams[name] = objects.Team(name, rate=1.0)
        task = asyncio.ensure_future(fleet.submit(name, owner))
        fleet.tasks.add(task)
        task.add_done_callback(fleet.tasks.discard)


# Title and faults with their times; the surge begins after the quiet time.
FAULT_CASES = [
    ('no fault', []),
    ('owner removed', [(11.0, remove_owner)]),
    ('two owners removed', [(11.0, remove_owner), (13.0, remove_owner)]),
    ('owner restarted', [(11.0, restart_owner)]),
    ('owner frozen shortly', [(9.5, freeze(1.0))]),
    ('owner frozen', [(9.5, freeze(8.0))]),
    # For longer, the second node grants at the full rate as well.
    ('no link of the first two', [(9.0, part_first_two), (14.0, join)]),
    ('bucket dropped', [(11.0, evict)]),
]


class FirstRequestsTest(virtual_time.VirtualTimeTestCase):
    def test_the_first_requests_within_the_limit_are_admitted(self):
        async def main(loop):
            teams = [
                objects.Team(f't{rate}', rate=rate, burst=rate)
                for rate in RATES
            ]
            fleet = team_fleet.Fleet(loop, NODES, teams)
            await asyncio.sleep(QUIET_UNTIL_S)
            loads = []
            for index, team in enumerate(teams):
                names = fleet.names
                if team.rate < 20:
                    names = names[index : index + 3]
                loads.append(
                    fleet.offer(
                        team.name,
                        team.rate * USUAL_LOAD,
                        names,
                        QUIET_UNTIL_S + 2,
                    )
                )
            await asyncio.gather(*loads)
            return fleet

        fleet = self.run_virtual(main)
        refused = sum(len(times) for times in fleet.refused.values())
        admitted = sum(len(times) for times in fleet.admitted.values())
        self.assertGreater(admitted, 200)
        self.assertLessEqual(refused, 0.005 * admitted)

    def surge(self, faults, seed=1):
        """Return a fleet after the first surge of a team."""

        async def main(loop):
            fleet = team_fleet.Fleet(loop, NODES, [LARGE], seed)
            for at, fault in faults:
                loop.call_at(at, fault, fleet)
            await asyncio.sleep(QUIET_UNTIL_S)
            load = SURGE * LARGE.rate * USUAL_LOAD
            await fleet.offer('t', load, fleet.names, QUIET_UNTIL_S + 14)
            return fleet

        return self.run_virtual(main)

    def test_the_bound_holds(self):
        for title, faults in FAULT_CASES:
            with self.subTest(title):
                fleet = self.surge(faults)
                self.assertLessEqual(
                    fleet.most_in_window('t'), fleet.bound('t')
                )

    def test_the_check_finds_a_new_owner_with_a_full_bucket(self):
        with mock.patch.object(
            team_owner.TeamOwner, '_is_settled', return_value=True
        ):
            fleet = self.surge([(11.0, remove_owner), (13.0, remove_owner)])
        self.assertGreater(fleet.most_in_window('t'), fleet.bound('t'))
