"""Call the metadata store of the users' platform.

The store keeps objects by kind and name. jayflow's keys are mapped to three
kinds: the manifest key to the operator's configuration, the key of each
member to the object of that node, and the key of each evacuation to the
operator's object for that data centre. A store may not know the last kind.
"""

from typing import Annotated, Any, TypeVar
import urllib.parse

import msgspec

from jayflow.connection import codec
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.platform import protocol
from jayflow.process import evacuations
from jayflow.process import settings
from jayflow.version import snapshot

JSON_CONTENT_TYPE = (b'content-type', b'application/json')
NOT_FOUND = 404
# A write that gets one of these server errors has certainly not taken effect.
NOT_APPLIED_STATUSES = (503,)
TOO_MANY_REQUESTS = 429
MAX_ERA_DIGITS = 18

Document = TypeVar('Document')
_Revision = Annotated[int, msgspec.Meta(ge=0, le=messages.MAX_NUMBER)]
_log = logs.get_logger(logs.Component.PLATFORM)


class _Metadata(msgspec.Struct):
    name: str
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Listing(msgspec.Struct):
    # Each is decoded by itself, as another writer may have left an odd one.
    items: list[msgspec.Raw]
    # The revision of the whole store, not of one object.
    store_revision: _Revision
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    store_revision: _Revision


