"""Check that logging never blocks, even if nobody reads its output."""

import json
import os
import unittest

from jayflow import logs
import structlog


class NonBlockingLoggerTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.now = 0.0
        self.logger = logs.NonBlockingLogger(writer, lambda: self.now)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def test_drops_lines_when_the_pipe_is_full(self):
        line = json.dumps({'text': 'x' * 1000})
        for _ in range(1000):
            self.now += 1.0
            self.logger.write(line)
        self.assertGreater(self.logger.dropped, 900)
        written = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertEqual(
            {line}, set(written), 'every line is written completely or dropped'
        )

    def test_drops_lines_over_the_burst_limit(self):
        for _ in range(2000):
            self.logger.write('x')
        written = len(os.read(self.reader, 1 << 20).splitlines())
        self.assertEqual(logs.MAX_BURST_LINES, written)
        self.assertEqual(2000 - logs.MAX_BURST_LINES, self.logger.dropped)

    def test_drops_a_line_when_the_reader_closed_the_pipe(self):
        reader, writer = os.pipe()
        logger = logs.NonBlockingLogger(writer, lambda: self.now)
        os.close(reader)
        logger.write('x')
        self.assertEqual(1, logger.dropped)
        os.close(writer)

    def test_a_line_with_long_values_stays_valid_json(self):
        # A line that was cut in the middle was skipped by "explain".
        renderer = logs.bound_length(structlog.processors.JSONRenderer())
        for title, fields in (
            ('short', {'path': '/x'}),
            ('long path', {'path': '/' + 'x' * 9000}),
            ('long list', {'services': ['s' * 100] * 100}),
            ('escaped characters', {'path': '\u1f60' * 9000}),
            ('many values', {f'k{n}': 'x' * 300 for n in range(30)}),
        ):
            with self.subTest(title):
                line = renderer(None, 'info', {'id': 'r1', **fields})
                self.assertLess(len(line.encode()), logs.MAX_LINE_BYTES)
                self.assertEqual('r1', json.loads(line)['id'])

    def test_cuts_a_long_line(self):
        self.logger.write('x' * 10 * logs.MAX_LINE_BYTES)
        data = os.read(self.reader, 1 << 20)
        self.assertEqual(logs.MAX_LINE_BYTES, len(data))
