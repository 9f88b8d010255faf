"""Check which peers a node subscribes to, in fleets of several sizes."""

import collections
import unittest
from unittest import mock

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import member_directory
from jayflow.process import subset
from jayflow.process import watcher_election
from jayflow.request.decisions import routing
from jayflow.version import objects

SHOP = objects.ServiceName('shop')
CENTRES = ('a-1', 'a-2', 'b-1', 'b-2')
REGIONS = objects.ObjectSet(
    region={name: objects.Region(name) for name in ('a', 'b')},
    data_centre={
        name: objects.DataCentre(name, name.partition('-')[0])
        for name in CENTRES
    },
)
NOW = 100.0


def _member(number: int, incarnation: int = 1) -> members.Member:
    return members.Member(
        messages.NodeId(f'n{number}'),
        messages.Incarnation(incarnation),
        objects.DataCentreName(CENTRES[number % len(CENTRES)]),
        '127.0.0.1',
        number,
        (SHOP,),
        18,
    )


def fleet(size: int) -> list[member_directory.MemberDirectory]:
    """Return the member directories of all nodes of a fleet."""
    known = [_member(number) for number in range(size)]
    result = []
    for member in known:
        directory = member_directory.MemberDirectory(
            member.node, member.data_centre
        )
        directory.apply_objects(REGIONS)
        for peer in known:
            directory.put(peer)
        result.append(directory)
    return result


def names(views) -> set[str]:
    return {view.member.node for view in views}


class SubsetTest(unittest.TestCase):
    def test_in_a_small_fleet_all_nodes_subscribe_to_each_other(self):
        for size in (1, 13, subset.FULL_MESH_MAX_NODES):
            with self.subTest(size=size):
                directory = fleet(size)[0]
                self.assertEqual(size, len(directory.candidates(SHOP)))
                self.assertEqual(size, len(directory.peers_to_subscribe(NOW)))

    def test_subscriptions_do_not_grow_with_the_fleet(self):
        for size in (60, 300):
            with self.subTest(size=size):
                directory = fleet(size)[0]
                chosen = directory.candidates(SHOP)
                self.assertEqual(subset.SUBSET_SIZE, len(chosen))
                subscribed = directory.peers_to_subscribe(NOW)
                self.assertLessEqual(names(chosen), names(subscribed))
                max_sources = (
                    subset.SAME_REGION_SOURCES + subset.OTHER_REGION_SOURCES
                )
                self.assertLessEqual(
                    len(subscribed), len(chosen) + max_sources
                )

    def test_subsets_cover_all_servers_evenly(self):
        counts = collections.Counter()
        for directory in fleet(68):
            counts.update(names(directory.candidates(SHOP)))
        self.assertEqual(68, len(counts))
        self.assertLess(max(counts.values()), 3 * subset.SUBSET_SIZE)

    def test_a_subset_without_near_members_is_smaller(self):
        # Reports between regions are the dearest traffic.
        directory = fleet(200)[0]
        other_region = next(
            view.region
            for view in directory.candidates(SHOP)
            if view.distance is routing.Distance.OTHER_REGION
        )
        chosen = directory.candidates(SHOP, frozenset({other_region}))
        self.assertEqual(subset.REMOTE_SUBSET_SIZE, len(chosen))

    def test_a_subset_prefers_near_members_and_keeps_remote_ones(self):
        directory = fleet(200)[0]
        counts = collections.Counter(
            view.distance for view in directory.candidates(SHOP)
        )
        self.assertEqual(
            {
                routing.Distance.SAME_DATA_CENTRE: (
                    subset.MAX_DATA_CENTRE_MEMBERS
                ),
                routing.Distance.SAME_REGION: (
                    subset.SUBSET_SIZE
                    - subset.MAX_DATA_CENTRE_MEMBERS
                    - subset.MIN_OTHER_REGION_MEMBERS
                ),
                routing.Distance.OTHER_REGION: subset.MIN_OTHER_REGION_MEMBERS,
            },
            dict(counts),
        )

    def test_a_subset_is_filled_where_members_are_few(self):
        distances = list(routing.Distance)
        for counts in ((1, 1, 60), (60, 1, 1), (1, 60, 1), (20, 0, 0)):
            with self.subTest(counts=counts):
                views = [
                    routing.PeerView(_member(100 * kind + number), distance)
                    for kind, distance in enumerate(distances)
                    for number in range(counts[kind])
                ]
                chosen = subset.service_subset(messages.NodeId('n'), views)
                self.assertEqual(subset.SUBSET_SIZE, len(chosen))

    def test_the_nodes_of_a_region_agree_on_the_watchers(self):
        watchers = collections.Counter()
        for directory in fleet(68):
            for view in directory.peers_to_subscribe(NOW):
                view.last_heard_at = view.platform_heard_at = NOW
            views = directory.peer_views()
            if watcher_election.is_watcher(directory.node, views, NOW):
                watchers[directory.data_centre[0]] += 1
        expected = dict.fromkeys('ab', watcher_election.WATCHERS_PER_REGION)
        self.assertEqual(expected, dict(watchers))

    def test_a_silent_member_is_replaced_until_it_restarts(self):
        directory = fleet(68)[0]
        silent_view = directory.candidates(SHOP)[0]
        directory.peers_to_subscribe(NOW)
        silent_view.last_heard_at = NOW
        later = NOW + routing.SILENCE_TIMEOUT_S + 2
        directory.peers_to_subscribe(later)
        chosen = directory.candidates(SHOP)
        self.assertNotIn(silent_view.member.node, names(chosen))
        self.assertEqual(subset.SUBSET_SIZE, len(chosen))
        number = int(silent_view.member.node.removeprefix('n'))
        directory.put(_member(number, incarnation=2))
        directory.peers_to_subscribe(later + 2)
        self.assertIn(
            silent_view.member.node, names(directory.candidates(SHOP))
        )

    def test_subsets_are_chosen_again_only_after_a_change(self):
        # Choosing orders all members of a fleet, which holds up requests.
        directory = fleet(60)[0]
        directory.candidates(SHOP)
        for view in directory.peer_views():
            view.last_heard_at = NOW
        steps = [
            ('at first', lambda: None, 0, True),
            ('at rest', lambda: None, 2, False),
            ('a new member', lambda: directory.put(_member(60)), 4, True),
            ('at rest again', lambda: None, 6, False),
            ('removed', lambda: directory.remove('n60'), 8, True),
            ('evacuated', lambda: directory.set_evacuated(['b-1']), 10, True),
            ('configured', lambda: directory.apply_objects(REGIONS), 12, True),
            (
                'another set of regions',
                lambda: directory.candidates(SHOP, frozenset('a')),
                14,
                True,
            ),
            ('at rest with regions', lambda: None, 16, False),
            ('a silent member', self._silence(directory), 18, True),
            ('still silent', lambda: None, 20, False),
            ('included again', lambda: None, 60, True),
        ]
        for title, change, at, is_chosen in steps:
            with self.subTest(title):
                for view in directory.peer_views():
                    if view.last_heard_at:
                        view.last_heard_at = NOW + at
                change()
                with mock.patch.object(
                    subset, 'platform_sources', wraps=subset.platform_sources
                ) as choose:
                    directory.peers_to_subscribe(NOW + at)
                self.assertEqual(is_chosen, choose.called)

    def _silence(self, directory):
        def silence():
            view = directory.peers_to_subscribe(NOW + 16)[0]
            view.last_heard_at = 0.0

        return silence
