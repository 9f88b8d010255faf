"""Measure memory with slow readers, and lookup latency during downloads.

Lookups and downloads go through the same two nodes over the same peer
connection. The latency of lookups is measured alternately without and
with downloads.
"""

import asyncio
import pathlib
import random
import secrets
import subprocess
import sys
import time
from typing import Any

from bench import hop
from bench import local_cluster

PACK_BYTES = 150_000_000
SLOW_READERS = 4
READERS_START_S = 0.4
SLOW_READ_PAUSE_S = 0.02
FAST_READERS = 2
FAST_READ_PAUSE_S = 0.002
ROUND_DURATION_S = 2.0
ROUND_COUNT = 4
MEMORY_BOUND_MB = 64


class _Download:
    """Download packs in a separate process, with a pause between reads."""

    def __init__(
        self, folder: pathlib.Path, port: int, pause_s: float
    ) -> None:
        args = (
            local_cluster.CALLER_HOST,
            str(port),
            str(PACK_BYTES),
            str(pause_s),
        )
        self._output = folder / f'download-{secrets.token_hex(4)}'
        with self._output.open('wb') as output:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', 'bench.download', *args],
                stdout=output,
            )

    def stop(self) -> int:
        """Kill the process and return the number of bytes that it read."""
        self._popen.kill()
        self._popen.wait()
        lines = self._output.read_bytes().split()
        return sum(int(line) for line in lines)


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    with local_cluster.LocalCluster.open() as cluster:
        entry_node, server_node = cluster.start_node(), cluster.start_node()
        cluster.start_server(server_node, 'lookups,packs')
        cluster.publish()
        cluster.wait_for_servers(1)
        nodes = (entry_node, server_node)
        before = [hop.resident_mb(node.process.pid) for node in nodes]
        slow = _start_downloads(
            cluster, entry_node, SLOW_READERS, SLOW_READ_PAUSE_S
        )
        time.sleep(ROUND_DURATION_S)
        during = [hop.resident_mb(node.process.pid) for node in nodes]
        slow_bytes = _stop_downloads(slow)
        idle_latencies, loaded_latencies = (
            hop.histogram_us(),
            hop.histogram_us(),
        )
        fast_bytes = 0
        for number in range(ROUND_COUNT):
            rng = random.Random(seed + number)
            asyncio.run(
                _measure_lookups(entry_node.http_port, idle_latencies, rng)
            )
            fast = _start_downloads(
                cluster, entry_node, FAST_READERS, FAST_READ_PAUSE_S
            )
            asyncio.run(
                _measure_lookups(entry_node.http_port, loaded_latencies, rng)
            )
            fast_bytes += _stop_downloads(fast)
        after = [hop.resident_mb(node.process.pid) for node in nodes]
    return {
        'idle_mb': before,
        'slow_readers_mb': during,
        'after_mb': after,
        'bound_mb': MEMORY_BOUND_MB,
        'slow_bytes': slow_bytes,
        'fast_mb_per_s': round(
            fast_bytes
            / 1e6
            / (ROUND_COUNT * (ROUND_DURATION_S + READERS_START_S)),
            1,
        ),
        'lookup_p50_ms': hop.percentile_ms(idle_latencies, 50),
        'lookup_p99_ms': hop.percentile_ms(idle_latencies, 99),
        'lookup_beside_downloads_p50_ms': hop.percentile_ms(
            loaded_latencies, 50
        ),
        'lookup_beside_downloads_p99_ms': hop.percentile_ms(
            loaded_latencies, 99
        ),
    }


def _start_downloads(
    cluster, node: local_cluster.Node, count: int, pause_s: float
):
    downloads = [
        _Download(cluster.folder, node.http_port, pause_s)
        for _ in range(count)
    ]
    time.sleep(READERS_START_S)
    return downloads


def _stop_downloads(downloads: list[_Download]) -> int:
    return sum(download.stop() for download in downloads)


async def _measure_lookups(port: int, latencies, rng: random.Random) -> None:
    pool = hop.new_pool(port)
    await hop.call_at_rate(pool, latencies, rng, ROUND_DURATION_S)
    pool.close()
