"""Start the project's nodes with the commands and template of the deploy."""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time
import tomllib

import endpoint as endpoints
import http1
import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
STARTED = time.monotonic()


class CannotRunError(Exception):
    """Report that a case can't run here."""


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / 'record.txt'
        self._lines = []

    def write(self, text):
        """Add a line with the seconds since the start of the case."""
        self._lines.append(f'{time.monotonic() - STARTED:8.3f} {text}')

    def close(self):
        """Write the file."""
        self._path.write_text('\n'.join([*self._lines, '']))


def render(text, values):
    """Fill in a template as the platform does, for plain sections."""

    def section(match):
        entries = values[match[1]].items()
        return ''.join(
            match[2].replace('{{@}}', key).replace('{{.}}', value)
            for key, value in entries
        )

    def value(match):
        found = values
        for key in match[1].split('.'):
            found = found[int(key)] if key.isdigit() else found.get(key, '')
        if isinstance(found, bool):
            return str(found).lower()
        return str(found)

    text = re.sub(r'{{#(\w+)}}(.*?){{/\1}}', section, text, flags=re.DOTALL)
    return re.sub(r'{{([\w.]+)}}', value, text)


class Node:
    """Run one node process beside one endpoint."""

    def __init__(self, fleet, name, zone, service, slots):
        self.name = name
        self.zone = zone
        ports = [http1.free_port() for _ in range(6)]
        self.port, self._peer, self._control, self._ready = ports[:4]
        self.endpoint = endpoints.Endpoint(
            f'i-{name}', service, zone, ports[4], self._control, slots
        )
        self._fleet = fleet
        self._folder = pathlib.Path(fleet.folder) / name
        self._folder.mkdir()
        self._settings = self._folder / 'local.ini'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['node']
        self._command = role['run'].split()
        self._template = (ROOT / role['template']).read_text()
        self._metrics = ports[5]
        self.write_settings(service)
        self.process = None
        self.started_at = None

    def write_settings(self, service):
        """Put the settings file of a service in place, as one step."""
        fleet = self._fleet
        text = render(
            self._template,
            {
                'node_name': self.name,
                'zone': self.zone,
                'ip': '127.0.0.1',
                'service': service,
                'app_addr': f'127.0.0.1:{self.endpoint.port}',
                'internal_ports': [self._peer],
                'listen_addrs': {
                    'outbound': f'127.0.0.1:{self.port}',
                    'control': f'127.0.0.1:{self._control}',
                    'ready': f'127.0.0.1:{self._ready}',
                },
                'zones': fleet.zones,
                'bounds': fleet.bounds,
                'limits': {'memory_mb': 300, 'max_fds': 4100},
                'platform': {'address': f'127.0.0.1:{fleet.store.port}'},
            },
        )
        new = self._settings.with_suffix('.new')
        new.write_text(text.replace(':7391', f':{self._metrics}'))
        new.replace(self._settings)

    def start(self):
        """Start the process."""
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['JAYFLOW_NODE_FILE'] = str(self._settings)
        self.started_at = time.monotonic()
        with open(self._folder / 'log.txt', 'ab') as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._fleet.record.write(f'start {self.name}')

    def send_signal(self, number):
        """Send a signal to the process."""
        self._fleet.record.write(
            f'signal {signal.Signals(number).name} to {self.name}'
        )
        self.process.send_signal(number)

    async def wait_ended(self, timeout_s):
        """Return whether the process has ended within a time."""
        end = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll() is not None

    async def wait_ready(self, timeout_s=15.0):
        """Wait until the node says that it is ready."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            status, _, _ = await http1.call(self._ready, 'GET', '/ready')
            if status == 200:
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} does not get ready')

    def log(self):
        """Return what the node has logged."""
        return (self._folder / 'log.txt').read_text()


class Fleet:
    """Hold the store, the nodes and the endpoints of one case."""

    def __init__(self, folder, zones, bounds):
        if not (ROOT / 'target/deps/.stamp').exists():
            raise CannotRunError('target/deps is not built')
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.record = Record(folder)
        self.zones = zones
        self.bounds = bounds
        self.store = stores.Store(http1.free_port())
        self.nodes = []
        # Endpoints that no node of the list has beside it now.
        self.other_endpoints = []

    def add(self, name, zone, service, slots=4):
        """Add a node that is not started yet."""
        node = Node(self, name, zone, service, slots)
        self.nodes.append(node)
        return node

    async def start(self, config):
        """Start everything and wait until it serves."""
        await self.store.start()
        await self.store.put('config', 'main', config)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()
            await node.endpoint.start()

    async def wait_served(self, node, target, headers=(), timeout_s=15.0):
        """Wait until a request of a node is answered with success."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            status, _, _ = await self.request(
                node, 'GET', target, 'warm-up', headers, deadline_ms=1000
            )
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{target} is not served by {node.name}')

    async def request(
        self,
        node,
        method,
        target,
        request_id,
        headers=(),
        body=b'',
        deadline_ms=3000,
    ):
        """Send a client's request; record it and its answer."""
        rows = client_headers(request_id, deadline_ms, headers)
        self.record.write(f'send {request_id} {method} {target} {node.name}')
        answer = await http1.call(
            node.port, method, target, rows, body, deadline_ms / 1000 + 1
        )
        self.record.write(f'answer {request_id} {answer[0]}')
        return answer

    def close(self):
        """End all processes that the case started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(10)
        endpoints_used = [node.endpoint for node in self.nodes]
        for used in [*endpoints_used, *self.other_endpoints]:
            for run in used.runs:
                begun = (run.started_at or run.arrived_at) - STARTED
                ended = (run.ended_at or time.monotonic()) - STARTED
                self.record.write(
                    f'run {run.request_id} {run.target} at '
                    f'{run.endpoint.instance} arrived '
                    f'{run.arrived_at - STARTED:.3f} begun '
                    f'{begun if run.started_at else -1:.3f} ended {ended:.3f}'
                    f' dropped {run.was_dropped}'
                )
        self.record.close()
        self._temporary.cleanup()


def client_headers(request_id, deadline_ms, headers=()):
    """Return the headers of a client's request."""
    return [
        ('Host', HOST),
        ('Jayflow-Request-Id', request_id),
        ('Jayflow-Deadline-Ms', deadline_ms),
        *headers,
    ]


