"""Bound what the client connections of all addresses of a node hold.

The bounds are worked out from the memory and the file descriptors of the
host, see docs/design/uncontrolled-clients.md.
"""

import dataclasses
from typing import Self

# Without settings, these are more than any host has.
DEFAULT_MEMORY_MB = 1024 * 1024
DEFAULT_MAX_DESCRIPTORS = 2**30
MB = 1024 * 1024
# A node without connections was measured at 40 MB. The rest is for members,
# versions and crash records.
NODE_MEMORY_MB = 64
# The remaining quarter is for allocator overhead and for what requests hold
# outside the connection, such as messages to peers.
CONNECTIONS_MEMORY_SHARE = 0.75
# The bound of hosts whose memory is not much above NODE_MEMORY_MB.
MIN_CONNECTIONS_MEMORY_SHARE = 0.125
# Settings, logs, listening sockets, the event loop and the platform.
FILE_DESCRIPTORS = 200
# The rest is for connections to peers and backend servers.
CLIENT_DESCRIPTORS_SHARE = 2 / 3
MIN_CONNECTIONS = 16
# A client that reads nothing of its answers for this long is disconnected.
UNREAD_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Limit the client connections of all addresses and what they hold."""

    connections: int
    held_bytes: int

    @classmethod
    def from_resources(
        cls,
        memory_mb: float | None = None,
        max_descriptors: float | None = None,
    ) -> Self:
        """Return the limits for a host; None or 0 stands for no setting."""
        memory_mb = memory_mb or DEFAULT_MEMORY_MB
        max_descriptors = max_descriptors or DEFAULT_MAX_DESCRIPTORS
        usable_mb = max(
            (memory_mb - NODE_MEMORY_MB) * CONNECTIONS_MEMORY_SHARE,
            memory_mb * MIN_CONNECTIONS_MEMORY_SHARE,
        )
        usable_descriptors = max_descriptors - FILE_DESCRIPTORS
        return cls(
            max(
                MIN_CONNECTIONS,
                int(usable_descriptors * CLIENT_DESCRIPTORS_SHARE),
            ),
            int(usable_mb * MB),
        )
