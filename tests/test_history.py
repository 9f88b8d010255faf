"""Check each checker on a history that breaks its promise."""

import unittest

from bench import history as histories

Told = histories.Told


def send(mark: str, told=Told.ANSWERED, key='', method='POST', **more):
    """Return a send with plain values."""
    return histories.Send(mark, key, method, 0.0, 1.0, told, **more)


def run(mark: str, key: str = '', at: float = 0.5):
    """Return a run with plain values."""
    return histories.Run('s1', at, mark, key)


CASES = [
    ('once', 'at_most_once', [send('a')], [run('a')], 0),
    ('twice', 'at_most_once', [send('a')], [run('a'), run('a')], 1),
    (
        'twice by key',
        'at_most_once',
        [send('a', key='k'), send('b', key='k')],
        [run('a', 'k'), run('b', 'k')],
        1,
    ),
    (
        'a read twice',
        'at_most_once',
        [send('a', method='GET')],
        [run('a'), run('a')],
        0,
    ),
    ('not run', 'not_run', [send('a', Told.NOT_RUN)], [], 0),
    ('a lie', 'not_run', [send('a', Told.NOT_RUN)], [run('a')], 1),
    ('unknown', 'not_run', [send('a', Told.UNKNOWN)], [run('a')], 0),
    ('whole', 'whole_and_own', [send('a')], [], 0),
    ('fragment', 'whole_and_own', [send('a', is_whole=False)], [], 1),
    ('soon after', 'leaving', [], [run('a', at=12.9)], 0),
    ('long after', 'leaving', [], [run('a', at=13.1)], 1),
]


class HistoryTest(unittest.TestCase):
    def test_checkers(self):
        for title, name, sends, runs, expected in CASES:
            with self.subTest(title):
                drains = [histories.Drain('s1', 10.0)]
                history = histories.History(sends, runs, drains)
                found = histories.judge(history)[name]
                self.assertEqual(expected, len(found), found)

    def test_planned_stop(self):
        for told, expected in ((Told.ANSWERED, 0), (Told.NOT_RUN, 1)):
            history = histories.History([send('a', told)])
            found = histories.check_planned_stop(history)
            self.assertEqual(expected, len(found))
