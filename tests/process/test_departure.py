"""Check that a departure is acknowledged only once the platform holds it.

A repeated drain announcement during an outage was once acknowledged at
once. A node that restarted then did not know of the departure and sent
requests to the server again.
"""

import random

import anyio

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.process import control_api
from jayflow.process import member_writer
from jayflow.process import platform_pauses
from jayflow.process import server_registration
from jayflow.request import executor as executors
from tests.process import test_member_directory
from tests import virtual_time

AnnounceResult = server_registration.AnnounceResult


class FakePlatform:
    """Store one object; fail while the platform is down."""

    def __init__(self) -> None:
        self.is_down = False
        self.entry = None
        self.reads = 0
        self.writes = 0

    async def get(self, key):
        self._check()
        self.reads += 1
        return self.entry

    async def put(self, key, value, expected):
        self._check()
        self.writes += 1
        self.entry = api.Entry(key, value, api.Revision(self.writes))
        return self.entry.revision

    def _check(self):
        if self.is_down:
            raise api.UnavailableError('down')


def _announcement(sequence: int, draining: bool = True):
    return announcement.Announcement(
        'i1',
        ('s',),
        '127.0.0.1',
        9,
        4,
        draining=draining,
        born=10,
        sequence=sequence,
    )


class DepartureTest(virtual_time.VirtualTimeTestCase):
    def build(self):
        """Return a registration whose record is written to a fake."""
        self.platform = FakePlatform()
        executor = executors.Executor(
            messages.Incarnation(1), metrics_module.Metrics()
        )

        def desired_member():
            announced = executor.backend.announcement
            return test_member_directory.member(
                'n1',
                'a',
                draining=announced is not None and announced.draining,
                left=self.registration.announcement_order.departed,
            )

        self.writer = member_writer.MemberWriter(
            self.platform,
            'live/members/n1',
            desired_member,
            platform_pauses.jittered_pause(random.Random(1), 0.5),
        )
        self.registration = server_registration.ServerRegistration(
            executor, self.writer
        )
        return self.registration

    async def run_steps(self, steps):
        """Run a coroutine function beside the writer."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.writer.run)
            await steps()
            tasks.cancel_scope.cancel()

    def test_every_announcement_of_a_drain_waits_for_the_platform(self):
        registration = self.build()
        results = []

        async def steps():
            await registration.announce(_announcement(1, draining=False))
            await anyio.sleep(0.1)
            self.platform.is_down = True
            for sequence in (2, 3):
                results.append(
                    await registration.announce(_announcement(sequence))
                )
            self.platform.is_down = False
            results.append(await registration.announce(_announcement(4)))
            writes = self.platform.writes
            results.append(await registration.announce(_announcement(5)))
            self.assertEqual(writes, self.platform.writes)

        self.run_virtual(lambda loop: self.run_steps(steps))
        self.assertEqual(
            [AnnounceResult.NOT_READY] * 2 + [AnnounceResult.ACCEPTED] * 2,
            results,
        )

    def test_every_withdrawal_waits_for_the_platform(self):
        registration = self.build()
        results = []

        async def steps():
            await registration.announce(_announcement(1, draining=False))
            await anyio.sleep(0.1)
            self.platform.is_down = True
            for _ in range(2):
                results.append(await registration.withdraw('i1', 10))
            self.platform.is_down = False
            results.append(await registration.withdraw('i1', 10))

        self.run_virtual(lambda loop: self.run_steps(steps))
        self.assertEqual(
            [AnnounceResult.NOT_READY] * 2 + [AnnounceResult.ACCEPTED], results
        )

    def test_a_record_that_was_listed_is_not_read_again(self):
        # A node once read its own record twice before it wrote it: two of
        # the nine calls of a start.
        registration = self.build()
        stored = test_member_directory.member('n1', 'a')
        self.platform.entry = api.Entry('k', stored.encode(), api.Revision(7))
        self.writer.set_stored(self.platform.entry)

        async def steps():
            await registration.announce(_announcement(1, draining=False))
            await registration.announce(_announcement(2))

        self.run_virtual(lambda loop: self.run_steps(steps))
        self.assertEqual((0, 1), (self.platform.reads, self.platform.writes))

    def test_all_who_wait_for_the_same_write_are_told(self):
        registration = self.build()
        results = []

        async def announce(sequence):
            results.append(
                await registration.announce(_announcement(sequence))
            )

        async def steps():
            await registration.announce(_announcement(1, draining=False))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(announce, 2)
                tasks.start_soon(announce, 3)

        self.run_virtual(lambda loop: self.run_steps(steps))
        self.assertEqual([AnnounceResult.ACCEPTED] * 2, results)


class ControlApiTest(virtual_time.VirtualTimeTestCase):
    def test_only_an_accepted_announcement_gets_200(self):
        for result in AnnounceResult:
            with self.subTest(result=result.value):
                status = self.run_virtual(
                    lambda loop, result=result: self._announce(result)
                )
                is_accepted = result is AnnounceResult.ACCEPTED
                self.assertEqual(is_accepted, status == 200)

    async def _announce(self, result):
        class Registration:
            executor = executors.Executor(
                messages.Incarnation(1), metrics_module.Metrics()
            )

            async def announce(self, server_announcement):
                return result

        app = control_api.ControlApp('n1', Registration(), lambda: b'{}')
        sent = []
        body = b'{"instance":"i","services":["s"],"host":"h","port":1,'
        body += b'"slots":1}'

        async def receive():
            return {'body': body}

        async def send(message):
            sent.append(message)

        scope = {'type': 'http', 'method': 'PUT', 'path': '/announcement'}
        await app(scope, receive, send)
        return sent[0]['status']
