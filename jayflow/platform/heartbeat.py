"""Take heartbeats of the backend server beside the node."""

from collections.abc import Callable
import math

import msgspec

from jayflow.connection import announcement
from jayflow.platform import wire
from jayflow.process import announcing
from jayflow.process import registration
from jayflow.process import settings
from jayflow.version import quantity

_STATUS = {
    registration.Verdict.TAKEN: 200,
    registration.Verdict.STALE: 200,
    registration.Verdict.LEFT: 200,
    registration.Verdict.NOT_READY: 503,
    registration.Verdict.UNKNOWN_SERVICE: 400,
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
    # Unix milliseconds of the server's start.
    born: int = 0


class _Goodbye(msgspec.Struct):
    born: int = 0


class App:
    """Serve the calls of backend servers as an ASGI application."""

    def __init__(
        self,
        registered: registration.Registration,
        server: quantity.Address | None,
    ) -> None:
        self._registration = registered
        self._server = server

    @classmethod
    def from_settings(
        cls,
        cfg: settings.Settings,
        registered: registration.Registration,
        status: Callable[[], bytes],
    ) -> 'App':
        """Return the application of one node."""
        del status
        return cls(registered, cfg.server)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one call."""
        if scope['type'] != 'http':
            return
        body = await announcing.read_body(receive)
        status = await self._answer(scope['method'], scope['path'], body)
        await announcing.send_json(send, status, b'{}')

    async def _answer(self, method: str, path: str, body: bytes) -> int:
        if method != 'POST':
            return 404
        try:
            if path.startswith(wire.HEARTBEAT_PATH):
                instance = path.removeprefix(wire.HEARTBEAT_PATH)
                said = decode(instance, body)
                if self._server and (said.host, said.port) != self._server:
                    return 400
                return _STATUS[await self._registration.announce(said)]
            if path.startswith(wire.DEREGISTER_PATH):
                instance = path.removeprefix(wire.DEREGISTER_PATH)
                bye = msgspec.json.decode(body or b'{}', type=_Goodbye)
                verdict = await self._registration.withdraw(instance, bye.born)
                return _STATUS[verdict]
        except (msgspec.DecodeError, ValueError):
            return 400
        return 404


def decode(instance: str, body: bytes) -> announcement.Announcement:
    """Return an announcement; ValueError for one that is garbled."""
    said = msgspec.json.decode(body, type=_Heartbeat)
    state = said.status.state
    cold_s = said.status.cold_remaining_s
    if state not in (wire.STATE_READY, wire.STATE_DRAINING) or not instance:
        raise ValueError(f'unknown state {state!r}')
    if not math.isfinite(cold_s) or cold_s < 0:
        raise ValueError('the cold start is not a duration')
    address = quantity.address(said.address)
    return announcement.Announcement(
        instance=instance,
        services=(quantity.name(said.info.service),),
        host=address.host,
        port=address.port,
        slots=said.info.slots,
        cold_start_s=cold_s,
        draining=state == wire.STATE_DRAINING,
        born=said.born,
        sequence=said.status.sequence,
    )
