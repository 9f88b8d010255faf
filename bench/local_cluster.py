"""Run a platform, nodes and sample servers as processes on loopback.

The experiments, the demo and the process tests use it.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Self

HOST = '127.0.0.1'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
NODES_START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
SETTINGS_TEMPLATE = """[node]
name = {name}
data-centre = {data_centre}
http = {host}:{http}
peer = {host}:{peer}
announce = {host}:{announce}
stop-limit = {stop_limit}

[platform]
address = {host}:{platform}
call-deadline = 1 s
calls-per-second = 20

[logs]
format = json
"""
OBJECTS_INI = """[region r1]
[region r2]
[data_centre dc1]
region = r1
[data_centre dc2]
region = r2
[link l]
regions = r1, r2
capacity = 30 Mbit/s
traffic-budget = 8 Mbit/s
measuring-budget = 16 kbit/s
seats = 8
[policy quick]
deadline = 2 s
try-timeout = 500 ms
[policy long]
request-class = bulk
deadline = 20 s
try-timeout = 20 s
[service lookups]
policy = quick
[service packs]
policy = long
[service lists]
policy = quick
[service catalogue]
policy = quick
[route lookups]
host = test.example
path = /lookup
service = lookups
[route lists]
host = test.example
path = /lists
service = lists
[route packs]
host = test.example
path = /packs
service = packs
[route catalogue]
host = test.example
path = /catalogue
service = catalogue
"""
CALLER_HOST = 'test.example'


class WaitTimeoutError(Exception):
    """Report a condition that did not become true within a timeout."""


_reserved_ports: set[int] = set()


def reserve_ports(count: int) -> list[int]:
    """Return free TCP ports below the range of outgoing connections.

    No port is returned twice: the process that got a port may not have
    bound it yet.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            port = 20000 + int.from_bytes(os.urandom(2)) % 12000
            if port in _reserved_ports:
                continue
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
            _reserved_ports.add(port)
        return ports


def wait_until(
    condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S
) -> float:
    """Wait for a condition; return the seconds that it took."""
    start = time.monotonic()
    while not condition():
        if time.monotonic() - start > timeout_s:
            raise WaitTimeoutError(
                f'condition not true after {timeout_s} s: {condition}'
            )
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start


@dataclasses.dataclass(frozen=True)
class Response:
    """Hold one complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def reason(self) -> str:
        """Return the reason of a problem document, else an empty string."""
        if self.headers.get('content-type') != 'application/problem+json':
            return ''
        return json.loads(self.body)['reason']

    @property
    def outcome(self) -> str:
        """Return the outcome that the response reports."""
        return self.headers.get('jayflow-outcome', 'answered')


class KeptConnection:
    """Send requests one after the other on one connection."""

    def __init__(self, port: int, timeout_s: float = 10.0) -> None:
        self._conn = http.client.HTTPConnection(HOST, port, timeout=timeout_s)

    def send_request(
        self,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send one request; a truncated response raises an error."""
        self._conn.request(
            method, path, body, {'Host': CALLER_HOST, **(headers or {})}
        )
        return _read_response(self._conn)

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()


