"""Lay out status for a person in a terminal and for a machine."""

import collections
from collections.abc import Iterator

import msgspec

from jayflow.connection import member as members
from jayflow.process import operators
from jayflow.process import status
from jayflow.version import objects
from jayflow.version import snapshot

COUNTERS_SHOWN = ('refused.', 'retried.')


def object_counts(whole: objects.Objects) -> dict[str, int]:
    """Return the number of objects of each kind."""
    return {kind: len(getattr(whole, kind)) for kind in objects.KINDS}


def counts_line(counts: dict[str, int]) -> str:
    """Return counts in one line."""
    return ', '.join(f'{count} {kind}' for kind, count in counts.items())


def is_in_force(
    fleet: operators.FleetStatus, number: snapshot.VersionNumber
) -> bool:
    """Return whether every member shows a version or a higher one."""
    return all(
        member.node in fleet.answers
        and fleet.answers[member.node].version >= number
        for member in fleet.members
    )


def fleet_document(fleet: operators.FleetStatus) -> dict:
    """Return the status of the fleet for a machine."""
    return {
        'version': fleet.head.number if fleet.head else 0,
        'author': fleet.head.author if fleet.head else None,
        'lagging': fleet.lagging,
        'nodes': [
            msgspec.to_builtins(fleet.answers[member.node])
            if member.node in fleet.answers
            else {'node': member.node, 'silent': True}
            for member in fleet.members
        ],
    }


def fleet_lines(fleet: operators.FleetStatus) -> Iterator[str]:
    """Yield the status of the fleet for a person."""
    if fleet.head is None:
        yield 'No version is published.'
    else:
        yield (
            f'Version {fleet.head.number} by {fleet.head.author}'
            f' {fleet.head.note}'.rstrip()
        )
    by_centre: dict[str, list[members.Member]] = collections.defaultdict(list)
    for member in fleet.members:
        by_centre[member.data_centre].append(member)
    for centre in sorted(by_centre):
        yield from _centre_lines(centre, by_centre[centre], fleet)


def _centre_lines(
    centre: str,
    found: list[members.Member],
    fleet: operators.FleetStatus,
) -> Iterator[str]:
    answers = [
        fleet.answers[member.node]
        for member in found
        if member.node in fleet.answers
    ]
    versions = sorted({answer.version for answer in answers})
    shown = ', '.join(map(str, versions)) or 'none'
    yield (
        f'{centre}: {len(found)} members, version {shown} in force, '
        f'{sum(member.draining for member in found)} draining, '
        f'{len(found) - len(answers)} silent'
    )
    for member in found:
        yield '  ' + _member_line(member, fleet.answers.get(member.node))


def _member_line(
    member: members.Member, answer: status.NodeStatus | None
) -> str:
    services = ','.join(member.services)
    if answer is None:
        return f'{member.node:<14} {services:<24} silent'
    state = 'draining' if answer.draining else 'serving'
    refused = sum(
        count
        for name, count in answer.counters.items()
        if name.startswith(COUNTERS_SHOWN)
    )
    return (
        f'{member.node:<14} {services:<24} {state:<9}'
        f' {answer.running:>3}/{answer.slots} running'
        f' {answer.queued:>3} queued'
        f' {answer.counters.get("request", 0):>7} requests'
        f' {refused:>5} refused or retried'
    )
