"""Let endpoints hand out wrong bytes in the load header of some answers.

In one answer of SPOILED_EVERY the fourth figure of the header has DIGITS
digits, for GARBLED_S at a time, at two endpoints of four. Clients of their
machines use kept connections, and their requests go to sound endpoints on
other machines.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet as fleets
from standins import wire

FAULTY, SOUND = 'front', 'shop'
MACHINES = (('a', FAULTY), ('a', SOUND), ('b', FAULTY), ('b', SOUND))
PATH = '/look/'
TIMEOUT_S = 2.0
DEADLINE_MS = 2000
WORK_S = 0.3
CLIENTS = 6
DIGITS = 400
SPOILED_EVERY = 20
SETTLE_S = 5.0
TIMES = 4
GARBLED_S = 5.0
PAUSE_S = 3.0
RECONNECT_S = 0.2
# Says that the request may have run.
UNKNOWN_STATUS = 502
# The platform restarts a process that has ended after a short delay.
RESTART_S = 0.5
# So many ends on so many machines, with no disturbance there, are a fault.
ENDS = 3
MACHINES_WITH_ENDS = 2


async def run(fleet: fleets.Fleet) -> int:
    """Run the case; return 1 if processes ended as often as a fault needs."""
    for zone, service in MACHINES:
        fleet.add_machine(zone, service)
    for endpoint in fleet.endpoints:
        endpoint.work_s = WORK_S
    route = fleets.route('look', PATH, 'idempotent', SOUND, TIMEOUT_S)
    await fleet.start(fleets.config(1, [FAULTY, SOUND], route))
    faulty = [end for end in fleet.endpoints if end.service == FAULTY]
    ends: dict[str, int] = {}
    lost: list[str] = []
    for machine in fleet.machines:
        ends[machine.name] = 0
        fleet.run_beside(_restart_when_ended(fleet, machine, ends))
    await asyncio.sleep(SETTLE_S)
    for machine in fleet.machines:
        if machine.service == FAULTY:
            for _ in range(CLIENTS):
                fleet.run_beside(_send_kept(fleet, machine, lost))
    for _ in range(TIMES):
        if fleets.is_troubled():
            _spoil(fleet, faulty, f'0,0,18,{"1" * DIGITS}')
        await asyncio.sleep(GARBLED_S)
        _spoil(fleet, faulty, '')
        await asyncio.sleep(PAUSE_S)
    ran = {run.request_id for end in fleet.endpoints for run in end.runs}
    passed_on = [request_id for request_id in lost if request_id in ran]
    fleet.say(
        f'{len(passed_on)} requests that sound endpoints ran got a 502 or no '
        f'answer; node processes that ended by themselves: {ends}'
    )
    often = [name for name, count in ends.items() if count >= ENDS]
    is_fault = len(often) >= MACHINES_WITH_ENDS
    return fleets.BROKEN if is_fault else fleets.HELD


def _spoil(fleet, faulty: list, load: str) -> None:
    for endpoint in faulty:
        endpoint.spoiled_every = SPOILED_EVERY
        endpoint.spoiled_load = load
        if load:
            fleet.say(
                f'{endpoint.instance} spoils one answer in {SPOILED_EVERY}'
            )


async def _send_kept(fleet, machine, lost: list[str]) -> None:
    """Send requests on one connection; open another one when it closes."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*machine.outbound)
        except OSError:
            await asyncio.sleep(RECONNECT_S)
            continue
        conn = wire.KeptConnection(machine.outbound, reader, writer)
        while await _send_one(fleet, machine, conn, lost):
            pass
        conn.close()


async def _send_one(fleet, machine, conn, lost: list[str]) -> bool:
    """Send a request; return whether the connection is still open."""
    request_id = fleet.next_id()
    headers = {
        'Host': fleets.HOST_NAME,
        'Jayflow-Request-Id': request_id,
        'Jayflow-Deadline-Ms': str(DEADLINE_MS),
    }
    result = wire.Response()
    fleet.note(f'sent {request_id} GET {PATH}1 to {machine.name}')
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            await conn.exchange('GET', f'{PATH}1', headers, b'', result)
    except TimeoutError:
        fleet.note(f'left {request_id}: no answer in time')
        return False
    except (OSError, EOFError, asyncio.IncompleteReadError) as exc:
        fleet.note(f'closed without an answer {request_id}: {exc!r}')
        lost.append(request_id)
        return False
    fleet.note(f'answered {request_id} status={result.status}')
    if result.status == UNKNOWN_STATUS:
        lost.append(request_id)
    return result.headers.get('connection') != 'close'


async def _restart_when_ended(fleet, machine, ends: dict[str, int]) -> None:
    while True:
        if await machine.wait_end(1.0):
            fleet.say(f'{machine.name} has ended: {machine.last_error()}')
            ends[machine.name] += 1
            await asyncio.sleep(RESTART_S)
            machine.start()


fleets.main(fleets.Fleet(__file__, {'a': 'r1', 'b': 'r1'}), run)
