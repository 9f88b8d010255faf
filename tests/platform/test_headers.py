"""Check what an answer's head amounts to."""

import unittest

from jayflow.connection import messages
from jayflow.platform import headers
from jayflow.request import dialect as dialects

ID = (b'jayflow-request-id', b'1')
SIGNED = (b'jayflow-server-signature', b's')
NOT_RUN = (b'jayflow-not-executed', b'1')
ENCODED = (b'content-encoding', b'gzip')
Judgement = dialects.Judgement

CASES = [
    ('whole success', 200, [ID, SIGNED], Judgement.ANSWER),
    ('success without signature', 200, [ID], Judgement.INVALID),
    ('success without id', 200, [SIGNED], Judgement.INVALID),
    ('encoded', 200, [ID, SIGNED, ENCODED], Judgement.INVALID),
    ('own failure', 500, [ID, SIGNED], Judgement.ANSWER),
    ('shed', 503, [NOT_RUN], Judgement.NOT_RUN),
    ('shed with an id', 503, [ID, NOT_RUN], Judgement.NOT_RUN),
    ('busy without the promise', 503, [ID, SIGNED], Judgement.ANSWER),
    ('other instance', 421, [], Judgement.WRONG_INSTANCE),
]
LOADS = [
    ('three figures', b'3,0,8', messages.Report(3, 0, 8, 1.0)),
    ('with slowness', b'3,1,8,700', messages.Report(3, 1, 8, 7.0)),
    ('garbled', b'3,x,8', None),
    ('too few', b'3', None),
    ('negative', b'-3,0,8', None),
]


class HeadersTest(unittest.TestCase):
    def test_judgements(self):
        for title, status, rows, expected in CASES:
            with self.subTest(title):
                self.assertIs(expected, headers.classify(status, rows))

    def test_loads(self):
        for title, value, expected in LOADS:
            with self.subTest(title):
                found = headers.load_report_of(
                    [(b'jayflow-server-load', value)]
                )
                self.assertEqual(expected, found)
        self.assertIsNone(headers.load_report_of([]))

    def test_a_callers_own_service_header_is_replaced(self):
        rows = [(b'jayflow-caller-service', b'forged'), ID]
        found = headers.DIALECT.inbound(rows, 'shop')
        self.assertEqual([ID, (b'jayflow-caller-service', b'shop')], found)
