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
    platform_age_s: float | None
    members: tuple[MemberStatus, ...]
    counters: dict[str, int]
