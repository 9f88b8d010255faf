"""Define the membership record of a node and its backend server.

Each node writes its record to the platform and sends it to its peers, so
that they know where the node is and which services it can run.
"""

import re
from typing import Self

import msgspec

from jayflow.connection import codec
from jayflow.connection import messages
from jayflow.version import objects
from jayflow.version import value_parsers

KEY_PREFIX = 'live/members/'
_HOST = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*|\[[0-9A-Fa-f:.]+\]')


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """Name a request that is refused until a time in Unix milliseconds.

    `fingerprint` is in hexadecimal digits.
    """

    fingerprint: str
    expires_ms: int

    def __post_init__(self) -> None:
        bytes.fromhex(self.fingerprint)
        if not messages.is_sendable(self.expires_ms):
            raise ValueError(f'time {self.expires_ms} is out of range')


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent what one node publishes about itself to all others.

    `has_seat` is whether the node holds a seat of each link of its region.
    `left` lists the backend servers that left last, and `leaving` those that
    said that they would, so that the node also rejects their late
    announcements after its own restart. `quarantined` lists the requests
    whose last crash was one of its own server, so that nodes which restart
    refuse them as well.
    """

    node: messages.NodeId
    incarnation: messages.Incarnation
    data_centre: objects.DataCentreName
    host: str
    port: int
    services: tuple[objects.ServiceName, ...] = ()
    slots: int = 0
    draining: bool = False
    has_seat: bool = False
    instance: str = ''
    born: int = 0
    left: tuple[messages.ServerIncarnation, ...] = ()
    quarantined: tuple[QuarantinedRequest, ...] = ()
    leaving: tuple[messages.ServerIncarnation, ...] = ()

    @property
    def key(self) -> str:
        """Return the key of this member's record in the platform."""
        return KEY_PREFIX + self.node

    @property
    def address(self) -> str:
        """Return the ZeroMQ address that peers connect to."""
        return f'tcp://{self.host}:{self.port}'

    @property
    def server(self) -> messages.ServerIncarnation:
        """Return the start of the backend server beside the node."""
        return messages.ServerIncarnation(self.instance, self.born)

    def departures(self) -> list[messages.ServerIncarnation]:
        """Return the backend servers that are leaving or have left."""
        own_server = [self.server] if self.draining else []
        return [*self.left, *self.leaving, *own_server]

    def accepts(self, service: objects.ServiceName) -> bool:
        """Return whether new requests for a service may be sent here."""
        return service in self.services and not self.draining

    def encode(self) -> bytes:
        """Return the member encoded as JSON."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Return the member encoded in data.

        Raises msgspec.DecodeError for invalid data.
        """
        member = codec.decode_json(data, cls)
        if finding := _find_fault(member):
            raise msgspec.ValidationError(finding)
        return member


def _find_fault(member: Member) -> str:
    """Return why a member that another writer wrote can't be used, or ''."""
    if not member.node:
        return 'node must not be empty'
    if not _HOST.fullmatch(member.host):
        return f'host {member.host!r} is not a host name or IP'
    if not 0 < member.port <= value_parsers.MAX_PORT:
        return f'port {member.port} is not from 1 to {value_parsers.MAX_PORT}'
    start_times = [server.born for server in (*member.left, *member.leaving)]
    numbers = [member.incarnation, member.slots, member.born, *start_times]
    if not all(map(messages.is_sendable, numbers)):
        return f'one of the numbers {numbers} is out of range'
    return ''
