"""Emulate the platform's object service in memory.

For the demo and tests. The emulator offers conditional updates, lists and
watches, limits the rate of calls, and injects faults on request.
Nothing is kept when the process ends.
"""

import collections
import enum
import time
from typing import ClassVar, Self
import urllib.parse

import anyio
import msgspec

from jayflow.connection import platform as api

MAX_KEPT_CHANGES = 10_000
MAX_WRITES_PER_S = 500
MAX_READS_PER_S = 2000
MAX_WATCH_S = 60.0
SLOW_CALL_DELAY_S = 1.0


class Fault(enum.Enum):
    """Name a fault that can be injected.

    DOWN truncates every response, BUSY responds with 503, SLOW delays
    each call, and LOST_RESPONSE applies a write but truncates its
    response.
    """

    NONE = 'none'
    DOWN = 'down'
    BUSY = 'busy'
    SLOW = 'slow'
    LOST_RESPONSE = 'lost-answer'


StoreCopy = tuple[api.Revision, dict[str, api.Entry]]


class ConflictError(Exception):
    """Report an object whose revision is not the expected one."""


class ObjectStore:
    """Hold the objects, their revisions and the latest changes."""

    def __init__(self) -> None:
        self.revision = api.ABSENT
        self._entries: dict[str, api.Entry] = {}
        self._changes: collections.deque[api.Change] = collections.deque(
            maxlen=MAX_KEPT_CHANGES
        )
        self._changed = anyio.Event()

    def get(self, key: str) -> api.Entry | None:
        """Return an object, or None."""
        return self._entries.get(key)

    def put(
        self, key: str, value: bytes, expected: api.Revision
    ) -> api.Revision:
        """Write an object; ConflictError unless at the expected revision.

        The revision of an object that does not exist is api.ABSENT.
        """
        self._check_revision(key, expected)
        self.revision = api.Revision(self.revision + 1)
        entry = api.Entry(key, value, self.revision)
        self._entries[key] = entry
        self._append_change(api.Change(api.ChangeKind.PUT, entry))
        return self.revision

    def delete(self, key: str, expected: api.Revision) -> None:
        """Delete an object; ConflictError unless at the expected revision."""
        self._check_revision(key, expected)
        self.revision = api.Revision(self.revision + 1)
        del self._entries[key]
        tombstone = api.Entry(key, b'', self.revision)
        self._append_change(api.Change(api.ChangeKind.DELETE, tombstone))

    def copy(self) -> StoreCopy:
        """Return the objects and the revision as they are now."""
        return self.revision, dict(self._entries)

    def restore(self, copy: StoreCopy) -> None:
        """Return to an earlier copy; later revisions are given out again."""
        self.revision, self._entries = copy[0], dict(copy[1])
        self._changes.clear()
        self._changed.set()
        self._changed = anyio.Event()

    def list(self, prefix: str) -> api.Listing:
        """Return the objects under a prefix."""
        entries = [
            entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        ]
        return api.Listing(entries, self.revision)

    def changes(self, prefix: str, after: api.Revision) -> api.Changes:
        """Return the changes under a prefix after a revision.

        Raises LookupError if some of these changes are no longer kept, or
        if the store has not reached the revision yet.
        """
        oldest_revision = self.revision - len(self._changes)
        if after < oldest_revision or after > self.revision:
            raise LookupError(after)
        changes = [
            change
            for change in self._changes
            if change.entry.revision > after
            and change.entry.key.startswith(prefix)
        ]
        return api.Changes(changes, self.revision)

    async def wait(self, prefix: str, after: api.Revision, wait_s: float):
        """Wait for changes under a prefix; return none on timeout."""
        batch = self.changes(prefix, after)
        with anyio.move_on_after(wait_s):
            while not batch.changes:
                await self._changed.wait()
                batch = self.changes(prefix, after)
        return batch

    def _check_revision(self, key: str, expected: api.Revision) -> None:
        entry = self._entries.get(key)
        if (entry.revision if entry else api.ABSENT) != expected:
            raise ConflictError(key)

    def _append_change(self, change: api.Change) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = anyio.Event()


