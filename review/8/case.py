"""Check BUDGET for a request that crashes endpoints after their head."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins-2'))

import endpoint as endpoints
import fleet as fleets
import http1

ZONES = {
    'durban-a': 'za-coast',
    'joburg-a': 'za-inland',
    'capetown-a': 'za-coast',
    'pretoria-a': 'za-inland',
}
# Those of the site kloof-gallery.
BOUNDS = {
    'stable_window_s': 3,
    'grace_s': 6,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 60,
}
SERVICE = 'storefront'
DEADLY, SAVES = '/faces/', '/licences/'
DEADLINE_MS = 1500
WORK_S = 0.29
BODY_BYTES = 30_000
DOWN_S = 2.0
PAUSE_S = 1.0
OBSERVED_S = 24.0
MAX_CRASHES = 3
MAX_RETRIES = 3


class DeadlyEndpoint(endpoints.Endpoint):
    """Crash while answering a request on one path, and come back."""

    can_crash = False
    crashes: list = []

    async def _answer(self, reader, writer, start_line, headers, body):
        is_deadly = f' {DEADLY}' in start_line and self.can_crash
        expected = headers.get('jayflow-expected-instance')
        if not is_deadly or expected != self.instance:
            return await super()._answer(
                reader, writer, start_line, headers, body
            )
        run = endpoints.Run(self, headers, DEADLY, body)
        run.started_at = run.arrived_at
        self.runs.append(run)
        rows = [
            ('Jayflow-Request-Id', run.request_id),
            ('Jayflow-Server-Signature', 'ab12'),
            ('Content-Length', BODY_BYTES),
        ]
        writer.write(http1.head('HTTP/1.1 200 OK', rows) + b'x' * 1000)
        await writer.drain()
        await asyncio.sleep(0.05)
        self.crashes.append((time.monotonic(), run))
        asyncio.get_running_loop().create_task(self._crash())
        return False

    async def _crash(self):
        """End with all connections; be back with a new id."""
        name, _, starts = self.instance.partition('.')
        self.instance = f'{name}.{int(starts or 0) + 1}'
        await self.restart(int((time.time() + DOWN_S) * 1000), DOWN_S)


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
            node = fleet.add(f'sidecar-{zone}-{number}', zone, SERVICE, 18)
            node.endpoint = DeadlyEndpoint(
                node.endpoint.instance,
                SERVICE,
                zone,
                node.endpoint.port,
                node.endpoint.control_port,
                18,
            )
    config = fleets.config(
        7,
        {
            DEADLY: {
                'type': 'idempotent',
                'service': SERVICE,
                'timeout_s': DEADLINE_MS / 1000,
            },
            SAVES: {
                'type': 'non_idempotent',
                'service': SERVICE,
                'timeout_s': DEADLINE_MS / 1000,
            },
        },
        {SERVICE: {}},
    )
    await fleet.start(config)
    for node in fleet.nodes:
        await fleet.wait_served(node, DEADLY)
    await asyncio.sleep(BOUNDS['stable_window_s'] + 1)
    for node in fleet.nodes:
        node.endpoint.work_s = WORK_S
        node.endpoint.can_crash = has_trouble
    sent_at, tasks, statuses = {}, [], {}

    async def buy(node, request_id):
        status, _, _ = await fleet.request(
            node, 'POST', SAVES, request_id, (), b'buy', DEADLINE_MS
        )
        statuses[request_id] = status

    end = time.monotonic() + OBSERVED_S
    number = 0
    while time.monotonic() < end:
        node = fleet.nodes[number % len(fleet.nodes)]
        request_id = f'deadly-{number}'
        sent_at[request_id] = time.monotonic()
        tasks.append(
            asyncio.create_task(
                fleet.request(
                    node,
                    'GET',
                    DEADLY + '5',
                    request_id,
                    deadline_ms=DEADLINE_MS,
                )
            )
        )
        tasks += [
            asyncio.create_task(buy(other, f'buy-{number}-{other.name}'))
            for other in fleet.nodes
        ]
        number += 1
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)
    crashes = DeadlyEndpoint.crashes
    late = []
    if len(crashes) >= MAX_CRASHES:
        bound = crashes[MAX_CRASHES - 1][0] + BOUNDS['stable_window_s']
        late = [run for _, run in crashes if sent_at[run.request_id] > bound]
    ran = {
        run.request_id for node in fleet.nodes for run in node.endpoint.runs
    }
    cut = [name for name, s in statuses.items() if s != 200 and name in ran]
    print(
        f'{len(sent_at)} requests on the deadly path crashed endpoints '
        f'{len(crashes)} times; {len(late)} reached one that were sent over '
        f'{BOUNDS["stable_window_s"]} s after the third crash; {len(cut)} of '
        f'{len(statuses)} purchases that ran got no answer of an endpoint'
    )
    return 1 if len(late) > MAX_RETRIES else 0


fleets.main(__file__, check)
