"""Start nodes with the command of the deploy file and end them again.

Each machine is a loopback address of its own. The settings of a node are
made from the template that the deploy file names.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from standins import endpoint as endpoints
from standins import store as stores
from standins import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
MAX_MACHINES = 10
MAX_PORT_TRIES = 200
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST_NAME = 'shop.example'

# The bounds of both site files under sites/.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 6.0
CONFIG_APPLY_S = 2.0


Run = Callable[['Fleet'], Awaitable[int]]


class NotRunError(Exception):
    """Report that a case could not be set up."""


def is_troubled() -> bool:
    """Return whether the disruption of a case is to happen."""
    return os.environ.get('TROUBLE', '1') != '0'


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def _value_of(fields: dict, name: str):
    found = fields
    for part in name.split('.'):
        found = (
            found[int(part)] if isinstance(found, list) else found.get(part)
        )
        if found is None:
            return ''
    return found


def render(template: str, fields: dict) -> str:
    """Fill in the parts of the template syntax that the template uses."""

    def section(match: re.Match) -> str:
        rows = _value_of(fields, match[1]).items()
        return ''.join(
            match[2].replace('{{@}}', key).replace('{{.}}', text)
            for key, text in rows
        )

    text = re.sub(
        r'\{\{#(\w+)\}\}\n?(.*?)\{\{/\1\}\}\n?', section, template, flags=re.S
    )
    return re.sub(
        r'\{\{([\w.]+)\}\}',
        lambda match: str(_value_of(fields, match[1])),
        text,
    )


class Machine:
    """Hold one machine: its addresses and its node process."""

    def __init__(self, fleet: 'Fleet', index: int, zone: str, service: str):
        self.fleet = fleet
        self.ip = fleet.hosts[index]
        self.zone = zone
        self.service = service
        self.name = f'side-{zone}-{index}'
        self.started_at = 0.0
        self.app = (self.ip, fleet.ports['app'])
        self.outbound = (self.ip, fleet.ports['outbound'])
        self.control = (self.ip, fleet.ports['control'])
        self.ready = (self.ip, fleet.ports['ready'])
        # Where the node reaches its endpoint; a test may put a proxy there.
        self.app_seen_by_node = self.app
        # Where the node reaches the store.
        self.store_address = fleet.store_address
        self._popen: subprocess.Popen | None = None

    def fields(self) -> dict:
        """Return the fields that the platform fills in."""
        ports = self.fleet.ports

        def address(pair: tuple[str, int]) -> str:
            return f'{pair[0]}:{pair[1]}'

        return {
            'node_name': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'internal_ports': [ports['peer'], ports['peer']],
            'service': self.service,
            'app_addr': address(self.app_seen_by_node),
            'listen_addrs': {
                'outbound': address(self.outbound),
                'control': address(self.control),
                'ready': address(self.ready),
            },
            'platform': {'address': address(self.store_address)},
            'zones': self.fleet.zones,
            'bounds': {
                'grace_s': GRACE_S,
                'retry_budget_ratio': 0.2,
                'retry_budget_slack': 60,
            },
        }

    def start(self) -> None:
        """Start the node process with the command of the deploy file."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())[
            'roles'
        ]['node']
        template = (ROOT / role['template']).read_text()
        text = render(template, self.fields())
        text = text.replace(':7391', f':{self.fleet.ports["metrics"]}')
        path = self.fleet.folder / f'{self.name}.ini'
        path.write_text(text)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['JAYFLOW_NODE_FILE'] = str(path)
        with (self.fleet.folder / f'{self.name}.log').open('ab') as log:
            self._popen = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node process if it runs."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the node process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait(STOP_TIMEOUT_S)

    async def wait_end(self, timeout_s: float) -> bool:
        """Return whether the node process ends within the timeout."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self._popen is None or self._popen.poll() is not None:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def wait_ready(self) -> None:
        """Wait until the node says that it is ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if self._popen is not None and self._popen.poll() is not None:
                raise NotRunError(f'{self.name} ended: {self.log_tail()}')
            response = await wire.call(
                self.ready, 'GET', '/ready', {}, timeout_s=1.0
            )
            if response.status == 200:
                return
            await asyncio.sleep(POLL_S)
        raise NotRunError(f'{self.name} is not ready: {self.log_tail()}')

    def last_error(self) -> str:
        """Return the last line of the node's log that names an error."""
        lines = [
            line.strip(' |')
            for line in self.log_tail().splitlines()
            if 'Error' in line
        ]
        return lines[-1] if lines else 'no error in its log'

    def log_tail(self) -> str:
        """Return the end of the node's log."""
        path = self.fleet.folder / f'{self.name}.log'
        return path.read_text(errors='replace')[-1500:]


