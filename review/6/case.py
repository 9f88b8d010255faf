"""Check ROUTE as the address of a silent endpoint goes to another service."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import endpoint as endpoints
import fleet as fleets

ZONES = {'cdmx-a': 'mx-centro', 'mty-a': 'mx-norte'}
# Those of the site lexvivo-mesh.
BOUNDS = {
    'stable_window_s': 3,
    'drain_s': 2,
    'addr_reuse_s': 2,
    'grace_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 62,
}
LISTS, PACKS = 'palabras', 'acervo'
PATH = '/lists/'
DEADLINE_MS = 5000
WORK_S = 0.29
LOAD_S = 3.5
PAUSE_S = 0.05


async def check(folder, has_trouble):
    """Play the case; return its exit code."""
    fleet = fleets.Fleet(folder, ZONES, BOUNDS)
    try:
        return await _play(fleet, has_trouble)
    finally:
        fleet.close()


async def _play(fleet, has_trouble):
    for zone in ZONES:
        fleet.add(f'sidecar-{zone}-1', zone, LISTS)
        fleet.add(f'sidecar-{zone}-2', zone, PACKS)
    config = fleets.config(
        7,
        {
            PATH: {
                'type': 'non_idempotent',
                'service': LISTS,
                'timeout_s': DEADLINE_MS / 1000,
            },
            '/live/': {
                'type': 'idempotent',
                'service': PACKS,
                'timeout_s': 2.0,
            },
        },
        {LISTS: {}, PACKS: {}},
    )
    await fleet.start(config)
    for node in fleet.nodes:
        await fleet.wait_served(node, PATH)
        await fleet.wait_served(node, '/live/1')
    await asyncio.sleep(BOUNDS['stable_window_s'] + 1)
    for node in fleet.nodes:
        node.endpoint.work_s = WORK_S
    node, following = fleet.nodes[0], None
    old = node.endpoint
    load = asyncio.create_task(_send(fleet))
    await asyncio.sleep(1.0)
    if has_trouble:
        old.fall_silent()
        fleet.record.write(f'{old.instance} falls silent')
        await asyncio.sleep(BOUNDS['addr_reuse_s'] + 0.2)
        following = endpoints.Endpoint(
            'i-following', PACKS, node.zone, old.port, old.control_port, 18
        )
        following.work_s = WORK_S
        fleet.other_endpoints.append(following)
        await following.start()
        fleet.record.write(f'{following.instance} has its address')
    answers = await load
    await asyncio.sleep(1)
    ids = set(answers)
    others = [n.endpoint for n in fleet.nodes if n.endpoint.service == PACKS]
    wrong = [
        run
        for other in [*others, *([following] if following else [])]
        for run in other.runs
        if run.request_id in ids
    ]
    for run in wrong:
        fleet.record.write(
            f'{run.request_id} for {LISTS} is run by {run.endpoint.instance} '
            f'of {PACKS}; its client got {answers[run.request_id]}'
        )
    print(
        f'{len(ids)} requests on a route to {LISTS}, '
        f'{sum(status == 200 for status in answers.values())} served; '
        f'{len(wrong)} were run by an endpoint of {PACKS}, '
        f'{sum(answers[run.request_id] == 200 for run in wrong)} of them were '
        f'answered with its 200'
    )
    return 1 if wrong else 0


async def _send(fleet):
    """Send requests on a route for a while; return each one's status."""
    answers, tasks = {}, []

    async def send(node, request_id):
        status, _, _ = await fleet.request(
            node, 'POST', PATH, request_id, (), b'save', DEADLINE_MS
        )
        answers[request_id] = status

    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        for node in fleet.nodes[::2]:
            tasks.append(asyncio.create_task(send(node, f'r{len(tasks)}')))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    return answers


fleets.main(__file__, check)
