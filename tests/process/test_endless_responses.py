"""Let a server send bytes without end while others send requests.

A node that keeps all bytes of a head or a body that never ends runs out of
memory, and the requests of all callers on its machine end with it (LOST).
"""

import asyncio
import concurrent.futures
import http.client
import json
import pathlib
import threading
import time
import unittest

from bench import local_cluster
from tests.connection import test_endless_bytes

# The memory that the users' page allows per node.
MAX_MEMORY_BYTES = 64 * 1024 * 1024
CALLERS = 8
SPAN_S = 4.0
RENEW_S = 1.0
OK = test_endless_bytes.STATUS_LINE
BLOCK = test_endless_bytes.BLOCK * 8
CASES = [
    *test_endless_bytes.CASES,
    ('body without length', OK + b'\r\n', BLOCK),
    (
        'chunks',
        OK + b'transfer-encoding: chunked\r\n\r\n',
        b'10000\r\n%b\r\n' % BLOCK,
    ),
    (
        'chunks of one byte',
        OK + b'transfer-encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 10_000,
    ),
    ('stated length', OK + b'content-length: 99999999999\r\n\r\n', BLOCK),
    (
        'after the response',
        OK + b'content-length: 2\r\n\r\nok',
        test_endless_bytes.BLOCK,
    ),
]


class EndlessServers:
    """Serve every case at an address of its own, in a thread."""

    def __init__(self) -> None:
        self.ports = local_cluster.reserve_ports(len(CASES))
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result()

    async def _start(self) -> None:
        for port, (_, first, rest) in zip(self.ports, CASES, strict=True):
            server = test_endless_bytes.EndlessServer(first, rest)
            await asyncio.start_server(server.serve, local_cluster.HOST, port)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()


def _peak_bytes(process: local_cluster.Process) -> int:
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    line = next(row for row in status.splitlines() if row[:6] == 'VmHWM:')
    return int(line.split()[1]) * 1024


class EndlessResponsesTest(unittest.TestCase):
    def test_bytes_without_end_ended_the_requests_of_other_callers(self):
        servers = EndlessServers()
        self.addCleanup(servers.close)
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(1, 'lookups')
            entry, faulty = cluster.start_nodes(2)
            for (title, _, _), port in zip(CASES, servers.ports, strict=True):
                with self.subTest(title):
                    self._announce(faulty, title, port)
                    cluster.wait_for_servers(2)
                    statuses = self._send_beside(entry)
                    self.assertEqual({200}, statuses)
                    for node in cluster.nodes:
                        self.assertTrue(node.process.is_running)
                        self.assertLess(
                            _peak_bytes(node.process), MAX_MEMORY_BYTES
                        )

    def _announce(self, node, title: str, port: int) -> None:
        body = {
            'instance': title,
            'services': ['lists'],
            'host': local_cluster.HOST,
            'port': port,
            'slots': CALLERS,
        }
        local_cluster.send_request(
            node.announce_port,
            '/announcement',
            'PUT',
            json.dumps(body).encode(),
        )

    def _send_beside(self, entry) -> set[int]:
        """Return the statuses of lookups while others get endless bytes."""
        until = time.monotonic() + SPAN_S / 4
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            endless = [
                pool.submit(self._read_until, entry.http_port, until)
                for _ in range(CALLERS)
            ]
            statuses = set()
            while time.monotonic() < until:
                response = local_cluster.send_request(
                    entry.http_port, '/lookup/x'
                )
                statuses.add(response.status)
            for fut in endless:
                fut.result()
        return statuses

    def _read_until(self, port: int, until: float) -> None:
        """Send a request and read its response until a time."""
        conn = http.client.HTTPConnection(local_cluster.HOST, port, timeout=5)
        try:
            conn.request('GET', '/lists/x', headers={'Host': 'test.example'})
            response = conn.getresponse()
            while time.monotonic() < until and response.read(65_536):
                pass
        except (OSError, http.client.HTTPException):
            pass
        finally:
            conn.close()
