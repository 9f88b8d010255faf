"""Check the rules on keys after the last tenant was taken away."""

import asyncio
import pathlib
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
SERVICE = 'bookpay'
PATH = '/hire/'
TENANT = 'bozi300'
KEY = '2rrytapjsujqurtyiikd'
NEVER_HELD_KEY = 'x7kq0mnnpt41zzuva9ce'
DEADLINE_MS = 1013
OBSERVED_S = 4.0


async def check(folder, has_trouble):
    """Play the case; return its exit code."""
    fleet = fleets.Fleet(folder, ZONES, BOUNDS)
    try:
        return await _play(fleet, has_trouble)
    finally:
        fleet.close()


def _config(number, tenants):
    return fleets.config(
        number,
        {
            PATH: {
                'type': 'non_idempotent',
                'service': SERVICE,
                'timeout_s': DEADLINE_MS / 1000,
                'public': False,
                'allowed_regions': [],
            }
        },
        {SERVICE: {}},
        tenants={
            'columns': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
            'rows': [[name, [key], 1, 115, 115] for name, key in tenants],
        },
    )


async def _play(fleet, has_trouble):
    for zone in ZONES:
        fleet.add(f'sidecar-{zone}-1', zone, SERVICE)
    await fleet.start(_config(7, [(TENANT, KEY)]))
    for node in fleet.nodes:
        await fleet.wait_served(
            node, PATH + 'warm-up', [('Jayflow-Credential', KEY)]
        )
    await asyncio.sleep(BOUNDS['stable_window_s'] + 1)
    before = await _send(fleet, 'before')
    # The operator takes the tenant away, with its key.
    left = [] if has_trouble else [(TENANT, KEY)]
    await fleet.store.put('config', 'main', _config(8, left))
    acked_at = time.monotonic()
    fleet.record.write('r8 is acknowledged')
    await asyncio.sleep(BOUNDS['revoke_s'] + 0.5)
    fleet.record.write(
        f'requests are sent {time.monotonic() - acked_at:.1f} s after the ack'
    )
    after = await _send(fleet, 'after')
    runs = [run for node in fleet.nodes for run in node.endpoint.runs]
    for run in runs:
        fleet.record.write(f'{run.request_id} ran with {run.headers}')
    ran = {run.request_id: run for run in runs}
    removed = [name for name in ran if name.startswith('after-key')]
    never_held = [name for name in ran if '-odd' in name]
    passed_on = [
        run.request_id for run in runs if 'jayflow-credential' in run.headers
    ]
    foreign = [
        run.request_id
        for run in runs
        if run.headers.get('jayflow-tenant', TENANT) != TENANT
    ]
    print(f'answers before r8: {before}; after it: {after}')
    print(
        f'ran with the key of the tenant over {BOUNDS["revoke_s"]} s after '
        f'r8: {len(removed)}; ran with a key that no desired state held: '
        f'{len(never_held)}; ran with the key passed on: {len(passed_on)}; '
        f'ran for another tenant: {len(foreign)}'
    )
    if not before.get(200) or any(
        name.startswith('before-odd') for name in ran
    ):
        raise fleets.CannotRunError('the keys do not hold before the change')
    if has_trouble:
        return 1 if removed or never_held or passed_on or foreign else 0
    return 1 if never_held or passed_on or foreign else 0


async def _send(fleet, when):
    """Send requests with both keys; return the count of each status."""
    statuses = {}
    end = time.monotonic() + OBSERVED_S
    number = 0
    while time.monotonic() < end:
        for node in fleet.nodes:
            for kind, key in (('key', KEY), ('odd', NEVER_HELD_KEY)):
                number += 1
                headers = [
                    ('Jayflow-Credential', key),
                    ('Jayflow-Tenant', 'another'),
                ]
                status, _, _ = await fleet.request(
                    node,
                    'POST',
                    f'{PATH}{number}',
                    f'{when}-{kind}-{number}',
                    headers,
                    b'pay',
                    DEADLINE_MS,
                )
                statuses[status] = statuses.get(status, 0) + 1
    return statuses


fleets.main(__file__, check)
