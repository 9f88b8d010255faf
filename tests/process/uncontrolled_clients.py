"""Open many client connections that ignore all limits, for the tests.

A crowd runs on an event loop of its own, in the process of the test.
"""

import asyncio
import dataclasses
import pathlib
import socket

from bench import local_cluster

SPAN_S = 2.5
POLL_INTERVAL_S = 0.05
# How many bytes one client sends at most.
MAX_SENT_BYTES = 4 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 4096
# How often a slow client sends or reads.
SLOW_INTERVAL_S = 0.2
# The state of a socket in /proc/net/tcp. The queue of one that listens counts
# connections.
_LISTENING = '0A'


@dataclasses.dataclass(frozen=True)
class Pattern:
    """Describe what each client of a crowd does.

    A client sends `first`, then repeats `rest`. It reads nothing unless
    `reads_slowly`. With `is_slow` it sends `rest` once per interval. With
    `returns` it closes its connection at once and opens another; with
    `reconnects` it opens another once the node has closed one.
    """

    first: bytes = b''
    rest: bytes = b''
    reads_slowly: bool = False
    is_slow: bool = False
    returns: bool = False
    reconnects: bool = False


@dataclasses.dataclass(frozen=True)
class Peak:
    """Hold the most that a process had of memory and descriptors.

    Unread bytes are what the kernel has received for the process.
    """

    memory_bytes: int
    descriptors: int
    unread_bytes: int = 0


class _Client(asyncio.Protocol):
    def __init__(self, pattern: Pattern) -> None:
        self._pattern = pattern
        self._sent_bytes = 0
        self._is_writable = True
        self._is_scheduled = False
        self._loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.is_lost = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.pause_reading()
        transport.write(self._pattern.first)
        if self._pattern.reads_slowly:
            self._read_later()
        self._send_later()

    def data_received(self, data: bytes) -> None:
        self.transport.pause_reading()
        self._read_later()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost.set()

    def pause_writing(self) -> None:
        self._is_writable = False

    def resume_writing(self) -> None:
        self._is_writable = True
        self._send_later()

    def _read_later(self) -> None:
        self._loop.call_later(SLOW_INTERVAL_S, self._read)

    def _read(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _send_later(self) -> None:
        if self._pattern.rest and not self._is_scheduled:
            self._is_scheduled = True
            delay_s = SLOW_INTERVAL_S if self._pattern.is_slow else 0.0
            self._loop.call_later(delay_s, self._send)

    def _send(self) -> None:
        self._is_scheduled = False
        if self.transport.is_closing() or not self._is_writable:
            return
        if self._sent_bytes < MAX_SENT_BYTES:
            self._sent_bytes += len(self._pattern.rest)
            self.transport.write(self._pattern.rest)
            self._send_later()


def settings_template(
    ready: int, metrics: int, memory_mb: int, max_descriptors: int
) -> str:
    """Return the template of settings with all addresses and low limits."""
    host = local_cluster.HOST
    return local_cluster.SETTINGS_TEMPLATE.replace(
        '[platform]', f'ready = {host}:{ready}\n\n[platform]'
    ) + (
        f'[metrics]\naddress = {host}:{metrics}\n'
        f'[limits]\nmemory-mb = {memory_mb}\n'
        f'max-descriptors = {max_descriptors}\n'
    )


def run_crowd(
    pattern: Pattern,
    ports: list[int],
    count: int,
    pid: int,
    span_s: float = SPAN_S,
) -> Peak:
    """Let clients connect to the ports in turn; return the process's peak."""
    return asyncio.run(_run_crowd(pattern, ports, count, pid, span_s))


async def _run_crowd(
    pattern: Pattern, ports: list[int], count: int, pid: int, span_s: float
) -> Peak:
    tasks = [
        asyncio.create_task(_run_client(pattern, ports[index % len(ports)]))
        for index in range(count)
    ]
    descriptors = unread_bytes = 0
    until = asyncio.get_running_loop().time() + span_s
    while asyncio.get_running_loop().time() < until:
        descriptors = max(descriptors, _descriptor_count(pid))
        unread_bytes = max(unread_bytes, _unread_bytes(ports))
        await asyncio.sleep(POLL_INTERVAL_S)
    memory_bytes = _peak_memory_bytes(pid)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return Peak(memory_bytes, descriptors, unread_bytes)


async def _run_client(pattern: Pattern, port: int) -> None:
    """Keep one connection open until cancelled, or reconnect for ever."""
    loop = asyncio.get_running_loop()
    while True:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            await loop.sock_connect(sock, (local_cluster.HOST, port))
            transport, client = await loop.create_connection(
                lambda: _Client(pattern), sock=sock
            )
        except OSError:
            sock.close()
            await asyncio.sleep(SLOW_INTERVAL_S)
            continue
        except asyncio.CancelledError:
            sock.close()
            raise
        try:
            if pattern.reconnects:
                await client.is_lost.wait()
            elif not pattern.returns:
                await loop.create_future()
            await asyncio.sleep(0)
        finally:
            transport.abort()


def resident_bytes(pid: int) -> int:
    """Return the resident memory, 0 if the process has ended."""
    return _memory_bytes(pid, 'VmRSS')


def _peak_memory_bytes(pid: int) -> int:
    """Return the peak of the resident memory, 0 if the process has ended."""
    return _memory_bytes(pid, 'VmHWM')


def _memory_bytes(pid: int, field: str) -> int:
    for line in _read_status(pid).splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1]) * 1024
    return 0


def _unread_bytes(ports: list[int]) -> int:
    """Return the sum over the receive queues of local ports on Linux."""
    suffixes = tuple(f':{port:04X}' for port in ports)
    rows = pathlib.Path('/proc/net/tcp').read_text(encoding='ascii')
    fields = [row.split() for row in rows.splitlines()[1:]]
    return sum(
        int(queues.partition(':')[2], 16)
        for _, address, _, state, queues, *_ in fields
        if address.endswith(suffixes) and state != _LISTENING
    )


def _read_status(pid: int) -> str:
    try:
        return pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    except OSError:
        return ''


def _descriptor_count(pid: int) -> int:
    try:
        return sum(1 for _ in pathlib.Path(f'/proc/{pid}/fd').iterdir())
    except OSError:
        return 0
