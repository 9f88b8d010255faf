"""Restart a node while its endpoint, which has deregistered, still serves.

The endpoint leaves without reporting that it drains: it deregisters, gets
the ack, and serves on for SERVES_ON_S. One of its last heartbeats is late.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet as fleets

SERVICE = 'shop'
# Zone and service of each machine; clients send from the first two.
MACHINES = (('a', 'front'), ('a', 'front'), ('b', SERVICE), ('b', SERVICE))
PATH = '/buy/'
RATE_PER_S = 40.0
SETTLE_S = 6.0
# The endpoint serves for this long after the ack ("at times many seconds").
SERVES_ON_S = 14.0
# The heartbeat arrives this long after it was sent ("seconds late").
BEAT_LATE_S = 6.0
DEADLINE_MS = 2000


async def run(fleet: fleets.Fleet) -> int:
    """Run the case; return 1 if DRAIN was broken."""
    for zone, service in MACHINES:
        fleet.add_machine(zone, service)
    route = fleets.route('buy', PATH, 'non_idempotent', SERVICE, 2.0)
    await fleet.start(fleets.config(1, ['front', SERVICE], route))
    leaving = fleet.machines[-1]
    others = fleet.machines[:2]
    endpoint = fleet.endpoints[-1]
    traffic = asyncio.create_task(_send_requests(fleet, others))
    await asyncio.sleep(SETTLE_S)
    if not endpoint.runs:
        raise fleets.NotRunError('the endpoint that is to leave got nothing')

    late_beat = endpoint.heartbeat('ready')
    sent_at = time.monotonic()
    endpoint.stop_beats()
    status = await endpoint.deregister()
    acked_at = time.monotonic()
    fleet.say(f'{endpoint.instance} deregistered: {status}')
    if status != 200:
        raise fleets.NotRunError('the departure was not acknowledged')
    if fleets.is_troubled():
        await _restart(fleet, leaving)
    await asyncio.sleep(max(0.0, sent_at + BEAT_LATE_S - time.monotonic()))
    status = await endpoint.send_beat(late_beat)
    fleet.say(f'heartbeat sent before the departure arrives: {status}')
    await asyncio.sleep(acked_at + SERVES_ON_S - time.monotonic())
    endpoint.close()
    traffic.cancel()
    return _judge(fleet, endpoint, leaving, acked_at)


async def _send_requests(fleet, machines) -> None:
    pending = set()
    try:
        while True:
            for machine in machines:
                task = asyncio.create_task(
                    fleet.request(
                        machine, 'POST', f'{PATH}1', DEADLINE_MS, b'x=1'
                    )
                )
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.sleep(len(machines) / RATE_PER_S)
    finally:
        for task in pending:
            task.cancel()


async def _restart(fleet: fleets.Fleet, machine: fleets.Machine) -> None:
    machine.signal(signal.SIGTERM)
    fleet.say(f'{machine.name} gets SIGTERM')
    if not await machine.wait_end(fleets.GRACE_S):
        machine.kill()
    fleet.say(f'{machine.name} has ended; it is started again')
    fleet.note(f'its record: {_record_of(fleet, machine)}')
    machine.start()
    await machine.wait_ready()
    fleet.say(f'{machine.name} is ready again')


def _record_of(fleet: fleets.Fleet, machine: fleets.Machine) -> str:
    kinds = {kind for kind, _ in fleet.store.objects if kind != 'config'}
    return str({kind: fleet.store.spec(kind, machine.name) for kind in kinds})


def _judge(fleet, endpoint, leaving, acked_at: float) -> int:
    """Count what reaches the endpoint too late, by machines in touch.

    The clients' machines are undisturbed all the while. The machine of the
    endpoint is in touch again stable_window_s after its start.
    """
    in_touch_at = max(
        acked_at + fleets.DRAIN_S,
        leaving.started_at + fleets.STABLE_WINDOW_S,
    )
    late = [ran for ran in endpoint.runs if ran.at > acked_at + fleets.DRAIN_S]
    counted = [ran for ran in late if ran.at > in_touch_at]
    fleet.say(
        f'requests that reached {endpoint.instance} over {fleets.DRAIN_S} s '
        f'after the ack: {len(late)}; of these with all machines in touch: '
        f'{len(counted)}'
    )
    return fleets.BROKEN if counted else fleets.HELD


fleets.main(fleets.Fleet(__file__, {'a': 'r1', 'b': 'r1'}), run)
