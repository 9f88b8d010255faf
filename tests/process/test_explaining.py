"""Check what is said of a request from the logs of several nodes."""

import json
import unittest

from jayflow.process import explaining


def row(at, event, **fields) -> str:
    """Return a log line as a node writes it."""
    return json.dumps({'event': event, 'timestamp': f't{at}', **fields})


END = {'elapsed_ms': 700, 'target_ms': 600, 'status': None}
FAILED = row(2, 'dispatch: Attempt failed.', id='a', reason='server_failed')
CASES = [
    ('unknown', [], 'No line names it'),
    (
        'refused at once',
        [row(1, 'ingress: Request is refused.', id='a', reason='no_route')],
        'Refused before any try: the configuration in force has no such',
    ),
    (
        'not answered',
        [
            row(3, 'ingress: Request ended.', id='a', ended='deadline', **END),
            FAILED,
        ],
        'Not answered, after 700 ms and 1 failed tries: its time was over.',
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
        'Answered 100 ms late, after 700 ms and 0 failed tries.',
    ),
    ('no end', [FAILED], 'Its end is not in these logs'),
]


class ExplainingTest(unittest.TestCase):
    def test_sentences(self):
        for title, rows, expected in CASES:
            with self.subTest(title):
                lines = explaining.read('log', rows)
                found = explaining.select(lines, 'a')
                said = explaining.sentence(found, 'a')
                self.assertTrue(said.startswith(expected), said)

    def test_lines_of_a_request_and_its_calls_in_order(self):
        rows = [
            '  1.5 node-b ' + row(2, 'x', id='a.1'),
            'no object',
            '{broken',
            '[]',
            row(1, 'x', id='a'),
            row(0, 'x', id='ab'),
        ]
        found = explaining.select(explaining.read('log', rows), 'a')
        sources = [(line.at, line.source) for line in found]
        self.assertEqual([('t1', 'log'), ('t2', '1.5 node-b')], sources)
