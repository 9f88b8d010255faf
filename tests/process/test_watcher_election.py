"""Check which nodes are elected to watch the platform for their region."""

import math
import unittest

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import watcher_election
from jayflow.request.decisions import routing
from jayflow.version import objects

NOW = 100.0
SAME_DATA_CENTRE = routing.Distance.SAME_DATA_CENTRE
NAMES = [f'n{number}' for number in range(6)]


def views(names=tuple(NAMES), **changes) -> list[routing.PeerView]:
    """Return a peer view of every node, with attributes set by node."""
    result = []
    for name in names:
        member = members.Member(
            messages.NodeId(name),
            messages.Incarnation(1),
            objects.DataCentreName('dc'),
            '127.0.0.1',
            1,
        )
        view = routing.PeerView(
            member, SAME_DATA_CENTRE, last_heard_at=NOW, platform_heard_at=NOW
        )
        for key, value in changes.get(name, {}).items():
            setattr(view, key, value)
        result.append(view)
    return result


def watchers(known) -> set[str]:
    """Return the nodes that elect themselves."""
    return {
        name for name in NAMES if watcher_election.is_watcher(name, known, NOW)
    }


class WatcherElectionTest(unittest.TestCase):
    def test_a_fixed_number_of_nodes_is_elected(self):
        self.assertEqual(
            watcher_election.WATCHERS_PER_REGION, len(watchers(views()))
        )

    def test_data_centres_of_a_region_elect_together(self):
        same_region = {'distance': routing.Distance.SAME_REGION}
        known = views(**dict.fromkeys(NAMES[:3], same_region))
        self.assertEqual(
            watcher_election.WATCHERS_PER_REGION, len(watchers(known))
        )

    def test_unavailable_nodes_are_replaced(self):
        first = watchers(views())
        for title, changes in (
            ('silent', {'last_heard_at': NOW - 3}),
            (
                'without a connection to the platform',
                {'platform_heard_at': NOW - 7},
            ),
            ('in another region', {'distance': routing.Distance.OTHER_REGION}),
        ):
            with self.subTest(title):
                known = views(**dict.fromkeys(first, changes))
                replacements = watchers(known) - first
                self.assertEqual(
                    watcher_election.WATCHERS_PER_REGION, len(replacements)
                )

    def test_an_outage_adds_few_calls_in_a_large_region(self):
        # All nodes once called every second while nobody reached the
        # platform: the calls rose when they could achieve nothing.
        unreachable = {'platform_heard_at': -math.inf}
        for count, max_calls_per_s in ((2, 2.0), (14, 7.0), (100, 18.0)):
            with self.subTest(nodes=count):
                names = [f'n{number}' for number in range(count)]
                known = views(names, **{name: unreachable for name in names})
                calls_per_s = sum(
                    1 / watcher_election.outage_pause_s(name, known, NOW, 1.0)
                    for name in names
                )
                self.assertLessEqual(calls_per_s, max_calls_per_s)

    def test_a_node_alone_in_an_outage_keeps_its_pauses(self):
        for title, known in (
            ('one other reaches it', views()),
            ('no other is known', []),
            (
                'the others are silent',
                views(**{name: {'last_heard_at': NOW - 3} for name in NAMES}),
            ),
        ):
            with self.subTest(title):
                pauses_s = {
                    watcher_election.outage_pause_s(name, known, NOW, 1.0)
                    for name in NAMES
                }
                self.assertEqual({1.0}, pauses_s)

    def test_the_only_node_is_elected(self):
        self.assertTrue(watcher_election.is_watcher('n1', [], NOW))
