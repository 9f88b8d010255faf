"""The status document of a node, as operators' commands read it."""

import msgspec


class MemberStatus(msgspec.Struct, frozen=True):
    """Hold what one node knows of another; times in seconds."""

    node: str
    data_centre: str
    services: tuple[str, ...]
    draining: bool
    failures: int
    cooldown_s: float
    report_age_s: float | None


class LinkStatus(msgspec.Struct, frozen=True):
    """Hold a node's seat on a link to a region, and what it sent there.

    Shares are in bytes per second, sums in bytes. A peak is the highest
    number of bytes in any window of one second.
    """

    region: str
    has_seat: bool
    traffic_share: float
    measuring_share: float
    traffic_sent: int
    measuring_sent: int
    traffic_peak: int
    measuring_peak: int


class ConnectionStatus(msgspec.Struct, frozen=True):
    """Hold the client connections of all addresses, and their limits.

    Bytes are an estimate of what the connections make the node keep.
    """

    open: int
    idle: int
    held_bytes: int
    max_open: int
    max_held_bytes: int


class NodeStatus(msgspec.Struct, frozen=True):
    """Hold the status of one node; ages in seconds."""

    node: str
    incarnation: int
    data_centre: str
    version: int
    services: tuple[str, ...]
    slots: int
    running: int
    queued: int
    draining: bool
    stopping: bool
    suspects: int
    quarantined: int
    links: tuple[LinkStatus, ...]
    platform_age_s: float | None
    members: tuple[MemberStatus, ...]
    counters: dict[str, int]
    config_age_s: float | None = None
    # Requests refused above the rate of their team, for the teams with most.
    team_refusals: dict[str, int] = {}
    # Whether the server beside the node is cold.
    cold: bool = False
    evacuated: tuple[str, ...] = ()
    evacuation_revision: int = 0
    connections: ConnectionStatus | None = None
