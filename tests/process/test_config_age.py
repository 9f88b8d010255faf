"""Check that nodes learn the age of their version from each other.

Otherwise a node that the store rejects would refuse all requests with a key,
although its peers know that its version is the newest.
"""

import itertools

import anyio

from jayflow.connection import messages
from jayflow.process import config_age
from jayflow.version import snapshot
from tests.process import config_age_fleet
from tests import virtual_time


class ConfigAgeTest(virtual_time.VirtualTimeTestCase):
    def test_a_node_that_the_store_rejects_learns_from_its_peers(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 6)
            fleet.rejected = {'n5'}
            return await fleet.run(20.0)

        highest_s = self.run_virtual(main)
        self.assertLess(
            max(highest_s.values()), 0.95 * config_age_fleet.MAX_AGE_S
        )

    def test_a_node_that_is_cut_off_refuses_until_it_has_an_answer(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 6)
            tracker, states = fleet.trackers['n5'], []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.run, 20.0)
                await anyio.sleep(4.0)
                fleet.cut_off = {'n5'}
                states.append(tracker.is_fresh())
                await anyio.sleep(0.95 * config_age_fleet.MAX_AGE_S)
                states.append(tracker.is_fresh())
                fleet.cut_off = set()
                await anyio.sleep(3.0)
                states.append(tracker.is_fresh())
            return states

        self.assertEqual([True, False, True], self.run_virtual(main))

    def test_no_node_is_fresh_while_the_store_is_down(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 6)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.run, 15.0)
                await anyio.sleep(5.0)
                fleet.rejected = set(fleet.names)
                await anyio.sleep(0.95 * config_age_fleet.MAX_AGE_S)
                return [
                    tracker.is_fresh() for tracker in fleet.trackers.values()
                ]

        self.assertEqual([False] * 6, self.run_virtual(main))

    def test_a_higher_version_of_a_peer_is_requested(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 6)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.run, 9.0)
                await anyio.sleep(4.0)
                fleet.stored = 2
                await anyio.sleep(4.0)
                return [
                    (held.current.number, fleet.trackers[name].is_fresh())
                    for name, held in fleet.held.items()
                ]

        self.assertEqual([(2, True)] * 6, self.run_virtual(main))

    def test_a_peer_without_connection_does_not_stop_the_queries(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 6)
            fleet.rejected = {'n5'}
            fleet.unconnected = {'n0', 'n3'}
            return await fleet.run(20.0)

        self.assertLess(
            self.run_virtual(main)['n5'], 0.95 * config_age_fleet.MAX_AGE_S
        )

    def test_only_the_active_version_is_confirmed(self):
        # A store that was restored from a copy may hold a lower version, and
        # the versions after that one may have revoked keys.
        cases = [
            ('active', 3, True),
            ('lower, after a restore', 2, False),
            ('higher, not applied', 4, False),
            ('unknown', None, False),
        ]
        for title, stored, is_fresh in cases:
            with self.subTest(title):

                async def main(loop, stored=stored):
                    fleet = config_age_fleet.Fleet(loop, 1)
                    fleet.held['n0'].apply(config_age_fleet.version(3))
                    fleet.trackers['n0'].confirm(stored, loop.time())
                    return fleet.trackers['n0'].is_fresh()

                self.assertIs(is_fresh, self.run_virtual(main))

    def test_a_node_without_peers_reads_from_the_store(self):
        # At most once a second, or an outage of the network would let all
        # nodes call the store without pause.
        for title, is_rejected in (('served', False), ('rejected', True)):
            with self.subTest(title):

                async def main(loop, is_rejected=is_rejected):
                    fleet = config_age_fleet.Fleet(loop, 3)
                    fleet.unconnected = set(fleet.names)
                    reader = next(
                        name
                        for name in fleet.names
                        if name not in fleet.watchers
                    )
                    fleet.rejected = {reader} if is_rejected else set()
                    highest_s = await fleet.run(20.0)
                    return fleet.read_at, highest_s[reader]

                read_at, highest_s = self.run_virtual(main)
                self.assertEqual(
                    is_rejected, highest_s > 0.95 * config_age_fleet.MAX_AGE_S
                )
                gaps_s = [
                    later - earlier
                    for earlier, later in itertools.pairwise(read_at)
                ]
                self.assertGreaterEqual(
                    min(gaps_s), config_age.READ_INTERVAL_S
                )

    def test_nodes_read_seldom_what_they_can_not_confirm(self):
        # After a restore to a lower version, every node once read from the
        # store every second.
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 6)
            for held in fleet.held.values():
                held.apply(config_age_fleet.version(3))
            await fleet.run(60.0)
            return len(fleet.read_at)

        self.assertLessEqual(self.run_virtual(main), 6 * 6)

    def test_a_node_answers_a_bounded_number_of_queries(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 1)
            tracker = fleet.trackers['n0']
            attempt = messages.AttemptId(messages.Incarnation(2), 1)
            query = messages.ConfigAgeQuery(attempt)
            first = [tracker.answer(query) for _ in range(150)]
            await anyio.sleep(1.0)
            return first, tracker.answer(query)

        first, later = self.run_virtual(main)
        answered = [answer for answer in first if answer]
        self.assertEqual(config_age.MAX_ANSWERS_PER_S, len(answered))
        self.assertIsNotNone(later)
        self.assertEqual((0, None), (later.version, later.age_ms))

    def test_nothing_is_sent_before_there_is_a_version(self):
        # Nodes that waited for the first version once read from the store
        # every second.
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 3)
            fleet.stored = snapshot.NO_VERSION
            await fleet.run(10.0)
            return sum(fleet.sent.values()) + len(fleet.read_at)

        self.assertEqual(0, self.run_virtual(main))

    def test_nothing_is_sent_without_a_bound(self):
        async def main(loop):
            fleet = config_age_fleet.Fleet(loop, 3)
            for tracker in fleet.trackers.values():
                tracker.is_enabled = False
            await fleet.run(10.0)
            return sum(fleet.sent.values()) + len(fleet.read_at)

        self.assertEqual(0, self.run_virtual(main))
