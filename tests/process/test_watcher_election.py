"""Check which nodes are elected to watch the platform for their region."""

import unittest

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import watcher_election
from jayflow.request import routing
from jayflow.version import objects

NOW = 100.0
SAME_DATA_CENTRE = routing.Distance.SAME_DATA_CENTRE
NAMES = [f'n{number}' for number in range(6)]


def views(**changes) -> list[routing.PeerView]:
    """Return a peer view of every node, with attributes set by node."""
    result = []
    for name in NAMES:
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

    def test_the_only_node_is_elected(self):
        self.assertTrue(watcher_election.is_watcher('n1', [], NOW))
