"""Check which request a full queue refuses.

The bound once counted only the requests ahead of a new one, so a queue of
12 held 24 requests when urgent ones kept arriving.
"""

import unittest

from jayflow.request.decisions import admission
from jayflow.request import outcome

NOW = 100.0
MAX_LENGTH = 2
# Name, rank, latest start that keeps the latency target, deadline; in
# seconds from now.
Arrival = tuple[str, int, float, float]
CASES: list[tuple[str, list[Arrival], str]] = [
    (
        'the newest of equals',
        [('a', 1, 1, 9), ('b', 1, 1, 9), ('c', 1, 1, 9)],
        'c',
    ),
    (
        'the least urgent',
        [('a', 1, 1, 9), ('b', 2, 1, 9), ('c', 0, 1, 9)],
        'b',
    ),
    (
        'the latest target',
        [('a', 1, 3, 9), ('b', 1, 1, 9), ('c', 1, 2, 9)],
        'a',
    ),
    (
        'the one that misses its target',
        [('a', 1, 1, 9), ('b', 0, -1, 9), ('c', 2, 2, 9)],
        'b',
    ),
    (
        'the new one, if it is the least urgent',
        [('a', 1, 1, 9), ('b', 1, 1, 9), ('c', 2, 1, 9)],
        'c',
    ),
]


def _queued_request(arrival: Arrival) -> admission.QueuedRequest[str]:
    name, rank, target_start_s, deadline_s = arrival
    return admission.QueuedRequest(
        name,
        's',
        rank,
        NOW + deadline_s,
        outcome.Reason.QUEUE_TIME,
        target_start=NOW + target_start_s,
    )


class FullQueueTest(unittest.TestCase):
    def test_refuses_the_request_that_would_start_last(self):
        for title, arrivals, expected in CASES:
            with self.subTest(title):
                queue = admission.AdmissionQueue(1)
                self.assertTrue(queue.try_start('s', 0))
                *waiting, newest = map(_queued_request, arrivals)
                for queued_request in waiting:
                    self.assertIsNone(
                        queue.enqueue(queued_request, MAX_LENGTH, NOW)
                    )
                rejection = queue.enqueue(newest, MAX_LENGTH, NOW)
                self.assertEqual(expected, rejection.queued_request.item)
                self.assertIs(outcome.Reason.QUEUE_FULL, rejection.reason)
                self.assertEqual(MAX_LENGTH, queue.queued)

    def test_a_longer_queue_of_others_keeps_its_length(self):
        queue = admission.AdmissionQueue(1)
        queue.try_start('s', 0)
        for name in 'abc':
            queue.enqueue(_queued_request((name, 2, 1, 9)), 3, NOW)
        rejection = queue.enqueue(
            _queued_request(('d', 0, 1, 9)), MAX_LENGTH, NOW
        )
        self.assertEqual('c', rejection.queued_request.item)
        self.assertEqual(3, queue.queued)
