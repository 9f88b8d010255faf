"""Define what a backend server sends to register with its node.

The server announces itself to its node and renews the announcement;
without a renewal it expires.
"""

import msgspec

from jayflow.connection import messages
from jayflow.version import objects

MAX_SLOTS = 100_000


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represent one announcement, valid until it is renewed or expires.

    `instance` and `born`, the time when the server's process started in
    Unix milliseconds, identify one start, so that a restart is noticed.
    `sequence` rises with each announcement. `born` and `sequence` are
    optional; 0 means that the server does not state them.

    `cold_start_s` is how long a server is cold after its start, as it states
    in each announcement. `cold_s` is how long it is cold from now on: None if
    it does not say, infinite if nobody knows.
    """

    instance: str
    services: tuple[objects.ServiceName, ...]
    host: str
    port: int
    slots: int
    connections: int = 0
    cold_start_s: float = 0.0
    draining: bool = False
    born: int = 0
    sequence: int = 0
    cold_s: float | None = None

    def __post_init__(self) -> None:
        if not 0 < self.slots <= MAX_SLOTS:
            raise ValueError(f'slots must be from 1 to {MAX_SLOTS}')
        if not self.services:
            raise ValueError('services must not be empty')
        if not all(map(messages.is_sendable, (self.born, self.sequence))):
            raise ValueError('born and sequence must be from 0 to 2^63 - 1')
        if not 0 < self.port < 65536:
            raise ValueError('port must be from 1 to 65535')

    @property
    def incarnation(self) -> messages.ServerIncarnation:
        """Return what identifies this start of the server's process."""
        return messages.ServerIncarnation(self.instance, self.born)

    @property
    def max_concurrency(self) -> int:
        """Return the maximum number of requests to run at once."""
        if self.connections:
            return min(self.slots, self.connections)
        return self.slots


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Acknowledge an announcement.

    Tells the backend server how many of its requests still run and at
    which interval to renew the announcement, in seconds.
    """

    node: str
    running: int
    renew_s: float
