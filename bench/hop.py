"""Measure the latency that two nodes add to a request.

The same run alternates between direct requests to the server and requests
through two nodes. Both are measured with sequential requests and at a
steady mean rate. The server has 18 slots; each response is 1 KB long.
"""

import asyncio
import random
import time

from bench import local_cluster
from hdrh import histogram
from jayflow.connection import backend_client
from jayflow.request import header_dialect

ROUNDS = 10
SEQUENTIAL_CALLS = 300
CALLS_PER_S = 60
RATE_ROUND_S = 1.0
SLOTS = 18
WARM_UP_CALLS = 300
TARGET_ADDED_P99_MS = 1.6
HEADERS = [(b'host', local_cluster.CALLER_HOST.encode())]
REQUEST_TARGET = b'/lookup/word?bytes=1024&ms=0'


def histogram_us() -> histogram.HdrHistogram:
    """Return a histogram of microseconds up to ten seconds."""
    return histogram.HdrHistogram(1, 10_000_000, 3)


def percentile_ms(
    latencies: histogram.HdrHistogram, percentile: float
) -> float:
    """Return a percentile of a histogram of microseconds, in ms."""
    return round(latencies.get_value_at_percentile(percentile) / 1000, 3)


def new_pool(port: int) -> backend_client.Pool:
    """Return a pool of connections to a port of the cluster."""
    return backend_client.Pool(
        local_cluster.HOST, port, header_dialect.DEFAULT_DIALECT
    )


async def _timed_call(
    pool: backend_client.Pool, latencies: histogram.HdrHistogram
) -> None:
    start = time.perf_counter()
    conn = await pool.acquire(is_idempotent=True)
    conn.write_head('GET', REQUEST_TARGET, HEADERS, b'')
    status = await conn.read_head()
    size = 0
    async for part in conn.iter_parts():
        size += len(part)
    pool.release(conn)
    if status != 200 or size != 1024:
        raise RuntimeError(
            f'unexpected response: status {status}, {size} bytes'
        )
    latencies.record_value(round((time.perf_counter() - start) * 1e6))


async def _call_sequentially(pool, latencies, calls: int) -> None:
    for _ in range(calls):
        await _timed_call(pool, latencies)


async def call_at_rate(
    pool: backend_client.Pool,
    latencies: histogram.HdrHistogram,
    rng: random.Random,
    round_s: float,
) -> None:
    """Send requests at a steady mean rate and record their latencies."""
    tasks = []
    end = time.perf_counter() + round_s
    while time.perf_counter() < end:
        tasks.append(asyncio.create_task(_timed_call(pool, latencies)))
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
    await asyncio.gather(*tasks)


async def _measure(ports: dict[str, int], seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    pools = {path: new_pool(port) for path, port in ports.items()}
    latencies = {
        (path, kind): histogram_us()
        for path in ports
        for kind in ('sequential', 'rate')
    }
    for path in ports:
        await _call_sequentially(pools[path], histogram_us(), WARM_UP_CALLS)
    for _ in range(ROUNDS):
        for path, pool in pools.items():
            await _call_sequentially(
                pool, latencies[path, 'sequential'], SEQUENTIAL_CALLS
            )
        for path, pool in pools.items():
            await call_at_rate(
                pool, latencies[path, 'rate'], rng, RATE_ROUND_S
            )
    return _figures(latencies)


def _figures(latencies) -> dict[str, float]:
    figures = {}
    for kind in ('sequential', 'rate'):
        direct, through = latencies['direct', kind], latencies['through', kind]
        for percentile, name in ((50, 'p50'), (99, 'p99')):
            direct_ms = percentile_ms(direct, percentile)
            through_ms = percentile_ms(through, percentile)
            figures[f'{kind}_direct_{name}_ms'] = round(direct_ms, 3)
            figures[f'{kind}_through_{name}_ms'] = round(through_ms, 3)
            figures[f'{kind}_added_{name}_ms'] = round(
                through_ms - direct_ms, 3
            )
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
    with open(f'/proc/{pid}/status', encoding='ascii') as status_file:
        for line in status_file:
            if line.startswith('VmRSS:'):
                return round(int(line.split()[1]) / 1024, 1)
    raise ProcessLookupError(pid)


def run(seed: int) -> dict[str, float]:
    """Return the figures of one run."""
    with local_cluster.LocalCluster.open() as cluster:
        entry_node, server_node = cluster.start_node(), cluster.start_node()
        slots = ('--slots', str(SLOTS))
        backend = cluster.start_server(server_node, 'lookups', *slots)
        cluster.publish()
        cluster.wait_for_servers(1)
        idle_mb = resident_mb(entry_node.process.pid)
        ports = {'direct': backend.port, 'through': entry_node.http_port}
        figures = asyncio.run(_measure(ports, seed))
        figures['node_rss_mb'] = idle_mb
        figures['node_rss_after_mb'] = resident_mb(entry_node.process.pid)
        return figures
