"""Check which announcements are accepted, in any order of arrival."""

import asyncio
import unittest

from jayflow.connection import announcement
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import server_registration
from jayflow.request import executor as executors
from jayflow.version import value_parsers

AnnounceResult = server_registration.AnnounceResult


def _member(**changes) -> members.Member:
    return members.Member(
        'n1', 1, 'dc', '127.0.0.1', 1, instance='i1', born=10, **changes
    )


def new_announcement(instance='i1', born=10, sequence=1, **changes):
    """Return an announcement."""
    return announcement.Announcement(
        instance,
        ('s',),
        '127.0.0.1',
        80,
        4,
        born=born,
        sequence=sequence,
        **changes,
    )


CASES = [
    ('first', [new_announcement()], AnnounceResult.ACCEPTED),
    (
        'next',
        [new_announcement(sequence=1), new_announcement(sequence=2)],
        AnnounceResult.ACCEPTED,
    ),
    (
        'repeated',
        [new_announcement(sequence=2), new_announcement(sequence=2)],
        AnnounceResult.STALE,
    ),
    (
        'late',
        [new_announcement(sequence=3), new_announcement(sequence=2)],
        AnnounceResult.STALE,
    ),
    (
        'restarted under the same instance name',
        [
            new_announcement(born=10, sequence=9),
            new_announcement(born=11, sequence=1),
        ],
        AnnounceResult.ACCEPTED,
    ),
    (
        'late from an earlier start of the instance',
        [
            new_announcement(born=11, sequence=1),
            new_announcement(born=10, sequence=9),
        ],
        AnnounceResult.STALE,
    ),
    (
        'a newer server',
        [new_announcement('i1', born=10), new_announcement('i2', born=11)],
        AnnounceResult.ACCEPTED,
    ),
    (
        'late from the previous server',
        [
            new_announcement('i2', born=11),
            new_announcement('i1', born=10, sequence=99),
        ],
        AnnounceResult.STALE,
    ),
    (
        'without start time and sequence',
        [new_announcement(born=0, sequence=0)] * 2,
        AnnounceResult.ACCEPTED,
    ),
]


SERVER = value_parsers.Address('127.0.0.1', 80)
DEPARTED = (messages.ServerIncarnation('i1', 10),)
# Title, stored record, address of the server, whether it is used at once.
RESTORED = [
    ('ready', {'services': ('s',), 'slots': 4}, SERVER, True),
    ('no address', {'services': ('s',), 'slots': 4}, None, False),
    (
        'draining',
        {'services': ('s',), 'slots': 4, 'draining': True},
        SERVER,
        False,
    ),
    (
        'departed',
        {'services': ('s',), 'slots': 4, 'left': DEPARTED},
        SERVER,
        False,
    ),
    ('no server', {'left': DEPARTED}, SERVER, False),
]


