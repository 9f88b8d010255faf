"""Report crashes of the backend server to other nodes.

The reports go to the nodes that may get the request that caused the crash:
those of the same services, and those that have no server at the moment, since
the same request may have crashed it. In a small fleet they go to all nodes,
as a new version may route the request to another service.
"""

from collections.abc import Callable
from collections.abc import Collection
import contextlib
import time

import anyio
import msgspec

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.process import member_directory
from jayflow.request import backend_server
from jayflow.request import exchange as exchanges
from jayflow.request import routing
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

    async def broadcast(self, report: messages.CrashReport) -> None:
        """Send a report to the other nodes that may get the request.

        Returns once each of them has acknowledged the report of a crash. One
        that clears suspects is only sent: until it arrives, they run alone.
        Nodes that have been silent are left out; no requests are sent to
        them either.
        """
        now = time.monotonic()
        send = self._send_until_acknowledged if report.crash else self._send
        async with anyio.create_task_group() as tasks:
            for view in related_peers(
                self._node, self._backend.services, self._directory
            ):
                if not view.is_silent(now):
                    tasks.start_soon(send, view, report)

    async def _send(
        self, view: routing.PeerView, report: messages.CrashReport
    ) -> None:
        channel = self._channel_to(view, messages.Lane.SHORT)
        await channel.wait_connected()
        with contextlib.suppress(sockets.NotSentError):
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
