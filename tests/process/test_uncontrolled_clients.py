"""Let crowds of clients ignore all limits on every address of a node.

Clients that never read their answers, and bytes without end, filled the
memory of a node or used up its descriptors, and the requests of all callers
on its machine ended with it. The cases check nothing that depends on the
speed of the machine.
"""

import dataclasses
import logging
import unittest

from bench import local_cluster
from tests.process import uncontrolled_clients

_log = logging.getLogger(__name__)
Pattern = uncontrolled_clients.Pattern
MEMORY_MB = 80
MAX_DESCRIPTORS = 500
MAX_MEMORY_BYTES = MEMORY_MB * 1024 * 1024
REQUEST_TIMEOUT_S = 30.0
CROWD = 300
# More than MAX_DESCRIPTORS.
LARGE_CROWD = 600
# Each of these connections was seen to take tens of MB.
SMALL_CROWD = 4
# The ordinary request must not depend on the speed of the machine.
OBJECTS_INI = local_cluster.OBJECTS_INI.replace(
    'deadline = 2 s\ntry-timeout = 500 ms',
    'deadline = 30 s\ntry-timeout = 30 s',
)
CALLERS = ('callers',)
READY = ('ready',)
ALL = ('callers', 'ready', 'announcements', 'metrics')
HOST = b'host: test.example\r\n'
GET = b'GET /lookup/x HTTP/1.1\r\n' + HOST
POST = b'POST /lookup/x HTTP/1.1\r\n' + HOST
CHUNKED = POST + b'transfer-encoding: chunked\r\n\r\n'
LAST_CHUNK = CHUNKED + b'2\r\nok\r\n0\r\n'
KEEP_ALIVE = b'connection: keep-alive\r\n\r\n'
BLOCK = b'y' * 65536
UPLOAD = POST + b'content-length: 20000\r\n\r\n' + BLOCK[:20000]


@dataclasses.dataclass(frozen=True)
class Case:
    """Hold what a crowd does, its size and the addresses it connects to."""

    title: str
    pattern: Pattern
    addresses: tuple[str, ...] = ALL
    crowd: int = CROWD


TRAILERS = Case(
    'trailers', Pattern(LAST_CHUNK, b'name: value\r\n' * 500), CALLERS
)
UNREAD = Case(
    'requests without Host, unread',
    Pattern(rest=b'GET / HTTP/1.1\r\n\r\n' * 500),
    CALLERS,
)
UNREAD_OTHER_VERSION = Case(
    'requests of HTTP/2.0 without Host, unread',
    Pattern(rest=(b'GET / HTTP/2.0\r\n' + KEEP_ALIVE) * 500),
    CALLERS,
    SMALL_CROWD,
)
CASES = [
    Case('one trailer', Pattern(LAST_CHUNK + b'x: ', BLOCK)),
    Case('chunk extension', Pattern(CHUNKED + b'2;', BLOCK)),
    Case('header', Pattern(GET + b'x: ', BLOCK)),
    Case(
        'many small headers',
        Pattern(GET, b'a:\r\n' * 5000),
    ),
    Case(
        'HTTP/1.0 without Host',
        Pattern(rest=(b'GET / HTTP/1.0\r\n' + KEEP_ALIVE) * 500),
    ),
    Case(
        'HTTP/1.1 without Host', Pattern(rest=b'GET / HTTP/1.1\r\n\r\n' * 500)
    ),
    Case(
        'no version',
        Pattern(rest=(b'GET /\r\n' + KEEP_ALIVE) * 500),
        crowd=SMALL_CROWD,
    ),
    Case('requests with bodies', Pattern(rest=UPLOAD)),
    Case('empty lines', Pattern(rest=b'\r\n' * 4096)),
    Case('slow heads', Pattern(GET, b'a: b\r\n', is_slow=True)),
    Case(
        'slow bodies',
        Pattern(
            POST + b'content-length: 60000\r\n\r\n', b'y' * 500, is_slow=True
        ),
    ),
    Case('idle connections', Pattern(), crowd=LARGE_CROWD),
    Case('clients that return', Pattern(GET, returns=True), crowd=LARGE_CROWD),
]
LARGE_RESPONSES = [
    Case(
        'large responses',
        Pattern(
            b'GET /packs/x?bytes=50000000 HTTP/1.1\r\n' + HOST + b'\r\n',
            reads_slowly=True,
        ),
        CALLERS,
    ),
    # Nearly all of them run at once, other than those of the class bulk.
    Case(
        'large responses, interactive',
        Pattern(
            b'GET /lookup/x?bytes=50000000 HTTP/1.1\r\n' + HOST + b'\r\n',
            reads_slowly=True,
        ),
        CALLERS,
    ),
]


class UncontrolledClientsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(local_cluster.LocalCluster.open())
        node = cls.cluster.start_node()
        cls.cluster.start_server(node, 'lookups', '--slots', str(CROWD))
        cls.cluster.start_server(
            cls.cluster.start_node(), 'packs', '--slots', str(CROWD)
        )
        cls.cluster.publish(OBJECTS_INI)
        # A server that has not responded yet runs only a few requests at once.
        cls.cluster.wait_for_servers(2)
        for path in ('/lookup/x', '/packs/x'):
            local_cluster.send_request(node.http_port, path)

    def test_trailers_without_end_filled_the_memory(self):
        self._check(TRAILERS)

    def test_unread_answers_to_requests_sent_ahead_filled_the_memory(self):
        self._check(UNREAD)

    def test_requests_of_another_version_sent_ahead_filled_the_memory(self):
        self._check(UNREAD_OTHER_VERSION)

    def test_unread_answers_of_the_readiness_path_filled_the_memory(self):
        for case in (UNREAD, UNREAD_OTHER_VERSION):
            self._check(dataclasses.replace(case, addresses=READY))

    def test_uncontrolled_clients_used_up_memory_or_descriptors(self):
        for case in CASES:
            self._check(case)

    def test_large_responses_that_are_read_slowly_filled_the_memory(self):
        for case in LARGE_RESPONSES:
            self._check(case)

    def _check(self, case: Case) -> None:
        """Run a crowd against a new node, then send an ordinary request."""
        ready, metrics = local_cluster.reserve_ports(2)
        node = self.cluster.start_nodes(
            1,
            template=uncontrolled_clients.settings_template(
                ready, metrics, MEMORY_MB, MAX_DESCRIPTORS
            ),
        )[0]
        ports = {
            'callers': node.http_port,
            'ready': ready,
            'announcements': node.announce_port,
            'metrics': metrics,
        }
        local_cluster.wait_until(lambda: node.server_count() == 2)
        with self.subTest(case.title, addresses=case.addresses):
            try:
                self._check_node(node, case, ports)
            finally:
                node.process.kill()
                self.cluster.nodes.remove(node)

    def _check_node(self, node, case: Case, ports: dict[str, int]) -> None:
        peak = uncontrolled_clients.run_crowd(
            case.pattern,
            [ports[address] for address in case.addresses],
            case.crowd,
            node.process.pid,
        )
        _log.info(
            '%s at %s: %.0f MB, %d descriptors',
            case.title,
            ', '.join(case.addresses),
            peak.memory_bytes / 2**20,
            peak.descriptors,
        )
        self.assertTrue(node.process.is_running)
        response = local_cluster.send_request(
            node.http_port, '/lookup/x', timeout_s=REQUEST_TIMEOUT_S
        )
        self.assertEqual(200, response.status)
        self.assertLess(peak.memory_bytes, MAX_MEMORY_BYTES)
        self.assertLess(peak.descriptors, MAX_DESCRIPTORS)
