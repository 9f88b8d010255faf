"""Check that only tests named exactly in KNOWN-RED.txt may fail.

Entries once matched by prefix, so a new failing test could hide behind an
old entry.
"""

import unittest

from tests import __main__ as runner

KNOWN = {'tests.a.CrashTest.test_one'}
CASES = [
    ('listed', 'tests.a.CrashTest.test_one', []),
    (
        'same prefix',
        'tests.a.CrashTest.test_one_more',
        ['tests.a.CrashTest.test_one_more'],
    ),
    ('other test', 'tests.b.Test.test', ['tests.b.Test.test']),
]


class KnownRedTest(unittest.TestCase):
    def test_only_exact_names_are_known(self):
        for title, failed, expected in CASES:
            with self.subTest(title):
                self.assertEqual(
                    expected, runner.unexpected_failures([failed], KNOWN)
                )
