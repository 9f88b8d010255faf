"""Check how the parts on their way are shared among responses.

Many large responses at once filled the memory of the node that asked for
them, at 0.7 MB each.
"""

import math
import unittest

from jayflow.request import response_windows

MB = 1024 * 1024
# Shared bytes, responses and the window of each in parts.
CASES = [
    (math.inf, 10_000, 3),
    (MB, 0, 3),
    (MB, 4, 3),
    (MB, 5, 3),
    (MB, 8, 2),
    (MB, 1000, 1),
]


class ResponseWindowsTest(unittest.TestCase):
    def test_windows_shrink_with_the_number_of_responses(self):
        for shared_bytes, responses, expected in CASES:
            with self.subTest(shared_bytes=shared_bytes, responses=responses):
                windows = response_windows.ResponseWindows(shared_bytes)
                self.assertEqual(expected, windows.parts_for(responses))

    def test_credit_follows_the_number_of_streams(self):
        windows = response_windows.ResponseWindows(MB)
        window = response_windows.ResponseWindow(windows, 1000)
        self.assertEqual(1, window.parts)
        # The head takes one; a first credit of 1 left none for the next part.
        self.assertEqual(2, window.first_credit)
        # It grows to 3 parts while it is the only stream.
        self.assertEqual([3, 1], [window.next_credit() for _ in range(2)])
        self.assertEqual(3, window.parts)
        windows.streams = 16
        self.assertEqual([0, 0], [window.next_credit() for _ in range(2)])
        self.assertEqual(1, window.next_credit())
        self.assertEqual(1, window.parts)

    def test_a_closed_response_kept_its_share(self):
        windows = response_windows.ResponseWindows(MB)
        window = response_windows.ResponseWindow(windows, 1)
        window.next_credit()
        self.assertEqual(1, windows.streams)
        window.close()
        window.close()
        self.assertEqual(0, windows.streams)
