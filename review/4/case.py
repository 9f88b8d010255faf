"""Let the open connections to an endpoint go silent while it answers.

The node's connections to the endpoint pass through a proxy. At one moment all
that are open go silent for good, without a reset; new ones work. The
responses under way are longer than one part between nodes, so their heads
have been passed on already.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet as fleets
from standins import proxy as proxies
from standins import wire

SERVICE = 'vault'
MACHINES = (('a', 'front'), ('b', SERVICE))
PATH = '/pull/'
TIMEOUT_S = 6.0
DEADLINE_MS = 7000
COUNT = 12
BODY_BYTES = 200_000
SENT_BEFORE_PAUSE = 100_000
PAUSE_S = 0.6
SETTLE_S = 6.0
ANSWER_SLACK_S = 0.5
# Eight or more, and over a quarter, without an answer break CONFIG.
MIN_UNANSWERED = 8
MAX_SHARE = 0.25


async def answer_slowly(endpoint, req, reader, writer) -> bool:
    """Send half of the body, and the rest after a pause."""
    await wire.read_body(reader, req.headers)
    endpoint.record_run(req)
    body = b'p' * BODY_BYTES
    answer = wire.encode_response(200, endpoint.signed_headers(req), body)
    writer.write(answer[:SENT_BEFORE_PAUSE])
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    writer.write(answer[SENT_BEFORE_PAUSE:])
    await writer.drain()
    return True


async def run(fleet: fleets.Fleet) -> int:
    """Run the case; return 1 if CONFIG was broken."""
    for zone, service in MACHINES:
        fleet.add_machine(zone, service)
    proxy = proxies.Proxy(fleet.machines[1].app)
    address = (fleet.machines[1].ip, fleet.free_port())
    await proxy.start(address)
    fleet.machines[1].app_seen_by_node = address
    endpoint = fleet.endpoints[1]
    endpoint.announced_address = address
    endpoint.answer = answer_slowly
    route = fleets.route('pull', PATH, 'download', SERVICE, TIMEOUT_S)
    await fleet.start(fleets.config(1, ['front', SERVICE], route))
    await asyncio.sleep(SETTLE_S)

    sender = fleet.machines[0]
    sent_at = time.monotonic()
    pulls = [
        asyncio.create_task(
            fleet.request(sender, 'GET', f'{PATH}{number}', DEADLINE_MS)
        )
        for number in range(COUNT)
    ]
    await asyncio.sleep(PAUSE_S / 2)
    silent = 0
    if fleets.is_troubled():
        silent = proxy.silence_open()
    fleet.say(f'{silent} open connections to the endpoint go silent')
    unanswered = await _wait(pulls, sent_at)
    fleet.say(
        f'{unanswered} of {COUNT} requests have no final answer '
        f'{TIMEOUT_S + ANSWER_SLACK_S} s after they were sent; the timeout of '
        f'their route is {TIMEOUT_S} s'
    )
    _, fresh = await fleet.request(sender, 'GET', f'{PATH}new', DEADLINE_MS)
    fleet.say(f'a new request: {fresh.status} {fresh.error}')
    for pull in asyncio.as_completed(pulls):
        request_id, response = await pull
        fleet.say(
            f'{request_id} ended after {response.elapsed_s:.1f} s: '
            f'{response.status} {response.error}'
        )
    await proxy.close()
    is_broken = unanswered >= MIN_UNANSWERED and (
        unanswered > MAX_SHARE * COUNT
    )
    return fleets.BROKEN if is_broken else fleets.HELD


async def _wait(pulls: list[asyncio.Task], sent_at: float) -> int:
    """Return how many have no answer soon after the route's timeout."""
    checked_at = sent_at + TIMEOUT_S + ANSWER_SLACK_S
    _, pending = await asyncio.wait(
        pulls, timeout=checked_at - time.monotonic()
    )
    return len(pending)


fleets.main(fleets.Fleet(__file__, {'a': 'r1', 'b': 'r1'}), run)
