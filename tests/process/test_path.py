"""Check the path of a request end to end, with real processes."""

import concurrent.futures
import http.client
import signal
import socket
import subprocess
import sys
import unittest

from bench import local_cluster
import zmq

from jayflow.emulator import sample_backend
from jayflow.process import settings

HEAD = b'GET /lookup HTTP/1.1\r\nhost: test.example\r\n'
RAW_CASES = [
    ('malformed', b'nonsense\r\n\r\n', b'400', 'refused.bad_request'),
    (
        'large header',
        HEAD + b'x: ' + b'y' * 40_000 + b'\r\n\r\n',
        b'431',
        'refused.headers_too_large',
    ),
    (
        'endless header',
        HEAD + b'x: ' + b'y' * 70_000,
        b'431',
        'refused.headers_too_large',
    ),
    (
        'bad deadline',
        HEAD + b'jayflow-deadline-ms: soon\r\n\r\n',
        b'400',
        'refused.bad_request',
    ),
    (
        'two hosts',
        HEAD + b'host: other.example\r\n\r\n',
        b'400',
        'refused.bad_request',
    ),
    (
        'two equal hosts',
        HEAD + b'host: test.example\r\n\r\n',
        b'400',
        'refused.bad_request',
    ),
    (
        'no host',
        b'GET /lookup HTTP/1.1\r\n\r\n',
        b'400',
        'refused.bad_request',
    ),
    (
        'two lengths',
        HEAD + b'content-length: 0\r\ncontent-length: 1\r\n\r\nx',
        b'400',
        'refused.bad_request',
    ),
    (
        'length and chunks',
        HEAD + b'content-length: 5\r\ntransfer-encoding: chunked\r\n'
        b'\r\n0\r\n\r\n',
        b'400',
        'refused.bad_request',
    ),
    ('no route', b'GET / HTTP/1.1\r\nhost: x\r\n\r\n', b'404', ''),
    (
        'body cut',
        HEAD.replace(b'GET', b'POST') + b'content-length: 9\r\n\r\nabc',
        b'',
        'refused.body_cut',
    ),
]
GARBAGE = [b'', b'\xc1', b'\x00' * 100, b'\x93\xa1S\x01\x02']


def _send_raw(port: int, data: bytes) -> bytes:
    """Send bytes and return the response.

    After an incomplete body, disconnect without reading.
    """
    with socket.create_connection(
        (local_cluster.HOST, port), timeout=5
    ) as sock:
        sock.sendall(data)
        if b'content-length: 9' in data:
            return b''
        return sock.recv(65536)


