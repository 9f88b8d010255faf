"""Decide which announcements of backend servers a node accepts.

Announcements can arrive late and out of order, also from a server that
has gone. A server that announced its departure is never used again. The
departure is written to the platform before it is acknowledged, so that the
node's next process knows of it as well; so is what a server says when it
drains.
"""

from collections.abc import Callable
import enum
import math
import time

from jayflow.connection import announcement as announcements
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import logs
from jayflow.process import departures
from jayflow.process import member_writer as member_writers
from jayflow.request import executor as executors
from jayflow.version import objects
from jayflow.version import value_parsers

# A server calls the next node if it gets no response within 1 s.
DEPARTURE_WRITE_TIMEOUT_S = 0.8
# Departed servers that the member record names, and those that are leaving;
# beyond it, the oldest is dropped.
MAX_DEPARTED = 16
# Time for a server to announce itself to a restarted node: two intervals of
# 1.5 s between announcements and some delay.
RESTORED_VALID_S = 4.0


class AnnounceResult(enum.Enum):
    """Result of an announcement or a withdrawal."""

    ACCEPTED = 'taken'
    STALE = 'stale'
    LEFT = 'left'
    NOT_READY = 'not-ready'
    UNKNOWN_SERVICE = 'unknown-service'


class AnnouncementOrder:
    """Order announcements by start and sequence; remember departures.

    A server is identified by its instance name and the time when its
    process started (born, in Unix milliseconds). A restarted server has
    the same instance name and a later start time.
    """

    def __init__(self) -> None:
        self._departed = departures.Departures(MAX_DEPARTED)
        # Those that state no start time may become ready again.
        self._leaving = departures.Departures(MAX_DEPARTED)
        # (start time, sequence) of the newest announcement, by instance.
        self._newest: dict[str, tuple[int, int]] = {}
        self._current: messages.ServerIncarnation | None = None

    @property
    def departed(self) -> tuple[messages.ServerIncarnation, ...]:
        """Return the servers that have left."""
        return self._departed.servers()

    @property
    def leaving(self) -> tuple[messages.ServerIncarnation, ...]:
        """Return the servers that are leaving, or were when they left."""
        return self._leaving.servers()

    def admit(
        self, announcement: announcements.Announcement
    ) -> AnnounceResult:
        """Return whether an announcement is current; if so, record it."""
        server = announcement.incarnation
        if server in self._departed:
            return AnnounceResult.LEFT
        if announcement.draining:
            self.record_leaving(server)
        elif server in self._leaving:
            return AnnounceResult.STALE
        position = (announcement.born, announcement.sequence)
        if announcement.sequence and position <= self._newest.get(
            announcement.instance, (0, 0)
        ):
            return AnnounceResult.STALE
        if self._is_older(server):
            return AnnounceResult.STALE
        self._newest = {announcement.instance: position}
        self._current = server
        return AnnounceResult.ACCEPTED

    def restore(self, stored: members.Member) -> None:
        """Restore the departures that the node's last process recorded."""
        self._departed.update(stored.left)
        self._leaving.update(stored.leaving)
        if stored.draining:
            self.record_leaving(stored.server)

    def record_leaving(self, server: messages.ServerIncarnation) -> bool:
        """Record that a server is leaving; return whether that is new."""
        return bool(server.born) and self._leaving.add(server)

    def record_departure(self, server: messages.ServerIncarnation) -> bool:
        """Record that a server left; return whether it was the current one.

        Earlier starts under the same instance name have left as well.
        """
        self._departed.add(server)
        current = self._current
        is_current = current is not None and _is_same_or_earlier(
            current, server
        )
        if is_current:
            self._current = None
        return is_current

    def start_time_ms(self, instance: str, now_ms: int) -> int:
        """Return the start time of an instance if current, else now_ms."""
        if self._current and self._current.instance == instance:
            return self._current.born
        return now_ms

    def _is_older(self, server: messages.ServerIncarnation) -> bool:
        """Return whether another server started before the current one."""
        current = self._current
        return (
            current is not None
            and current.instance != server.instance
            and server.born < current.born
        )


def _is_same_or_earlier(
    server: messages.ServerIncarnation, reference: messages.ServerIncarnation
) -> bool:
    """Return whether a server is the reference or an earlier start of it."""
    return (
        server.instance == reference.instance and server.born <= reference.born
    )


