"""Test the warnings of configuration checks, with file and line.

Guards against mistakes that validation accepts and that show only when
requests are refused, and against warnings of objects that are right.
"""

import pathlib
import unittest

from jayflow.version import findings as diagnostics
from jayflow.version import inifile
from jayflow.version import lint
from jayflow.version import objects
from jayflow.version import validation

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
DIGEST = 'a' * 64
VALID = f"""[region a]
[region b]
[region empty]
[data_centre a1]
region = a
[data_centre b1]
region = b
[policy p]
deadline = 2 s
try-timeout = 1 s
queue-time = 50 ms
latency-target = 400 ms
[service s]
policy = p
cold-start = 10 s
cold-rate = 5
[service next]
policy = p
[route r]
host = x.example
path = /
service = s
split = s 90, next 10
regions = a
[team t]
key-digests = {DIGEST}
rate = 10
burst = 5
regions = a, b
"""
# Title, replaced text, its replacement, line and text of the only warning.
CASES = [
    ('fragment', 'path = /\n', 'path = /a#b\n', 21, "contains '#'"),
    ('query', 'path = /\n', 'path = /a?b\n', 21, "contains '?'"),
    ('space', 'path = /\n', 'path = /a b\n', 21, "contains ' '"),
    ('not ASCII', 'path = /\n', 'path = /ä\n', 21, "contains 'ä'"),
    ('weight', 'next 10', 'next 0', 23, "'next' has a weight of 0"),
    (
        'a region without a data centre',
        'regions = a, b',
        'regions = a, empty',
        29,
        "'empty' contains no data centre",
    ),
    (
        'regions that exclude each other',
        'regions = a, b',
        'regions = b',
        29,
        "none is allowed by route 'r'",
    ),
    ('burst', 'burst = 5', 'burst = 0.5', 28, 'below one request'),
    ('no burst', 'burst = 5\n', '', 25, 'below one request'),
    ('burst without a rate', 'rate = 10\n', '', 27, 'without a rate'),
    (
        'try-timeout',
        'try-timeout = 1 s',
        'try-timeout = 300 ms',
        10,
        'try-timeout of 0.3 s is shorter than the latency-target',
    ),
    (
        'queue-time and try-timeout',
        'queue-time = 50 ms',
        'queue-time = 1 s',
        11,
        'not below the try-timeout',
    ),
    (
        'queue-time and target',
        'latency-target = 400 ms',
        'latency-target = 1 s\nqueue-time = 1.5 s\ntry-timeout = 2 s',
        13,
        'exceed the deadline of 2 s',
    ),
    ('cold rate alone', 'cold-start = 10 s\n', '', 15, 'without a cold-start'),
    ('cold start alone', 'cold-rate = 5\n', '', 15, 'without a cold-rate'),
]


def _lines(text: str) -> list[str]:
    loaded = validation.load_with_sections([('f.ini', text)])
    return [str(finding) for finding in lint.find_warnings(loaded)]


class LintTest(unittest.TestCase):
    def test_warnings(self):
        for title, old, new, line_number, message in CASES:
            with self.subTest(title):
                text = VALID
                if title == 'queue-time and target':
                    text = text.replace('queue-time = 50 ms\n', '')
                    text = text.replace('try-timeout = 1 s\n', '')
                    line_number -= 2
                self.assertIn(old, text)
                lines = _lines(text.replace(old, new, 1))
                self.assertEqual(1, len(lines), lines)
                self.assertTrue(
                    lines[0].startswith(f'f.ini:{line_number}:'), lines
                )
                self.assertIn(message, lines[0])

    def test_a_deadline_shorter_than_the_target(self):
        text = VALID.replace('deadline = 2 s', 'deadline = 300 ms')
        text = text.replace('try-timeout = 1 s', 'try-timeout = 300 ms')
        lines = _lines(text)
        self.assertEqual(
            [
                'f.ini:9: [policy p] deadline of 0.3 s is shorter than the '
                'latency-target of 0.4 s',
                'f.ini:10: [policy p] try-timeout of 0.3 s is shorter than '
                'the latency-target of 0.4 s',
            ],
            lines,
        )

    def test_only_regions_without_a_data_centre(self):
        lines = _lines(VALID.replace('regions = a\n', 'regions = empty\n'))
        self.assertEqual(3, len(lines), lines)
        self.assertIn("'empty' contains no data centre", lines[0])
        self.assertIn('no server can run the requests', lines[1])
        self.assertIn("none is allowed by route 'r'", lines[2])

    def test_a_public_route_does_not_exclude_teams(self):
        text = VALID.replace('regions = a, b', 'regions = b')
        self.assertEqual([], _lines(text.replace('path = /', 'public = yes')))

    def test_teams_without_any_key(self):
        # Files need a key for each team; the platform's objects may lack it.
        teams = {
            name: objects.Team(name, digests)
            for name, digests in (('t', ()), ('u', ()), ('v', (DIGEST,)))
        }
        sections = {
            ('team', name): inifile.Section(
                f'team {name}',
                diagnostics.Location('f.ini', line, f'team {name}'),
                {},
                {},
            )
            for line, name in enumerate(teams, 1)
        }
        loaded = validation.LoadedObjects(
            objects.ObjectSet(team=teams), sections
        )
        lines = [str(finding) for finding in lint.find_warnings(loaded)]
        self.assertEqual(2, len(lines), lines)
        self.assertIn("[team t] the team has no key, like 'u'", lines[0])
        self.assertIn("[team u] the team has no key, like 't'", lines[1])

    def test_required_keys_without_a_team(self):
        teams = VALID[VALID.index('[team t]') :]
        text = VALID.replace(teams, '[teams]\nrequired = yes\n')
        lines = _lines(text)
        self.assertEqual(1, len(lines), lines)
        self.assertTrue(lines[0].startswith('f.ini:26: [teams] '), lines)
        self.assertIn('there is no team', lines[0])
        self.assertEqual([], _lines(VALID + '[teams]\nrequired = yes\n'))

    def test_no_warnings(self):
        self.assertEqual([], _lines(VALID))

    def test_examples(self):
        for path in sorted(EXAMPLES.glob('*.ini')):
            with self.subTest(path.name):
                self.assertEqual([], _lines(path.read_text('utf-8')))


if __name__ == '__main__':
    unittest.main()