def send_request(
    port: int,
    path: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    host: str = CALLER_HOST,
    timeout_s: float = 10.0,
) -> Response:
    """Send one request; a truncated response raises an http.client error."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    try:
        conn.request(method, path, body, {'Host': host, **(headers or {})})
        return _read_response(conn)
    finally:
        conn.close()


def _read_response(conn: http.client.HTTPConnection) -> Response:
    response = conn.getresponse()
    data = response.read()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Response(response.status, headers, data)


class Process:
    """Run one jayflow command and write its output to a log file."""

    def __init__(self, folder: pathlib.Path, name: str, *args: str) -> None:
        self.name = name
        self.log_path = folder / f'{name}.log'
        with self.log_path.open('ab') as log:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', 'jayflow', *args],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        return self._popen.wait(timeout_s)


@dataclasses.dataclass
class Node:
    """Hold a node process and its ports."""

    name: str
    data_centre: str
    http_port: int
    peer_port: int
    announce_port: int
    settings: pathlib.Path
    process: Process
    is_stopping: bool = False

    def status(self) -> dict:
        """Return the node's own status."""
        return json.loads(send_request(self.announce_port, '/status').body)

    def counter(self, name: str) -> int:
        """Return one of the node's counters."""
        return self.status()['counters'].get(name, 0)

    def server_count(self) -> int:
        """Return how many members with a server the node knows."""
        return sum(
            bool(member['services']) for member in self.status()['members']
        )

    def has_started(self) -> bool:
        """Return whether the node answers.

        Raises RuntimeError with the end of its log if the process ended.
        """
        if not self.process.is_running:
            raise RuntimeError(self.process.log_path.read_text()[-2000:])
        return self.is_up()

    def is_up(self) -> bool:
        """Return whether the node answers on its announce address."""
        try:
            return bool(self.status())
        except (OSError, http.client.HTTPException):
            return False


@dataclasses.dataclass
class Server:
    """Hold a sample server process, its port and its node."""

    name: str
    port: int
    node: Node
    args: tuple[str, ...]
    process: Process

    @property
    def run_log_path(self) -> pathlib.Path:
        """Return the file in which the server records what it started."""
        return pathlib.Path(self.args[self.args.index('--run-log') + 1])

    def runs(self) -> list[dict]:
        """Return the requests that the server started, over all restarts."""
        if not self.run_log_path.exists():
            return []
        lines = self.run_log_path.read_bytes().splitlines()
        return [json.loads(line) for line in lines]


