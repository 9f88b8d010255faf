"""Answer calls of the platform with numbers that no message can hold.

A revision beyond 64 bits was read, and the next write that named it raised an
OverflowError, which ended the node process.
"""

import json
import unittest

from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow.platform import configuration
from jayflow.platform import metadata_store

KEY = members.KEY_PREFIX + 'n1'
LARGE = 2**64
LARGEST = 2**63 - 1
# Title, number, whether it is accepted.
CASES = [
    ('largest', LARGEST, True),
    ('beyond 63 bits', LARGEST + 1, False),
    ('beyond 64 bits', LARGE, False),
    ('400 digits', 10**400, False),
    ('negative', -1, False),
    ('fraction', 1.5, False),
]
ETAG_CASES = [
    ('a number', b'"12"', 12),
    ('no number', b'"abc"', None),
    ('empty', b'', None),
    ('400 digits', b'1' * 400, None),
    ('5000 digits', b'1' * 5000, None),
]
VERSION_CASES = [
    ('largest', f'r{LARGEST}', True),
    ('beyond 63 bits', f'r{LARGEST + 1}', False),
    ('negative', 'r-1', False),
    ('5000 digits', 'r' + '1' * 5000, False),
]


class FakeClient:
    def __init__(self, body: dict) -> None:
        self._body = json.dumps(body).encode()

    async def call(self, method, path, **kwargs):
        return api.Response(200, [], self._body)


class OddNumbersTest(unittest.IsolatedAsyncioTestCase):
    async def _read(self, call, is_accepted) -> None:
        if is_accepted:
            await call
            return
        with self.assertRaises(api.PlatformError):
            await call

    async def test_an_odd_revision_of_the_store_was_used_in_a_write(self):
        for title, number, is_accepted in CASES:
            item = {'metadata': {'name': 'n1', 'revision': number}, 'spec': 1}
            page = {'items': [], 'store_revision': number}
            batch = {'events': [], 'store_revision': number}
            with self.subTest(title):
                for body, read in (
                    (item, lambda store: store.get(KEY)),
                    (page, lambda store: store.list(members.KEY_PREFIX)),
                    (
                        batch,
                        lambda store: store.watch(members.KEY_PREFIX, 1, 0.1),
                    ),
                ):
                    store = metadata_store.MetadataStoreClient(
                        FakeClient(body)
                    )
                    await self._read(read(store), is_accepted)
                item_only = {'items': [item], 'store_revision': 1}
                store = metadata_store.MetadataStoreClient(
                    FakeClient(item_only)
                )
                listing = await store.list(members.KEY_PREFIX)
                self.assertEqual(is_accepted, bool(listing.entries))

    def test_an_odd_etag_ended_the_watch(self):
        for title, value, expected in ETAG_CASES:
            with self.subTest(title):
                if expected is not None:
                    self.assertEqual(
                        expected, api._revision([(b'etag', value)])
                    )
                    continue
                with self.assertRaises(api.UnavailableError):
                    api._revision([(b'etag', value)])

    def test_an_odd_version_number_could_not_be_sent(self):
        decode = configuration.create_version_decoder(_Settings())
        table = {'columns': [], 'rows': []}
        for title, version, is_accepted in VERSION_CASES:
            document = {
                'version': version,
                'routes': table,
                'services': table,
            }
            with self.subTest(title):
                data = json.dumps(document).encode()
                if is_accepted:
                    self.assertEqual(LARGEST, decode(data).number)
                    continue
                with self.assertRaises(ValueError):
                    decode(data)


class _Settings:
    retry_share = None
    regions = {}
