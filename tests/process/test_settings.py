"""Check that all faults of a settings file are reported together."""

import unittest

from jayflow.process import settings
from jayflow.version import findings

SOUND = """[node]
name = n1
data-centre = dc1
http = 127.0.0.1:1
peer = 127.0.0.1:2
announce = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
"""
SIX_FAULTS = """[node]
name = N 1
http = 127.0.0.1
peer = 127.0.0.1:2
announce = 10.0.0.1:2
color = blue
[platform]
address = 127.0.0.1:4
call-deadline = 2
[unknown]
"""
CASES = [
    ('no section', '[platform]\naddress = 127.0.0.1:4\n', '', 'missing'),
    ('port', ':4', ':70000', 'expected HOST:PORT'),
    ('same address', ':2', ':1', 'the same address as http'),
    ('not loopback', '127.0.0.1:3', '10.0.0.1:3', 'loopback'),
    ('level', '[node]', '[logs]\nlevel = loud\n[node]', 'expected one of'),
    ('no key', 'name = n1\n', '', "missing key 'name'"),
    ('twice', 'name = n1', 'name = n1\nname = n2', "duplicate key 'name'"),
]


def _lines(text: str) -> list[str]:
    try:
        settings.Settings.from_text('node.ini', text)
    except ExceptionGroup as group:
        return findings.lines_of(group)
    return []


class SettingsTest(unittest.TestCase):
    def test_sound(self):
        cfg = settings.Settings.from_text('node.ini', SOUND)
        self.assertEqual(('127.0.0.1', 2), tuple(cfg.peer))

    def test_faults(self):
        for title, old, new, text in CASES:
            with self.subTest(title):
                lines = _lines(SOUND.replace(old, new, 1))
                self.assertTrue(any(text in row for row in lines), lines)

    def test_six_faults_at_once(self):
        places = [row.split()[0] for row in _lines(SIX_FAULTS)]
        expected = [1, 2, 3, 5, 6, 9, 10]
        self.assertEqual([f'node.ini:{n}:' for n in expected], places)
