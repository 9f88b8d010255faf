"""Let one endpoint hand out wrong bytes in the load header of some answers.

In one answer of SPOILED_EVERY the fourth figure of the header has DIGITS
digits, for GARBLED_S at a time. Clients of the same machine use kept
connections, and their requests go to sound endpoints on other machines.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet as fleets
from standins import wire

FAULTY, SOUND = 'front', 'shop'
MACHINES = (('a', FAULTY), ('a', SOUND), ('b', SOUND))
PATH = '/look/'
TIMEOUT_S = 2.0
DEADLINE_MS = 2000
WORK_S = 0.3
CLIENTS = 12
DIGITS = 400
SPOILED_EVERY = 20
SETTLE_S = 5.0
TIMES = 4
GARBLED_S = 5.0
PAUSE_S = 3.0
RECONNECT_S = 0.2
# The platform restarts a process that has ended after a short delay.
RESTART_S = 0.5
MAX_LOST = 3


async def run(fleet: fleets.Fleet) -> int:
    """Run the case; return 1 if LOST was broken."""
    for zone, service in MACHINES:
        fleet.add_machine(zone, service)
    for endpoint in fleet.endpoints:
        endpoint.work_s = WORK_S
    route = fleets.route('look', PATH, 'idempotent', SOUND, TIMEOUT_S)
    await fleet.start(fleets.config(1, [FAULTY, SOUND], route))
    machine, faulty = fleet.machines[0], fleet.endpoints[0]
    lost: list[str] = []
    ends: list[float] = []
    for _ in range(CLIENTS):
        fleet.run_beside(_send_kept(fleet, machine, lost))
    fleet.run_beside(_restart_when_ended(fleet, machine, ends))
    await asyncio.sleep(SETTLE_S)
    for _ in range(TIMES):
        if fleets.is_troubled():
            faulty.spoiled_every = SPOILED_EVERY
            faulty.spoiled_load = f'0,0,{faulty.slots},{"1" * DIGITS}'
            fleet.say(
                f'{faulty.instance} spoils one answer in {SPOILED_EVERY}'
            )
        await asyncio.sleep(GARBLED_S)
        faulty.spoiled_load = ''
        await asyncio.sleep(PAUSE_S)
    ran = {run.request_id for end in fleet.endpoints for run in end.runs}
    passed_on = [request_id for request_id in lost if request_id in ran]
    fleet.say(
        f'the node process of {machine.name} has ended by itself '
        f'{len(ends)} times; {len(passed_on)} requests from kept connections '
        'were run by sound endpoints and their connections closed without an '
        'answer'
    )
    is_broken = len(passed_on) > MAX_LOST
    return fleets.BROKEN if is_broken else fleets.HELD


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
    return result.headers.get('connection') != 'close'


async def _restart_when_ended(fleet, machine, ends: list[float]) -> None:
    while True:
        if await machine.wait_end(1.0):
            fleet.say(f'{machine.name} has ended: {machine.last_error()}')
            ends.append(0.0)
            await asyncio.sleep(RESTART_S)
            machine.start()


fleets.main(fleets.Fleet(__file__, {'a': 'r1', 'b': 'r1'}), run)