class Fleet:
    """Hold the store, the machines and the record of one run of a case."""

    def __init__(self, case: str, zones: dict[str, str]) -> None:
        self.case = pathlib.Path(case).resolve().parent
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='jayflow-review-'))
        self.store = stores.Store()
        self._taken_ports: set[int] = set()
        # Addresses of their own, so that cases can run beside each other.
        network = os.urandom(2)
        self.hosts = [
            f'127.{1 + network[0] % 250}.{network[1]}.{index + 1}'
            for index in range(MAX_MACHINES + 1)
        ]
        names = ('app', 'outbound', 'control', 'ready', 'peer', 'metrics')
        self.ports = {name: self.free_port() for name in names}
        self.store_address = (self.hosts[-1], self.free_port())
        self.machines: list[Machine] = []
        self.endpoints: list[endpoints.Endpoint] = []
        self.began = time.monotonic()
        self._lines: list[tuple[float, str]] = []
        self._sent = 0
        self._tasks: set[asyncio.Task] = set()

    def free_port(self) -> int:
        """Return a port that is free on all machines, each one once."""
        for _ in range(MAX_PORT_TRIES):
            port = 20000 + int.from_bytes(os.urandom(2), 'big') % 12000
            if port not in self._taken_ports and all(
                _is_free(host, port) for host in self.hosts
            ):
                self._taken_ports.add(port)
                return port
        raise NotRunError('no free port was found')

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append((time.monotonic() - self.began, text))

    def say(self, text: str) -> None:
        """Add a line to the record and print it."""
        self.note(text)
        print(text, flush=True)

    def add_machine(self, zone: str, service: str) -> Machine:
        """Add a machine with its endpoint; both are still to be started."""
        machine = Machine(self, len(self.machines), zone, service)
        self.machines.append(machine)
        self.endpoints.append(
            endpoints.Endpoint(
                f'i-{len(self.machines):08x}',
                service,
                zone,
                machine.app,
                machine.control,
            )
        )
        return machine

    async def start(self, config: dict) -> None:
        """Start the store, the nodes and the endpoints; wait until ready."""
        await self.store.start(self.store_address)
        self.store.put_config(config)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        for endpoint in self.endpoints:
            await endpoint.start()
        self.note('all nodes are ready')

    def run_beside(self, work) -> None:
        """Run a coroutine until it ends or the case does."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def next_id(self) -> str:
        """Return the id of the next client attempt."""
        self._sent += 1
        return f'{self._sent:016x}'

    async def request(
        self,
        machine: Machine,
        method: str,
        target: str,
        deadline_ms: int,
        body: bytes = b'',
        request_id: str = '',
        timeout_s: float = 0.0,
    ) -> tuple[str, wire.Response]:
        """Send a client's request to a machine; return its id and response."""
        request_id = request_id or self.next_id()
        headers = {
            'Host': HOST_NAME,
            'Jayflow-Request-Id': request_id,
            'Jayflow-Deadline-Ms': str(deadline_ms),
        }
        self.note(f'sent {request_id} {method} {target} to {machine.name}')
        response = await wire.call(
            machine.outbound,
            method,
            target,
            headers,
            body,
            timeout_s or deadline_ms / 1000,
        )
        self.note(
            f'answered {request_id} status={response.status} '
            f'bytes={len(response.body)} after={response.elapsed_s:.3f} '
            f'error={response.error!r}'
        )
        return request_id, response

    def close(self) -> None:
        """End all processes and write the record."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
        for endpoint in self.endpoints:
            endpoint.close()
            for run in endpoint.runs:
                text = f'ran {run.request_id} {run.target} at {run.instance}'
                self._lines.append((run.at - self.began, text))
        self.store.close()
        lines = [f'{at:8.3f} {text}\n' for at, text in sorted(self._lines)]
        (self.case / 'record.txt').write_text(''.join(lines))
        if kept := os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(
    name: str,
    path: str,
    kind: str,
    service: str,
    timeout_s: float,
    max_attempts: int = 2,
) -> list:
    """Return a row of the table of routes."""
    return [
        name,
        HOST_NAME,
        path,
        kind,
        timeout_s,
        timeout_s / 2,
        1,
        service,
        max_attempts,
        None,
    ]


def config(version: int, services: list[str], *routes: list) -> dict:
    """Return a desired state."""
    return {
        'version': f'r{version}',
        'routes': {
            'columns': [
                'name',
                'hostname',
                'path_prefix',
                'type',
                'timeout_s',
                'target_latency_s',
                'priority',
                'service',
                'max_attempts',
                'traffic_split',
            ],
            'rows': list(routes),
        },
        'services': {
            'columns': ['name', 'health_check_path', 'max_connections'],
            'rows': [[name, endpoints.HEALTH_PATH, 240] for name in services],
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


def main(fleet: Fleet, run: Run) -> None:
    """Run a case and exit with its result."""

    async def run_and_close() -> int:
        try:
            return await run(fleet)
        except NotRunError as exc:
            fleet.say(f'could not run: {exc}')
            return NOT_RUN
        finally:
            fleet.close()

    # Ends the nodes as well if the case is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    result = asyncio.run(run_and_close())
    print(json.dumps({'exit': result, 'trouble': is_troubled()}))
    sys.exit(result)
