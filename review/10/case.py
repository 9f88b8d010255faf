"""Check GONE for clients that sent requests ahead and then left."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import fleet as fleets
import http1

ZONES = {
    'sjo-a': 'sjo',
    'sjo-b': 'sjo',
    'gua-a': 'gua',
    'lim-a': 'lim',
}
# Those of the site rtl-refunds-grown.
BOUNDS = {
    'stable_window_s': 3,
    'grace_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 172,
}
SERVICE = 'kiosk'
PATH = '/status/'
# That of the status requests, on endpoints that are slow (srv_slow).
WORK_S = 1.6
DEADLINE_MS = 3044
CLIENTS = 24
REQUESTS_AHEAD = 3
LEAVE_AFTER_S = 0.3
GONE_S = 0.5
MAX_SHARE = 0.25


async def check(folder, has_trouble):
    """Play the case; return its exit code."""
    fleet = fleets.Fleet(folder, ZONES, BOUNDS)
    try:
        return await _play(fleet, has_trouble)
    finally:
        fleet.close()


async def _play(fleet, has_trouble):
    for zone in ZONES:
        fleet.add(f'sidecar-{zone}-1', zone, SERVICE, slots=12)
    config = fleets.config(
        7,
        {
            PATH: {
                'type': 'idempotent',
                'service': SERVICE,
                'timeout_s': DEADLINE_MS / 1000,
            }
        },
        {SERVICE: {}},
    )
    await fleet.start(config)
    for node in fleet.nodes:
        await fleet.wait_served(node, PATH + 'warm-up')
    await asyncio.sleep(BOUNDS['stable_window_s'] + 1)
    for node in fleet.nodes:
        node.endpoint.work_s = WORK_S
    left_at, served = {}, []
    await asyncio.gather(
        *(
            _run_client(
                fleet,
                fleet.nodes[number % len(fleet.nodes)],
                number,
                has_trouble,
                left_at,
                served,
            )
            for number in range(CLIENTS)
        )
    )
    await asyncio.sleep(REQUESTS_AHEAD * WORK_S + 1)
    gone, still_at_work = set(), set()
    for run in (run for node in fleet.nodes for run in node.endpoint.runs):
        if run.request_id not in left_at or run.started_at is None:
            continue
        bound = left_at[run.request_id] + GONE_S
        if run.started_at + WORK_S > bound:
            gone.add(run.request_id)
            if run.ended_at > bound:
                still_at_work.add(run.request_id)
    sent = CLIENTS * REQUESTS_AHEAD
    print(
        f'{sent} requests sent, {len(served)} answered; {len(gone)} would '
        f'have lasted over {GONE_S} s after their client had left, at '
        f'{len(still_at_work)} of them an endpoint was still at work then'
    )
    if not has_trouble and len(served) < sent:
        raise fleets.CannotRunError('not all requests are answered')
    return 1 if len(still_at_work) > MAX_SHARE * len(gone) else 0


async def _run_client(fleet, node, number, leaves, left_at, served):
    """Send some requests at once; then leave, or read the answers."""
    await asyncio.sleep(0.02 * number)
    reader, writer = await asyncio.open_connection('127.0.0.1', node.port)
    ids = [f'c{number}-{index}' for index in range(REQUESTS_AHEAD)]
    for request_id in ids:
        rows = fleets.client_headers(request_id, DEADLINE_MS)
        writer.write(http1.head(f'GET {PATH}{number} HTTP/1.1', rows))
        fleet.record.write(f'send {request_id} to {node.name}')
    if leaves:
        await asyncio.sleep(LEAVE_AFTER_S)
    else:
        for request_id in ids:
            status, fields, _ = await http1.read_message(reader)
            fleet.record.write(f'answer {request_id} {status}')
            if fields.get('jayflow-request-id') == request_id:
                served.append(request_id)
    writer.close()
    await writer.wait_closed()
    if leaves:
        fleet.record.write(f'client {number} has left')
        left_at.update(dict.fromkeys(ids, time.monotonic()))


fleets.main(__file__, check)
