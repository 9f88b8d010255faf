"""Let crowds of connections come and go, and check when the heap is trimmed.

The memory that a crowd had used stayed with the node after it had left.
"""

import unittest

from jayflow.connection import heap

MB = 1024 * 1024
# Title, the steps as (seconds, held megabytes), and the times of the trims.
CASES = [
    ('a crowd leaves', [(0, 60), (1, 60), (2, 0), (3, 0)], [2]),
    ('a crowd shrinks', [(0, 60), (1, 40), (12, 1)], [1, 12]),
    ('small changes', [(0, 9), (1, 2), (2, 9), (3, 2)], []),
    ('a crowd that stays', [(0, 60), (30, 58), (60, 60)], []),
    (
        'crowds in a row',
        [(0, 60), (1, 0), (2, 60), (3, 0), (10, 0), (11, 0), (12, 0)],
        [1, 11],
    ),
]


class TrimScheduleTest(unittest.TestCase):
    def test_freed_memory_was_kept_or_returned_too_often(self):
        for title, steps, expected in CASES:
            with self.subTest(title):
                trims = heap.TrimSchedule()
                times = []
                for now, held_mb in steps:
                    trims.record(held_mb * MB)
                    if trims.is_due(held_mb * MB, now):
                        times.append(now)
                self.assertEqual(expected, times)
                self.assertFalse(trims.is_pending(steps[-1][1] * MB))


class TrimTest(unittest.TestCase):
    def test_trim_works_with_any_allocator(self):
        heap.trim()
