"""Stand in for an application endpoint, as PROTOCOL.md describes it."""

import asyncio
import hashlib
import json
import time

import http1


class Run:
    """Hold what an endpoint did about one request."""

    def __init__(self, endpoint, headers, target, body):
        self.endpoint = endpoint
        self.headers = headers
        self.request_id = headers.get('jayflow-request-id', '')
        self.target = target
        self.body_bytes = len(body)
        self.arrived_at = time.monotonic()
        self.started_at = None
        self.ended_at = None
        self.was_dropped = False


class Endpoint:
    """Run requests on some slots, queue a few more, and tell its node.

    A request whose connection closes is dropped.
    """

    def __init__(self, name, service, zone, port, control_port, slots=4):
        self.instance = name
        self.service = service
        self.zone = zone
        self.port = port
        self.slots = slots
        self.queue = 2 * slots
        self.work_s = 0.05
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.beats = []
        self.is_beating = True
        self.is_silent = False
        self.control_port = control_port
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._beating = None
        self._handlers = set()

    async def start(self):
        """Serve requests and send heartbeats."""
        self._server = await http1.serve(self.port, self._serve)
        self._beating = asyncio.create_task(self._beat())

    def fall_silent(self):
        """End as a machine without power does: nothing is sent any more.

        Its connections stay open and silent; its address is free.
        """
        self._server.close()
        self._beating.cancel()
        self.is_silent = True

    def close(self):
        """End at once, as a process that is killed does."""
        self._server.close()
        self._beating.cancel()
        for task in self._handlers:
            task.cancel()

    async def restart(self, born, pause_s=0.0):
        """Start again under the same id; nothing of before is known."""
        self.close()
        await asyncio.sleep(pause_s)
        self.born, self.sequence, self.state = born, 0, 'ready'
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        await self.start()

    async def say(self, path, body, until_s=3.0):
        """Call the node; return the status of its answer."""
        headers = [('Content-Type', 'application/json')]
        status, _, _ = await http1.call(
            self.control_port,
            'POST',
            path,
            headers,
            json.dumps(body).encode(),
            until_s,
        )
        return status

    async def heartbeat(self):
        """Send one heartbeat; return the status of the answer."""
        self.sequence += 1
        beat = {
            'address': f'127.0.0.1:{self.port}',
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'cold_remaining_s': 0,
            },
        }
        sent_at = time.monotonic()
        status = await self.say(f'/Instances.Heartbeat/{self.instance}', beat)
        self.beats.append((sent_at, dict(beat), status, time.monotonic()))
        return status

    async def deregister(self):
        """Say that this endpoint leaves; return the status of the answer."""
        return await self.say(
            f'/Instances.Deregister/{self.instance}', {'born': self.born}
        )

    async def _beat(self):
        while True:
            if self.is_beating:
                await self.heartbeat()
            await asyncio.sleep(1.5)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._handlers.add(task)
        try:
            while True:
                message = await http1.read_message(reader)
                if not await self._answer(reader, writer, *message):
                    return
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._handlers.discard(task)

    def _load(self):
        figures = self._running, self._waiting, self.slots
        return ('Jayflow-Server-Load', ','.join(map(str, figures)))

    async def _answer(self, reader, writer, start_line, headers, body):
        """Answer one request; return whether the connection is kept."""
        if self.is_silent:
            await asyncio.Event().wait()
        _, target, _ = start_line.split()
        if target == '/health':
            status = 200 if self.state == 'ready' else 503
            rows = [('Jayflow-Instance-Id', self.instance), self._load()]
            writer.write(http1.response(status, rows))
            return True
        request_id = headers.get('jayflow-request-id', '')
        rows = [('Jayflow-Request-Id', request_id)]
        expected = headers.get('jayflow-expected-instance', self.instance)
        if expected != self.instance:
            rows.append(('Jayflow-Instance-Id', self.instance))
            writer.write(http1.response(421, rows))
            return True
        if self._waiting >= self.queue:
            rows += [('Jayflow-Not-Executed', '1'), self._load()]
            writer.write(http1.response(503, rows))
            return True
        run = Run(self, headers, target, body)
        self.runs.append(run)
        gone = asyncio.create_task(reader.read(1))
        working = asyncio.create_task(self._work(run))
        try:
            await asyncio.wait(
                (gone, working), return_when=asyncio.FIRST_COMPLETED
            )
            if not working.done():
                run.was_dropped = True
                return False
            if self.is_silent:
                await asyncio.Event().wait()
            data = f'{request_id} by {self.instance}'.encode()
            digest = hashlib.sha256(data).hexdigest()[:8]
            rows += [('Jayflow-Server-Signature', digest), self._load()]
            writer.write(http1.response(200, rows, data))
            await writer.drain()
            return not gone.done()
        finally:
            working.cancel()
            gone.cancel()
            await asyncio.gather(working, gone, return_exceptions=True)
            run.ended_at = time.monotonic()

    async def _work(self, run):
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        run.started_at = time.monotonic()
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._free.release()