def _wait_counter(node: local_cluster.Node, name: str, least: int) -> None:
    local_cluster.wait_until(lambda: node.counter(name) >= least)


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(local_cluster.LocalCluster.open())
        cls.cluster.start_nodes_with_servers(2, 'lookups,packs')

    def test_raw_requests(self):
        node = self.cluster.nodes[0]
        for title, data, status, counter in RAW_CASES:
            with self.subTest(title):
                before = node.counter(counter)
                response = _send_raw(node.http_port, data)
                self.assertEqual(status, response[9:12])
                if counter:
                    _wait_counter(node, counter, before + 1)
                self.assertTrue(node.process.is_running)

    def test_garbage_frames(self):
        node = self.cluster.nodes[0]
        before = node.counter('refused.garbage_frame')
        context = zmq.Context()
        self.addCleanup(context.destroy, linger=0)
        sock = context.socket(zmq.DEALER)
        sock.connect(f'tcp://{local_cluster.HOST}:{node.peer_port}')
        for frame in GARBAGE:
            sock.send(frame)
        local_cluster.wait_until(
            lambda: (
                node.counter('refused.garbage_frame') - before == len(GARBAGE)
            )
        )
        self.assertEqual(
            200, local_cluster.send_request(node.http_port, '/lookup').status
        )

    def test_responses_are_complete_and_belong_to_their_request(self):
        def is_response_complete(count: int) -> bool:
            node = self.cluster.nodes[count % 2]
            size = (0, 1, 1000, 65536, 65537, 300_000)[count % 6]
            path = '/packs' if count % 2 else '/lookup'
            response = local_cluster.send_request(
                node.http_port, f'{path}/{count}?bytes={size}&mark=m{count}'
            )
            return response.body == sample_backend.response_body(
                f'm{count}', size
            )

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            self.assertTrue(all(pool.map(is_response_complete, range(120))))

    def test_request_bodies_arrive_complete(self):
        node = self.cluster.nodes[0]
        for size in (0, 1, 65536, 65537, 1_000_000):
            for chunked in (False, True):
                with self.subTest(size=size, chunked=chunked):
                    data = sample_backend.response_body('up', size)
                    body = iter([data]) if chunked else data
                    response = local_cluster.send_request(
                        node.http_port, '/packs', 'POST', body
                    )
                    length = response.headers['x-body-length']
                    self.assertEqual(
                        (200, str(size)), (response.status, length)
                    )

    def test_head_and_empty_statuses(self):
        node = self.cluster.nodes[0]
        for method, status in (('HEAD', 200), ('GET', 204), ('GET', 304)):
            with self.subTest(method=method, status=status):
                path = f'/lookup?status={status}&bytes=0'
                response = local_cluster.send_request(
                    node.http_port, path, method
                )
                self.assertEqual(
                    (status, b''), (response.status, response.body)
                )

    def test_a_truncated_response_is_never_reported_as_complete(self):
        for extra_query in ('', '&chunked=1'):
            path = f'/packs?bytes=900000&cut=500000{extra_query}'
            with self.subTest(path):
                with self.assertRaises(http.client.IncompleteRead):
                    local_cluster.send_request(
                        self.cluster.nodes[0].http_port, path
                    )

    def test_a_missed_deadline_of_a_post_is_reported_as_unknown(self):
        response = local_cluster.send_request(
            self.cluster.nodes[0].http_port,
            '/lookup?ms=800',
            'POST',
            headers={'jayflow-deadline-ms': '100'},
        )
        self.assertEqual(
            (504, 'unknown', 'deadline'),
            (response.status, response.outcome, response.reason),
        )

    def test_a_disconnected_caller_cancels_the_request(self):
        node = self.cluster.nodes[0]
        before = node.counter('caller_gone')
        data = HEAD.replace(b'/lookup', b'/lookup?ms=1500') + b'\r\n'
        with socket.create_connection(
            (local_cluster.HOST, node.http_port)
        ) as sock:
            sock.sendall(data)
            local_cluster.wait_until(
                lambda: any(n.status()['running'] for n in self.cluster.nodes)
            )
        local_cluster.wait_until(
            lambda: node.counter('caller_gone') > before, 1
        )
        local_cluster.wait_until(
            lambda: not any(n.status()['running'] for n in self.cluster.nodes),
            1,
        )


class SettingsExitTest(unittest.TestCase):
    def test_invalid_settings_exit_with_2(self):
        with local_cluster.LocalCluster.open() as cluster:
            path = cluster.folder / 'bad.ini'
            path.write_text('[node]\nname = n 1\n', encoding='utf-8')
            completed = subprocess.run(
                [sys.executable, '-m', 'jayflow', 'node', '--settings', path],
                capture_output=True,
                text=True,
                timeout=20,
            )
        self.assertEqual(2, completed.returncode)
        self.assertGreater(len(completed.stderr.splitlines()), 4)

    def test_fields_have_parsers(self):
        for title, fields in settings.FIELDS.items():
            for field in fields:
                self.assertTrue(callable(field.parse), (title, field.key))


class StopTest(unittest.TestCase):
    def test_processes_stop_gracefully(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(2)
            codes = cluster.stop_gracefully()
        self.assertEqual({0}, set(codes.values()))

    def test_the_event_loop_uses_epoll_not_io_uring(self):
        with local_cluster.LocalCluster.open() as cluster:
            node = cluster.start_node()
            folder = f'/proc/{node.process.pid}/fd'
            open_files = subprocess.run(
                ['ls', '-l', folder], capture_output=True, text=True
            ).stdout
            self.assertIn('eventpoll', open_files)
            self.assertNotIn('io_uring', open_files)
            node.process.signal(signal.SIGTERM)
            self.assertEqual(0, node.process.wait())
