"""Let crowds of connections come and go, and check when the heap is trimmed.

The memory that a crowd had used stayed with the node after it had left.
"""

import sys
import types
import unittest
from unittest import mock

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
    def setUp(self):
        heap._find_malloc_trim.cache_clear()
        self.addCleanup(heap._find_malloc_trim.cache_clear)

    def test_a_trim_failed_where_the_allocator_has_no_call_for_it(self):
        cases = [
            ('no ctypes', None),
            ('not glibc', lambda name: object()),
            ('no library', mock.Mock(side_effect=OSError)),
            ('no memory', mock.Mock(side_effect=MemoryError)),
        ]
        for title, cdll in cases:
            module = cdll and types.SimpleNamespace(CDLL=cdll)
            with (
                self.subTest(title),
                mock.patch.dict(sys.modules, {'ctypes': module}),
            ):
                heap._find_malloc_trim.cache_clear()
                heap.trim()

    def test_trim(self):
        heap.trim()