class LocalCluster:
    """Manage the processes of a cluster and their files in one folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.platform_port = reserve_ports(1)[0]
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self._processes: list[Process] = []
        self._numbers = itertools.count(1)

    @classmethod
    @contextlib.contextmanager
    def open(cls) -> Self:
        """Yield a cluster with a running platform; then kill all processes."""
        with tempfile.TemporaryDirectory() as folder:
            cluster = cls(pathlib.Path(folder))
            try:
                cluster.start_platform()
                yield cluster
            finally:
                cluster.close()

    def start_platform(self) -> Process:
        """Start the platform emulator."""
        address = f'{HOST}:{self.platform_port}'
        process = self._start('platform', 'platform', '--address', address)
        wait_until(lambda: _is_listening(self.platform_port))
        return process

    def start_node(
        self, data_centre: str = 'dc1', stop_limit: str = '30 s'
    ) -> Node:
        """Start a node and wait until it answers."""
        return self.start_nodes(1, data_centre, stop_limit)[0]

    def start_nodes(
        self,
        count: int,
        data_centre: str = 'dc1',
        stop_limit: str = '30 s',
        template: str | None = None,
    ) -> list[Node]:
        """Start nodes concurrently and wait until all answer."""
        nodes = [
            self._launch_node(
                data_centre, stop_limit, template or SETTINGS_TEMPLATE
            )
            for _ in range(count)
        ]
        for node in nodes:
            wait_until(node.has_started, NODES_START_TIMEOUT_S)
        return nodes

    def _launch_node(
        self, data_centre: str, stop_limit: str, template: str
    ) -> Node:
        name = f'n{next(self._numbers)}'
        http_port, peer, announce = reserve_ports(3)
        settings = self.folder / f'{name}.ini'
        settings.write_text(
            template.format(
                name=name,
                data_centre=data_centre,
                host=HOST,
                http=http_port,
                peer=peer,
                announce=announce,
                stop_limit=stop_limit,
                platform=self.platform_port,
            ),
            encoding='utf-8',
        )
        process = self._start(name, 'node', '--settings', str(settings))
        node = Node(
            name, data_centre, http_port, peer, announce, settings, process
        )
        self.nodes.append(node)
        return node

    def restart_node(self, node: Node) -> None:
        """Start a node's process again with the same settings."""
        node.process = self._start(
            node.name, 'node', '--settings', str(node.settings)
        )
        wait_until(node.is_up)
        node.is_stopping = False

    def start_server(
        self, node: Node, services: str = 'lookups', *args: str
    ) -> Server:
        """Start a sample server that announces itself to a node."""
        port = reserve_ports(1)[0]
        name = f's{len(self.servers) + 1}'
        log = self.folder / f'{name}.runs'
        server_args = ('--services', services, '--run-log', str(log), *args)
        process = self._start_server(name, port, node, server_args)
        server = Server(name, port, node, server_args, process)
        self.servers.append(server)
        wait_until(lambda: bool(node.status()['services']))
        return server

    def restart_server(self, server: Server) -> None:
        """Start a server's process again at the same address."""
        server.process = self._start_server(
            server.name, server.port, server.node, server.args
        )
        wait_until(lambda: _is_listening(server.port))

    def start_nodes_with_servers(
        self, count: int, services: str = 'lookups', *args: str
    ) -> None:
        """Start nodes, each with a server, and publish the objects."""
        for _ in range(count):
            self.start_server(self.start_node(), services, *args)
        self.publish()
        self.wait_for_members(len(self.servers))

    def publish(self, text: str = OBJECTS_INI) -> int:
        """Publish objects and wait until they are in force."""
        path = self.folder / 'objects.ini'
        path.write_text(text, encoding='utf-8')
        output = self.command('publish', '--json', str(path))
        version = json.loads(output)['version']
        wait_until(
            lambda: all(
                node.status()['version'] >= version for node in self.nodes
            )
        )
        return version

    def wait_for_members(self, count: int, timeout_s: float = 10.0) -> float:
        """Wait until every running node knows exactly count members."""
        return wait_until(
            lambda: all(
                len(node.status()['members']) == count
                for node in self.nodes
                if node.process.is_running
            ),
            timeout_s,
        )

    def wait_for_servers(self, count: int, timeout_s: float = 10.0) -> float:
        """Wait until every node knows exactly count members with a server.

        A node without a server is a member of the nodes that it subscribes
        to as well.
        """
        return wait_until(
            lambda: all(node.server_count() == count for node in self.nodes),
            timeout_s,
        )

    def command(self, name: str, *args: str) -> str:
        """Run an operator's command and return its output."""
        platform = ('--platform', f'{HOST}:{self.platform_port}')
        completed = subprocess.run(
            [sys.executable, '-m', 'jayflow', name, *platform, *args],
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
        return completed.stdout

    def set_fault(self, kind: str) -> None:
        """Inject a fault into the platform; `none` ends all faults."""
        send_request(self.platform_port, f'/control/fault?kind={kind}')

    def platform_call_counts(self) -> dict[str, int]:
        """Return the number of calls to the platform by kind."""
        response = send_request(self.platform_port, '/control/calls')
        return json.loads(response.body)['calls']

    def stop_gracefully(self) -> dict[str, int]:
        """Ask servers, nodes and the platform to stop, in that order.

        Return the exit code of each process by name.
        """
        codes = {}
        for group in (
            [server.process for server in self.servers],
            [node.process for node in self.nodes],
            [self._processes[0]],
        ):
            for process in group:
                process.signal(signal.SIGTERM)
            for process in group:
                codes[process.name] = process.wait()
        return codes

    def close(self) -> None:
        """Kill all processes, paused ones too, and wait for them."""
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()

    def _start(self, name: str, *args: str) -> Process:
        process = Process(self.folder, name, *args)
        self._processes.append(process)
        return process

    def _start_server(self, name, port, node, args) -> Process:
        return self._start(
            name,
            'backend',
            '--address',
            f'{HOST}:{port}',
            '--node',
            f'{HOST}:{node.announce_port}',
            *args,
        )


def _is_listening(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0