def config(number, routes, services, **more):
    """Return a desired state; routes and services are dicts by name."""

    def table(rows):
        columns = sorted({key for row in rows for key in row})
        return {
            'columns': columns,
            'rows': [[row.get(key) for key in columns] for row in rows],
        }

    document = {
        'version': f'r{number}',
        'routes': table(
            [
                {
                    'name': f'r-{path.strip("/")}',
                    'hostname': HOST,
                    'path_prefix': path,
                    'target_latency_s': 0.6,
                    'priority': 1,
                    'max_attempts': 2,
                    **route,
                }
                for path, route in routes.items()
            ]
        ),
        'services': table(
            [
                {
                    'name': name,
                    'health_check_path': '/health',
                    'max_connections': 240,
                    'protocol': 'h1',
                    'tls': False,
                    **service,
                }
                for name, service in services.items()
            ]
        ),
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }
    return {**document, **more}


async def play(folder, case):
    """Run a case; return its exit code: 0 held, 1 broken, 2 can't run."""
    try:
        return await case(folder, os.environ.get('TROUBLE', '1') != '0')
    except (CannotRunError, OSError) as exc:
        print(f'The case could not run: {exc}')
        return 2


def main(file, case):
    """Run the case of a file, for 110 seconds at most."""

    async def run():
        async with asyncio.timeout(110):
            return await play(pathlib.Path(file).parent, case)

    try:
        raise SystemExit(asyncio.run(run()))
    except TimeoutError:
        print('The case took too long.')
        raise SystemExit(2) from None
