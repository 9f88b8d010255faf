"""Restore the store from a copy while the node that acknowledged is down.

An endpoint deregisters, gets the ack, and serves on for SERVES_ON_S. The node
beside it is killed; before it is back, the store comes back from a copy that
was taken before the departure.
"""

import asyncio
import pathlib
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
# The copy is "some seconds old" when the store comes back from it.
COPY_AGE_S = 3.0
KILL_AFTER_S = 1.0
RESTART_S = 1.0
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

    taken = fleet.store.take_copy()
    fleet.say('a copy of the store is taken')
    await asyncio.sleep(COPY_AGE_S)
    endpoint.stop_beats()
    status = await endpoint.deregister()
    acked_at = time.monotonic()
    fleet.say(f'{endpoint.instance} deregistered: {status}')
    if status != 200:
        raise fleets.NotRunError('the departure was not acknowledged')
    restored_at = acked_at
    if fleets.is_troubled():
        restored_at = await _kill_and_restore(fleet, leaving, taken)
    await asyncio.sleep(acked_at + SERVES_ON_S - time.monotonic())
    endpoint.close()
    traffic.cancel()
    return _judge(fleet, endpoint, leaving, acked_at, restored_at)


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


async def _kill_and_restore(fleet, machine: fleets.Machine, taken) -> float:
    """Return when the store was restored."""
    await asyncio.sleep(KILL_AFTER_S)
    machine.kill()
    fleet.say(f'{machine.name} is killed')
    await asyncio.sleep(RESTART_S / 2)
    fleet.store.restore(taken)
    restored_at = time.monotonic()
    fleet.say('the store comes back from the copy')
    await asyncio.sleep(RESTART_S / 2)
    machine.start()
    await machine.wait_ready()
    fleet.say(f'{machine.name} is ready again')
    return restored_at


def _judge(
    fleet, endpoint, leaving, acked_at: float, restored_at: float
) -> int:
    """Count what reaches the endpoint too late, by machines in touch.

    The clients' machines are undisturbed all the while. The machine of the
    endpoint is in touch again stable_window_s after its start.
    """
    in_touch_at = max(
        acked_at + fleets.DRAIN_S,
        leaving.started_at + fleets.STABLE_WINDOW_S,
        restored_at + fleets.STABLE_WINDOW_S,
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
