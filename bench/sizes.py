"""Measure what state takes: bytes per service, member, attempt and key."""

from collections.abc import Callable
import time
import tracemalloc
from typing import Any

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import directory
from jayflow.request import claims
from jayflow.request import ledger as attempts
from jayflow.version import checks
from jayflow.version import snapshot

SERVICES = 350
DATA_CENTRES = 12
REGIONS = 5
MEMBERS = 6000
ATTEMPTS = 10_000
CLAIMS = 1000


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    del seed
    begun = time.perf_counter()
    whole = checks.load([('fleet.ini', objects_text())])
    checked_s = time.perf_counter() - begun
    parts = snapshot.split(whole)
    size = sum(len(part) for part in parts.values())
    begun = time.perf_counter()
    head = snapshot.Head(snapshot.VersionNumber(1), tuple(parts), '', '')
    snapshot.Version.from_parts(head, list(parts.values()))
    applied_s = time.perf_counter() - begun
    return {
        'snapshot_bytes': size,
        'snapshot_bytes_per_service': round(size / SERVICES, 1),
        'check_s': round(checked_s, 3),
        'apply_s': round(applied_s, 4),
        'member_object_bytes': len(_member(1).encode()),
        'member_memory_bytes': round(_memory(_fill_directory) / MEMBERS),
        'attempt_memory_bytes': round(_memory(_fill_ledger) / ATTEMPTS),
        'claim_bytes': round(len(_segment().encode()) / CLAIMS, 1),
        'segment_bytes_at_most': round(
            len(_segment().encode()) / CLAIMS * claims.MAX_CLAIMS
        ),
    }


def objects_text() -> str:
    """Return objects of the size that the brief expects in two years."""
    rows = []
    for number in range(REGIONS):
        rows.append(f'[region r{number}]')
    for number in range(DATA_CENTRES):
        rows.append(f'[data_centre dc{number}]\nregion = r{number % REGIONS}')
    rows.append('[policy quick]\n[policy slow]\ndeadline = 30 s')
    for number in range(SERVICES):
        policy = 'slow' if number % 5 == 0 else 'quick'
        rows.append(f'[service service-{number}]\npolicy = {policy}')
        rows.append(
            f'[route route-{number}]\nhost = service-{number}.example\n'
            f'service = service-{number}'
        )
    return '\n'.join(rows)


def _member(number: int) -> members.Member:
    return members.Member(
        messages.NodeId(f'node-{number:05d}'),
        messages.Incarnation(2**61 + number),
        f'dc{number % DATA_CENTRES}',
        f'10.0.{number // 256}.{number % 256}',
        7000,
        (f'service-{number % SERVICES}',),
        18,
    )


def _fill_directory():
    made = directory.Directory(messages.NodeId('n'), 'dc0')
    for number in range(MEMBERS):
        made.put(members.Member.decode(_member(number).encode()))
    return made


def _fill_ledger():
    incarnation = messages.Incarnation(1)
    ledger = attempts.Ledger(incarnation)
    for count in range(ATTEMPTS):
        attempt = messages.AttemptId(messages.Incarnation(2**61), count + 1)
        ledger.admit(attempt, incarnation)
        ledger.start(attempt)
        ledger.finish(attempt, 0.0)
    return ledger


def _segment() -> claims.Segment:
    found = {
        claims.digest_of('lists', b'%d' % number): claims.Claim(
            messages.NodeId(f'node-{number:05d}'),
            messages.Incarnation(2**61),
            number,
            b'x' * 12,
        )
        for number in range(CLAIMS)
    }
    return claims.Segment(found)


def _memory(make: Callable[[], Any]) -> int:
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return size
