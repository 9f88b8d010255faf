"""Check that all faults of a settings file are reported together."""

import pathlib
import tempfile
import unittest

from jayflow.process import live_settings
from jayflow.process import settings
from jayflow.version import findings

VALID = """[node]
name = n1
data-centre = dc1
http = 127.0.0.1:1
peer = 127.0.0.1:2
announce = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
"""
MANY_FAULTS = """[node]
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
    ('missing section', '[platform]\naddress = 127.0.0.1:4\n', '', 'missing'),
    ('port', ':4', ':70000', 'expected HOST:PORT'),
    ('same address', ':2', ':1', 'the same address as http'),
    (
        'metrics on the address of the callers',
        '[platform]',
        '[metrics]\naddress = 127.0.0.1:1\n[platform]',
        'the same address as http',
    ),
    ('not loopback', '127.0.0.1:3', '10.0.0.1:3', 'loopback'),
    ('level', '[node]', '[logs]\nlevel = loud\n[node]', 'expected one of'),
    (
        'a limit on hedges below 0',
        '[platform]',
        'hedge-share = -0.1\n[platform]',
        'expected a number of 0 or more',
    ),
    ('missing key', 'name = n1\n', '', "missing key 'name'"),
    (
        'duplicate key',
        'name = n1',
        'name = n1\nname = n2',
        "duplicate key 'name'",
    ),
]


def _lines(text: str) -> list[str]:
    try:
        settings.Settings.from_text('node.ini', text)
    except ExceptionGroup as group:
        return findings.format_group(group)
    return []


class SettingsTest(unittest.TestCase):
    def test_valid_settings(self):
        cfg = settings.Settings.from_text('node.ini', VALID)
        self.assertEqual(('127.0.0.1', 2), tuple(cfg.peer))

    def test_the_limit_on_hedges(self):
        # 0 turns hedging off; without the key there is no limit.
        for line, expected in (
            ('', None),
            ('hedge-share = 0\n', 0.0),
            ('hedge-share = 0.05\n', 0.05),
            ('hedge-share = 2\n', 2.0),
        ):
            with self.subTest(line):
                text = VALID.replace('[platform]', f'{line}[platform]')
                cfg = settings.Settings.from_text('node.ini', text)
                self.assertEqual(expected, cfg.hedge_share)

    def test_a_reload_changes_the_limit_on_hedges(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / 'node.ini'
        path.write_text(VALID, encoding='utf-8')
        live = live_settings.LiveSettings(settings.Settings.from_file(path))
        path.write_text(
            VALID.replace('[platform]', 'hedge-share = 0.02\n[platform]'),
            encoding='utf-8',
        )
        live.reload()
        self.assertEqual(0.02, live.current.hedge_share)

    def test_single_faults(self):
        for title, old, new, expected in CASES:
            with self.subTest(title):
                lines = _lines(VALID.replace(old, new, 1))
                self.assertTrue(any(expected in line for line in lines), lines)

    def test_many_faults_are_reported_at_once(self):
        locations = [line.split()[0] for line in _lines(MANY_FAULTS)]
        expected = [1, 2, 3, 5, 6, 9, 10]
        self.assertEqual([f'node.ini:{n}:' for n in expected], locations)
