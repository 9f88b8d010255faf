"""Stand in for the platform's metadata store.

Objects by kind and name with one revision counter, conditional writes, lists
and watches, as PROTOCOL.md describes them. Nothing fails unless a test cuts
the connections or restores the store from a copy.
"""

import asyncio
import copy
import json
import urllib.parse

from standins import wire

KEPT_EVENTS = 10_000


class Store:
    """Serve objects by kind and name."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.era = 1
        self._oldest = 1
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, *address, limit=wire.MAX_LINE
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put_config(self, spec: dict) -> None:
        """Write the desired state as the operator does."""
        self._put('config', 'main', spec)

    def spec(self, kind: str, name: str):
        """Return the content of an object, None if there is none."""
        found = self.objects.get((kind, name))
        return found and found['spec']

    def take_copy(self) -> tuple[int, dict]:
        """Return a copy, from which the store can be restored."""
        return self.revision, copy.deepcopy(self.objects)

    def restore(self, taken: tuple[int, dict]) -> None:
        """Come back from a copy, in a new era; reset all connections.

        What the operator wrote since the copy is written again.
        """
        main = self.objects.get(('config', 'main'))
        self.revision, self.objects = taken[0], copy.deepcopy(taken[1])
        self.events, self._oldest = [], self.revision
        self.era += 1
        if main is not None and main['spec'] != self.spec('config', 'main'):
            self.put_config(main['spec'])
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await wire.read_request_head(reader)
                req.body = await wire.read_body(reader, req.headers)
                status, document = await self._handle(req)
                body = json.dumps(document).encode()
                content = {
                    'Content-Type': 'application/json',
                    'Store-Era': str(self.era),
                }
                writer.write(wire.encode_response(status, content, body))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            wire.close(writer)

    async def _handle(self, req: wire.Request) -> tuple[int, dict]:
        parts = urllib.parse.urlsplit(req.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = [urllib.parse.unquote(name) for name in parts.path.split('/')]
        kind, name = names[2], '/'.join(names[3:])
        if req.method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if req.method == 'GET' and not name:
            return 200, self._list(kind, query.get('after', ''))
        if req.method == 'GET':
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        return self._write(req, kind, name, query)

    def _list(self, kind: str, after: str) -> dict:
        items = [
            found
            for (found_kind, name), found in sorted(self.objects.items())
            if found_kind == kind and name > after
        ]
        return {
            'items': items,
            'has_more': False,
            'store_revision': self.revision,
        }

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        after = int(query['watch'])
        if not self._oldest <= after <= self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('wait_ms', '0')) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for revision, event_kind, event in self.events
                if event_kind == kind and revision > after
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                found = {'events': events, 'store_revision': self.revision}
                return 200, found
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, req, kind, name, query) -> tuple[int, dict]:
        document = json.loads(req.body) if req.body else {}
        metadata = document.get('metadata') or {}
        name = name or metadata.get('name', '')
        found = self.objects.get((kind, name))
        if req.method == 'POST':
            if found:
                return 409, found
            return 200, self._put(kind, name, document.get('spec'))
        if found is None:
            return 404, {}
        expected = query.get('revision', metadata.get('revision'))
        if (
            expected is not None
            and int(expected) != (found['metadata']['revision'])
        ):
            return 409, found
        if req.method == 'DELETE':
            self.revision += 1
            del self.objects[(kind, name)]
            self._add_event(kind, found, deleted=True)
            return 200, {}
        if found['spec'] == document.get('spec'):
            return 200, found
        return 200, self._put(kind, name, document.get('spec'))

    def _put(self, kind: str, name: str, spec) -> dict:
        self.revision += 1
        found = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[(kind, name)] = found
        self._add_event(kind, found, deleted=False)
        return found

    def _add_event(self, kind: str, found: dict, deleted: bool) -> None:
        event = {'object': found, 'deleted': deleted}
        self.events = [
            *self.events[-KEPT_EVENTS:],
            (self.revision, kind, event),
        ]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
