"""Stand in for the platform's object service, in memory.

For the demo and tests: conditional updates, watches, rates and faults
that can be switched on. Nothing is kept when the process ends.
"""

import collections
import enum
import time
from typing import ClassVar, Self
import urllib.parse

import anyio
import msgspec

from jayflow.connection import platform as api

KEPT_CHANGES = 10_000
WRITES_PER_S = 500
READS_PER_S = 2000
MAX_WAIT_S = 60.0
SLOW_S = 1.0


class Fault(enum.Enum):
    """Name a fault that can be switched on."""

    NONE = 'none'
    DOWN = 'down'
    BUSY = 'busy'
    SLOW = 'slow'
    LOST_ANSWER = 'lost-answer'


class Conflict(Exception):
    """Report a condition that does not hold."""


class Store:
    """Hold the objects, their revisions and the latest changes."""

    def __init__(self) -> None:
        self.revision = api.ABSENT
        self._entries: dict[str, api.Entry] = {}
        self._changes: collections.deque[api.Change] = collections.deque(
            maxlen=KEPT_CHANGES
        )
        self._changed = anyio.Event()

    def get(self, key: str) -> api.Entry | None:
        """Return an object, or None."""
        return self._entries.get(key)

    def put(self, key: str, value: bytes, held: api.Revision) -> api.Revision:
        """Write an object; Conflict unless its revision is the one held."""
        self._require(key, held)
        self.revision = api.Revision(self.revision + 1)
        entry = api.Entry(key, value, self.revision)
        self._entries[key] = entry
        self._note(api.Change(api.ChangeKind.PUT, entry))
        return self.revision

    def delete(self, key: str, held: api.Revision) -> None:
        """Delete an object; Conflict unless its revision is the one held."""
        self._require(key, held)
        self.revision = api.Revision(self.revision + 1)
        del self._entries[key]
        gone = api.Entry(key, b'', self.revision)
        self._note(api.Change(api.ChangeKind.DELETE, gone))

    def list(self, prefix: str) -> api.Listing:
        """Return the objects under a prefix."""
        found = [
            entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        ]
        return api.Listing(found, self.revision)

    def changes(self, prefix: str, after: api.Revision) -> api.Changes:
        """Return the changes after a revision; LookupError if dropped."""
        oldest = self.revision - len(self._changes)
        if after < oldest or after > self.revision:
            raise LookupError(after)
        found = [
            change
            for change in self._changes
            if change.entry.revision > after
            and change.entry.key.startswith(prefix)
        ]
        return api.Changes(found, self.revision)

    async def wait(self, prefix: str, after: api.Revision, wait_s: float):
        """Return the changes once there are any, or when time is over."""
        found = self.changes(prefix, after)
        with anyio.move_on_after(wait_s):
            while not found.changes:
                await self._changed.wait()
                found = self.changes(prefix, after)
        return found

    def _require(self, key: str, held: api.Revision) -> None:
        entry = self._entries.get(key)
        if (entry.revision if entry else api.ABSENT) != held:
            raise Conflict(key)

    def _note(self, change: api.Change) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = anyio.Event()


class _Rate:
    """Limit calls in a sliding second."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._calls: collections.deque[float] = collections.deque()

    def take(self, now: float) -> bool:
        """Return whether one more call is within the rate."""
        while self._calls and self._calls[0] <= now - 1:
            self._calls.popleft()
        if len(self._calls) >= self._per_s:
            return False
        self._calls.append(now)
        return True


class App:
    """Serve a store as an ASGI application."""

    WRITES: ClassVar[tuple[str, ...]] = ('PUT', 'DELETE')

    def __init__(self, store: Store) -> None:
        self._store = store
        self.fault = Fault.NONE
        self.calls: collections.Counter[str] = collections.Counter()
        self._writes = _Rate(WRITES_PER_S)
        self._reads = _Rate(READS_PER_S)

    @classmethod
    def empty(cls) -> Self:
        """Return an application with nothing in its store."""
        return cls(Store())

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        body = await _read(receive)
        method, path = scope['method'], scope['path']
        query = dict(urllib.parse.parse_qsl(scope['query_string'].decode()))
        if path.startswith('/control/'):
            await self._control(path, query, send)
            return
        if self.fault is Fault.DOWN:
            await _cut(send)
            return
        if self.fault is Fault.BUSY:
            await _send(send, 503)
            return
        if self.fault is Fault.SLOW:
            await anyio.sleep(SLOW_S)
        headers = dict(scope['headers'])
        is_write = method in self.WRITES
        rate = self._writes if is_write else self._reads
        if not rate.take(time.monotonic()):
            self.calls['over_rate'] += 1
            await _send(send, 429)
            return
        status, revision, value = await self._call(
            method, path, query, headers, body
        )
        is_lost = self.fault is Fault.LOST_ANSWER and is_write
        if is_lost or self.fault is Fault.DOWN:
            await _cut(send)
            return
        await _send(send, status, value, revision)

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
        wait_s = min(MAX_WAIT_S, float(query.get('wait', 0)))
        after = api.Revision(int(query.get('after', 0)))
        try:
            found = await self._store.wait(prefix, after, wait_s)
        except LookupError:
            return 410, None, b''
        return 200, None, msgspec.msgpack.encode(found)

    def _write(self, method, key, headers, body):
        held = api.Revision(int(headers.get(b'if-match', b'0')))
        try:
            if method == 'DELETE':
                self._store.delete(key, held)
                return 204, None, b''
            if len(body) > api.MAX_VALUE_BYTES:
                return 413, None, b''
            return 200, self._store.put(key, body, held), b''
        except Conflict:
            return 412, None, b''

    async def _control(self, path, query, send) -> None:
        if path == '/control/fault':
            self.fault = Fault(query['kind'])
        document = {'fault': self.fault.value, 'calls': dict(self.calls)}
        await _send(send, 200, msgspec.json.encode(document))


async def _read(receive) -> bytes:
    body, more = bytearray(), True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return bytes(body)


async def _send(send, status, body=b'', revision=None) -> None:
    rows = [(b'content-length', str(len(body)).encode())]
    if status == 204:
        rows = []
    if revision is not None:
        rows.append((b'etag', b'"%d"' % revision))
    start = {
        'type': 'http.response.start',
        'status': status,
        'headers': rows,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': body})


async def _cut(send) -> None:
    """Start an answer that never ends: the connection is closed."""
    start = {
        'type': 'http.response.start',
        'status': 200,
        'headers': [(b'content-length', b'1')],
    }
    await send(start)
