"""Test what the comparison of two configurations reports.

Guards against a difference that is not shown, and against an effect that is
not the one that the nodes will show.
"""

import unittest

import hypothesis
from hypothesis import strategies

from jayflow.version import diff
from jayflow.version import objects
from jayflow.version import validation

KEY_A, KEY_B = 'a' * 64, 'b' * 64
OLD = f"""[region a]
[region b]
[data_centre a1]
region = a
[policy p]
[policy slow]
deadline = 9 s
[service s]
policy = p
[service next]
policy = p
[route root]
host = x.example
path = /
service = s
[route shop]
host = x.example
path = /shop
service = s
[team t]
key-digests = {KEY_A}
rate = 10
burst = 5
[team u]
key-digests = {KEY_B}
"""
SHOP = """[route shop]
host = x.example
path = /shop
service = s
"""
TEAMS = OLD[OLD.index('[team t]') :]
REQUIRED = '[teams]\nrequired = yes\n'
# Title, text, replacement, and the lines of the report.
CASES = [
    (
        'a route moves to another service',
        SHOP,
        SHOP.replace('service = s', 'service = next'),
        [
            '~ [route shop] changed',
            '    service: s -> next',
            "    => requests to x.example/shop move from 's' to 'next'",
        ],
    ),
    (
        'a removed route leaves its requests to a shorter one',
        SHOP.replace('service = s', 'service = next'),
        '',
        [
            '- [route shop] removed',
            "    => requests to x.example/shop move from 'next' to 's'",
        ],
    ),
    (
        'a removed route of the same service moves nothing',
        SHOP,
        '',
        ['- [route shop] removed'],
    ),
    (
        'an added host',
        SHOP,
        SHOP + SHOP.replace('route shop', 'route y').replace('x.', 'y.'),
        [
            '+ [route y] added',
            "    => requests to y.example/shop go to 's', before: refused "
            '(no route)',
        ],
    ),
    (
        'a route leaves its path',
        'path = /\n',
        'path = /z\n',
        [
            '~ [route root] changed',
            '    path: / -> /z',
            '    => requests to x.example/ are refused (no route), before: '
            "'s'",
        ],
    ),
    (
        'a split',
        SHOP,
        SHOP + 'split = s 90, next 10\n',
        [
            '~ [route shop] changed',
            '    split: none -> s 90, next 10',
            "    => requests to x.example/shop move from 's' to 's' (0.9 of "
            "all), 'next' (0.1 of all)",
        ],
    ),
    (
        'a split whose only service is the same moves nothing',
        SHOP,
        SHOP + 'split = s 100, next 0\n',
        ['~ [route shop] changed', '    split: none -> s 100, next 0'],
    ),
    (
        'a public route in one region',
        SHOP,
        SHOP + 'public = yes\nregions = a\n',
        [
            '~ [route shop] changed',
            '    public: no -> yes',
            '    regions: none -> a',
            "    => requests need no team's key",
            '    => requests lose the servers in b',
        ],
    ),
    (
        'a policy of a route',
        SHOP,
        SHOP + 'policy = slow\n',
        [
            '~ [route shop] changed',
            '    policy: none -> slow',
            "    => requests change from policy the service's to 'slow'",
        ],
    ),
    (
        'a revoked key',
        KEY_A,
        'c' * 64,
        [
            '~ [team t] changed',
            '    key-digests: aaaaaaaaaaaa -> cccccccccccc',
            '    => loses key aaaaaaaaaaaa: requests with it are refused',
            '    => gains key cccccccccccc',
        ],
    ),
    (
        'a key moves to another team',
        f'{KEY_A}\nrate = 10\nburst = 5\n[team u]\nkey-digests = {KEY_B}',
        f'{"c" * 64}\nrate = 10\nburst = 5\n[team u]\n'
        f'key-digests = {KEY_B}, {KEY_A}',
        [
            '~ [team t] changed',
            '    key-digests: aaaaaaaaaaaa -> cccccccccccc',
            "    => loses key aaaaaaaaaaaa: its requests count for team 'u'",
            '    => gains key cccccccccccc',
            '~ [team u] changed',
            '    key-digests: bbbbbbbbbbbb -> bbbbbbbbbbbb, aaaaaaaaaaaa',
            "    => gains key aaaaaaaaaaaa of team 't'",
        ],
    ),
    (
        'a limit of a team',
        'rate = 10',
        'rate = 0',
        [
            '~ [team t] changed',
            '    rate: 10 -> 0',
            '    => requests per second: from 10 to none',
        ],
    ),
    (
        'a limit of a policy',
        '[policy p]\n',
        '[policy p]\nhedge-share = 0.05\n',
        [
            '~ [policy p] changed',
            '    hedge-share: none -> 0.05',
            '    => hedges per request: from none to 0.05',
            '    => for routes: root, shop',
        ],
    ),
    (
        'hedging is turned off',
        'deadline = 9 s\n',
        'deadline = 9 s\nhedge-share = 0\n',
        [
            '~ [policy slow] changed',
            '    hedge-share: none -> 0',
            '    => hedges per request: from none to 0',
            '    => for routes: none',
        ],
    ),
    (
        'the last team leaves',
        TEAMS,
        '',
        [
            '- [team t] removed',
            '    => loses key aaaaaaaaaaaa: requests with it are refused',
            '    => no route needs a key any more',
            '- [team u] removed',
            '    => loses key bbbbbbbbbbbb: requests with it are refused',
            '    => no route needs a key any more',
        ],
    ),
    (
        'the last team leaves and keys stay required',
        TEAMS,
        REQUIRED,
        [
            '- [team t] removed',
            '    => loses key aaaaaaaaaaaa: requests with it are refused',
            '    => no team is left; only public routes are served',
            '- [team u] removed',
            '    => loses key bbbbbbbbbbbb: requests with it are refused',
            '    => no team is left; only public routes are served',
            '~ [teams] changed',
            '    required: no -> yes',
            '    => no team is left; only public routes are served',
        ],
    ),
    (
        'keys are required beside teams that need them anyway',
        TEAMS,
        TEAMS + REQUIRED,
        ['~ [teams] changed', '    required: no -> yes'],
    ),
    ('nothing', SHOP, SHOP, []),
]


