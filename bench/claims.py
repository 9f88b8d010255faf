"""Measure the grouped claims of idempotency keys against the platform.

Several claimers, as many nodes would, claim keys at a set rate from the
stand-in, which allows several hundred writes a second. Each range is
written by its owner alone, or by all claimers, or (the baseline) each key
is an object of its own.
"""

import asyncio
import random
import time
from typing import Any

from bench import hop
from bench import stack as stacks
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as counting
from jayflow.request import claims
from jayflow.request import keys
from jayflow.version import objects
from jayflow.version import quantity

CLAIMERS = 4
CLAIMS_PER_S = 40
ROUND_S = 3.0
RATES = (50, 200, 800)
LIMIT_S = 2.0
RETENTION_S = 86400.0
SERVICE = objects.ServiceName('lists')


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    with stacks.Stack.open() as stack:
        return asyncio.run(_measure(stack, seed))


async def _measure(stack: stacks.Stack, seed: int) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    for rate in RATES:
        for way in ('owned', 'shared', 'single'):
            calls = stack.platform_calls()
            name = f'{way}_{rate}'
            rng = random.Random(f'{seed}-{name}')
            found = await _round(stack, way, rate, rng)
            after = stack.platform_calls()
            puts = after.get('put', 0) - calls.get('put', 0)
            over = after.get('over_rate', 0) - calls.get('over_rate', 0)
            figures[f'{name}_claimed'] = found['claimed']
            figures[f'{name}_unclaimed'] = found['unclaimed']
            figures[f'{name}_writes'] = puts
            figures[f'{name}_over_rate'] = over
            figures[f'{name}_p50_ms'] = found['p50_ms']
            figures[f'{name}_p99_ms'] = found['p99_ms']
    return figures


def _platform(stack: stacks.Stack, calls_per_s: float) -> api.HttpPlatform:
    return api.HttpPlatform(
        quantity.Address(stacks.HOST, stack.platform_port),
        api.CallBudget(calls_per_s),
        counting.Metrics(),
        1.0,
    )


async def _round(stack, way: str, rate: int, rng) -> dict[str, Any]:
    times = hop.histogram_us()
    counts = {'claimed': 0, 'unclaimed': 0}
    wide = _platform(stack, 10_000)
    claimers = [
        keys.Claimer(_platform(stack, CLAIMS_PER_S), counting.Metrics())
        for _ in range(CLAIMERS)
    ]

    async def claim(number: int) -> None:
        digest = claims.digest_of(SERVICE, rng.randbytes(8))
        begun = time.perf_counter()
        if way != 'single':
            wanted = claims.Wanted(digest, _claim(number))
            by_range = claims.range_of(digest) if way == 'owned' else number
            found = await claimers[by_range % CLAIMERS].claim(
                SERVICE, wanted, RETENTION_S, LIMIT_S
            )
            is_claimed = found.state is keys.ClaimState.CLAIMED
        else:
            is_claimed = await _claim_single(wide, digest)
        if is_claimed:
            elapsed_us = (time.perf_counter() - begun) * 1e6
            times.record_value(max(1, round(elapsed_us)))
        counts['claimed' if is_claimed else 'unclaimed'] += 1

    await _at_rate(claim, rate, rng)
    return {
        **counts,
        'p50_ms': hop.to_ms(times, 50),
        'p99_ms': hop.to_ms(times, 99),
    }


async def _at_rate(claim, rate: int, rng) -> None:
    tasks, end, number = [], time.monotonic() + ROUND_S, 0
    due = time.monotonic()
    while due < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(claim(number)))
        number += 1
        due += rng.expovariate(rate)
    await asyncio.gather(*tasks)


def _claim(number: int) -> claims.Claim:
    node = messages.NodeId('n1')
    return claims.Claim(node, messages.Incarnation(1), number, b'x' * 12)


async def _claim_single(platform, digest: claims.KeyDigest) -> bool:
    try:
        await platform.put(f'single/{digest.hex()}', b'x' * 40, api.ABSENT)
    except api.PlatformError:
        return False
    return True
