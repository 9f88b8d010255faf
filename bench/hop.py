"""Measure what two nodes add to a call, against the server itself.

Both ways are measured in turns in the same run: one call after another,
and at a steady rate spread over 18 slots. Rows are 1 KB answers.
"""

import asyncio
import random
import time

from bench import stack as stacks
from hdrh import histogram
from jayflow.connection import server

ROUNDS = 10
SEQUENTIAL_CALLS = 300
RATE_PER_S = 60
RATE_ROUND_S = 1.0
SLOTS = 18
WARM_UP_CALLS = 300
TARGET_ADDED_P99_MS = 1.6
HEADERS = [(b'host', stacks.CALLER_HOST.encode())]
TARGET = b'/lookup/word?bytes=1024&ms=0'


def histogram_us() -> histogram.HdrHistogram:
    """Return a histogram of microseconds up to ten seconds."""
    return histogram.HdrHistogram(1, 10_000_000, 3)


def to_ms(times: histogram.HdrHistogram, percentile: float) -> float:
    """Return a percentile in ms."""
    return round(times.get_value_at_percentile(percentile) / 1000, 3)


async def _call(pool: server.Pool, times: histogram.HdrHistogram) -> None:
    begun = time.perf_counter()
    conn = await pool.take(repeatable=True)
    conn.write_head('GET', TARGET, HEADERS, b'')
    status = await conn.read_head()
    size = 0
    async for part in conn.read_parts():
        size += len(part)
    pool.give(conn)
    if status != 200 or size != 1024:
        raise RuntimeError(f'status {status}, {size} bytes')
    times.record_value(round((time.perf_counter() - begun) * 1e6))


async def _sequential(pool, times, calls: int) -> None:
    for _ in range(calls):
        await _call(pool, times)


async def call_at_rate(
    pool: server.Pool,
    times: histogram.HdrHistogram,
    rng: random.Random,
    round_s: float,
) -> None:
    """Make calls at a steady rate and record their times."""
    tasks = []
    end = time.perf_counter() + round_s
    while time.perf_counter() < end:
        tasks.append(asyncio.create_task(_call(pool, times)))
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
    await asyncio.gather(*tasks)


async def _measure(ways: dict[str, int], seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    pools = {way: server.Pool(stacks.HOST, at) for way, at in ways.items()}
    times = {
        (way, kind): histogram_us()
        for way in ways
        for kind in ('sequential', 'rate')
    }
    for way in ways:
        await _sequential(pools[way], histogram_us(), WARM_UP_CALLS)
    for _ in range(ROUNDS):
        for way, pool in pools.items():
            await _sequential(pool, times[way, 'sequential'], SEQUENTIAL_CALLS)
        for way, pool in pools.items():
            await call_at_rate(pool, times[way, 'rate'], rng, RATE_ROUND_S)
    return _figures(times)


def _figures(times) -> dict[str, float]:
    figures = {}
    for kind in ('sequential', 'rate'):
        direct, through = times['direct', kind], times['through', kind]
        for percentile, name in ((50, 'p50'), (99, 'p99')):
            before = to_ms(direct, percentile)
            after = to_ms(through, percentile)
            figures[f'{kind}_direct_{name}_ms'] = round(before, 3)
            figures[f'{kind}_through_{name}_ms'] = round(after, 3)
            figures[f'{kind}_added_{name}_ms'] = round(after - before, 3)
    kinds = ('sequential', 'rate')
    return {
        'direct_p99_ms': max(figures[f'{k}_direct_p99_ms'] for k in kinds),
        'added_p50_ms': max(figures[f'{k}_added_p50_ms'] for k in kinds),
        'added_p99_ms': max(figures[f'{k}_added_p99_ms'] for k in kinds),
        'target_added_p99_ms': TARGET_ADDED_P99_MS,
        **figures,
    }


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with open(f'/proc/{pid}/status', encoding='ascii') as rows:
        for row in rows:
            if row.startswith('VmRSS:'):
                return round(int(row.split()[1]) / 1024, 1)
    raise ProcessLookupError(pid)


def run(seed: int) -> dict[str, float]:
    """Return the figures of one run."""
    with stacks.Stack.open() as stack:
        near, beside = stack.start_node(), stack.start_node()
        slots = ('--slots', str(SLOTS))
        backend = stack.start_server(beside, 'lookups', *slots)
        stack.publish()
        stack.wait_members(1)
        idle_mb = resident_mb(near.process.pid)
        ways = {'direct': backend.port, 'through': near.http}
        figures = asyncio.run(_measure(ways, seed))
        figures['node_rss_mb'] = idle_mb
        figures['node_rss_after_mb'] = resident_mb(near.process.pid)
        return figures
