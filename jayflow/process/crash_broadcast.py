"""Report crashes of the backend server to other nodes.

The reports go to the nodes whose servers serve the same services, since
the request that caused the crash may be sent to them next.
"""

import contextlib

import anyio

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import peer_connections as peers
from jayflow.connection import sockets
from jayflow.process import member_directory
from jayflow.request import backend_server


class CrashBroadcaster:
    """Send crash reports to the nodes that may get the request next."""

    def __init__(
        self,
        node: messages.NodeId,
        backend: backend_server.BackendServer,
        directory: member_directory.MemberDirectory,
        peer_connections: peers.PeerConnections,
    ) -> None:
        self._node = node
        self._backend = backend
        self._directory = directory
        self._peer_connections = peer_connections

    async def broadcast(self, report: messages.CrashReport) -> None:
        """Send a report to the other nodes that serve the same services."""
        members_by_node = {
            view.member.node: view.member
            for service in self._backend.services
            for view in self._directory.peer_views_of(service)
            if view.member.node != self._node
        }
        async with anyio.create_task_group() as tasks:
            for member in members_by_node.values():
                tasks.start_soon(self._send, member, report)

    async def _send(
        self, member: members.Member, report: messages.CrashReport
    ) -> None:
        connection = self._peer_connections.connection_to(
            member, messages.Lane.SHORT
        )
        await connection.wait_connected()
        with contextlib.suppress(sockets.NotSentError):
            connection.send(report)
