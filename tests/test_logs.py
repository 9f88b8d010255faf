"""Check that logging never waits, whoever reads."""

import json
import os
import unittest

from jayflow import logs


class SinkTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.now = 0.0
        self.sink = logs.Sink(writer, lambda: self.now)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def test_a_pipe_that_nobody_reads_costs_lines(self):
        line = json.dumps({'text': 'x' * 1000})
        for _ in range(1000):
            self.now += 1.0
            self.sink.write(line)
        self.assertGreater(self.sink.dropped, 900)
        kept = os.read(self.reader, 1 << 20).decode().splitlines()
        self.assertEqual({line}, set(kept), 'no line is torn')

    def test_the_rate_is_bounded(self):
        for _ in range(2000):
            self.sink.write('x')
        written = len(os.read(self.reader, 1 << 20).splitlines())
        self.assertEqual(logs.BURST_LINES, written)
        self.assertEqual(2000 - logs.BURST_LINES, self.sink.dropped)

    def test_a_closed_pipe_is_no_fault(self):
        reader, writer = os.pipe()
        sink = logs.Sink(writer, lambda: self.now)
        os.close(reader)
        sink.write('x')
        self.assertEqual(1, sink.dropped)
        os.close(writer)

    def test_a_long_line_is_cut(self):
        self.sink.write('x' * 10 * logs.MAX_LINE_BYTES)
        data = os.read(self.reader, 1 << 20)
        self.assertEqual(logs.MAX_LINE_BYTES, len(data))
