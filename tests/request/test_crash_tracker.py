"""Check which requests a node reports in a crash, and what it logs of crashes.

A connection that broke for another reason just before a crash once fixed the
set of requests that the report named, without the one that was the cause.
"""

import unittest
from unittest import mock

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.request import crash_tracker
from jayflow.request.decisions import quarantine

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


FIRST_SERVER = messages.ServerIncarnation('i1', 1)
SECOND_SERVER = messages.ServerIncarnation('i2', 2)
# Title, connections that break (time in s, server, requests that run), and
# the requests named at the last one.
BREAK_CASES = [
    (
        'several connections break in one crash',
        [(0.0, FIRST_SERVER, 'ab'), (0.1, FIRST_SERVER, 'b')],
        'ab',
    ),
    (
        'another connection broke shortly before',
        [(0.0, FIRST_SERVER, 'a'), (0.4, FIRST_SERVER, 'b')],
        'ab',
    ),
    (
        'the next server crashes at once',
        [(0.0, FIRST_SERVER, 'a'), (0.4, SECOND_SERVER, 'b')],
        'b',
    ),
    (
        'a later crash',
        [(0.0, FIRST_SERVER, 'a'), (0.6, FIRST_SERVER, 'b')],
        'b',
    ),
]


class RunningAtCrashTest(unittest.TestCase):
    def test_a_crash_report_names_what_ran_when_the_server_crashed(self):
        for title, breaks, expected in BREAK_CASES:
            with self.subTest(title):
                times = iter([at for at, _, _ in breaks])
                tracker = crash_tracker.CrashTracker(
                    metrics_module.Metrics(), times.__next__, 2
                )
                for _, server, running in breaks:
                    named = tracker.running_at_crash(
                        server, [(name,) for name in running]
                    )
                self.assertEqual({(name,) for name in expected}, set(named))


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
