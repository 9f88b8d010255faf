"""Send requests ahead without reading any answer, in wave after wave.

Crowds of such clients filled the memory of a node, also with requests that
no route serves, and what they left was not freed when they had gone, so that
each wave took more. The cases check nothing that depends on the speed of the
machine.
"""

import contextlib
import dataclasses
import logging
import unittest

from bench import local_cluster
from jayflow.connection import connection_limits
from tests.process import uncontrolled_clients

_log = logging.getLogger(__name__)
Pattern = uncontrolled_clients.Pattern
MB = 1024 * 1024
MEMORY_MB = 80
MAX_DESCRIPTORS = 1000
MAX_MEMORY_BYTES = MEMORY_MB * MB
# What the limits leave to a node without connections.
MAX_KEPT_BYTES = connection_limits.NODE_MEMORY_MB * MB
WAVES = 3
MANY = 300
FEW = 8
WAVE_S = 1.5
SETTLE_TIMEOUT_S = 10.0
REQUEST_TIMEOUT_S = 30.0
# The ordinary request must not depend on the speed of the machine.
OBJECTS_INI = local_cluster.OBJECTS_INI.replace(
    'deadline = 2 s\ntry-timeout = 500 ms',
    'deadline = 30 s\ntry-timeout = 30 s',
)
CALLERS = 'callers'
READY = 'ready'
ANNOUNCEMENTS = 'announcements'
METRICS = 'metrics'
HOST = b'host: test.example\r\n'
USUAL_HEADERS = (
    HOST
    + b'user-agent: crowd/1.0 (loopback)\r\n'
    + b'accept: text/html,application/json;q=0.9,*/*;q=0.8\r\n'
    + b'accept-encoding: gzip, deflate, br\r\n'
    + b'accept-language: es-MX,es;q=0.9,en;q=0.5\r\n'
    + b'cookie: session=0123456789abcdef0123456789abcdef\r\n'
)
LONG_PATH = b'/' + b'p' * 4096
METHODS = (b'HEAD', b'OPTIONS', b'DELETE', b'PUT', b'PATCH', b'TRACE')
BODY_BYTES = 2000
CHUNK = b'%x\r\n%b\r\n' % (BODY_BYTES, b'y' * BODY_BYTES)


def _request(
    path: bytes,
    headers: bytes = USUAL_HEADERS,
    method: bytes = b'GET',
    version: bytes = b'1.1',
) -> bytes:
    return b'%b %b HTTP/%b\r\n%b\r\n' % (method, path, version, headers)


def _upload(path: bytes) -> bytes:
    length = b'content-length: %d\r\n' % BODY_BYTES
    return _request(path, HOST + length, b'POST') + b'y' * BODY_BYTES


def _chunked_upload(path: bytes) -> bytes:
    chunked = b'transfer-encoding: chunked\r\n'
    return _request(path, HOST + chunked, b'POST') + CHUNK + b'0\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class Case:
    """Hold what each client of a crowd sends, and to which address."""

    title: str
    sent: bytes
    address: str = CALLERS


@dataclasses.dataclass(frozen=True)
class Wave:
    """Hold a node's peak during a crowd and what followed it.

    The status is that of an ordinary request.
    """

    peak: uncontrolled_clients.Peak
    status: int
    kept_bytes: int


BARE = _request(b'/', headers=b'')
NAMED_CASES = [
    Case('no usual headers', BARE),
    Case('path that says ready', _request(b'/ready'), READY),
    Case('path without a route', _request(b'/none')),
]
OTHER_CASES = [
    Case('no usual headers', BARE, READY),
    Case('no usual headers', BARE, ANNOUNCEMENTS),
    Case('no usual headers', BARE, METRICS),
    Case('long path without a route', _request(LONG_PATH)),
    Case('long path', _request(LONG_PATH), READY),
    Case('long path', _request(LONG_PATH), ANNOUNCEMENTS),
    Case('long path', _request(LONG_PATH), METRICS),
    Case('long path with a route', _request(b'/lookup' + LONG_PATH)),
    Case('long query', _request(b'/none?' + LONG_PATH)),
    Case('encoded path', _request(b'/' + b'%C3%B1' * 600)),
    Case(
        'other methods',
        b''.join(_request(b'/none', method=method) for method in METHODS),
    ),
    Case('unknown method', _request(b'/none', method=b'BREW')),
    Case('bodies without a route', _upload(b'/none')),
    Case('bodies with a route', _upload(b'/lookup/x')),
    Case('bodies', _upload(b'/ready'), READY),
    Case('chunked bodies without a route', _chunked_upload(b'/none')),
    Case('chunked bodies', _chunked_upload(b'/ready'), READY),
    Case(
        'version 1.0',
        _request(
            b'/none', HOST + b'connection: keep-alive\r\n', b'GET', b'1.0'
        ),
    ),
    Case(
        'version 1.0',
        _request(b'/ready', b'connection: keep-alive\r\n', b'GET', b'1.0'),
        READY,
    ),
    Case(
        'many headers',
        _request(
            b'/none', HOST + b''.join(b'x-%d: y\r\n' % n for n in range(300))
        ),
    ),
    Case('usual requests', _request(b'/lookup/x')),
    Case(
        'expected 100', _request(b'/none', HOST + b'expect: 100-continue\r\n')
    ),
    Case(
        'answer and close', _request(b'/none', HOST + b'connection: close\r\n')
    ),
    Case('status', _request(b'/status'), ANNOUNCEMENTS),
    Case('metrics', _request(b'/metrics'), METRICS),
]
# What one client writes at a time.
BLOCK_BYTES = 64 * 1024


class ClientCrowdsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(local_cluster.LocalCluster.open())
        cls.cluster.start_server(
            cls.cluster.start_node(), 'lookups', '--slots', str(MANY)
        )
        cls.cluster.publish(OBJECTS_INI)
        cls.cluster.wait_for_servers(1)

    def test_many_clients_that_stayed_filled_the_memory(self):
        self._check_all(NAMED_CASES, MANY, reconnects=False)

    def test_many_clients_that_came_back_filled_the_memory(self):
        self._check_all(NAMED_CASES, MANY, reconnects=True)

    def test_few_clients_that_stayed_filled_the_memory(self):
        self._check_all(NAMED_CASES, FEW, reconnects=False)

    def test_few_clients_that_came_back_filled_the_memory(self):
        self._check_all(NAMED_CASES, FEW, reconnects=True)

    def test_similar_requests_filled_the_memory(self):
        self._check_all(OTHER_CASES, MANY, reconnects=True)

    def test_crowds_in_a_row_filled_the_memory(self):
        with self._started_node() as (node, ports):
            for case in NAMED_CASES + OTHER_CASES:
                with self.subTest(case.title, address=case.address):
                    self._check(self._run_wave(node, ports, case, MANY, True))

    def test_unread_requests_filled_the_memory_of_the_host(self):
        # The kernel keeps them, and they count as memory of the node.
        for case in NAMED_CASES:
            for reconnects in (False, True):
                with (
                    self.subTest(case.title, reconnects=reconnects),
                    self._started_node() as (node, ports),
                ):
                    wave = self._run_wave(node, ports, case, MANY, reconnects)
                    self.assertLess(
                        wave.peak.memory_bytes + wave.peak.unread_bytes,
                        MAX_MEMORY_BYTES,
                    )

    def _check_all(
        self, cases: list[Case], crowd: int, reconnects: bool
    ) -> None:
        for case in cases:
            with self.subTest(case.title, address=case.address, crowd=crowd):
                with self._started_node() as (node, ports):
                    waves = [
                        self._run_wave(node, ports, case, crowd, reconnects)
                        for _ in range(WAVES)
                    ]
                for wave in waves:
                    self._check(wave)

    def _run_wave(
        self, node, ports: dict[str, int], case: Case, crowd: int, reconnects
    ) -> Wave:
        """Let a crowd come and go, then send an ordinary request."""
        block = case.sent * -(-BLOCK_BYTES // len(case.sent))
        peak = uncontrolled_clients.run_crowd(
            Pattern(rest=block, reconnects=reconnects),
            [ports[case.address]],
            crowd,
            node.process.pid,
            WAVE_S,
        )
        self.assertTrue(node.process.is_running)
        response = local_cluster.send_request(
            node.http_port, '/lookup/x', timeout_s=REQUEST_TIMEOUT_S
        )
        kept_bytes = self._wait_settled(node)
        _log.info(
            '%s at %s, %d clients, %s: peak %.0f MB, unread %.0f MB, '
            'kept %.0f MB, %d descriptors',
            case.title,
            case.address,
            crowd,
            'that come back' if reconnects else 'that stay',
            peak.memory_bytes / MB,
            peak.unread_bytes / MB,
            kept_bytes / MB,
            peak.descriptors,
        )
        return Wave(peak, response.status, kept_bytes)

    def _check(self, wave: Wave) -> None:
        self.assertEqual(200, wave.status)
        self.assertLess(wave.peak.memory_bytes, MAX_MEMORY_BYTES)
        self.assertLess(wave.peak.descriptors, MAX_DESCRIPTORS)
        self.assertLess(wave.kept_bytes, MAX_KEPT_BYTES)

    def _wait_settled(self, node) -> int:
        """Return what a node keeps once it has no client connections.

        The memory is polled, since the node need not free all at once.
        """

        def resident_bytes() -> int:
            return uncontrolled_clients.resident_bytes(node.process.pid)

        def has_settled() -> bool:
            # The query is the only connection.
            is_alone = node.status()['connections']['open'] <= 1
            return is_alone and resident_bytes() < MAX_KEPT_BYTES

        with contextlib.suppress(local_cluster.WaitTimeoutError):
            local_cluster.wait_until(has_settled, SETTLE_TIMEOUT_S)
        return resident_bytes()

    @contextlib.contextmanager
    def _started_node(self):
        """Yield a new node and its ports by address, then end it."""
        ready, metrics = local_cluster.reserve_ports(2)
        node = self.cluster.start_nodes(
            1,
            template=uncontrolled_clients.settings_template(
                ready, metrics, MEMORY_MB, MAX_DESCRIPTORS
            ),
        )[0]
        try:
            local_cluster.wait_until(lambda: node.server_count() == 1)
            yield (
                node,
                {
                    CALLERS: node.http_port,
                    READY: ready,
                    ANNOUNCEMENTS: node.announce_port,
                    METRICS: metrics,
                },
            )
        finally:
            node.process.kill()
            self.cluster.nodes.remove(node)
