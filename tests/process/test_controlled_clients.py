"""Let 500 clients that keep to the configured limits use one node at once.

The bounds for uncontrolled clients must never close one of their
connections: here on a node with 200 MB and 4,100 descriptors.
"""

import asyncio
import unittest

from bench import local_cluster

MEMORY_MB = 200
MAX_DESCRIPTORS = 4100
CLIENTS = 500
SLOTS = 600
TIMEOUT_S = 120.0
HEADER = b'x: ' + b'y' * 15_000 + b'\r\n'
GET = b'GET /lookup/x HTTP/1.1\r\nhost: test.example\r\n'
POST = b'POST /lookup/x HTTP/1.1\r\nhost: test.example\r\n'
BODY = b'z' * 1_000_000
# Title, what each client sends, and the number of answers to it.
CASES = [
    ('long heads', GET + HEADER + b'\r\n', 1),
    ('pipelined requests', (GET + b'\r\n') * 4, 4),
    ('bodies', POST + b'content-length: 1000000\r\n\r\n' + BODY, 1),
]
LARGE_RESPONSES = (
    'large responses',
    GET.replace(b'/x', b'/x?bytes=1000000') + b'\r\n',
    1,
)


class ControlledClientsTest(unittest.TestCase):
    def test_clients_within_the_limits_were_disconnected(self):
        self._check(CASES)

    def test_large_responses_within_the_limits_were_cut_off(self):
        self._check([LARGE_RESPONSES])

    def _check(self, cases):
        template = local_cluster.SETTINGS_TEMPLATE + (
            f'[limits]\nmemory-mb = {MEMORY_MB}\n'
            f'max-descriptors = {MAX_DESCRIPTORS}\n'
        )
        with local_cluster.LocalCluster.open() as cluster:
            beside = cluster.start_node()
            cluster.start_server(beside, 'lookups', '--slots', str(SLOTS))
            node = cluster.start_nodes(1, template=template)[0]
            cluster.publish()
            cluster.wait_for_servers(1)
            for title, data, answers in cases:
                with self.subTest(title):
                    counts = asyncio.run(_send_all(node.http_port, data))
                    self.assertEqual([answers] * CLIENTS, counts)
                    closed = {
                        name: count
                        for name, count in node.status()['counters'].items()
                        if name.startswith('closed_')
                    }
                    self.assertEqual({}, closed)


async def _send_all(port: int, data: bytes) -> list[int]:
    """Send the data on all connections; return the answers to each.

    All connections are open before the first client sends.
    """
    async with asyncio.timeout(TIMEOUT_S):
        streams = [
            await asyncio.open_connection(local_cluster.HOST, port)
            for _ in range(CLIENTS)
        ]
        counts = await asyncio.gather(
            *(_send(reader, writer, data) for reader, writer in streams)
        )
        for _, writer in streams:
            writer.transport.abort()
        return counts


async def _send(reader, writer, data: bytes) -> int:
    """Return how many complete answers arrive."""
    writer.write(data)
    count = 0
    for _ in range(data.count(b' HTTP/1.1\r\n')):
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2].split()[0]
        await reader.readexactly(int(length))
        count += 1
    return count
