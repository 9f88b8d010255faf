"""Play a short soak: overlapping stops and faults of real processes.

Guards against requests that a planned stop cuts off while callers keep using
open connections, and against broken guarantees when faults overlap. The long
one is `python -m bench soak --seed N`, started by hand.
"""

import unittest
from unittest import mock

from bench import soak

SEED = 1
PART_DURATION_S = 15.0


class SoakTest(unittest.TestCase):
    def test_overlapping_stops_and_faults_break_no_guarantee(self):
        with mock.patch.multiple(
            soak,
            PLANNED_DURATION_S=PART_DURATION_S,
            FAULTS_DURATION_S=PART_DURATION_S,
        ):
            figures = soak.run(SEED)
        self.assertEqual(0, figures['violations'], figures)
        self.assertGreater(figures['planned_actions'], 2)
        self.assertGreater(figures['faults_actions'], 2)
