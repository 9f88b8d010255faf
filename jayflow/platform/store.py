"""Speak the protocol of the platform's metadata store."""

import json
from typing import Any
import urllib.parse

import msgspec

from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow import metrics as counting
from jayflow.platform import wire
from jayflow.process import settings
from jayflow.version import snapshot

CONTENT_TYPE = (b'content-type', b'application/json')
NOT_FOUND = 404
# With these statuses the store did nothing.
UNDONE = (503,)
OVER_RATE = 429


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Listing(msgspec.Struct):
    items: list[_Object]
    # The revision of the whole store, not of one object.
    store_revision: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class MetadataStore:
    """Keep a node's objects in the store, by kind and name."""

    def __init__(self, client: api.Client) -> None:
        self._client = client

    @classmethod
    def from_settings(
        cls,
        cfg: settings.Settings,
        budget: api.CallBudget,
        metrics: counting.Metrics,
    ) -> 'MetadataStore':
        """Return a store at the address of the settings."""
        return cls(
            api.Client(cfg.platform, budget, metrics, cfg.call_deadline)
        )

    async def get(self, key: str) -> api.Entry | None:
        """Return an object, or None."""
        answer = await self._client.call('GET', _path(key))
        if answer.status == NOT_FOUND:
            return None
        _check(answer)
        return _entry(key, _decode(answer.body, _Object))

    async def put(
        self, key: str, value: bytes, held: api.Revision
    ) -> api.Revision:
        """Write an object if its revision is still the one held."""
        kind, name = _locate(key)
        metadata: dict[str, Any] = {'name': name}
        method, path = 'POST', wire.OBJECTS_PATH + kind
        if held != api.ABSENT:
            metadata['revision'] = held
            method, path = 'PUT', _path(key)
        body = msgspec.json.encode(
            {'metadata': metadata, 'spec': msgspec.Raw(value)}
        )
        answer = await self._write(method, path, body)
        return api.Revision(_decode(answer.body, _Object).metadata.revision)

    async def delete(self, key: str, held: api.Revision) -> None:
        """Delete an object if its revision is still the one held."""
        await self._write('DELETE', f'{_path(key)}?revision={held}', b'')

    async def list(self, prefix: str) -> api.Listing:
        """Return the objects of the kind that a prefix stands for."""
        kind, _ = _locate(prefix)
        entries: list[api.Entry] = []
        revision, after = None, ''
        while True:
            page = await self._page(kind, after)
            # What changes between two pages is told by the watch.
            revision = revision or api.Revision(page.store_revision)
            entries += [_entry(_key(kind, each), each) for each in page.items]
            if not page.has_more or not page.items:
                return api.Listing(entries, revision)
            after = page.items[-1].metadata.name

    async def watch(
        self, prefix: str, after: api.Revision, wait_s: float
    ) -> api.Changes:
        """Wait for changes after a revision."""
        kind, _ = _locate(prefix)
        query = urllib.parse.urlencode(
            {'watch': after, 'wait_ms': int(wait_s * 1000)}
        )
        answer = await self._client.call(
            'GET', f'{wire.OBJECTS_PATH}{kind}?{query}', extra_s=wait_s
        )
        _check(answer)
        found = _decode(answer.body, _Events)
        return api.Changes(
            [_change(kind, event) for event in found.events],
            api.Revision(found.store_revision),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _page(self, kind: str, after: str) -> _Listing:
        query = f'?after={urllib.parse.quote(after)}' if after else ''
        answer = await self._client.call(
            'GET', f'{wire.OBJECTS_PATH}{kind}{query}'
        )
        _check(answer)
        return _decode(answer.body, _Listing)

    async def _write(self, method: str, path: str, body: bytes):
        answer = await self._client.write(
            method, path, [CONTENT_TYPE], body, UNDONE
        )
        if answer.status == NOT_FOUND:
            raise api.ConflictError('the object is gone')
        _check(answer)
        return answer


def _locate(key: str) -> tuple[str, str]:
    """Return the kind and the name that hold a key of the product."""
    if key == snapshot.HEAD_KEY:
        return wire.CONFIG_KIND, wire.CONFIG_NAME
    if key.startswith(members.PREFIX):
        return wire.NODES_KIND, key.removeprefix(members.PREFIX)
    raise ValueError(f'{key!r} has no place in the store')


def _key(kind: str, found: _Object) -> str:
    name = found.metadata.name
    if kind == wire.NODES_KIND:
        return members.PREFIX + name
    return snapshot.HEAD_KEY if name == wire.CONFIG_NAME else f'{kind}/{name}'


def _path(key: str) -> str:
    kind, name = _locate(key)
    return f'{wire.OBJECTS_PATH}{kind}/{urllib.parse.quote(name, safe="")}'


def _entry(key: str, found: _Object) -> api.Entry:
    revision = api.Revision(found.metadata.revision)
    return api.Entry(key, bytes(found.spec), revision)


def _change(kind: str, event: _Event) -> api.Change:
    change = api.ChangeKind.DELETE if event.deleted else api.ChangeKind.PUT
    return api.Change(change, _entry(_key(kind, event.object), event.object))


def _decode(body: bytes, kind: type):
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, json.JSONDecodeError) as exc:
        raise api.UnavailableError(f'answer is garbled: {exc}') from exc


def _check(answer: api.Response) -> None:
    if answer.status == OVER_RATE:
        raise api.UnavailableError('the rate of calls is exceeded')
    api.check(answer.status)