class ServerRegistration:
    """Pass a server's announcements to the executor and the platform.

    While is_restored is false, because the departures that the node's last
    process recorded are not read yet, nothing is accepted.
    """

    def __init__(
        self,
        executor: executors.Executor,
        member_writer: member_writers.MemberWriter,
        is_known_service: Callable[
            [objects.ServiceName], bool
        ] = lambda name: True,
    ) -> None:
        self._is_known_service = is_known_service
        self.executor = executor
        executor.on_server_leaving = self.record_leaving
        self.announcement_order = AnnouncementOrder()
        self.is_restored = True
        self._member_writer = member_writer
        self._log = logs.get_logger(logs.Component.MEMBERS)

    def restore(
        self, stored: members.Member, server: value_parsers.Address | None
    ) -> None:
        """Restore what the node's last process recorded.

        If the address of the server is known and it had not left, it is used
        until its next announcement is due: requests name the instance, and
        another one that has its address now does not run them. Raises
        ValueError if the record describes no valid server.
        """
        self.announcement_order.restore(stored)
        if server is None or not stored.services or stored.draining:
            return
        announcement = announcements.Announcement(
            instance=stored.instance,
            services=stored.services,
            host=server.host,
            port=server.port,
            slots=stored.slots,
            born=stored.born,
            # Not known: the last process may have been told otherwise.
            cold_s=math.inf,
        )
        result = self.announcement_order.admit(announcement)
        if result is AnnounceResult.ACCEPTED:
            self._log.info(
                'Server of the last process is used until it announces '
                'itself.',
                instance=stored.instance,
            )
            self.executor.restore_server(announcement, RESTORED_VALID_S)

    async def announce(
        self, announcement: announcements.Announcement
    ) -> AnnounceResult:
        """Handle an announcement; after NOT_READY it must be sent again."""
        if not self.is_restored:
            return AnnounceResult.NOT_READY
        if not all(
            self._is_known_service(name) for name in announcement.services
        ):
            self._log.warning(
                'Announcement names an unknown service.',
                instance=announcement.instance,
                services=announcement.services,
            )
            return AnnounceResult.UNKNOWN_SERVICE
        result = self.announcement_order.admit(announcement)
        if result is not AnnounceResult.ACCEPTED:
            if result is AnnounceResult.STALE:
                self._log.info(
                    'Outdated announcement is ignored.',
                    instance=announcement.instance,
                    sequence=announcement.sequence,
                )
            if announcement.draining:
                return await self._confirm_late_drain(announcement, result)
            return result
        previous = self.executor.backend.announcement
        self.executor.apply_announcement(announcement)
        if not announcement.draining:
            return result
        if previous is None or not previous.draining:
            self._log.info(
                'Server is draining.', instance=announcement.instance
            )
        return await self._confirm_departure()

    def record_leaving(self, server: messages.ServerIncarnation) -> None:
        """Handle a response in which a server says that it is leaving."""
        if self.announcement_order.record_leaving(server):
            self.executor.on_state_change()
        if self.executor.drain_server(server):
            self._log.info(
                'Server says in a response that it is leaving.',
                instance=server.instance,
            )

    def recall_departure(self, server: messages.ServerIncarnation) -> None:
        """Handle a departure that a peer remembers and this node does not."""
        if self.announcement_order.record_leaving(server):
            self._log.info(
                'Departure of the server is known from a peer.',
                instance=server.instance,
                born=server.born,
            )
            self.executor.on_state_change()
        self.executor.drain_server(server)

    async def withdraw(self, instance: str, born: int = 0) -> AnnounceResult:
        """Handle a server's message that it has left for good.

        If born is 0, the start time of the instance is used if it is the
        current server, else the current time.
        """
        if not self.is_restored:
            return AnnounceResult.NOT_READY
        now_ms = int(time.time() * 1000)
        born = born or self.announcement_order.start_time_ms(instance, now_ms)
        departed_before = self.announcement_order.departed
        if self.announcement_order.record_departure(
            messages.ServerIncarnation(instance, born)
        ):
            self.executor.remove_server()
        if self.announcement_order.departed != departed_before:
            self._log.info('Server has left.', instance=instance, born=born)
            self.executor.on_state_change()
        return await self._confirm_departure()

    async def _confirm_late_drain(
        self, announcement: announcements.Announcement, result: AnnounceResult
    ) -> AnnounceResult:
        """Return the result of an outdated announcement of a drain.

        Its acknowledgement binds the node like that of any other.
        """
        self.executor.drain_server(announcement.incarnation)
        confirmed = await self._confirm_departure()
        return result if confirmed is AnnounceResult.ACCEPTED else confirmed

    async def _confirm_departure(self) -> AnnounceResult:
        """Wait until the platform holds the departure.

        A repeated announcement waits as well: the write for the first one
        may still be under way.
        """
        if await self._member_writer.wait_written(DEPARTURE_WRITE_TIMEOUT_S):
            return AnnounceResult.ACCEPTED
        self._log.warning(
            'Departure is not acknowledged: '
            'the platform did not store it in time.'
        )
        return AnnounceResult.NOT_READY
