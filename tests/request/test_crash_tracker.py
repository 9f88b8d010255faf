"""Check what a node logs of crashes that it hears of."""

import unittest
from unittest import mock

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.request import crash_tracker
from jayflow.request import quarantine

CULPRIT = quarantine.Fingerprint(b'\x01')
BYSTANDER = quarantine.Fingerprint(b'\x02')
REPORTS = [
    messages.CrashReport('c1', [CULPRIT, BYSTANDER], 5000),
    messages.CrashReport('', [BYSTANDER], 0),
    messages.CrashReport('c2', [CULPRIT], 5000),
]
EXPECTED = [
    ('Crash is recorded.', ['01:1', '02:1']),
    ('Suspect request ended without a crash.', '02'),
    ('Crash is recorded.', ['01:convicted']),
]


class CrashLogTest(unittest.TestCase):
    def test_counts_and_cleared_suspects_are_logged(self):
        with mock.patch.object(crash_tracker.logs, 'get_logger') as get_logger:
            tracker = crash_tracker.CrashTracker(
                metrics_module.Metrics(), lambda: 0.0, 2
            )
            for report in REPORTS:
                tracker.handle_report(report)
        lines = get_logger.return_value.info.call_args_list
        logged = [
            (
                line.args[0],
                line.kwargs.get('suspects') or line.kwargs['fingerprint'],
            )
            for line in lines
        ]
        self.assertEqual(EXPECTED, logged)
