"""Test the output and the exit codes of check and diff.

Guards against a script that takes a failure for a difference, or a warning
for a fault.
"""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from unittest import mock

from jayflow import cli
from jayflow.process import fleet_client

VALID = """[region a]
[policy p]
[service s]
policy = p
[route r]
host = x.example
service = s
"""
WARNED = VALID.replace('policy = p\n', 'policy = p\ncold-rate = 5\n')
FAULTY = VALID.replace('policy = p\n', 'policy = q\n')
WARNING_TEXT = 'cold-rate has no effect without a cold-start'
# Title, text of the file, options, exit code, text in stdout and in stderr.
CHECKS = [
    ('valid', VALID, [], 0, 'All objects are valid', ''),
    (
        'warned',
        WARNED,
        [],
        0,
        'All objects are valid',
        f'warning: {WARNING_TEXT}',
    ),
    ('strict and valid', VALID, ['--strict'], 0, 'are valid', ''),
    ('strict and warned', WARNED, ['--strict'], 5, 'are valid', WARNING_TEXT),
    ('faulty', FAULTY, [], 2, '', "no such object 'q'"),
    ('strict and faulty', FAULTY, ['--strict'], 2, '', "no such object 'q'"),
]
JSON_CHECKS = [
    ('valid', VALID, 0, 0, 0),
    ('warned', WARNED, 0, 0, 1),
    ('faulty', FAULTY, 2, 1, 0),
]


class ConfigurationCommandsTest(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text, encoding='utf-8')
        return str(path)

    def run_command(self, *args: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main(list(args))
        return int(code), out.getvalue(), err.getvalue()

    def test_check(self):
        for title, text, options, code, out_text, err_text in CHECKS:
            with self.subTest(title):
                path = self.write('a.ini', text)
                result, out, err = self.run_command('check', path, *options)
                self.assertEqual(code, result)
                self.assertIn(out_text, out)
                self.assertIn(err_text, err)
                if not err_text:
                    self.assertEqual('', err)

    def test_check_as_json(self):
        for title, text, code, errors, warnings in JSON_CHECKS:
            with self.subTest(title):
                path = self.write('a.ini', text)
                result, out, err = self.run_command('check', '--json', path)
                self.assertEqual((code, ''), (result, err))
                document = json.loads(out)
                self.assertEqual(errors, len(document['errors']))
                self.assertEqual(warnings, len(document['warnings']))
        path = self.write('a.ini', WARNED)
        _, out, _ = self.run_command('check', '--json', path)
        self.assertEqual(
            [
                {
                    'file': path,
                    'line': 5,
                    'section': 'service s',
                    'text': WARNING_TEXT,
                }
            ],
            json.loads(out)['warnings'],
        )

    def test_diff(self):
        old = self.write('old/a.ini', VALID)
        new = self.write('new/a.ini', WARNED)
        faulty = self.write('faulty.ini', FAULTY)
        (self.folder / 'empty').mkdir()
        for title, args, code, out_text, err_text in (
            ('equal files', [old, old], 0, 'No difference.', ''),
            ('files', [old, new], 1, 'cold-rate: 0 -> 5', ''),
            (
                'directories',
                [str(self.folder / 'old'), str(self.folder / 'new')],
                1,
                'requests per second to a cold server: from none to 5',
                '',
            ),
            ('no such file', [old, 'absent.ini'], 2, '', 'absent.ini'),
            (
                'an empty directory',
                [str(self.folder / 'empty'), new],
                2,
                '',
                'no .ini file',
            ),
            ('a faulty file', [old, faulty], 2, '', "no such object 'q'"),
            ('one path', [old], 2, '', 'OLD and NEW'),
            ('three paths', [old, new, new], 2, '', 'OLD and NEW'),
        ):
            with self.subTest(title):
                result, out, err = self.run_command('diff', *args)
                self.assertEqual(code, result, err)
                self.assertIn(out_text, out)
                self.assertIn(err_text, err)

    def test_diff_as_json(self):
        old = self.write('old.ini', VALID)
        new = self.write('new.ini', WARNED)
        code, out, _ = self.run_command('diff', '--json', old, new)
        self.assertEqual(1, code)
        self.assertEqual(
            [
                {
                    'kind': 'service',
                    'name': 's',
                    'change': 'changed',
                    'keys': [{'key': 'cold-rate', 'old': '0', 'new': '5'}],
                    'effects': [
                        'requests per second to a cold server: from none to 5'
                    ],
                }
            ],
            json.loads(out)['changes'],
        )
        code, out, _ = self.run_command('diff', '--json', old, old)
        self.assertEqual((0, {'changes': []}), (code, json.loads(out)))

    def test_an_unreachable_platform_is_not_a_difference(self):
        path = self.write('a.ini', VALID)
        # Nothing listens on port 1 of loopback.
        args = ['diff', '--platform', '127.0.0.1:1', path]
        with mock.patch.object(fleet_client, 'PUBLISH_TIMEOUT_S', 0.3):
            code, _, _ = self.run_command(*args)
        self.assertEqual(2, code)


if __name__ == '__main__':
    unittest.main()
