"""Measure downloads: memory with slow readers, and lookups beside them.

Lookups and downloads go through the same two nodes over the same link;
the p99 of lookups is measured in turns without and with downloads.
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
from bench import stack as stacks
from jayflow.connection import server

PACK_BYTES = 150_000_000
SLOW_READERS = 4
START_S = 0.4
SLOW_READ_PAUSE_S = 0.02
FAST_READERS = 2
FAST_READ_PAUSE_S = 0.002
ROUND_S = 2.0
ROUNDS = 4
BOUND_MB = 64


class _Download:
    """Download packs in a process of its own, at a set pace."""

    def __init__(
        self, folder: pathlib.Path, port: int, pause_s: float
    ) -> None:
        args = (stacks.CALLER_HOST, str(port), str(PACK_BYTES), str(pause_s))
        self._output = folder / f'download-{secrets.token_hex(4)}'
        with self._output.open('wb') as output:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', 'bench.download', *args],
                stdout=output,
            )

    def stop(self) -> int:
        """End the process and return the bytes that it read."""
        self._popen.kill()
        self._popen.wait()
        rows = self._output.read_bytes().split()
        return sum(int(row) for row in rows)


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    with stacks.Stack.open() as stack:
        near, beside = stack.start_node(), stack.start_node()
        stack.start_server(beside, 'lookups,packs')
        stack.publish()
        stack.wait_members(1)
        nodes = (near, beside)
        before = [hop.resident_mb(node.process.pid) for node in nodes]
        slow = _with_downloads(stack, near, SLOW_READERS, SLOW_READ_PAUSE_S)
        time.sleep(ROUND_S)
        during = [hop.resident_mb(node.process.pid) for node in nodes]
        slow_bytes = _stop(slow)
        calm, busy = hop.histogram_us(), hop.histogram_us()
        fast_bytes = 0
        for number in range(ROUNDS):
            rng = random.Random(seed + number)
            asyncio.run(_lookups(near.http, calm, rng))
            fast = _with_downloads(
                stack, near, FAST_READERS, FAST_READ_PAUSE_S
            )
            asyncio.run(_lookups(near.http, busy, rng))
            fast_bytes += _stop(fast)
        after = [hop.resident_mb(node.process.pid) for node in nodes]
    return {
        'idle_mb': before,
        'slow_readers_mb': during,
        'after_mb': after,
        'bound_mb': BOUND_MB,
        'slow_bytes': slow_bytes,
        'fast_mb_per_s': round(
            fast_bytes / 1e6 / (ROUNDS * (ROUND_S + START_S)), 1
        ),
        'lookup_p50_ms': hop.to_ms(calm, 50),
        'lookup_p99_ms': hop.to_ms(calm, 99),
        'lookup_beside_downloads_p50_ms': hop.to_ms(busy, 50),
        'lookup_beside_downloads_p99_ms': hop.to_ms(busy, 99),
    }


def _with_downloads(stack, node: stacks.Node, count: int, pause_s: float):
    downloads = [
        _Download(stack.folder, node.http, pause_s) for _ in range(count)
    ]
    time.sleep(START_S)
    return downloads


def _stop(downloads: list[_Download]) -> int:
    return sum(each.stop() for each in downloads)


async def _lookups(port: int, times, rng: random.Random) -> None:
    pool = server.Pool(stacks.HOST, port)
    await hop.call_at_rate(pool, times, rng, ROUND_S)
    pool.close()