class _RateLimiter:
    """Limit the calls within a sliding window of one second."""

    def __init__(self, max_per_s: int) -> None:
        self._max_per_s = max_per_s
        self._calls: collections.deque[float] = collections.deque()

    def try_take(self, now: float) -> bool:
        """Return whether a call is within the rate, and count it if so."""
        while self._calls and self._calls[0] <= now - 1:
            self._calls.popleft()
        if len(self._calls) >= self._max_per_s:
            return False
        self._calls.append(now)
        return True


class PlatformApp:
    """Serve an object store as an ASGI application."""

    WRITE_METHODS: ClassVar[tuple[str, ...]] = ('PUT', 'DELETE')

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self.fault = Fault.NONE
        self.calls: collections.Counter[str] = collections.Counter()
        self._write_limiter = _RateLimiter(MAX_WRITES_PER_S)
        self._read_limiter = _RateLimiter(MAX_READS_PER_S)

    @classmethod
    def with_empty_store(cls) -> Self:
        """Return an application with an empty store."""
        return cls(ObjectStore())

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        body = await _read_body(receive)
        method, path = scope['method'], scope['path']
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        if path.startswith('/control/'):
            await self._control(path, query, send)
            return
        if self.fault is Fault.DOWN:
            await _send_truncated(send)
            return
        if self.fault is Fault.BUSY:
            await _send(send, 503)
            return
        if self.fault is Fault.SLOW:
            await anyio.sleep(SLOW_CALL_DELAY_S)
        headers = dict(scope['headers'])
        is_write = method in self.WRITE_METHODS
        limiter = self._write_limiter if is_write else self._read_limiter
        if not limiter.try_take(time.monotonic()):
            self.calls['over_rate'] += 1
            await _send(send, 429)
            return
        status, revision, value = await self._call(
            method, path, query, headers, body
        )
        is_response_lost = self.fault is Fault.LOST_RESPONSE and is_write
        if is_response_lost or self.fault is Fault.DOWN:
            await _send_truncated(send)
            return
        await _send(send, status, value, revision, self._response_headers())

    def _response_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that all responses have."""
        return []

    async def _call(self, method, path, query, headers, body):
        prefix = query.get('prefix', '')
        if path == '/v1/list':
            self.calls['list'] += 1
            value = msgspec.msgpack.encode(self._store.list(prefix))
            return 200, None, value
        if path == '/v1/watch':
            self.calls['watch'] += 1
            return await self._watch(prefix, query)
        key = path.removeprefix('/v1/objects/')
        self.calls[method.lower()] += 1
        if method == 'GET':
            entry = self._store.get(key)
            if entry is None:
                return 404, None, b''
            return 200, entry.revision, entry.value
        return self._write(method, key, headers, body)

    async def _watch(self, prefix, query):
        wait_s = min(MAX_WATCH_S, float(query.get('wait', 0)))
        after = api.Revision(int(query.get('after', 0)))
        try:
            batch = await self._store.wait(prefix, after, wait_s)
        except LookupError:
            return 410, None, b''
        return 200, None, msgspec.msgpack.encode(batch)

    def _write(self, method, key, headers, body):
        expected = api.Revision(int(headers.get(b'if-match', b'0')))
        try:
            if method == 'DELETE':
                self._store.delete(key, expected)
                return 204, None, b''
            if len(body) > api.MAX_VALUE_BYTES:
                return 413, None, b''
            return 200, self._store.put(key, body, expected), b''
        except ConflictError:
            return 412, None, b''

    async def _control(self, path, query, send) -> None:
        if path == '/control/fault':
            self.fault = Fault(query['kind'])
        document = {'fault': self.fault.value, 'calls': dict(self.calls)}
        await _send(send, 200, msgspec.json.encode(document))


async def _read_body(receive) -> bytes:
    body, more = bytearray(), True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return bytes(body)


async def _send(
    send, status, body=b'', revision=None, extra_headers=()
) -> None:
    headers = [(b'content-length', str(len(body)).encode())]
    if status == 204:
        headers = []
    headers += extra_headers
    if revision is not None:
        headers.append((b'etag', b'"%d"' % revision))
    start = {
        'type': 'http.response.start',
        'status': status,
        'headers': headers,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})


async def _send_truncated(send) -> None:
    """Start a response but send no body.

    The server then closes the connection, so the client can't tell
    whether its call took effect.
    """
    start = {
        'type': 'http.response.start',
        'status': 200,
        'headers': [(b'content-length', b'1')],
    }
    await send(start)
