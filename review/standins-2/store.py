"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
import urllib.parse

import http1

PAGE_ITEMS = 500


class Store:
    """Keep objects by kind and name with one revision counter."""

    def __init__(self, port):
        self.port = port
        self.revision = 1
        self._objects = {}
        self._events = []
        self._changed = asyncio.Condition()
        self._server = None

    async def start(self):
        """Listen on the port."""
        self._server = await http1.serve(self.port, self._handle)

    def close(self):
        """Stop listening."""
        self._server.close()

    async def put(self, kind, name, spec):
        """Write an object as the operator does; return once it is stored."""
        await self._store(kind, name, spec)

    async def delete(self, kind, name):
        """Delete an object as the operator does."""
        await self._remove(kind, name)

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(name for other, name in self._objects if other == kind)

    async def _store(self, kind, name, spec):
        old = self._objects.get((kind, name))
        if old is not None and old['spec'] == spec:
            return old
        self.revision += 1
        created = old['metadata']['created'] if old else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = stored
        await self._announce(kind, stored, False)
        return stored

    async def _remove(self, kind, name):
        stored = self._objects.pop((kind, name))
        self.revision += 1
        await self._announce(kind, stored, True)

    async def _announce(self, kind, stored, deleted):
        event = {'object': stored, 'deleted': deleted}
        self._events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, reader, writer):
        while True:
            start_line, _, body = await http1.read_message(reader)
            method, target, _ = start_line.split()
            path, _, query = target.partition('?')
            fields = dict(urllib.parse.parse_qsl(query))
            parts = path.removeprefix('/objects/').split('/', 1)
            kind = parts[0]
            name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ''
            status, document = await self._answer(
                method, kind, name, fields, body
            )
            writer.write(http1.json_response(status, document))
            await writer.drain()

    async def _answer(self, method, kind, name, fields, body):
        if method == 'GET' and 'watch' in fields:
            return 200, await self._watch(kind, fields)
        if method == 'GET' and not name:
            return 200, self._list(kind, fields.get('after', ''))
        stored = self._objects.get((kind, name))
        if method == 'GET':
            return (200, stored) if stored else (404, {})
        document = json.loads(body) if body else {}
        metadata = document.get('metadata', {})
        if method == 'POST':
            name = metadata['name']
            stored = self._objects.get((kind, name))
            if stored is not None:
                return 409, stored
            return 200, await self._store(kind, name, document.get('spec'))
        if stored is None:
            return 404, {}
        expected = fields.get('revision', metadata.get('revision'))
        revision = stored['metadata']['revision']
        if expected is not None and int(expected) != revision:
            return 409, stored
        if method == 'DELETE':
            await self._remove(kind, name)
            return 200, {}
        return 200, await self._store(kind, name, document.get('spec'))

    def _list(self, kind, after):
        names = [name for name in self.names(kind) if name > after]
        page = names[:PAGE_ITEMS]
        return {
            'items': [self._objects[kind, name] for name in page],
            'has_more': len(names) > len(page),
            'store_revision': self.revision,
        }

    async def _watch(self, kind, fields):
        after = int(fields['watch'])
        wait_s = min(30_000, int(fields.get('wait_ms', 0))) / 1000

        def events():
            return [
                event
                for revision, other, event in self._events
                if revision > after and other == kind
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(events)
        except TimeoutError:
            pass
        return {'events': events(), 'store_revision': self.revision}
