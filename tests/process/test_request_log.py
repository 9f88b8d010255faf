"""Check the summary of a request from the logs of several nodes."""

import json
import unittest

from jayflow.process import request_log


def row(time, event, **fields) -> str:
    """Return a JSON log line as a node writes it."""
    return json.dumps({'event': event, 'timestamp': f't{time}', **fields})


END = {'elapsed_ms': 700, 'target_ms': 600, 'status': None}
FAILED = row(2, 'dispatch: Attempt failed.', id='a', reason='server_failed')
CASES = [
    ('unknown', [], 'No log line names it'),
    (
        'refused before any attempt',
        [row(1, 'ingress: Request is refused.', id='a', reason='no_route')],
        'Refused before any attempt: the configuration in force has no such',
    ),
    (
        'not answered',
        [
            row(3, 'ingress: Request ended.', id='a', ended='deadline', **END),
            FAILED,
        ],
        'Not answered, after 700 ms and 1 failed attempts: '
        'its deadline passed.',
    ),
    (
        'late',
        [
            row(
                3,
                'ingress: Request ended.',
                id='a',
                ended='answered',
                **END | {'status': 200},
            )
        ],
        'Answered 100 ms late, after 700 ms and 0 failed attempts.',
    ),
    ('end is not logged', [FAILED], 'Its end is not in these logs'),
]


class RequestLogTest(unittest.TestCase):
    def test_summary(self):
        for title, rows, expected in CASES:
            with self.subTest(title):
                lines = request_log.parse_lines('log', rows)
                selected = request_log.lines_of_request(lines, 'a')
                summary = request_log.summarize(selected, 'a')
                self.assertTrue(summary.startswith(expected), summary)

    def test_lines_of_a_request_and_its_child_calls_are_in_order(self):
        rows = [
            '  1.5 node-b ' + row(2, 'x', id='a.1'),
            'no object',
            '{broken',
            '[]',
            row(1, 'x', id='a'),
            row(0, 'x', id='ab'),
        ]
        selected = request_log.lines_of_request(
            request_log.parse_lines('log', rows), 'a'
        )
        sources = [(line.timestamp, line.source) for line in selected]
        self.assertEqual([('t1', 'log'), ('t2', '1.5 node-b')], sources)
