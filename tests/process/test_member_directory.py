"""Check the member directory and the active configuration version."""

import random
import unittest

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.request.decisions import routing
from jayflow.version import objects
from jayflow.version import snapshot
from jayflow.version import validation
import msgspec

TEXT = """[region r1]
[region r2]
[data_centre a]
region = r1
[data_centre b]
region = r1
[data_centre c]
region = r2
"""


def member(node: str, centre: str, **changes) -> members.Member:
    """Return a member that serves one service."""
    values = {'services': ('s',), 'slots': 4, 'incarnation': 1}
    return members.Member(
        node=messages.NodeId(node),
        data_centre=objects.DataCentreName(centre),
        host='127.0.0.1',
        port=1,
        **(values | changes),
    )


class ActiveVersionTest(unittest.TestCase):
    def test_a_lower_version_is_never_applied(self):
        applied = []
        active_version = member_directory.ActiveVersion(
            metrics_module.Metrics(),
            lambda version: applied.append(version.number),
        )
        for number in (1, 3, 2, 3, 1, 4, 0):
            active_version.apply(snapshot.Version(number, objects.ObjectSet()))
        self.assertEqual([1, 3, 4], applied)
        self.assertEqual(4, active_version.current.number)


class MemberDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = member_directory.MemberDirectory('me', 'a')
        self.directory.apply_objects(validation.load_objects([('f', TEXT)]))

    def test_distance_depends_on_data_centre_and_region(self):
        cases = [
            ('a', routing.Distance.SAME_DATA_CENTRE),
            ('b', routing.Distance.SAME_REGION),
            ('c', routing.Distance.OTHER_REGION),
            ('unknown', routing.Distance.OTHER_REGION),
        ]
        for centre, expected in cases:
            with self.subTest(centre):
                self.directory.put(member('n', centre))
                distance = self.directory.peer_view('n').distance
                self.assertIs(expected, distance)

    def test_only_members_that_serve_are_returned(self):
        def serving_count():
            return len(self.directory.peer_views_of('s'))

        self.directory.put(member('n1', 'a'))
        self.directory.put(member('n2', 'a'))
        self.assertEqual(2, serving_count())
        self.directory.put(member('n1', 'a', draining=True))
        self.assertEqual(1, serving_count())
        self.directory.put(member('n1', 'a'))
        self.directory.remove('n2')
        self.directory.remove('n2')
        self.assertEqual(1, serving_count())

    def test_a_seat_is_required_only_where_links_are_limited(self):
        # Where links have no budget, no node holds a seat. Regions then
        # refused requests while servers in the other region were free.
        for title, limits_links, expected in (
            ('no budgets', False, 'n'),
            ('budgets', True, None),
        ):
            with self.subTest(title):
                directory = member_directory.MemberDirectory('me', 'a')
                directory.put(member('n', 'c'))
                config = msgspec.structs.replace(
                    validation.load_objects([('f', TEXT)]),
                    limits_links=limits_links,
                )
                directory.apply_objects(config)
                directory.put(member('n', 'c', draining=True))
                directory.put(member('n', 'c'))
                view = routing.choose_peer(
                    directory.candidates('s'), [], 0.0, random.Random(1), True
                )
                self.assertEqual(expected, view and view.member.node)

    def test_the_last_user_of_an_address_replaces_the_others(self):
        # A new host gets the address of one that is gone, whose record is
        # still listed; requests for the old member then reached the new one.
        self.directory.put(member('me', 'a'))
        self.directory.put(member('old', 'a'))
        self.directory.put_from_node(member('new', 'a'))
        nodes = {known.node for known in self.directory.known_members()}
        self.assertEqual({'me', 'new'}, nodes)

    def test_the_own_server_counts_as_heard_from(self):
        self.directory.put(member('me', 'a'))
        self.directory.put(member('n', 'a', slots=1))
        self.directory.peer_view('n').last_heard_at = 100.0
        self.assertTrue(self.directory.peer_view('me').is_heard(100.0))
        self.assertFalse(self.directory.peer_view('me').is_silent(1e9))

    def test_a_new_incarnation_starts_without_failures(self):
        self.directory.put(member('n', 'a'))
        first = self.directory.peer_view('n')
        first.record_failure(1.0)
        self.directory.put(member('n', 'a', draining=True))
        self.assertIs(first, self.directory.peer_view('n'))
        self.directory.put(member('n', 'a', incarnation=2))
        self.assertEqual(0, self.directory.peer_view('n').failures)
