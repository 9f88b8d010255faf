"""Describe the node itself, and decide what its member record holds.

The record outlives the process. Peers read from it which services the server
beside the node runs, and the node's next process which servers have left.
"""

from collections.abc import Callable

import msgspec

from jayflow.connection import backend_client
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import server_registration
from jayflow.process import settings as process_settings
from jayflow.request import executor as executors
from jayflow.version import value_parsers


class OwnMember:
    """Describe a node from its settings and the state of its parts.

    With keeps_server, a node that stops leaves its server in the record, as
    it is mostly started again beside it.
    """

    def __init__(
        self,
        cfg: process_settings.Settings,
        incarnation: messages.Incarnation,
        executor: executors.Executor,
        announcement_order: server_registration.AnnouncementOrder,
        holds_all_seats: Callable[[], bool],
        keeps_server: bool,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._executor = executor
        self._order = announcement_order
        self._holds_all_seats = holds_all_seats
        self._keeps_server = keeps_server
        # The server that had ended when the node began to stop.
        self._ended_server: messages.ServerIncarnation | None = None
        self._has_server_ended = False

    def describe(self) -> members.Member:
        """Return the node as it is now."""
        announced = self._executor.backend.announcement
        return members.Member(
            self._cfg.name,
            self._incarnation,
            self._cfg.data_centre,
            self._cfg.peer.host,
            self._cfg.peer.port,
            announced.services if announced else (),
            announced.max_concurrency if announced else 0,
            announced.draining if announced else False,
            self._holds_all_seats(),
            announced.instance if announced else '',
            announced.born if announced else 0,
            self._order.departed,
            self._executor.crash_tracker.own_record.current(),
            self._order.leaving,
        )

    def to_store(self) -> members.Member | None:
        """Return the record to store, or None to store none.

        A node that stops keeps what its next process has to remember, unless
        no process of a server is left that it could use by mistake.
        """
        member = self.describe()
        if self._executor.is_stopping:
            if self._has_ended(self._executor.backend.incarnation):
                return None
            if not self._keeps_server:
                member = _without_server(member)
        remembered = (member.left, member.leaving, member.quarantined)
        return member if member.services or any(remembered) else None

    async def check_server(self) -> None:
        """Check, as the node stops, whether its server has ended.

        A server that is neither leaving nor gone is not checked.
        """
        backend = self._executor.backend
        announced = backend.announcement
        address = self._cfg.server or backend.address
        if address is None or (announced and not announced.draining):
            return
        self._ended_server = backend.incarnation
        self._has_server_ended = await self._is_refused_by(address)

    def _has_ended(self, server: messages.ServerIncarnation | None) -> bool:
        return self._has_server_ended and server == self._ended_server

    async def _is_refused_by(self, address: value_parsers.Address) -> bool:
        try:
            conn = await backend_client.Connection.open(
                address.host, address.port, self._executor.dialect
            )
        except backend_client.BackendError as exc:
            return exc.fault is backend_client.ConnectionFault.REFUSED
        conn.close()
        return False


def _without_server(member: members.Member) -> members.Member:
    """Return a member whose server gets no requests."""
    return msgspec.structs.replace(
        member, services=(), slots=0, draining=False, instance='', born=0
    )
