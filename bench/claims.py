"""Measure batched claims of idempotency keys on the platform.

Several claim writers, one for each simulated node, claim keys at a set
rate on the platform emulator, which allows several hundred writes a
second. Three strategies are compared: each key range is written by its
preferred node only (owned) or by all writers (shared), or each key is an
object of its own (single, the baseline).
"""

import asyncio
import random
import time
from typing import Any

from bench import hop
from bench import local_cluster
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.request import claim_segments
from jayflow.request import claim_writer
from jayflow.version import objects
from jayflow.version import value_parsers

WRITERS = 4
CALLS_PER_S_PER_WRITER = 40
ROUND_S = 3.0
CLAIM_RATES_PER_S = (50, 200, 800)
CLAIM_TIMEOUT_S = 2.0
RETENTION_S = 86400.0
SERVICE = objects.ServiceName('lists')


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    with local_cluster.LocalCluster.open() as cluster:
        return asyncio.run(_measure(cluster, seed))


async def _measure(
    cluster: local_cluster.LocalCluster, seed: int
) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for rate in CLAIM_RATES_PER_S:
        for strategy in ('owned', 'shared', 'single'):
            before = cluster.platform_call_counts()
            name = f'{strategy}_{rate}'
            rng = random.Random(f'{seed}-{name}')
            result = await _run_round(cluster, strategy, rate, rng)
            after = cluster.platform_call_counts()
            puts = after.get('put', 0) - before.get('put', 0)
            over_rate = after.get('over_rate', 0) - before.get('over_rate', 0)
            figures[f'{name}_claimed'] = result['claimed']
            figures[f'{name}_unclaimed'] = result['unclaimed']
            figures[f'{name}_writes'] = puts
            figures[f'{name}_over_rate'] = over_rate
            figures[f'{name}_p50_ms'] = result['p50_ms']
            figures[f'{name}_p99_ms'] = result['p99_ms']
    return figures


def _new_platform_client(
    cluster: local_cluster.LocalCluster, calls_per_s: float
) -> api.HttpPlatform:
    return api.HttpPlatform(
        value_parsers.Address(local_cluster.HOST, cluster.platform_port),
        api.CallBudget(calls_per_s),
        metrics_module.Metrics(),
        1.0,
    )


async def _run_round(cluster, strategy: str, rate: int, rng) -> dict[str, Any]:
    latencies = hop.histogram_us()
    counts = {'claimed': 0, 'unclaimed': 0}
    unthrottled_platform = _new_platform_client(cluster, 10_000)
    writers = [
        claim_writer.ClaimWriter(
            _new_platform_client(cluster, CALLS_PER_S_PER_WRITER),
            metrics_module.Metrics(),
        )
        for _ in range(WRITERS)
    ]

    async def claim(number: int) -> None:
        digest = claim_segments.key_digest(SERVICE, rng.randbytes(8))
        start = time.perf_counter()
        if strategy != 'single':
            claim_request = claim_segments.ClaimRequest(
                digest, _new_claim(number)
            )
            writer_index = (
                claim_segments.range_of(digest)
                if strategy == 'owned'
                else number
            )
            result = await writers[writer_index % WRITERS].claim(
                SERVICE, claim_request, RETENTION_S, CLAIM_TIMEOUT_S
            )
            is_claimed = result.state is claim_writer.ClaimState.CLAIMED
        else:
            is_claimed = await _claim_single(unthrottled_platform, digest)
        if is_claimed:
            elapsed_us = (time.perf_counter() - start) * 1e6
            latencies.record_value(max(1, round(elapsed_us)))
        counts['claimed' if is_claimed else 'unclaimed'] += 1

    await _run_at_rate(claim, rate, rng)
    return {
        **counts,
        'p50_ms': hop.percentile_ms(latencies, 50),
        'p99_ms': hop.percentile_ms(latencies, 99),
    }


async def _run_at_rate(claim, rate: int, rng) -> None:
    tasks, end, number = [], time.monotonic() + ROUND_S, 0
    due = time.monotonic()
    while due < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(claim(number)))
        number += 1
        due += rng.expovariate(rate)
    await asyncio.gather(*tasks)


def _new_claim(number: int) -> claim_segments.Claim:
    node = messages.NodeId('n1')
    return claim_segments.Claim(
        node, messages.Incarnation(1), number, b'x' * 12
    )


async def _claim_single(platform, digest: claim_segments.KeyDigest) -> bool:
    try:
        await platform.put(f'single/{digest.hex()}', b'x' * 40, api.ABSENT)
    except api.PlatformError:
        return False
    return True
