"""Check which announcements count, in whatever order they arrive."""

import unittest

from jayflow.connection import announcement
from jayflow.connection import member as members
from jayflow.process import registration

Verdict = registration.Verdict


def _member(**changes) -> members.Member:
    return members.Member(
        'n1', 1, 'dc', '127.0.0.1', 1, instance='i1', born=10, **changes
    )


def said(instance='i1', born=10, sequence=1, **changes):
    """Return an announcement."""
    return announcement.Announcement(
        instance, ('s',), '127.0.0.1', 80, 4, born=born, sequence=sequence
    )


CASES = [
    ('first', [said()], Verdict.TAKEN),
    ('next', [said(sequence=1), said(sequence=2)], Verdict.TAKEN),
    ('repeated', [said(sequence=2), said(sequence=2)], Verdict.STALE),
    ('late', [said(sequence=3), said(sequence=2)], Verdict.STALE),
    (
        'started again under its id',
        [said(born=10, sequence=9), said(born=11, sequence=1)],
        Verdict.TAKEN,
    ),
    (
        'late from an earlier start',
        [said(born=11, sequence=1), said(born=10, sequence=9)],
        Verdict.STALE,
    ),
    (
        'a newer server at the address',
        [said('i1', born=10), said('i2', born=11)],
        Verdict.TAKEN,
    ),
    (
        'late from the server before',
        [said('i2', born=11), said('i1', born=10, sequence=99)],
        Verdict.STALE,
    ),
    ('without order', [said(born=0, sequence=0)] * 2, Verdict.TAKEN),
]


class OrderTest(unittest.TestCase):
    def test_order(self):
        for title, announcements, expected in CASES:
            with self.subTest(title):
                order = registration.Order()
                verdicts = [order.judge(each) for each in announcements]
                self.assertIs(expected, verdicts[-1])

    def test_who_left_does_not_come_back(self):
        order = registration.Order()
        order.judge(said())
        self.assertTrue(order.leave(members.Left('i1', 10)))
        self.assertIs(Verdict.LEFT, order.judge(said(sequence=5)))
        self.assertIs(Verdict.TAKEN, order.judge(said(born=20)))

    def test_the_next_process_knows_who_left(self):
        order = registration.Order()
        order.left = (members.Left('i1', 10),)
        self.assertIs(Verdict.LEFT, order.judge(said(sequence=5)))

    def test_a_goodbye_before_any_announcement_counts(self):
        order = registration.Order()
        now_ms = 1000
        born = order.born_of('i1', now_ms)
        self.assertFalse(order.leave(members.Left('i1', born)))
        self.assertIs(Verdict.LEFT, order.judge(said(born=10, sequence=5)))
        self.assertIs(Verdict.TAKEN, order.judge(said(born=2000)))

    def test_who_drains_is_not_ready_again(self):
        drains = announcement.Announcement(
            'i1', ('s',), '127.0.0.1', 80, 4, draining=True, born=10
        )
        for title, order in (
            ('in one process', registration.Order()),
            ('in the next process', registration.Order()),
        ):
            with self.subTest(title):
                if title == 'in one process':
                    order.judge(drains)
                else:
                    order.recall(_member(draining=True))
                self.assertIs(Verdict.STALE, order.judge(said(sequence=9)))
                self.assertIs(Verdict.TAKEN, order.judge(said(born=20)))

    def test_a_late_goodbye_does_not_remove_the_next_server(self):
        order = registration.Order()
        order.judge(said('i2', born=11))
        self.assertFalse(order.leave(members.Left('i1', 10)))
        self.assertIs(Verdict.TAKEN, order.judge(said('i2', 11, 2)))
