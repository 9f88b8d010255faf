"""Learn from peers which requests crash servers.

A node that starts, or whose server starts, may have missed reports of crashes
and would let a request crash its server that the other nodes refuse.
"""

import contextlib
import random
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.process import crash_broadcast
from jayflow.process import member_directory
from jayflow.request import backend_server
from jayflow.request import crash_tracker
from jayflow.request.decisions import routing
from jayflow.request import exchange as exchanges

# Several, in case one has just started itself.
MAX_PEERS_ASKED = 3
ANSWER_TIMEOUT_S = 0.5
# A node that no peer answered asks again after this time.
RETRY_INTERVAL_S = 0.5


class CrashRecovery:
    """Ask the nearest peers of the same services after each server start."""

    def __init__(
        self,
        node: messages.NodeId,
        backend: backend_server.BackendServer,
        tracker: crash_tracker.CrashTracker,
        directory: member_directory.MemberDirectory,
        exchange_table: exchanges.ExchangeTable,
        channel_to: crash_broadcast.ChannelTo,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._backend = backend
        self._tracker = tracker
        self._directory = directory
        self._exchange_table = exchange_table
        self._channel_to = channel_to
        self._rng = rng
        self._changed = anyio.Event()
        self._recovered: messages.ServerIncarnation | None = None

    def notify(self) -> None:
        """Signal that the server may be another one."""
        self._changed.set()

    async def run(self) -> None:
        """Ask after each start of the server, until cancelled."""
        while True:
            self._changed = anyio.Event()
            server = self._backend.incarnation
            if server is None or server == self._recovered:
                await self._changed.wait()
            elif await self.recover():
                self._recovered = server
            else:
                await anyio.sleep(RETRY_INTERVAL_S)

    async def recover(self) -> bool:
        """Ask the peers once; return whether one answered or there is none."""
        peers = crash_broadcast.related_peers(
            self._node, self._backend.services, self._directory
        )
        answers: list[messages.CrashAnswer] = []

        async def ask(view: routing.PeerView) -> None:
            with (
                anyio.move_on_after(ANSWER_TIMEOUT_S),
                contextlib.suppress(sockets.NotSentError),
            ):
                answers.append(await self._ask(view))

        async with anyio.create_task_group() as tasks:
            for view in self._nearest(peers):
                tasks.start_soon(ask, view)
        for answer in answers:
            self._tracker.merge(answer)
        return bool(answers) or not peers

    def _nearest(
        self, peers: list[routing.PeerView]
    ) -> list[routing.PeerView]:
        now = time.monotonic()
        nearest = sorted(
            (view for view in peers if view.is_heard(now)),
            key=lambda view: (view.distance, self._rng.random()),
        )
        return nearest[:MAX_PEERS_ASKED]

    async def _ask(self, view: routing.PeerView) -> messages.CrashAnswer:
        channel = self._channel_to(view, messages.Lane.SHORT)
        exchange = self._exchange_table.open(channel)
        try:
            await channel.wait_connected()
            channel.send(messages.CrashQuery(exchange.attempt))
            while True:
                message = await exchange.next_message(ANSWER_TIMEOUT_S)
                if isinstance(message, messages.CrashAnswer):
                    return message
        finally:
            exchange.close()
