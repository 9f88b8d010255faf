"""Send a request, again and again, that crashes each endpoint that runs it.

The endpoint crashes after it has sent the head of its response. It is back,
as a new boot, after some seconds. CRASH_AT=start lets it crash before the
head, to compare.
"""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import endpoint as endpoints
from standins import fleet as fleets
from standins import wire

SERVICE = 'shop'
MACHINES = (
    ('a', 'front'),
    ('a', 'front'),
    ('b', SERVICE),
    ('b', SERVICE),
    ('b', SERVICE),
    ('b', SERVICE),
)
CLIENT_MACHINES = 2
CRASHING = '/look/crashing'
HARMLESS = '/look/harmless'
TIMEOUT_S = 2.0
DEADLINE_MS = 2500
WORK_S = 0.1
RATE_PER_S = 4.0
# The request that crashes endpoints comes again this often.
AGAIN_S = 1.5
BACK_AFTER_S = 2.0
SETTLE_S = 4.0
LENGTH_S = 45.0
CRASHES = 3
MAX_RETRIES = 3
CRASHES_AT_START = os.environ.get('CRASH_AT') == 'start'
ANSWER_BYTES = 5000


class CrashingEndpoint(endpoints.Endpoint):
    """End like a crashed process when it runs the crashing request."""

    fleet: fleets.Fleet
    machine: fleets.Machine
    crashes: list[float]

    async def answer_or_crash(self, endpoint, req, reader, writer) -> bool:
        """Answer, or crash when the head of the response is sent."""
        del endpoint
        await wire.read_body(reader, req.headers)
        self.record_run(req)
        is_crash = fleets.is_troubled() and req.target == CRASHING
        if not is_crash or not CRASHES_AT_START:
            await asyncio.sleep(WORK_S)
        body = b'b' * ANSWER_BYTES
        answer = wire.encode_response(200, self.signed_headers(req), body)
        if not is_crash:
            writer.write(answer)
            await writer.drain()
            return True
        if not CRASHES_AT_START:
            writer.write(answer[: -ANSWER_BYTES // 2])
            await writer.drain()
            await asyncio.sleep(0.01)
        self.crash()
        return False

    def crash(self) -> None:
        """Close everything at once, and come back as a new boot."""
        self.crashes.append(time.monotonic())
        self.fleet.note(f'{self.instance} crashes')
        self.close()
        self.close_connections()
        self.fleet.run_beside(_replace(self))


def _add(fleet, machine, instance: str, crashes: list) -> CrashingEndpoint:
    endpoint = CrashingEndpoint(
        instance, SERVICE, machine.zone, machine.app, machine.control
    )
    endpoint.fleet, endpoint.machine = fleet, machine
    endpoint.crashes = crashes
    endpoint.answer = endpoint.answer_or_crash
    return endpoint


async def _replace(old: CrashingEndpoint) -> None:
    await asyncio.sleep(BACK_AFTER_S)
    instance = f'{old.instance}n'
    new = _add(old.fleet, old.machine, instance, old.crashes)
    old.fleet.endpoints.append(new)
    await new.start()


async def run(fleet: fleets.Fleet) -> int:
    """Run the case; return 1 if BUDGET was broken."""
    for zone, service in MACHINES:
        fleet.add_machine(zone, service)
    crashes: list[float] = []
    for index, machine in enumerate(fleet.machines):
        if machine.service == SERVICE:
            instance = fleet.endpoints[index].instance
            fleet.endpoints[index] = _add(fleet, machine, instance, crashes)
    route = fleets.route('look', '/look/', 'idempotent', SERVICE, TIMEOUT_S)
    await fleet.start(fleets.config(1, ['front', SERVICE], route))
    await asyncio.sleep(SETTLE_S)
    clients = fleet.machines[:CLIENT_MACHINES]
    harmless = asyncio.create_task(_send_harmless(fleet, clients))
    until = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < until:
        machine = clients[number % len(clients)]
        number += 1
        fleet.run_beside(fleet.request(machine, 'GET', CRASHING, DEADLINE_MS))
        await asyncio.sleep(AGAIN_S)
    harmless.cancel()
    return _judge(fleet, crashes, number)


async def _send_harmless(fleet, machines) -> None:
    while True:
        for machine in machines:
            fleet.run_beside(
                fleet.request(machine, 'GET', HARMLESS, DEADLINE_MS)
            )
        await asyncio.sleep(len(machines) / RATE_PER_S)


def _judge(fleet, crashes: list[float], sent: int) -> int:
    """Count the retries that reach endpoints long after the third crash."""
    fleet.say(f'the request was sent {sent} times; {len(crashes)} crashes')
    if len(crashes) < CRASHES:
        return fleets.HELD
    known_at = sorted(crashes)[CRASHES - 1] + fleets.STABLE_WINDOW_S
    reached = {
        ran.request_id
        for endpoint in fleet.endpoints
        for ran in endpoint.runs
        if ran.target == CRASHING and ran.at > known_at
    }
    fleet.say(
        f'{len(reached)} of its retries reached endpoints later than '
        f'{fleets.STABLE_WINDOW_S} s after the third crash'
    )
    return fleets.BROKEN if len(reached) > MAX_RETRIES else fleets.HELD


fleets.main(fleets.Fleet(__file__, {'a': 'r1', 'b': 'r1'}), run)
