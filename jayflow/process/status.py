"""Describe a node to operators."""

import msgspec


class MemberStatus(msgspec.Struct, frozen=True):
    """Hold what one node knows of another member; ages in seconds."""

    node: str
    data_centre: str
    services: tuple[str, ...]
    draining: bool
    failures: int
    cooldown_s: float
    report_age_s: float | None


class LinkStatus(msgspec.Struct, frozen=True):
    """Hold a node's seat on a link and what it sent, in bytes.

    A peak is the most that any window of a second has held.
    """

    region: str
    has_seat: bool
    traffic_share: float
    measuring_share: float
    traffic_sent: int
    measuring_sent: int
    traffic_peak: int
    measuring_peak: int


class NodeStatus(msgspec.Struct, frozen=True):
    """Hold one node's status; ages in seconds."""

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