def _load(text: str) -> objects.ObjectSet:
    return validation.load_objects([('f.ini', text)])


class DiffTest(unittest.TestCase):
    def test_differences(self):
        for title, text, replacement, expected in CASES:
            with self.subTest(title):
                old_text = OLD
                if text not in old_text:
                    old_text = OLD.replace(SHOP, text)
                self.assertIn(text, old_text)
                new = _load(old_text.replace(text, replacement, 1))
                changes = diff.compare(_load(old_text), new)
                self.assertEqual(expected, diff.format_lines(changes))

    def test_a_key_is_shown_only_in_part(self):
        new = _load(OLD.replace(KEY_A, 'c' * 64))
        lines = '\n'.join(diff.format_lines(diff.compare(_load(OLD), new)))
        self.assertNotIn('a' * 13, lines)

    def test_the_first_team_makes_keys_necessary(self):
        old = _load(OLD[: OLD.index('[team t]')])
        lines = diff.format_lines(diff.compare(old, _load(OLD)))
        self.assertIn(
            '    => routes that are not public now need a key', lines
        )

    def test_keys_that_are_no_longer_required(self):
        old = objects.ObjectSet(requires_keys=True)
        changes = diff.compare(old, objects.ObjectSet())
        self.assertEqual(
            [
                '~ [teams] changed',
                '    required: yes -> no',
                '    => no route needs a key any more',
            ],
            diff.format_lines(changes),
        )

    def test_limits_of_callers(self):
        old = _load(OLD)
        new = objects.ObjectSet(limits=objects.Limits(body_bytes=100))
        changes = diff.compare(objects.ObjectSet(), new)
        self.assertEqual(
            [
                '~ [limits] changed',
                '    body-bytes: none -> 100',
                '    => the size of a body (B): from none to 100',
            ],
            diff.format_lines(changes),
        )
        self.assertEqual([], diff.compare(old, old))

    @hypothesis.given(
        removed=strategies.sets(
            strategies.sampled_from(
                ['route root', 'route shop', 'team t', 'team u']
            )
        )
    )
    def test_swapped_sets_give_the_opposite_changes(self, removed):
        sections = OLD.split('[')
        text = '['.join(
            row for row in sections if row.partition(']')[0] not in removed
        )
        old, new = _load(OLD), _load(text)
        forward = {
            f'{row.kind} {row.name}': row.change
            for row in diff.compare(old, new)
        }
        backward = {
            f'{row.kind} {row.name}': row.change
            for row in diff.compare(new, old)
        }
        removal = diff.ChangeKind.REMOVED
        self.assertEqual(dict.fromkeys(removed, removal), forward)
        addition = diff.ChangeKind.ADDED
        self.assertEqual(dict.fromkeys(removed, addition), backward)


if __name__ == '__main__':
    unittest.main()
