"""Format the status of the fleet and object counts as text or JSON."""

import collections
from collections.abc import Iterator

import msgspec

from jayflow.connection import member as members
from jayflow.process import fleet_client
from jayflow.process import status
from jayflow.version import objects
from jayflow.version import snapshot

# Prefixes of the counters that are summed in a member's line.
REFUSED_COUNTER_PREFIXES = ('refused.', 'retried.')


def count_objects(object_set: objects.ObjectSet) -> dict[str, int]:
    """Return the number of objects of each kind."""
    return {
        kind: len(getattr(object_set, kind)) for kind in objects.OBJECT_TYPES
    }


def format_counts(counts: dict[str, int]) -> str:
    """Return counts by kind as one line of text."""
    return ', '.join(f'{count} {kind}' for kind, count in counts.items())


def is_active_everywhere(
    fleet: fleet_client.FleetStatus, number: snapshot.VersionNumber
) -> bool:
    """Return whether all members report a version or a higher one."""
    return all(
        member.node in fleet.statuses
        and fleet.statuses[member.node].version >= number
        for member in fleet.members
    )


def fleet_to_builtins(fleet: fleet_client.FleetStatus) -> dict:
    """Return the status of the fleet as a document to encode as JSON."""
    return {
        'version': fleet.manifest.number if fleet.manifest else 0,
        'author': fleet.manifest.author if fleet.manifest else None,
        'lagging': fleet.lagging,
        'nodes': [
            msgspec.to_builtins(fleet.statuses[member.node])
            if member.node in fleet.statuses
            else {'node': member.node, 'silent': True}
            for member in fleet.members
        ],
    }


def fleet_lines(fleet: fleet_client.FleetStatus) -> Iterator[str]:
    """Yield the lines of the status of the fleet for the terminal."""
    if fleet.manifest is None:
        yield 'No version is published.'
    else:
        yield (
            f'Version {fleet.manifest.number} by {fleet.manifest.author}'
            f' {fleet.manifest.note}'.rstrip()
        )
    by_centre: dict[str, list[members.Member]] = collections.defaultdict(list)
    for member in fleet.members:
        by_centre[member.data_centre].append(member)
    for centre in sorted(by_centre):
        yield from _centre_lines(centre, by_centre[centre], fleet)


def _centre_lines(
    centre: str,
    centre_members: list[members.Member],
    fleet: fleet_client.FleetStatus,
) -> Iterator[str]:
    statuses = [
        fleet.statuses[member.node]
        for member in centre_members
        if member.node in fleet.statuses
    ]
    versions = sorted({node_status.version for node_status in statuses})
    shown = ', '.join(map(str, versions)) or 'none'
    yield (
        f'{centre}: {len(centre_members)} members, version {shown} in force, '
        f'{sum(member.draining for member in centre_members)} draining, '
        f'{len(centre_members) - len(statuses)} silent'
    )
    for member in centre_members:
        yield '  ' + _member_line(member, fleet.statuses.get(member.node))


def _member_line(
    member: members.Member, node_status: status.NodeStatus | None
) -> str:
    services = ','.join(member.services)
    if node_status is None:
        return f'{member.node:<14} {services:<24} silent'
    refused = sum(
        count
        for name, count in node_status.counters.items()
        if name.startswith(REFUSED_COUNTER_PREFIXES)
    )
    return (
        f'{member.node:<14} {services:<24} {_state(node_status):<9}'
        f' {node_status.running:>3}/{node_status.slots} running'
        f' {node_status.queued:>3} queued'
        f' {node_status.counters.get("request", 0):>7} requests'
        f' {refused:>5} refused or retried'
    )


def _state(node_status: status.NodeStatus) -> str:
    if node_status.draining:
        return 'draining'
    if node_status.data_centre in node_status.evacuated:
        return 'evacuated'
    return 'cold' if node_status.cold else 'serving'
