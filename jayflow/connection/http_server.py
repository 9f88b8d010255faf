"""Serve ASGI applications with uvicorn inside the running event loop.

Adds to uvicorn the limits of a configuration version on header blocks and
idle connections, bounds on what all clients' connections hold, a hook that
handles malformed requests and returns the error response to send, and a
callback for lost connections.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import os
import socket

import uvicorn

from jayflow.connection import connection_limits
from jayflow.connection import connection_registry
from jayflow.connection import http_hooks
from jayflow.connection import http_protocol
from jayflow.version import objects

BACKLOG = 1024
# asyncio accepts as many connections in one turn of the event loop as it
# passes to listen(). Each of them is open before any other can be closed.
ACCEPTS_PER_TURN = 16
DISCONNECT_EXTENSION = http_hooks.DISCONNECT_EXTENSION
BadHead = http_hooks.BadHead
DisconnectNotifier = http_hooks.DisconnectNotifier


class _Server(uvicorn.Server):
    """Leave signal handling to the program and wait for the exit request.

    uvicorn's own loop wakes ten times a second to check for the request.
    """

    def __init__(self, cfg: uvicorn.Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(cfg)

    @property
    def should_exit(self) -> bool:
        """Return whether the server was asked to stop."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, is_requested: bool) -> None:
        if is_requested:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def startup(self, sockets: list[socket.socket] | None = None):
        """Start to listen, with the whole backlog."""
        await super().startup(sockets)
        for server in self.servers:
            for listening in server.sockets:
                with socket.socket(fileno=os.dup(listening.fileno())) as sock:
                    sock.listen(BACKLOG)

    async def main_loop(self) -> None:
        """Serve until the server is asked to stop."""
        await self.on_tick(0)
        await self._exit_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def create(
    app,
    host: str,
    port: int,
    on_bad_request: http_hooks.BadRequestHandler = (
        http_hooks.reject_without_body
    ),
    find_limits: Callable[[], objects.Limits] = objects.Limits,
    registry: connection_registry.ConnectionRegistry | None = None,
) -> uvicorn.Server:
    """Return a server; await its `serve` method to run it.

    find_limits is called for each connection and each request; what it
    returns may change. Servers may share a registry; without one, nothing
    limits the connections.
    """
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)
    if registry is None:
        registry = connection_registry.ConnectionRegistry(
            connection_limits.ConnectionLimits.from_resources()
        )
    cfg = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=type(
            'Protocol',
            (http_protocol.ClientProtocol,),
            {
                'on_bad_request': staticmethod(on_bad_request),
                'find_limits': staticmethod(find_limits),
                'registry': registry,
            },
        ),
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=ACCEPTS_PER_TURN,
    )
    return _Server(cfg)
