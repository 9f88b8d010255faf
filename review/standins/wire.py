"""Read and write HTTP/1.1 messages on asyncio streams.

The stand-ins need control over every byte (early responses, partial bodies,
silence), so they do not use an HTTP library.
"""

import asyncio
import contextlib
import dataclasses
import time

MAX_LINE = 1 << 20


@dataclasses.dataclass
class Request:
    """Hold a request as a stand-in received it; times are monotonic."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''
    arrived_at: float = 0.0


@dataclasses.dataclass
class Response:
    """Hold what a caller saw of a response.

    The error is empty if the response was complete.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    error: str = ''
    elapsed_s: float = 0.0


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; EOFError at the end."""
    line = await reader.readline()
    if not line.endswith(b'\n'):
        raise EOFError
    first = line.decode('latin-1').strip()
    headers: dict[str, str] = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise EOFError
        text = line.decode('latin-1').strip()
        if not text:
            return first, headers
        name, _, value = text.partition(':')
        headers[name.strip().lower()] = value.strip()


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).strip() or b'0', 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b''.join(parts)
    length = int(headers.get('content-length', '0'))
    return await reader.readexactly(length) if length else b''


async def read_request_head(reader: asyncio.StreamReader) -> Request:
    """Return a request without its body."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ', 2)
    return Request(method, target, headers, arrived_at=time.monotonic())


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def encode_response(
    status: int, headers: dict[str, str], body: bytes
) -> bytes:
    """Return a response with a length."""
    all_headers = {**headers, 'Content-Length': str(len(body))}
    return encode_head(f'HTTP/1.1 {status} X', all_headers) + body


def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection, whatever its state."""
    with contextlib.suppress(Exception):
        writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Response:
    """Send a request on a new connection and return what came back."""
    began = time.monotonic()
    result = Response()
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(address, method, target, headers, body, result)
    except TimeoutError:
        result.error = 'no complete response in time'
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError) as exc:
        result.error = repr(exc)
    result.elapsed_s = time.monotonic() - began
    return result


async def _exchange(address, method, target, headers, body, result) -> None:
    reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE)
    try:
        conn = KeptConnection(address, reader, writer)
        await conn.exchange(method, target, headers, body, result)
    finally:
        close(writer)


class KeptConnection:
    """Send requests one after the other on one connection."""

    def __init__(
        self,
        address: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._address = address
        self._reader = reader
        self._writer = writer

    async def exchange(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        result: Response,
    ) -> None:
        """Send a request and fill in the result as the response comes."""
        host, port = self._address
        all_headers = {'Host': f'{host}:{port}', **headers}
        if body or method != 'GET':
            all_headers['Content-Length'] = str(len(body))
        head = encode_head(f'{method} {target} HTTP/1.1', all_headers)
        # The body is sent while the response is read, which may come early.
        self._writer.write(head + body)
        first, result.headers = await read_head(self._reader)
        result.status = int(first.split(' ')[1])
        result.body = await read_body(self._reader, result.headers)

    def close(self) -> None:
        """Close the connection."""
        close(self._writer)
