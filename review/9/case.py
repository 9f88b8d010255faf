"""Check EVAC after all processes were killed while a zone is evacuated."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import fleet as fleets

ZONES = {
    'bardhaman-a': 'bengal-south',
    'siliguri-a': 'bengal-north',
    'nadia-b': 'bengal-south',
    'malda-b': 'bengal-north',
}
# Those of the site hooghly-mesh-grown.
BOUNDS = {
    'stable_window_s': 4,
    'grace_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 158,
    'revoke_s': 5,
    'revoke_strict': True,
    'evacuate_s': 5,
}
EVACUATED = 'siliguri-a'
SERVICE = 'fleetview'
TARGET = '/positions/17'
DOWN_S = 1.0
OBSERVED_S = 10.0
PAUSE_S = 0.1


async def check(folder, has_trouble):
    """Play the case; return its exit code."""
    fleet = fleets.Fleet(folder, ZONES, BOUNDS)
    try:
        return await _play(fleet, has_trouble)
    finally:
        fleet.close()


async def _play(fleet, has_trouble):
    for zone in ZONES:
        for number in (1, 2):
            fleet.add(f'sidecar-{zone}-{number}', zone, SERVICE)
    config = fleets.config(
        7,
        {
            '/positions/': {
                'type': 'idempotent',
                'service': SERVICE,
                'timeout_s': 0.808,
                'public': True,
            }
        },
        {SERVICE: {'cold_start_s': 0.0, 'cold_per_s': 0.0}},
    )
    await fleet.start(config)
    for node in fleet.nodes:
        await fleet.wait_served(node, TARGET)
    lost = fleet.nodes.pop()
    if has_trouble:
        # The machine is removed for good, without SIGTERM.
        lost.send_signal(signal.SIGKILL)
        await lost.wait_ended(5)
        lost.endpoint.close()
    try:
        return await _evacuate(fleet, has_trouble)
    finally:
        fleet.nodes.append(lost)


async def _evacuate(fleet, has_trouble):
    await fleet.store.put('evacuations', EVACUATED, {})
    acked_at = time.monotonic()
    fleet.record.write(f'evacuation of {EVACUATED} is acknowledged')
    await asyncio.sleep(BOUNDS['evacuate_s'] + 1)
    if has_trouble:
        for node in fleet.nodes:
            node.send_signal(signal.SIGKILL)
        for node in fleet.nodes:
            await node.wait_ended(5)
        await asyncio.sleep(DOWN_S)
        for node in fleet.nodes:
            node.start()
    in_touch_at = max(
        node.started_at + BOUNDS['stable_window_s'] for node in fleet.nodes
    )
    end = time.monotonic() + OBSERVED_S
    sent_at, tasks, number = {}, [], 0
    while time.monotonic() < end:
        for node in fleet.nodes:
            number += 1
            request_id = f'r{number}'
            sent_at[request_id] = time.monotonic()
            tasks.append(
                asyncio.create_task(
                    fleet.request(
                        node, 'GET', TARGET, request_id, deadline_ms=808
                    )
                )
            )
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*tasks)
    bound = acked_at + BOUNDS['evacuate_s']
    broken = [
        run
        for node in fleet.nodes
        if node.zone == EVACUATED
        for run in node.endpoint.runs
        if sent_at.get(run.request_id, 0) >= in_touch_at
        and run.arrived_at > bound
    ]
    served = sum(status == 200 for status, _, _ in answers)
    print(
        f'{len(answers)} requests, {served} served; {len(broken)} requests '
        f'that machines in touch sent reached endpoints in {EVACUATED}'
    )
    for run in broken:
        fleet.record.write(
            f'EVAC is broken by {run.request_id} at {run.endpoint.instance}'
        )
    if served < len(answers) / 4:
        raise fleets.CannotRunError('too few requests are served')
    return 1 if broken else 0


fleets.main(__file__, check)
