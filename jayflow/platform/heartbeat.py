"""Serve the heartbeats of a node's backend server.

On the users' platform a server announces itself by heartbeats and, when it
stops, deregisters. Both are passed on to the node's registration.
"""

from collections.abc import Callable
import math

import msgspec

from jayflow.connection import announcement
from jayflow.connection import codec
from jayflow.connection import messages
from jayflow.platform import protocol
from jayflow.process import control_api
from jayflow.process import server_registration
from jayflow.process import settings
from jayflow.version import value_parsers

_HTTP_STATUS = {
    server_registration.AnnounceResult.ACCEPTED: 200,
    server_registration.AnnounceResult.STALE: 200,
    server_registration.AnnounceResult.LEFT: 200,
    server_registration.AnnounceResult.NOT_READY: 503,
    server_registration.AnnounceResult.UNKNOWN_SERVICE: 400,
}


class _Info(msgspec.Struct):
    service: str
    slots: int
    # The version of the server's software, not of the configuration.
    version: str = ''
    zone: str = ''


class _Status(msgspec.Struct):
    state: str
    sequence: int
    cold_remaining_s: float = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    # Start of the server's process in Unix milliseconds.
    born: int = 0


class _Deregistration(msgspec.Struct):
    born: int = 0


class HeartbeatApp:
    """Serve heartbeats and deregistrations as an ASGI application.

    Given the address of the node's server, it rejects heartbeats that
    name another address.
    """

    def __init__(
        self,
        registration: server_registration.ServerRegistration,
        server: value_parsers.Address | None,
    ) -> None:
        self._registration = registration
        self._server = server

    @classmethod
    def from_settings(
        cls,
        cfg: settings.Settings,
        registration: server_registration.ServerRegistration,
        status: Callable[[], bytes],
    ) -> 'HeartbeatApp':
        """Return the application of one node."""
        del status
        return cls(registration, cfg.server)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        body = await control_api.read_body(receive)
        status = await self._handle(scope['method'], scope['path'], body)
        await control_api.send_json(send, status, b'{}')

    async def _handle(self, method: str, path: str, body: bytes) -> int:
        if method != 'POST':
            return 404
        try:
            if path.startswith(protocol.HEARTBEAT_PATH):
                instance = path.removeprefix(protocol.HEARTBEAT_PATH)
                heartbeat = decode(instance, body)
                if (
                    self._server
                    and (heartbeat.host, heartbeat.port) != self._server
                ):
                    return 400
                return _HTTP_STATUS[
                    await self._registration.announce(heartbeat)
                ]
            if path.startswith(protocol.DEREGISTER_PATH):
                instance = path.removeprefix(protocol.DEREGISTER_PATH)
                deregistration = codec.decode_json(
                    body or b'{}', _Deregistration
                )
                if not messages.is_sendable(deregistration.born):
                    return 400
                result = await self._registration.withdraw(
                    instance, deregistration.born
                )
                return _HTTP_STATUS[result]
        except (msgspec.DecodeError, ValueError):
            return 400
        return 404


def decode(instance: str, body: bytes) -> announcement.Announcement:
    """Return the announcement in a heartbeat; ValueError if malformed."""
    heartbeat = codec.decode_json(body, _Heartbeat)
    state = heartbeat.status.state
    cold_s = heartbeat.status.cold_remaining_s
    if (
        state not in (protocol.STATE_READY, protocol.STATE_DRAINING)
        or not instance
    ):
        raise ValueError(f'unknown state {state!r} or no instance')
    if not math.isfinite(cold_s) or cold_s < 0:
        raise ValueError('cold_remaining_s must be finite and not negative')
    address = value_parsers.address(heartbeat.address)
    return announcement.Announcement(
        instance=instance,
        services=(value_parsers.object_name(heartbeat.info.service),),
        host=address.host,
        port=address.port,
        slots=heartbeat.info.slots,
        draining=state == protocol.STATE_DRAINING,
        born=heartbeat.born,
        sequence=heartbeat.status.sequence,
        cold_s=cold_s,
    )
