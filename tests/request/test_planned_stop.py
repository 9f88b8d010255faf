"""Test which requests a stopping node still serves."""

import unittest

from jayflow.request import planned_stop

STOP = planned_stop.PlannedStop.begin(100.0, 2.5, 5.4)
# Title, arrival and deadline in s after the signal, whether the request is a
# bulk transfer, whether it is served.
CASES = [
    ('callers may not know yet', 2.4, 7.4, False, True),
    ('bulk, callers may not know yet', 2.4, 7.4, True, True),
    ('ends before the forced stop', 2.6, 4.8, False, True),
    ('bulk, deadline before the forced stop', 2.6, 4.8, True, False),
    ('final answer would come after it', 2.6, 5.0, False, False),
    ('ends after the forced stop', 2.6, 7.6, False, False),
    ('short, in the last second', 4.6, 4.8, False, True),
    ('after the forced stop', 5.5, 5.6, False, False),
]


class PlannedStopTest(unittest.TestCase):
    def test_requests_that_would_be_cut_off_are_not_accepted(self):
        for title, arrives, deadline, is_bulk, expected in CASES:
            with self.subTest(title):
                accepts = STOP.accepts(
                    100.0 + arrives, 100.0 + deadline, is_bulk
                )
                self.assertIs(expected, accepts)
