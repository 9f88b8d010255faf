"""Check UNASKED as the endpoint beside a node gives way to another service."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import endpoint as endpoints
import fleet as fleets

ZONES = {
    'durban-a': 'za-coast',
    'joburg-a': 'za-inland',
    'capetown-a': 'za-coast',
    'pretoria-a': 'za-inland',
}
# Those of the site kloof-gallery.
BOUNDS = {
    'stable_window_s': 3,
    'drain_s': 2,
    'addr_reuse_s': 2,
    'config_apply_s': 2,
    'grace_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 60,
}
OLD, NEW = 'storefront', 'facevault'
PATH = '/catalogue/'
DEADLINE_MS = 600
OBSERVED_S = 6.0
# The rule names no bound. That of a desired state is allowed here.
ALLOWED_S = BOUNDS['config_apply_s']


async def check(folder, has_trouble):
    """Play the case; return its exit code."""
    fleet = fleets.Fleet(folder, ZONES, BOUNDS)
    try:
        return await _play(fleet, has_trouble)
    finally:
        fleet.close()


async def _play(fleet, has_trouble):
    for zone in ZONES:
        fleet.add(f'sidecar-{zone}-1', zone, OLD)
        fleet.add(f'sidecar-{zone}-2', zone, NEW)
    config = fleets.config(
        7,
        {
            PATH: {
                'type': 'idempotent',
                'service': NEW,
                'timeout_s': DEADLINE_MS / 1000,
            }
        },
        {OLD: {}, NEW: {}},
    )
    await fleet.start(config)
    for node in fleet.nodes:
        await fleet.wait_served(node, PATH)
    await asyncio.sleep(BOUNDS['stable_window_s'] + 1)
    # Two of eight: a quarter of the endpoints.
    runs = await asyncio.gather(
        _replace(fleet, fleet.nodes[0], 0.0, has_trouble),
        _replace(fleet, fleet.nodes[2], 2.5, has_trouble),
    )
    service = NEW if has_trouble else OLD
    count = wrong = 0
    callers = {
        run.request_id: run.headers.get('jayflow-caller-service')
        for node in fleet.nodes
        for run in node.endpoint.runs
    }
    for request_id in (name for names in runs for name in names):
        caller = callers.get(request_id)
        count += caller is not None
        if caller not in (None, service):
            wrong += 1
            fleet.record.write(f'{request_id} ran with caller {caller}')
    print(
        f'{count} requests ran that began at machines of {service}, over '
        f'{ALLOWED_S} s after the settings said so; {wrong} of them with '
        f'another Jayflow-Caller-Service'
    )
    if not count:
        raise fleets.CannotRunError('nothing is served')
    return 1 if wrong else 0


async def _replace(fleet, node, wait_s, has_trouble):
    """Replace an endpoint; return the ids of requests sent long after."""
    await asyncio.sleep(wait_s)
    old = node.endpoint
    if has_trouble:
        old.state, old.is_beating = 'draining', False
        fleet.record.write(f'{old.instance} drains: {await old.heartbeat()}')
        await asyncio.sleep(BOUNDS['drain_s'] + 0.5)
        left = await old.deregister()
        old.close()
        fleet.other_endpoints.append(old)
        fleet.record.write(f'{old.instance} has left: {left}')
        await asyncio.sleep(BOUNDS['addr_reuse_s'] + 0.5)
        node.endpoint = endpoints.Endpoint(
            f'{old.instance}-next',
            NEW,
            node.zone,
            old.port,
            old.control_port,
        )
        node.write_settings(NEW)
        fleet.record.write(f'the settings of {node.name} name {NEW}')
        await node.endpoint.start()
    changed_at = time.monotonic()
    ids = []
    while time.monotonic() < changed_at + OBSERVED_S:
        request_id = f'{node.name}-{time.monotonic() - changed_at:.3f}'
        if time.monotonic() > changed_at + ALLOWED_S:
            ids.append(request_id)
        await fleet.request(
            node, 'GET', PATH, request_id, deadline_ms=DEADLINE_MS
        )
        await asyncio.sleep(0.05)
    return ids


fleets.main(__file__, check)
