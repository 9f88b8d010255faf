"""Serve the control interface of a node over loopback HTTP.

The node's backend server announces itself here, renews its
announcement and withdraws it. The same interface returns the node's status.
"""

from collections.abc import Callable
from typing import Self

import msgspec

from jayflow.connection import announcement
from jayflow.connection import codec
from jayflow.connection import messages
from jayflow.process import server_registration
from jayflow.process import settings
from jayflow.request import executor

# Only 200 acknowledges an announcement.
_STATUS_BY_RESULT = {
    server_registration.AnnounceResult.ACCEPTED: 200,
    server_registration.AnnounceResult.STALE: 409,
    server_registration.AnnounceResult.LEFT: 410,
    server_registration.AnnounceResult.NOT_READY: 503,
    server_registration.AnnounceResult.UNKNOWN_SERVICE: 400,
}
MAX_BODY_BYTES = 16 * 1024
ANNOUNCEMENT_PATH = '/announcement'
STATUS_PATH = '/status'


class ControlApp:
    """Serve announcements and the node's status as an ASGI application.

    PUT of the announcement path announces the server or renews its
    announcement, DELETE withdraws it. GET of the status path returns the
    node's status as JSON.
    """

    def __init__(
        self,
        node: messages.NodeId,
        registration: server_registration.ServerRegistration,
        status: Callable[[], bytes],
    ) -> None:
        self._node = node
        self._registration = registration
        self._executor = registration.executor
        self._status = status

    @classmethod
    def from_settings(
        cls,
        cfg: settings.Settings,
        registration: server_registration.ServerRegistration,
        status: Callable[[], bytes],
    ) -> Self:
        """Return the application for a node with these settings."""
        return cls(cfg.name, registration, status)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one HTTP request."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive)
        match scope['method'], scope['path']:
            case 'GET', '/status':
                await send_json(send, 200, self._status())
            case 'PUT', '/announcement':
                await self._announce(body, send)
            case 'DELETE', '/announcement':
                self._executor.remove_server()
                await send_json(send, 200, self._reply())
            case _:
                await send_json(send, 404, b'{}')

    async def _announce(self, body: bytes, send) -> None:
        try:
            decoded = codec.decode_json(body, announcement.Announcement)
        except (msgspec.DecodeError, ValueError) as exc:
            error = msgspec.json.encode({'error': str(exc)})
            await send_json(send, 400, error)
            return
        result = await self._registration.announce(decoded)
        await send_json(send, _STATUS_BY_RESULT[result], self._reply())

    def _reply(self) -> bytes:
        return msgspec.json.encode(
            announcement.AnnouncementReply(
                self._node,
                self._executor.in_flight,
                executor.ANNOUNCEMENT_INTERVAL_S,
            )
        )


async def read_body(receive) -> bytes:
    """Return the request body, read until it reaches MAX_BODY_BYTES.

    The last message read may exceed the limit; the rest is not read.
    """
    body, has_more = bytearray(), True
    while has_more and len(body) < MAX_BODY_BYTES:
        message = await receive()
        body += message.get('body', b'')
        has_more = message.get('more_body', False)
    return bytes(body)


async def send_json(send, status: int, body: bytes) -> None:
    """Send a response with a JSON document."""
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})
