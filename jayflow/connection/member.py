"""Define the membership record of a node and its backend server.

Each node writes its record to the platform and sends it to its peers, so
that they know where the node is and which services it can run.
"""

from typing import Self

import msgspec

from jayflow.connection import messages
from jayflow.version import objects

KEY_PREFIX = 'live/members/'


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent what one node publishes about itself to all others.

    `has_seat` is whether the node holds a seat of each link of its region.
    `left` lists the backend servers that left last, so that the node also
    rejects their late announcements after its own restart.
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
        return msgspec.json.decode(data, type=cls)
