"""Serve and send HTTP/1.1 for the stand-ins of the review's cases."""

import asyncio
import contextlib
import itertools
import json
import random
import socket

MAX_HEAD_BYTES = 64 * 1024
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}


# Begins anywhere, as cases may run side by side.
_ports = itertools.count(random.randrange(10_000))


def free_port():
    """Return a port of the loopback address that nothing listens on.

    It is below those that systems give to outgoing connections.
    """
    while True:
        port = 20_000 + next(_ports) % 10_000
        with socket.socket() as sock:
            if sock.connect_ex(('127.0.0.1', port)):
                return port


def head(start_line, headers):
    """Return an encoded head."""
    lines = [start_line, *(f'{name}: {value}' for name, value in headers)]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def response(status, headers, body=b''):
    """Return an encoded response with a length."""
    rows = [*headers, ('Content-Length', len(body))]
    return head(f'HTTP/1.1 {status} {REASONS.get(status, "-")}', rows) + body


def json_response(status, document):
    """Return an encoded response with a JSON body."""
    headers = [('Content-Type', 'application/json')]
    return response(status, headers, json.dumps(document).encode())


async def read_message(reader):
    """Return the start line, headers and body of a message.

    Raises asyncio.IncompleteReadError if the connection ends before.
    """
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start_line, *lines = text[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
    return start_line, headers, body


async def serve(port, handle):
    """Serve connections on a port with handle(reader, writer)."""

    async def run(reader, writer):
        try:
            await handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer, or the case, has ended.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        run, '127.0.0.1', port, limit=MAX_HEAD_BYTES
    )


async def call(port, method, target, headers=(), body=b'', timeout_s=2.0):
    """Send a request on a new connection; return status, headers and body.

    The status is None if there is no complete response in time.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            rows = [('Host', f'127.0.0.1:{port}')]
            if any(name.lower() == 'host' for name, _ in headers):
                rows = []
            rows += [*headers, ('Content-Length', len(body))]
            writer.write(head(f'{method} {target} HTTP/1.1', rows) + body)
            start_line, fields, data = await read_message(reader)
            return int(start_line.split()[1]), fields, data
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b''
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
