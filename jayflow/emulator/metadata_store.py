"""Emulate the users' metadata store, which has objects by kind and name.

Only the protocol differs: the object store, the rate limits and the
faults are those of the emulated platform.
"""

import json
from typing import ClassVar
import urllib.parse

import msgspec

from jayflow.connection import platform as api
from jayflow.emulator import platform

OBJECTS_PATH = '/objects/'
MAX_PAGE_ITEMS = 500


class MetadataStoreApp(platform.PlatformApp):
    """Serve an object store in the protocol of the metadata store."""

    WRITE_METHODS: ClassVar[tuple[str, ...]] = ('POST', 'PUT', 'DELETE')

    def __init__(self, store: platform.ObjectStore) -> None:
        super().__init__(store)
        self.max_page_items = MAX_PAGE_ITEMS
        self.oldest_revision = api.ABSENT
        self.era = 1

    def copy(self) -> platform.StoreCopy:
        """Return a copy of the store, from which it can be restored."""
        return self._store.copy()

    def restore(self, copy: platform.StoreCopy) -> None:
        """Restore the store from a copy, which begins a new era."""
        self._store.restore(copy)
        self.era += 1

    def drop_history(self) -> None:
        """Drop the changes so far; a watch from an older revision gets 410."""
        self.oldest_revision = self._store.revision

    def remove(self, kind: str, name: str) -> None:
        """Delete an object as the platform does, without a client's call."""
        key = f'{kind}/{name}'
        entry = self._store.get(key)
        if entry is not None:
            self._store.delete(key, entry.revision)

    def _response_headers(self):
        return [(b'store-era', str(self.era).encode())]

    async def _call(self, method, path, query, headers, body):
        del headers
        kind, _, name = path.removeprefix(OBJECTS_PATH).partition('/')
        self.calls[method.lower()] += 1
        if method == 'GET' and 'watch' in query:
            return await self._watch_kind(kind, query)
        if method == 'GET' and not name:
            return _json_response(
                200, self._list_page(kind, query.get('after', ''))
            )
        if method == 'GET':
            return self._get_object(f'{kind}/{urllib.parse.unquote(name)}')
        return self._write_object(method, kind, name, query, body)

    def _list_page(self, kind: str, after: str) -> dict:
        documents = [
            _document(entry)
            for entry in self._store.list(f'{kind}/').entries
            if entry.key.partition('/')[2] > after
        ]
        page = documents[: self.max_page_items]
        return {
            'items': page,
            'has_more': len(documents) > len(page),
            'store_revision': self._store.revision,
        }

    def _get_object(self, key: str, status: int = 200):
        entry = self._store.get(key)
        if entry is None:
            return 404, None, b'{}'
        return _json_response(status, _document(entry))

    async def _watch_kind(self, kind, query):
        after = api.Revision(int(query['watch']))
        if after < self.oldest_revision:
            return 410, None, b'{}'
        wait_s = min(platform.MAX_WATCH_S, int(query['wait_ms']) / 1000)
        try:
            batch = await self._store.wait(f'{kind}/', after, wait_s)
        except LookupError:
            return 410, None, b'{}'
        events = [
            {
                'object': _document(change.entry),
                'deleted': change.kind is api.ChangeKind.DELETE,
            }
            for change in batch.changes
        ]
        return _json_response(
            200, {'events': events, 'store_revision': batch.revision}
        )

    def _write_object(self, method, kind, name, query, body):
        document = json.loads(body) if body else {}
        metadata = document.get('metadata', {})
        name = name or metadata.get('name', '')
        key = f'{kind}/{urllib.parse.unquote(name)}'
        entry = self._store.get(key)
        if method == 'POST':
            expected = api.ABSENT
        elif entry is None:
            return 404, None, b'{}'
        else:
            revision = query.get('revision', metadata.get('revision'))
            expected = api.Revision(int(revision or entry.revision))
        value = json.dumps(document.get('spec')).encode()
        try:
            if method == 'DELETE':
                self._store.delete(key, expected)
                return _json_response(200, {})
            if entry is None or entry.value != value:
                self._store.put(key, value, expected)
        except platform.ConflictError:
            return self._get_object(key, 409)
        return self._get_object(key)


def _document(entry: api.Entry) -> dict:
    return {
        'metadata': {
            'name': entry.key.partition('/')[2],
            'revision': entry.revision,
            'created': entry.revision,
            'finalizers': [],
            'deleting': False,
        },
        # Passed on as it is, even if nothing else could read it.
        'spec': msgspec.Raw(entry.value or b'null'),
        'status': None,
    }


def _json_response(status: int, document: dict):
    return status, None, msgspec.json.encode(document)
