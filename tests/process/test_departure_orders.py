"""Check that a departure is remembered in every order of events.

A planned stop once deleted the record of a departure, a process that started
beside a draining server did not keep it, and a platform that was restored
from a copy while the node was down had lost it. A late heartbeat, or the
record of before, then brought the server back (DRAIN).
"""

import asyncio
import itertools
import random
from unittest import mock

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.process import member_writer
from jayflow.process import own_member
from jayflow.process import platform_pauses
from jayflow.process import server_registration
from jayflow.request import executor as executors
from jayflow.version import value_parsers
from tests.process import test_departure
from tests.process import test_member_directory
from tests import virtual_time

AnnounceResult = server_registration.AnnounceResult
SERVER = value_parsers.Address('127.0.0.1', 9)
EVENTS = (
    'drain',
    'deregister',
    'stop and start',
    'stop, deregister and start',
    'stop, drain and start',
    'kill and start',
    'next server',
)
LENGTH = 4
# The platform comes back from the copy that was taken before the first event.
RESTORE_EVENTS = (
    'drain',
    'deregister',
    'stop and start',
    'kill and start',
    'next server',
    'restore',
    'stop, restore and start',
    'stop, deregister, restore and start',
    'kill, restore and start',
)
RESTORE_LENGTH = 3


class Platform(test_departure.FakePlatform):
    """Store one object, which can be deleted as well."""

    async def delete(self, key, expected):
        self._check()
        self.entry = None


class Machine:
    """Run the parts of one node that remember its server, and restart them."""

    def __init__(self, keeps_server: bool) -> None:
        self.platform = Platform()
        self.left: set[str] = set()
        self.instance, self.born, self.sequence = 'i1', 10, 1
        self._keeps_server = keeps_server
        self._incarnation = 0
        self._is_running = False
        self._copy = None
        self.peer = member_directory.MemberDirectory(
            messages.NodeId('n2'), 'a'
        )

    async def start(self) -> None:
        self._incarnation += 1
        self.executor = executors.Executor(
            messages.Incarnation(self._incarnation),
            metrics_module.Metrics(),
            asyncio.get_running_loop().time,
        )
        self.writer = member_writer.MemberWriter(
            self.platform,
            'live/members/n1',
            lambda: self.own_member.to_store(),
            platform_pauses.jittered_pause(random.Random(1), 0.5),
        )
        self.registration = server_registration.ServerRegistration(
            self.executor, self.writer
        )
        peer = value_parsers.Address('127.0.0.1', 7)
        cfg = mock.Mock(peer=peer, data_centre='a', server=SERVER)
        cfg.name = 'n1'
        self.own_member = own_member.OwnMember(
            cfg,
            messages.Incarnation(self._incarnation),
            self.executor,
            self.registration.announcement_order,
            lambda: False,
            self._keeps_server,
        )
        self.executor.on_state_change = self._publish
        entry = self.platform.entry
        if entry is not None:
            stored = test_member_directory.members.Member.decode(entry.value)
            self.registration.restore(stored, SERVER)
        self.writer.set_stored(entry)
        self._task = asyncio.create_task(self.writer.run())
        self._is_running = True
        self._publish()
        await asyncio.sleep(0.1)

    def _publish(self) -> None:
        """Write the record; the peer sees it, and reminds as nodes do."""
        self.writer.notify()
        member = self.own_member.describe()
        self.peer.put(member)
        if self.peer.forgets_departure(member):
            self.registration.recall_departure(member.server)

    def take_copy(self) -> None:
        self._copy = self.platform.entry

    def _restore(self) -> None:
        self.platform.entry = self._copy
        if self._is_running:
            self.writer.mark_missing(must_read=True)

    async def stop(self) -> None:
        self._is_running = False
        self.executor.stop_accepting()
        await self.own_member.check_server()
        await self.writer.reconcile()

    def end(self) -> None:
        self._task.cancel()

    async def announce(self, sequence: int, draining: bool) -> AnnounceResult:
        result = await self.registration.announce(
            announcement.Announcement(
                self.instance,
                ('lookups',),
                *SERVER,
                4,
                draining=draining,
                born=self.born,
                sequence=sequence,
            )
        )
        if draining and result is not AnnounceResult.NOT_READY:
            self.left.add(self.instance)
        return result

    async def deregister(self) -> None:
        result = await self.registration.withdraw(self.instance, self.born)
        if result is AnnounceResult.ACCEPTED:
            self.left.add(self.instance)

    async def handle(self, event: str) -> None:
        self.sequence += 1
        for step in event.replace(' and', ',').split(', '):
            match step:
                case 'drain':
                    await self.announce(self.sequence, draining=True)
                case 'deregister':
                    await self.deregister()
                case 'stop':
                    await self.stop()
                case 'kill':
                    self.end()
                    self._is_running = False
                case 'restore':
                    self._restore()
                case 'start':
                    self.end()
                    await self.start()
                case 'next server':
                    self.instance, self.born = f'i{self.born}', self.born + 10
                    await self.announce(self.sequence, draining=False)

    async def handle_late(self) -> AnnounceResult:
        """Handle a heartbeat that the first server sent before it left."""
        self.instance, self.born = 'i1', 10
        return await self.announce(1, draining=False)

    @property
    def used_server(self) -> str | None:
        """Return the instance that gets requests."""
        announced = self.executor.backend.announcement
        if announced is None or announced.draining:
            return None
        return announced.instance


class DepartureOrdersTest(virtual_time.VirtualTimeTestCase):
    def check(self, events, keeps_server):
        with self.subTest(events):
            machine = self.run_events(events, keeps_server)
            if 'i1' in machine.left:
                self.assertNotEqual('i1', machine.used_server)

    def run_events(self, events, keeps_server):
        """Return the machine after the events and a late heartbeat."""

        async def serve(reader, writer):
            await reader.read()
            writer.close()

        async def main(loop):
            loop.serve_port(SERVER.port, serve)
            machine = Machine(keeps_server)
            await machine.start()
            await machine.announce(1, draining=False)
            await asyncio.sleep(0.1)
            machine.take_copy()
            for event in events:
                await machine.handle(event)
                await asyncio.sleep(0.1)
                self.assertNotIn(machine.used_server, machine.left)
            await machine.handle_late()
            await asyncio.sleep(0.1)
            machine.end()
            return machine

        return self.run_virtual(main)

    def test_a_late_heartbeat_brought_a_departed_server_back(self):
        for events in itertools.product(EVENTS, repeat=LENGTH):
            self.check(events, keeps_server=True)

    def test_a_restored_platform_brought_a_departed_server_back(self):
        for events in itertools.product(RESTORE_EVENTS, repeat=RESTORE_LENGTH):
            self.check(events, keeps_server=True)

    def test_a_standalone_node_forgot_a_departure_as_it_stopped(self):
        for events in itertools.product(EVENTS, repeat=2):
            self.check(events, keeps_server=False)

    def test_a_node_that_stops_after_its_server_leaves_no_record(self):
        async def main(loop):
            machine = Machine(keeps_server=True)
            await machine.start()
            await machine.announce(1, draining=False)
            await machine.announce(2, draining=True)
            await machine.deregister()
            before = machine.platform.entry
            await machine.stop()
            machine.end()
            return before, machine.platform.entry

        before, after = self.run_virtual(main)
        self.assertIsNotNone(before)
        self.assertIsNone(after)
