"""Check how the headers of a server's response are interpreted."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec

from jayflow.connection import messages
from jayflow.platform import headers
from jayflow.request import header_dialect
from jayflow.request import headers as http_headers

ID = (b'jayflow-request-id', b'1')
SIGNED = (b'jayflow-server-signature', b's')
NOT_RUN = (b'jayflow-not-executed', b'1')
ENCODED = (b'content-encoding', b'gzip')
ResponseKind = header_dialect.ResponseKind

CASES = [
    ('signed success', 200, [ID, SIGNED], ResponseKind.RESPONSE),
    ('success without signature', 200, [ID], ResponseKind.INVALID),
    ('success without request id', 200, [SIGNED], ResponseKind.INVALID),
    (
        'success with a content encoding',
        200,
        [ID, SIGNED, ENCODED],
        ResponseKind.INVALID,
    ),
    ('signed server error', 500, [ID, SIGNED], ResponseKind.RESPONSE),
    ('signed time-out', 504, [ID, SIGNED], ResponseKind.RESPONSE),
    ('not executed', 503, [NOT_RUN], ResponseKind.NOT_RUN),
    (
        'not executed, with request id',
        503,
        [ID, NOT_RUN],
        ResponseKind.NOT_RUN,
    ),
    # Callers take these statuses for a promise that the request did not run,
    # which the server has not given. They were once passed on.
    (
        '503 without not-executed header',
        503,
        [ID, SIGNED],
        ResponseKind.INVALID,
    ),
    ('429 without it', 429, [ID, SIGNED], ResponseKind.INVALID),
    ('408 without it', 408, [ID, SIGNED], ResponseKind.INVALID),
    ('misdirected request', 421, [], ResponseKind.WRONG_INSTANCE),
]
LARGEST_LOAD = messages.LoadReport(3, 1, 8, 9_999_999.99)
LOADS = [
    ('three figures', b'3,0,8', messages.LoadReport(3, 0, 8, 1.0)),
    ('with slowness', b'3,1,8,700', messages.LoadReport(3, 1, 8, 7.0)),
    ('not a number', b'3,x,8', None),
    ('too few figures', b'3', None),
    ('negative number', b'-3,0,8', None),
    ('largest slowness', b'3,1,8,999999999', LARGEST_LOAD),
    ('figure beyond 64 bits', b'3,0,%d' % 2**64, None),
    ('figure beyond a float', b'0,0,18,' + b'1' * 400, None),
    ('more digits than int() takes', b'0,0,18,' + b'1' * 5000, None),
    ('not finite', b'0,0,18,inf', None),
    ('empty figure', b'0,0,18,', None),
    ('digits of another script', '0,0,18,\u0661'.encode(), None),
]
RATE_LIMITS = [
    ('none', [ID], math.inf),
    ('fraction', [(b'server-limit', b'10.4')], 10.4),
    (
        'long fraction',
        [(b'server-limit', b'10.399999999999999')],
        10.399999999999999,
    ),
    ('whole number', [(b'server-limit', b'7')], 7.0),
    ('zero', [(b'server-limit', b'0')], 0.0),
    ('negative', [(b'server-limit', b'-1')], None),
    ('no number', [(b'server-limit', b'nan')], None),
    ('empty', [(b'server-limit', b'')], None),
    ('too many digits', [(b'server-limit', b'1' * 400)], None),
]
COLD_TIMES = [
    ('missing', [ID], None),
    ('cold', [(b'jayflow-cold-ms', b'1500')], 1.5),
    ('warm', [(b'jayflow-cold-ms', b'0')], 0.0),
    ('negative', [(b'jayflow-cold-ms', b'-1')], None),
    ('fraction', [(b'jayflow-cold-ms', b'1.5')], None),
    ('empty', [(b'jayflow-cold-ms', b'')], None),
    ('too many digits', [(b'jayflow-cold-ms', b'1' * 400)], None),
]
FIGURES = st.text('0123456789,.;-+eE infa\u0661 ', max_size=24) | st.builds(
    lambda digits, count: digits * count,
    st.sampled_from(['1', '9,', '0.1', '-7']),
    st.sampled_from([1, 20, 400, 5000]),
)


class HeadersTest(unittest.TestCase):
    def test_responses_are_classified(self):
        for title, status, rows, expected in CASES:
            with self.subTest(title):
                self.assertIs(expected, headers.classify(status, rows))

    def test_load_reports_are_decoded(self):
        for title, value, expected in LOADS:
            with self.subTest(title):
                report = headers.load_report_of(
                    [(b'jayflow-server-load', value)]
                )
                self.assertEqual(expected, report)
        self.assertIsNone(headers.load_report_of([]))

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(FIGURES)
    def test_an_odd_figure_in_a_header_raised_an_error(self, text):
        value = text.encode()
        rows = [
            (name, value)
            for name in (
                b'jayflow-server-load',
                b'server-limit',
                b'server-leaving',
                b'jayflow-cold-ms',
                b'retry-after',
                b'etag',
                b'content-length',
            )
        ]
        report = headers.load_report_of(rows)
        if report is not None:
            messages.encode(
                messages.Refused(
                    messages.AttemptId(1, 1),
                    '',
                    messages.Load(*msgspec.structs.astuple(report)[:3], 0.0),
                )
            )
            self.assertTrue(math.isfinite(report.slowness))
        headers.rate_limit_of(rows)
        headers.is_leaving(rows)
        cold_s = headers.cold_s_of(rows)
        self.assertTrue(cold_s is None or 0 <= cold_s < math.inf)
        headers.classify(200, rows)
        http_headers.decimal_of(rows, b'retry-after')

    def test_rate_limits_are_decoded(self):
        for title, rows, expected in RATE_LIMITS:
            with self.subTest(title):
                self.assertEqual(expected, headers.rate_limit_of(rows))

    def test_times_for_which_a_server_is_cold_are_decoded(self):
        for title, rows, expected in COLD_TIMES:
            with self.subTest(title):
                self.assertEqual(expected, headers.cold_s_of(rows))

    def test_a_leaving_server_is_recognized(self):
        for value, expected in ((b'1', True), (b'0', False), (b'', False)):
            with self.subTest(value):
                rows = [ID, (b'server-leaving', value)]
                self.assertIs(expected, headers.is_leaving(rows))
        self.assertFalse(headers.is_leaving([ID]))

    def test_a_callers_own_service_header_is_replaced(self):
        rows = [(b'jayflow-caller-service', b'forged'), ID]
        replaced = headers.DIALECT.caller_headers(rows, 'shop')
        self.assertEqual([ID, (b'jayflow-caller-service', b'shop')], replaced)
