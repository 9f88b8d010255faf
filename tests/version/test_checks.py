"""Check that faults in objects are found together, with their place."""

import pathlib
import unittest

from jayflow.version import checks
from jayflow.version import findings
from jayflow.version import snapshot

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
SOUND = """[region a]
[region b]
[data_centre a1]
region = a
[policy p]
[service s]
policy = p
[route r]
host = x.example
service = s
[link l]
regions = a, b
capacity = 30 Mbit/s
traffic-budget = 20 Mbit/s
measuring-budget = 8 kbit/s
"""
CASES = [
    ('dangling', 'policy = p', 'policy = q', 7, "no such object 'q'"),
    ('unit', '20 Mbit/s', '20', 14, 'wants a number with one of'),
    ('unknown key', 'host = x.', 'hots = x.', 9, "unknown key 'hots'"),
    ('missing key', 'host = x.', 'hots = x.', 8, "missing key 'host'"),
    ('unknown kind', '[region b]', '[zone b]', 2, "unknown kind 'zone'"),
    ('twice', '[region b]', '[region a]', 2, 'section stands twice'),
    ('capacity', '20 Mbit/s', '40 Mbit/s', 14, 'more than the capacity'),
    ('one region', 'regions = a, b', 'regions = a', 12, 'two different'),
    ('not a key', '[region b]', '[region b]\nrubbish', 3, 'not a key'),
    ('name', '[region b]', '[region B!]', 2, 'name: wants a name'),
    ('choice', '[policy p]', '[policy p]\nrequest-class = x', 6, 'one of'),
    (
        'time',
        '[policy p]',
        '[policy p]\nqueue-time = 9 s',
        6,
        'queue-time must be less',
    ),
]


def _lines(text: str) -> list[str]:
    try:
        checks.load([('f.ini', text)])
    except ExceptionGroup as group:
        return findings.lines_of(group)
    return []


class ChecksTest(unittest.TestCase):
    def test_faults(self):
        for title, old, new, line, text in CASES:
            with self.subTest(title):
                lines = _lines(SOUND.replace(old, new, 1))
                place = f'f.ini:{line}:'
                self.assertTrue(
                    any(
                        row.startswith(place) and text in row for row in lines
                    ),
                    lines,
                )

    def test_faults_are_reported_together(self):
        text = SOUND.replace('20 Mbit/s', '20').replace('8 kbit/s', 'x')
        self.assertEqual(2, len(_lines(text)))

    def test_sound_objects(self):
        self.assertEqual([], _lines(SOUND))

    def test_examples(self):
        for path in sorted(EXAMPLES.glob('*.ini')):
            with self.subTest(path.name):
                checks.load([(path.name, path.read_text('utf-8'))])

    def test_parts_round_trip(self):
        whole = checks.load([('f.ini', SOUND)])
        parts = snapshot.split(whole)
        head = snapshot.Head(7, tuple(parts), 'mark', 'me')
        made = snapshot.Version.from_parts(head, list(parts.values()))
        self.assertEqual(snapshot.Version(7, whole), made)
        with self.assertRaises(snapshot.CorruptPartError):
            snapshot.Version.from_parts(head, [b'other'])