class MetadataStoreClient:
    """Read, write and watch objects in the metadata store.

    Implements connection.platform.Platform.
    """

    def __init__(self, client: api.Client) -> None:
        self._client = client

    @classmethod
    def from_settings(
        cls,
        cfg: settings.Settings,
        budget: api.CallBudget,
        metrics: metrics_module.Metrics,
    ) -> 'MetadataStoreClient':
        """Return a client for the address in the settings."""
        return cls(
            api.Client(cfg.platform, budget, metrics, cfg.call_deadline)
        )

    async def get(self, key: str) -> api.Entry | None:
        """Return an object, or None."""
        response = await self._client.call('GET', _path(key))
        if response.status == NOT_FOUND:
            return None
        _check(response)
        return _entry(key, _decode(response.body, _Object))

    async def put(
        self, key: str, value: bytes, expected: api.Revision
    ) -> api.Revision:
        """Write an object if its revision is still the expected one."""
        kind, name = _kind_and_name(key)
        metadata: dict[str, Any] = {'name': name}
        method, path = 'POST', protocol.OBJECTS_PATH + kind
        if expected != api.ABSENT:
            metadata['revision'] = expected
            method, path = 'PUT', _path(key)
        body = msgspec.json.encode(
            {'metadata': metadata, 'spec': msgspec.Raw(value)}
        )
        response = await self._write(method, path, body)
        return api.Revision(_decode(response.body, _Object).metadata.revision)

    async def delete(self, key: str, expected: api.Revision) -> None:
        """Delete an object if its revision is still the expected one."""
        await self._write('DELETE', f'{_path(key)}?revision={expected}', b'')

    async def list(self, prefix: str) -> api.Listing:
        """Return the objects under a prefix, which maps to one kind."""
        kind, _ = _kind_and_name(prefix)
        entries: list[api.Entry] = []
        revision, era, after = None, None, ''
        while True:
            response = await self._call_page(kind, after)
            if _is_unknown_kind(kind, response):
                return api.Listing(
                    [], api.ABSENT, _era(response), is_known=False
                )
            _check(response)
            page, page_era = _decode(response.body, _Listing), _era(response)
            if era not in (None, page_era):
                raise api.UnavailableError('the store was restored meanwhile')
            era = page_era
            # A watch from the first page's revision also returns the changes
            # made while the other pages were read.
            revision = revision or api.Revision(page.store_revision)
            items = _decode_each(page.items, _Object)
            entries += [
                _entry(_platform_key(kind, item), item) for item in items
            ]
            if not page.has_more or not items:
                return api.Listing(entries, revision, era)
            after = items[-1].metadata.name

    async def watch(
        self, prefix: str, after: api.Revision, wait_s: float
    ) -> api.Changes:
        """Wait for changes after a revision."""
        kind, _ = _kind_and_name(prefix)
        query = urllib.parse.urlencode(
            {'watch': after, 'wait_ms': int(wait_s * 1000)}
        )
        response = await self._client.call(
            'GET',
            f'{protocol.OBJECTS_PATH}{kind}?{query}',
            extra_timeout_s=wait_s,
        )
        if _is_unknown_kind(kind, response):
            raise api.TooOldError('the store no longer knows the kind')
        _check(response)
        batch = _decode(response.body, _Events)
        events = _decode_each(batch.events, _Event)
        return api.Changes(
            [_change(kind, event) for event in events],
            api.Revision(batch.store_revision),
            _era(response),
            len(batch.events) - len(events),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _call_page(self, kind: str, after: str) -> api.Response:
        query = f'?after={urllib.parse.quote(after)}' if after else ''
        return await self._client.call(
            'GET', f'{protocol.OBJECTS_PATH}{kind}{query}'
        )

    async def _write(self, method: str, path: str, body: bytes):
        response = await self._client.write(
            method, path, [JSON_CONTENT_TYPE], body, NOT_APPLIED_STATUSES
        )
        if response.status == NOT_FOUND:
            raise api.ConflictError('the object no longer exists')
        _check(response)
        return response


def _kind_and_name(key: str) -> tuple[str, str]:
    """Return the kind and name of the object that a platform key maps to."""
    if key == snapshot.MANIFEST_KEY:
        return protocol.CONFIG_KIND, protocol.CONFIG_NAME
    if key.startswith(members.KEY_PREFIX):
        return protocol.NODES_KIND, key.removeprefix(members.KEY_PREFIX)
    if key.startswith(evacuations.KEY_PREFIX):
        name = key.removeprefix(evacuations.KEY_PREFIX)
        return protocol.EVACUATIONS_KIND, name
    raise ValueError(f'{key!r} maps to no kind of the metadata store')


def _platform_key(kind: str, item: _Object) -> str:
    name = item.metadata.name
    if kind == protocol.NODES_KIND:
        return members.KEY_PREFIX + name
    if kind == protocol.EVACUATIONS_KIND:
        return evacuations.KEY_PREFIX + name
    return (
        snapshot.MANIFEST_KEY
        if name == protocol.CONFIG_NAME
        else f'{kind}/{name}'
    )


def _path(key: str) -> str:
    kind, name = _kind_and_name(key)
    return f'{protocol.OBJECTS_PATH}{kind}/{urllib.parse.quote(name, safe="")}'


def _entry(key: str, item: _Object) -> api.Entry:
    revision = api.Revision(item.metadata.revision)
    return api.Entry(key, bytes(item.spec), revision)


def _change(kind: str, event: _Event) -> api.Change:
    change_kind = (
        api.ChangeKind.DELETE if event.deleted else api.ChangeKind.PUT
    )
    return api.Change(
        change_kind, _entry(_platform_key(kind, event.object), event.object)
    )


def _decode(body: bytes, document_type: type[Document]) -> Document:
    try:
        return codec.decode_collection(body, document_type)
    except msgspec.DecodeError as exc:
        raise api.UnavailableError(f'response is malformed: {exc}') from exc


def _decode_each(
    documents: list[msgspec.Raw], document_type: type[Document]
) -> list[Document]:
    """Return the documents that can be read; log the others."""
    decoded = []
    for document in documents:
        try:
            decoded.append(codec.decode_json(bytes(document), document_type))
        except msgspec.DecodeError as exc:
            _log.error('Object of the store is malformed.', error=str(exc))
    return decoded


def _era(response: api.Response) -> api.Era:
    """Return the era that a response names; UnavailableError if malformed."""
    for name, value in response.headers:
        if name.lower() == protocol.STORE_ERA:
            if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
                raise api.UnavailableError(f'era of the store is {value!r}')
            return api.Era(int(value))
    return api.ONLY_ERA


def _is_unknown_kind(kind: str, response: api.Response) -> bool:
    return kind == protocol.EVACUATIONS_KIND and response.status == NOT_FOUND


def _check(response: api.Response) -> None:
    if response.status == TOO_MANY_REQUESTS:
        raise api.UnavailableError('the rate limit is exceeded')
    api.raise_for_status(response.status)
