"""Let the backend server announce itself to its node over loopback."""

from collections.abc import Callable
from typing import Self

import msgspec

from jayflow.connection import announcement
from jayflow.connection import messages
from jayflow.process import registration
from jayflow.process import settings
from jayflow.request import door as doors

MAX_BODY_BYTES = 16 * 1024
PATH = '/announcement'
STATUS_PATH = '/status'


class App:
    """Serve announcements and the node's status as an ASGI application.

    PUT announces or renews, DELETE withdraws, GET of the status path
    returns the status as JSON.
    """

    def __init__(
        self,
        node: messages.NodeId,
        registered: registration.Registration,
        status: Callable[[], bytes],
    ) -> None:
        self._node = node
        self._registration = registered
        self._door = registered.door
        self._status = status

    @classmethod
    def from_settings(
        cls,
        cfg: settings.Settings,
        registered: registration.Registration,
        status: Callable[[], bytes],
    ) -> Self:
        """Return the application of one node."""
        return cls(cfg.name, registered, status)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        body = await read_body(receive)
        match scope['method'], scope['path']:
            case 'GET', '/status':
                await send_json(send, 200, self._status())
            case 'PUT', '/announcement':
                await self._announce(body, send)
            case 'DELETE', '/announcement':
                self._door.withdraw()
                await send_json(send, 200, self._reply())
            case _:
                await send_json(send, 404, b'{}')

    async def _announce(self, body: bytes, send) -> None:
        try:
            said = msgspec.json.decode(body, type=announcement.Announcement)
        except (msgspec.DecodeError, ValueError) as exc:
            error = msgspec.json.encode({'error': str(exc)})
            await send_json(send, 400, error)
            return
        await self._registration.announce(said)
        await send_json(send, 200, self._reply())

    def _reply(self) -> bytes:
        return msgspec.json.encode(
            announcement.AnnounceReply(
                self._node, self._door.busy, doors.RENEW_S
            )
        )


async def read_body(receive) -> bytes:
    """Return a call's body, as far as the limit allows."""
    body, more = bytearray(), True
    while more and len(body) < MAX_BODY_BYTES:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return bytes(body)


async def send_json(send, status: int, body: bytes) -> None:
    """Answer a call with a JSON document."""
    rows = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': rows}
    )
    await send({'type': 'http.response.body', 'body': body})
