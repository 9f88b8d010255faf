"""Pause between calls of a node to a platform that does not serve it.

A pause ends early once another node reports that it reaches the platform.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.process import watcher_election
from jayflow.request.decisions import routing

# Waits after a number of consecutive failures.
Pause = Callable[[int], Awaitable[None]]
CHECK_INTERVAL_S = 0.25


def jittered_pause(
    rng: random.Random, max_pause_s: float = api.BACKOFF_MAX_S
) -> Pause:
    """Return a pause with exponential backoff and full jitter."""

    async def pause(failures: int) -> None:
        await anyio.sleep(api.backoff_s(failures, rng, max_pause_s))

    return pause


def shared_pause(
    node: messages.NodeId,
    peer_views: Callable[[], list[routing.PeerView]],
    rng: random.Random,
    max_pause_s: float,
) -> Pause:
    """Return a pause that takes the reports of other nodes into account."""

    async def pause(failures: int) -> None:
        now = time.monotonic()
        longest_s = watcher_election.outage_pause_s(
            node, peer_views(), now, max_pause_s
        )
        end = now + api.backoff_s(failures, rng, longest_s)
        while now < end:
            await anyio.sleep(min(CHECK_INTERVAL_S, end - now))
            now = time.monotonic()
            if (
                longest_s > max_pause_s
                and watcher_election.is_platform_reported(peer_views(), now)
            ):
                # Spreads the calls of all nodes that hear of it together.
                await anyio.sleep(rng.uniform(0, max_pause_s))
                return

    return pause
