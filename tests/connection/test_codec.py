"""Check that deep data is reported as malformed or cut, never an exception.

msgspec raises RecursionError for it, which once ended the process.
"""

import json
import unittest
import zlib

import msgspec

from jayflow.connection import codec
from jayflow.connection import messages

DEEP = b'[' * 50_000 + b']' * 50_000
DEEP_OBJECTS = b'{"a":' * 50_000 + b'0' + b'}' * 50_000
TEXT = json.dumps('[[{"' * 500).encode()
# Title, a list of documents, and the number of them that stay as they are.
COLLECTIONS = [
    ('a deep one between two', b'[1,%b,2]' % DEEP, [0, 2]),
    ('deep objects', b'[%b,{"b":[2]}]' % DEEP_OBJECTS, [1]),
    ('brackets in a text', b'[%b,%b,[[3]]]' % (TEXT, DEEP), [0, 2]),
    ('two deep ones', b'[%b,%b,4]' % (DEEP, DEEP_OBJECTS), [2]),
    ('a deep one in an object', b'[{"x":%b,"y":1},5]' % DEEP, [1]),
]


class CodecTest(unittest.TestCase):
    def test_a_deep_document_spoils_no_other_of_a_collection(self):
        for title, data, intact in COLLECTIONS:
            with self.subTest(title):
                rows = codec.decode_collection(data, list[msgspec.Raw])
                whole = data.replace(DEEP, b'0').replace(DEEP_OBJECTS, b'0')
                expected = json.loads(whole)
                self.assertEqual(len(expected), len(rows))
                for index in intact:
                    self.assertEqual(
                        expected[index], json.loads(bytes(rows[index]))
                    )

    def test_deep_data_is_malformed(self):
        cases = [
            ('json', lambda: codec.decode_json(DEEP, msgspec.Raw)),
            ('unbalanced', lambda: codec.decode_collection(DEEP[1:], list)),
            ('request', lambda: messages.decode_request(b'\x91' * 50_000)),
            ('reply', lambda: messages.decode_reply(b'\x91' * 50_000)),
        ]
        for title, decode in cases:
            with self.subTest(title), self.assertRaises(msgspec.DecodeError):
                decode()


class CompressedDataTest(unittest.TestCase):
    def test_a_peer_can_not_make_a_node_expand_data_without_end(self):
        bomb = zlib.compress(b'0' * (codec.MAX_DECOMPRESSED_BYTES + 1))
        whole = codec.compress(b'{"version": 1}')
        self.assertEqual(b'{"version": 1}', codec.decompress(whole))
        for title, data in (
            ('too large', bomb),
            ('truncated', whole[:-1]),
            ('not compressed', b'{"version": 1}'),
            ('empty', b''),
        ):
            with self.subTest(title), self.assertRaises(ValueError):
                codec.decompress(data)
