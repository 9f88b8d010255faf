"""Test which responses may continue a transfer that was cut off."""

import unittest

from jayflow.request.decisions import transfer_resume

HEAD = [(b'etag', b'"v1"'), (b'content-length', b'100')]
# Status, content-range and etag of the next response after 40 of 100 bytes,
# and whether it continues the transfer.
CONTINUATIONS = [
    ('the missing bytes', 206, b'bytes 40-99/100', b'"v1"', True),
    ('the complete content again', 200, b'bytes 40-99/100', b'"v1"', False),
    ('a later first byte', 206, b'bytes 41-99/100', b'"v1"', False),
    ('fewer bytes', 206, b'bytes 40-98/100', b'"v1"', False),
    ('another length', 206, b'bytes 40-99/101', b'"v1"', False),
    ('another version', 206, b'bytes 40-99/100', b'"v2"', False),
]
RESUMABLE = [
    ('a complete response', 'GET', 200, HEAD, True),
    ('no validator', 'GET', 200, HEAD[1:], False),
    ('a weak validator', 'GET', 200, [(b'etag', b'W/"v1"'), HEAD[1]], False),
    ('no length', 'GET', 200, HEAD[:1], False),
    ('not a GET request', 'POST', 200, HEAD, False),
    ('an error response', 'GET', 500, HEAD, False),
]


class ResumableTransferTest(unittest.TestCase):
    def test_only_the_missing_bytes_continue_a_transfer(self):
        transfer = transfer_resume.ResumableTransfer.from_headers(
            'GET', 200, HEAD
        )
        for title, status, content_range, etag, expected in CONTINUATIONS:
            with self.subTest(title):
                headers = [(b'content-range', content_range), (b'etag', etag)]
                is_continued = transfer.is_continued_by(status, headers, 40)
                self.assertIs(expected, is_continued)

    def test_resuming_needs_a_strong_validator_and_a_length(self):
        for title, method, status, headers, expected in RESUMABLE:
            with self.subTest(title):
                transfer = transfer_resume.ResumableTransfer.from_headers(
                    method, status, headers
                )
                self.assertIs(expected, transfer is not None)
