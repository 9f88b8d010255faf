"""Test that all faults in objects are reported, with file and line."""

import pathlib
import unittest

from jayflow.version import findings
from jayflow.version import snapshot
from jayflow.version import validation

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
VALID = """[region a]
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
    ('unit', '20 Mbit/s', '20', 14, 'expected a number with one of'),
    ('unknown key', 'host = x.', 'hots = x.', 9, "unknown key 'hots'"),
    ('missing key', 'host = x.', 'hots = x.', 8, "missing key 'host'"),
    ('unknown kind', '[region b]', '[zone b]', 2, "unknown kind 'zone'"),
    ('twice', '[region b]', '[region a]', 2, 'duplicate section'),
    ('capacity', '20 Mbit/s', '40 Mbit/s', 14, 'more than the capacity'),
    ('one region', 'regions = a, b', 'regions = a', 12, 'two different'),
    ('not a key', '[region b]', '[region b]\nrubbish', 3, 'not a key'),
    ('name', '[region b]', '[region B!]', 2, 'name: expected a name'),
    (
        'teams',
        '[region b]',
        '[region b]\n[teams]\nx = y',
        4,
        "unknown key 'x'",
    ),
    (
        'named teams',
        '[region b]',
        '[region b]\n[teams x]',
        3,
        "unknown kind 'teams'",
    ),
    (
        'required',
        '[region b]',
        '[region b]\n[teams]\nrequired = maybe',
        4,
        'expected yes or no',
    ),
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
        validation.load_objects([('f.ini', text)])
    except ExceptionGroup as group:
        return findings.format_group(group)
    return []


class ValidationTest(unittest.TestCase):
    def test_faults(self):
        for label, old, new, line_number, message in CASES:
            with self.subTest(label):
                lines = _lines(VALID.replace(old, new, 1))
                location = f'f.ini:{line_number}:'
                self.assertTrue(
                    any(
                        line.startswith(location) and message in line
                        for line in lines
                    ),
                    lines,
                )

    def test_faults_are_reported_together(self):
        text = VALID.replace('20 Mbit/s', '20').replace('8 kbit/s', 'x')
        self.assertEqual(2, len(_lines(text)))

    def test_valid_objects(self):
        self.assertEqual([], _lines(VALID))

    def test_examples(self):
        for path in sorted(EXAMPLES.glob('*.ini')):
            with self.subTest(path.name):
                validation.load_objects([(path.name, path.read_text('utf-8'))])

    def test_required_keys_in_two_files(self):
        text = '[teams]\nrequired = yes\n'
        with self.assertRaises(ExceptionGroup) as caught:
            validation.load_objects([('f.ini', text), ('g.ini', text)])
        self.assertEqual(
            ['g.ini:1: [teams] duplicate object'],
            findings.format_group(caught.exception),
        )

    def test_parts_round_trip(self):
        text = VALID + '[teams]\nrequired = yes\n'
        all_objects = validation.load_objects([('f.ini', text)])
        self.assertTrue(all_objects.requires_keys)
        parts = snapshot.encode_parts(all_objects)
        manifest = snapshot.Manifest(7, tuple(parts), 'mark', 'me')
        decoded = snapshot.Version.from_parts(manifest, list(parts.values()))
        self.assertEqual(snapshot.Version(7, all_objects), decoded)
        with self.assertRaises(snapshot.CorruptPartError):
            snapshot.Version.from_parts(manifest, [b'other'])