class RestoredServerTest(unittest.TestCase):
    """Check when a restarted node uses its server before it announces itself.

    After all nodes were killed, each waited up to 1.5 s for its server.
    """

    def build(self):
        self.now = 100.0
        executor = executors.Executor(
            messages.Incarnation(1),
            metrics_module.Metrics(),
            lambda: self.now,
            announcement_ttl_s=15.0,
        )
        return server_registration.ServerRegistration(executor, None)

    def test_only_a_server_that_had_not_left_is_used(self):
        for title, record, server, expected in RESTORED:
            with self.subTest(title):
                registration = self.build()
                registration.restore(_member(**record), server)
                is_used = registration.executor.backend.slots > 0
                self.assertEqual(expected, is_used)

    def test_a_node_restarted_beside_a_cold_server_took_it_for_warm(self):
        # Title, cold rate, time of an announcement if any, and slowness.
        for title, cold_rate, cold_s, expected in (
            ('not told yet', 5.0, None, 2.0),
            ('told that it is cold', 5.0, 3.0, 2.0),
            ('told that it is warm', 5.0, 0.0, 1.0),
            ('no cold rate', 0.0, None, 1.0),
        ):
            with self.subTest(title):
                registration = self.build()
                backend = registration.executor.backend
                backend.cold_rate_of = lambda names, rate=cold_rate: rate
                record = _member(services=('s',), slots=4)
                registration.restore(record, SERVER)
                if cold_s is not None:
                    announced = new_announcement(cold_s=cold_s)
                    asyncio.run(registration.announce(announced))
                self.assertEqual(expected, backend.slowness())

    def test_a_record_without_slots_is_rejected(self):
        registration = self.build()
        with self.assertRaises(ValueError):
            registration.restore(_member(services=('s',), slots=0), SERVER)
        self.assertEqual(0, registration.executor.backend.slots)

    def test_a_server_that_stays_silent_is_removed(self):
        registration = self.build()
        registration.restore(_member(services=('s',), slots=4), SERVER)
        for after_s, expected in ((3.9, 4), (4.1, 0)):
            self.now = 100.0 + after_s
            registration.executor._expire(self.now)
            self.assertEqual(expected, registration.executor.backend.slots)

    def test_the_next_announcement_is_accepted(self):
        registration = self.build()
        registration.restore(_member(services=('s',), slots=4), SERVER)
        result = asyncio.run(registration.announce(new_announcement()))
        self.assertIs(AnnounceResult.ACCEPTED, result)


class AnnouncementOrderTest(unittest.TestCase):
    def test_accepts_or_rejects_by_order(self):
        for title, announcements, expected in CASES:
            with self.subTest(title):
                order = server_registration.AnnouncementOrder()
                results = [order.admit(message) for message in announcements]
                self.assertIs(expected, results[-1])

    def test_departed_server_is_not_accepted_again(self):
        order = server_registration.AnnouncementOrder()
        order.admit(new_announcement())
        self.assertTrue(
            order.record_departure(messages.ServerIncarnation('i1', 10))
        )
        self.assertIs(
            AnnounceResult.LEFT, order.admit(new_announcement(sequence=5))
        )
        self.assertIs(
            AnnounceResult.ACCEPTED, order.admit(new_announcement(born=20))
        )

    def test_restored_departures_are_respected(self):
        order = server_registration.AnnouncementOrder()
        order.restore(_member(left=DEPARTED))
        self.assertIs(
            AnnounceResult.LEFT, order.admit(new_announcement(sequence=5))
        )

    def test_departure_before_any_announcement_is_recorded(self):
        order = server_registration.AnnouncementOrder()
        now_ms = 1000
        born = order.start_time_ms('i1', now_ms)
        self.assertFalse(
            order.record_departure(messages.ServerIncarnation('i1', born))
        )
        self.assertIs(
            AnnounceResult.LEFT,
            order.admit(new_announcement(born=10, sequence=5)),
        )
        self.assertIs(
            AnnounceResult.ACCEPTED, order.admit(new_announcement(born=2000))
        )

    def test_draining_server_is_not_ready_again(self):
        drain_announcement = announcement.Announcement(
            'i1', ('s',), '127.0.0.1', 80, 4, draining=True, born=10
        )
        for title, order in (
            ('in one process', server_registration.AnnouncementOrder()),
            ('in the next process', server_registration.AnnouncementOrder()),
        ):
            with self.subTest(title):
                if title == 'in one process':
                    order.admit(drain_announcement)
                else:
                    order.restore(_member(draining=True))
                self.assertIs(
                    AnnounceResult.STALE,
                    order.admit(new_announcement(sequence=9)),
                )
                self.assertIs(
                    AnnounceResult.ACCEPTED,
                    order.admit(new_announcement(born=20)),
                )

    def test_late_departure_does_not_remove_the_next_server(self):
        order = server_registration.AnnouncementOrder()
        order.admit(new_announcement('i2', born=11))
        self.assertFalse(
            order.record_departure(messages.ServerIncarnation('i1', 10))
        )
        self.assertIs(
            AnnounceResult.ACCEPTED, order.admit(new_announcement('i2', 11, 2))
        )
