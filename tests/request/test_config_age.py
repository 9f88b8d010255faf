"""Check how the age of a configuration is counted and which peer is asked.

A version that counted as fresh for too long would let a revoked key pass; one
that counted as old without reason would refuse requests.
"""

import math
import unittest

from jayflow.request.decisions import config_age

MAX_AGE_S = 5.0
# Records (version, time), version held, time, and the age.
AGES = [
    ('nothing is known', [], 3, 10.0, math.inf),
    ('no version is held', [(3, 9.0)], 0, 10.0, math.inf),
    ('the confirmed version', [(3, 9.0)], 3, 10.0, 1.0),
    ('a higher one, published later', [(3, 9.0)], 4, 10.0, 1.0),
    ('a lower one than the newest', [(4, 9.0)], 3, 10.0, math.inf),
    ('answers in another order', [(3, 9.0), (3, 8.0)], 3, 10.0, 1.0),
    ('a late answer of a lower one', [(4, 8.0), (3, 9.0)], 4, 10.0, 2.0),
    ('a newer confirmation', [(3, 8.0), (4, 9.0)], 4, 10.0, 1.0),
]
FRESHNESS = [
    ('unbounded and unknown', None, None, True),
    ('unknown', 5.0, None, False),
    ('recent', 5.0, 0.0, True),
    ('just below the limit', 5.0, 4.74, True),
    ('above the limit, below the bound', 5.0, 4.76, False),
    ('after a suspension', 5.0, 60.0, False),
]
# Peers by name: in the region, age of the last answer, time of the last query
# and of the end of a skip; then the one to query at 10.0.
SOURCES = [
    ('none', {}, None),
    (
        'the lowest age of the region',
        {'a': (True, 1.0, 9, 0), 'b': (True, 0.5, 9, 0)},
        'b',
    ),
    (
        'the region before others',
        {'a': (False, 0.1, 9, 0), 'b': (True, 1.4, 9, 0)},
        'b',
    ),
    (
        'one that was never queried before a high age',
        {'a': (True, 1.6, 5, 0), 'b': (True, None, -math.inf, 0)},
        'b',
    ),
    (
        'a low age before one that was never queried',
        {'a': (True, 1.4, 9, 0), 'b': (True, None, -math.inf, 0)},
        'a',
    ),
    (
        'another region if this one has no recent age',
        {'a': (True, math.inf, 5, 0), 'b': (False, None, -math.inf, 0)},
        'b',
    ),
    (
        'the lowest of high ages',
        {'a': (True, 1.6, 9, 0), 'b': (True, math.inf, 8, 0)},
        'a',
    ),
    (
        'peers that know nothing in turn',
        {'a': (True, math.inf, 9, 0), 'b': (False, math.inf, 8, 0)},
        'b',
    ),
    (
        'none that is skipped',
        {'a': (True, 0.1, 9, 10.5), 'b': (False, 3.0, 9, 0)},
        'b',
    ),
    ('all are skipped', {'a': (True, 0.1, 9, 10.5)}, None),
]


class ConfigAgeTest(unittest.TestCase):
    def test_the_age_counts_from_the_last_confirmation(self):
        for name, records, held, now, expected in AGES:
            with self.subTest(name):
                age = config_age.ConfigAge(MAX_AGE_S)
                for version, at in records:
                    age.record_confirmed(version, at)
                self.assertEqual(expected, age.age_s(held, now))

    def test_a_version_is_fresh_below_a_share_of_the_bound(self):
        for name, max_age_s, age_s, expected in FRESHNESS:
            with self.subTest(name):
                age = config_age.ConfigAge(max_age_s)
                if age_s is not None:
                    age.record_confirmed(3, 100.0 - age_s)
                self.assertIs(expected, age.is_fresh(3, 100.0))


class ChooseSourceTest(unittest.TestCase):
    def test_the_peer_that_knows_most_is_queried(self):
        for name, rows, expected in SOURCES:
            with self.subTest(name):
                sources = {
                    peer: config_age.Source(*row) for peer, row in rows.items()
                }
                chosen = config_age.choose_source(sources.values(), 10.0)
                self.assertIs(sources.get(expected), chosen)

    def test_a_silent_peer_is_skipped_then_comes_after_useful_ones(self):
        # Else all nodes of a region would return to the overloaded ones.
        silent = config_age.Source(True, 0.1)
        silent.record_silence(10.0)
        useful = config_age.Source(True, 1.4)
        choose = config_age.choose_source
        self.assertIsNone(choose([silent], 11.9))
        self.assertIs(silent, choose([silent], 12.0))
        self.assertIs(useful, choose([silent, useful], 12.0))
