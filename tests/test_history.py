"""Check that each checker finds the violations in a history."""

import unittest

from bench import history as histories

CallerOutcome = histories.CallerOutcome


def request(
    mark: str,
    caller_outcome=CallerOutcome.ANSWERED,
    key='',
    method='POST',
    **fields,
):
    """Return a request with default values."""
    return histories.Request(
        mark, key, method, 0.0, 1.0, caller_outcome, **fields
    )


def run(mark: str, key: str = '', started_at: float = 0.5):
    """Return a run with default values."""
    return histories.Run('s1', started_at, mark, key)


CASES = [
    ('ran once', 'at_most_once', [request('a')], [run('a')], 0),
    ('ran twice', 'at_most_once', [request('a')], [run('a'), run('a')], 1),
    (
        'ran twice with one key',
        'at_most_once',
        [request('a', key='k'), request('b', key='k')],
        [run('a', 'k'), run('b', 'k')],
        1,
    ),
    (
        'a read that ran twice',
        'at_most_once',
        [request('a', method='GET')],
        [run('a'), run('a')],
        0,
    ),
    ('not run', 'not_run', [request('a', CallerOutcome.NOT_RUN)], [], 0),
    (
        'ran although reported as not run',
        'not_run',
        [request('a', CallerOutcome.NOT_RUN)],
        [run('a')],
        1,
    ),
    (
        'unknown',
        'not_run',
        [request('a', CallerOutcome.UNKNOWN)],
        [run('a')],
        0,
    ),
    ('complete', 'whole_and_own', [request('a')], [], 0),
    ('incomplete', 'whole_and_own', [request('a', is_intact=False)], [], 1),
    (
        'started soon after the drain',
        'leaving',
        [],
        [run('a', started_at=12.9)],
        0,
    ),
    (
        'started long after the drain',
        'leaving',
        [],
        [run('a', started_at=13.1)],
        1,
    ),
    (
        'started after the restart of the server',
        'leaving',
        [],
        [run('a', started_at=14.1)],
        0,
    ),
]


class HistoryTest(unittest.TestCase):
    def test_checkers(self):
        for title, guarantee, requests, runs, expected in CASES:
            with self.subTest(title):
                drains = [histories.Drain('s1', 10.0, 14.0)]
                history = histories.History(requests, runs, drains)
                violations = histories.find_violations(history)[guarantee]
                self.assertEqual(expected, len(violations), violations)

    def test_planned_stop(self):
        for caller_outcome, expected in (
            (CallerOutcome.ANSWERED, 0),
            (CallerOutcome.NOT_RUN, 1),
        ):
            history = histories.History([request('a', caller_outcome)])
            violations = histories.check_all_answered(history)
            self.assertEqual(expected, len(violations))

    def test_nothing_cut(self):
        for title, caller_outcome, runs, expected in (
            ('answered', CallerOutcome.ANSWERED, [run('a')], 0),
            ('not run', CallerOutcome.NOT_RUN, [], 0),
            ('crossed the close', CallerOutcome.CUT, [], 0),
            ('cut while it ran', CallerOutcome.CUT, [run('a')], 1),
            ('unknown', CallerOutcome.UNKNOWN, [], 1),
        ):
            with self.subTest(title):
                history = histories.History(
                    [request('a', caller_outcome)], runs
                )
                violations = histories.check_nothing_cut(history)
                self.assertEqual(expected, len(violations))
