"""Check that an odd entry among those of the nodes stops no other node.

Another writer may leave one. A very deep one, an address that can't be
connected to or a number that can't be sent once ended each node that read it.
"""

import json

import zmq

from jayflow.connection import messages
from jayflow.connection import peer_connections
from tests.platform import test_store_restore
from tests.process import test_member_directory

DEPTH = 100_000
DEEP = '[' * DEPTH + ']' * DEPTH


def _entry(**changes) -> bytes:
    """Return a record whose fields are changed, with deep ones as they are."""
    fields = {
        'node': 'odd',
        'incarnation': 1,
        'data_centre': 'a',
        'host': '127.0.0.1',
        'port': 1,
        'services': ['s'],
    }
    rows = [
        f'"{name}":{value if value == DEEP else json.dumps(value)}'
        for name, value in (fields | changes).items()
    ]
    return ('{' + ','.join(rows) + '}').encode()


CASES = [
    ('a deep field', _entry(services=DEEP)),
    ('a deep field that is not known', _entry(other=DEEP)),
    ('deep all through', DEEP.encode()),
    ('a large incarnation', _entry(incarnation=2**70)),
    ('a negative incarnation', _entry(incarnation=-(2**70))),
    ('a number of many digits', _entry(incarnation=10**400)),
    ('a large start time', _entry(born=2**70)),
    ('a large number of slots', _entry(slots=2**70)),
    ('an infinite port', _entry().replace(b'"port": 1', b'"port": 1e999')),
    ('a port that is too large', _entry(port=70_000)),
    ('port 0', _entry(port=0)),
    ('a negative port', _entry(port=-1)),
    ('a host with a space', _entry(host='a b')),
    ('no host', _entry(host='')),
    ('a host that names an interface', _entry(host='lo;127.0.0.1')),
    ('another type', _entry(host=['a'])),
    ('a null', b'null'),
]


class OddEntriesTest(test_store_restore.StoreTestCase):
    def _use_all_members(self) -> None:
        """Do what a node does with the members that it knows."""
        with zmq.Context() as context:
            connections = peer_connections.PeerConnections(
                context,
                messages.Incarnation(1),
                lambda data: None,
                lambda connection: None,
            )
            for member in self.fleet.directory.known_members():
                connections.connection_to(member, messages.Lane.SHORT)
                messages.encode(
                    messages.Revoke(
                        messages.AttemptId(messages.Incarnation(1), 1),
                        member.incarnation,
                    )
                )
                messages.encode(messages.MemberUpdate(member.node, b''))
            connections.close()

    async def _check_following(self, peer) -> None:
        """Check that a new record is applied and all members can be used."""
        fleet = self.fleet
        self._write(f'jayflow-nodes/{peer.node}', peer.encode())
        self.assertTrue(
            await self._wait_for(
                lambda: fleet.directory.peer_view(peer.node) is not None
            )
        )
        self._use_all_members()

    async def test_nodes_go_on_following_beside_an_odd_entry(self):
        for title, value in CASES:
            with self.subTest(title):
                await self._restart_store()
                self.fleet.desired = dict.fromkeys(
                    (test_store_restore.OWN, test_store_restore.PEER)
                )
                self._write('jayflow-nodes/odd', value)
                async with self.fleet.running():
                    await self._check_following(
                        test_member_directory.member('n3', 'a')
                    )
                    self._write('jayflow-nodes/odder', value)
                    self._write('jayflow-nodes/odd', value + b' ')
                    await self._check_following(
                        test_member_directory.member('n4', 'a')
                    )
