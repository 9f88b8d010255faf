"""Report crashes of the backend server to other nodes.

The reports go to the nodes that may get the request that caused the crash:
those of the same services, and those that have no server at the moment, since
the same request may have crashed it. In a small fleet they go to all nodes,
as a new version may route the request to another service.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
import contextlib
import time

import anyio
import msgspec

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.process import member_directory
from jayflow.request import backend_server
from jayflow.request import crash_tracker
from jayflow.request.decisions import routing
from jayflow.request import exchange as exchanges
from jayflow.version import objects

ChannelTo = Callable[[routing.PeerView, messages.Lane], exchanges.PeerChannel]
# A report is sent again after this time without an acknowledgement.
RESEND_INTERVAL_S = 0.1


def related_peers(
    node: messages.NodeId,
    services: Collection[objects.ServiceName],
    directory: member_directory.MemberDirectory,
) -> list[routing.PeerView]:
    """Return the other nodes that may get a request for these services."""
    return [
        view
        for view in directory.peer_views()
        if view.member.node != node
        and (
            directory.is_full_mesh
            or not view.member.services
            or not set(view.member.services).isdisjoint(services)
        )
    ]


class CrashBroadcaster:
    """Send crash reports to the nodes that may get the request next."""

    def __init__(
        self,
        node: messages.NodeId,
        backend: backend_server.BackendServer,
        directory: member_directory.MemberDirectory,
        exchange_table: exchanges.ExchangeTable,
        channel_to: ChannelTo,
    ) -> None:
        self._node = node
        self._backend = backend
        self._directory = directory
        self._exchange_table = exchange_table
        self._channel_to = channel_to
        self._tasks: set[asyncio.Task] = set()

    async def broadcast(self, report: messages.CrashReport) -> None:
        """Send a report to the other nodes that may get the request.

        Returns once each node that serves the same services, and may get the
        retry, has acknowledged the report of a crash. The other nodes are not
        waited for: they ask when their server starts. A report that clears
        suspects is only sent: until it arrives, they run alone. Nodes that
        have been silent are left out, also those that were never heard, whose
        hosts may be gone for good; no requests are sent to them either.
        """
        now = time.monotonic()
        send = self._send_until_acknowledged if report.crash else self._send
        async with anyio.create_task_group() as tasks:
            for view in related_peers(
                self._node, self._backend.services, self._directory
            ):
                if not view.is_heard(now):
                    continue
                if any(map(view.member.accepts, self._backend.services)):
                    tasks.start_soon(send, view, report)
                else:
                    self._start(self._send(view, report))

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine without waiting for it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, view: routing.PeerView, report: messages.CrashReport
    ) -> None:
        channel = self._channel_to(view, messages.Lane.SHORT)
        with (
            anyio.move_on_after(crash_tracker.BROADCAST_TIMEOUT_S),
            contextlib.suppress(sockets.NotSentError),
        ):
            await channel.wait_connected()
            channel.send(report)

    async def _send_until_acknowledged(
        self, view: routing.PeerView, report: messages.CrashReport
    ) -> None:
        channel = self._channel_to(view, messages.Lane.SHORT)
        exchange = self._exchange_table.open(channel)
        numbered_report = msgspec.structs.replace(
            report, attempt=exchange.attempt
        )
        try:
            while True:
                await channel.wait_connected()
                try:
                    channel.send(numbered_report)
                except sockets.NotSentError:
                    await anyio.sleep(RESEND_INTERVAL_S)
                    continue
                message = await exchange.next_message(RESEND_INTERVAL_S)
                if isinstance(message, messages.CrashAck):
                    return
        finally:
            exchange.close()
