"""Stand in for the users' metadata store: objects by kind and name.

Shares the store, the rates and the faults of the product's own stand-in.
"""

import json
from typing import ClassVar
import urllib.parse

from jayflow.connection import platform as api
from jayflow.emulator import platform

ROOT = '/objects/'
PAGE_ITEMS = 500


class App(platform.App):
    """Serve a store in the protocol of the users' platform."""

    WRITES: ClassVar[tuple[str, ...]] = ('POST', 'PUT', 'DELETE')

    def __init__(self, store: platform.Store) -> None:
        super().__init__(store)
        self.page_items = PAGE_ITEMS
        self.oldest = api.ABSENT

    def drop_history(self) -> None:
        """Forget the changes up to now: older watches get 410."""
        self.oldest = self._store.revision

    def revoke(self, kind: str, name: str) -> None:
        """Remove an object as the platform does, without a request."""
        key = f'{kind}/{name}'
        entry = self._store.get(key)
        if entry is not None:
            self._store.delete(key, entry.revision)

    async def _call(self, method, path, query, headers, body):
        del headers
        kind, _, name = path.removeprefix(ROOT).partition('/')
        self.calls[method.lower()] += 1
        if method == 'GET' and 'watch' in query:
            return await self._watch_kind(kind, query)
        if method == 'GET' and not name:
            return _json(200, self._page(kind, query.get('after', '')))
        if method == 'GET':
            return self._found(f'{kind}/{urllib.parse.unquote(name)}')
        return self._change(method, kind, name, query, body)

    def _page(self, kind: str, after: str) -> dict:
        found = [
            _document(entry)
            for entry in self._store.list(f'{kind}/').entries
            if entry.key.partition('/')[2] > after
        ]
        page = found[: self.page_items]
        return {
            'items': page,
            'has_more': len(found) > len(page),
            'store_revision': self._store.revision,
        }

    def _found(self, key: str, status: int = 200):
        entry = self._store.get(key)
        if entry is None:
            return 404, None, b'{}'
        return _json(status, _document(entry))

    async def _watch_kind(self, kind, query):
        after = api.Revision(int(query['watch']))
        if after < self.oldest:
            return 410, None, b'{}'
        wait_s = min(platform.MAX_WAIT_S, int(query['wait_ms']) / 1000)
        try:
            found = await self._store.wait(f'{kind}/', after, wait_s)
        except LookupError:
            return 410, None, b'{}'
        events = [
            {
                'object': _document(change.entry),
                'deleted': change.kind is api.ChangeKind.DELETE,
            }
            for change in found.changes
        ]
        return _json(200, {'events': events, 'store_revision': found.revision})

    def _change(self, method, kind, name, query, body):
        said = json.loads(body) if body else {}
        metadata = said.get('metadata', {})
        name = name or metadata.get('name', '')
        key = f'{kind}/{urllib.parse.unquote(name)}'
        entry = self._store.get(key)
        if method == 'POST':
            held = api.ABSENT
        elif entry is None:
            return 404, None, b'{}'
        else:
            asked = query.get('revision', metadata.get('revision'))
            held = api.Revision(int(asked or entry.revision))
        value = json.dumps(said.get('spec')).encode()
        try:
            if method == 'DELETE':
                self._store.delete(key, held)
                return _json(200, {})
            if entry is None or entry.value != value:
                self._store.put(key, value, held)
        except platform.Conflict:
            return self._found(key, 409)
        return self._found(key)


def _document(entry: api.Entry) -> dict:
    return {
        'metadata': {
            'name': entry.key.partition('/')[2],
            'revision': entry.revision,
            'created': entry.revision,
            'finalizers': [],
            'deleting': False,
        },
        'spec': json.loads(entry.value or b'null'),
        'status': None,
    }


def _json(status: int, document: dict):
    return status, None, json.dumps(document).encode()
