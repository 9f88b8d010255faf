"""Measure the size of the state per service, member, attempt and key."""

from collections.abc import Callable
import time
import tracemalloc
from typing import Any

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.process import member_directory
from jayflow.request import claim_segments
from jayflow.request.decisions import attempt_registry
from jayflow.version import snapshot
from jayflow.version import validation

SERVICE_COUNT = 350
DATA_CENTRE_COUNT = 12
REGION_COUNT = 5
MEMBER_COUNT = 6000
ATTEMPT_COUNT = 10_000
CLAIM_COUNT = 1000


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    del seed
    start = time.perf_counter()
    object_set = validation.load_objects([('fleet.ini', objects_text())])
    checked_s = time.perf_counter() - start
    parts = snapshot.encode_parts(object_set)
    size = sum(len(part) for part in parts.values())
    start = time.perf_counter()
    manifest = snapshot.Manifest(
        snapshot.VersionNumber(1), tuple(parts), '', ''
    )
    snapshot.Version.from_parts(manifest, list(parts.values()))
    applied_s = time.perf_counter() - start
    return {
        'snapshot_bytes': size,
        'snapshot_bytes_per_service': round(size / SERVICE_COUNT, 1),
        'check_s': round(checked_s, 3),
        'apply_s': round(applied_s, 4),
        'member_object_bytes': len(_member(1).encode()),
        'member_memory_bytes': round(
            _allocated_bytes(_build_directory) / MEMBER_COUNT
        ),
        'attempt_memory_bytes': round(
            _allocated_bytes(_build_attempt_registry) / ATTEMPT_COUNT
        ),
        'claim_bytes': round(len(_segment().encode()) / CLAIM_COUNT, 1),
        'segment_bytes_at_most': round(
            len(_segment().encode())
            / CLAIM_COUNT
            * claim_segments.MAX_CLAIMS_PER_SEGMENT
        ),
    }


def objects_text() -> str:
    """Return an objects file of the size that is expected in two years."""
    sections = []
    for number in range(REGION_COUNT):
        sections.append(f'[region r{number}]')
    for number in range(DATA_CENTRE_COUNT):
        sections.append(
            f'[data_centre dc{number}]\nregion = r{number % REGION_COUNT}'
        )
    sections.append('[policy quick]\n[policy slow]\ndeadline = 30 s')
    for number in range(SERVICE_COUNT):
        policy = 'slow' if number % 5 == 0 else 'quick'
        sections.append(f'[service service-{number}]\npolicy = {policy}')
        sections.append(
            f'[route route-{number}]\nhost = service-{number}.example\n'
            f'service = service-{number}'
        )
    return '\n'.join(sections)


def _member(number: int) -> members.Member:
    return members.Member(
        messages.NodeId(f'node-{number:05d}'),
        messages.Incarnation(2**61 + number),
        f'dc{number % DATA_CENTRE_COUNT}',
        f'10.0.{number // 256}.{number % 256}',
        7000,
        (f'service-{number % SERVICE_COUNT}',),
        18,
    )


def _build_directory():
    directory = member_directory.MemberDirectory(messages.NodeId('n'), 'dc0')
    for number in range(MEMBER_COUNT):
        directory.put(members.Member.decode(_member(number).encode()))
    return directory


def _build_attempt_registry():
    incarnation = messages.Incarnation(1)
    registry = attempt_registry.AttemptRegistry(incarnation)
    for sequence in range(ATTEMPT_COUNT):
        attempt = messages.AttemptId(messages.Incarnation(2**61), sequence + 1)
        registry.admit(attempt, incarnation)
        registry.start(attempt)
        registry.finish(attempt, 0.0)
    return registry


def _segment() -> claim_segments.Segment:
    claims_by_digest = {
        claim_segments.key_digest(
            'lists', b'%d' % number
        ): claim_segments.Claim(
            messages.NodeId(f'node-{number:05d}'),
            messages.Incarnation(2**61),
            number,
            b'x' * 12,
        )
        for number in range(CLAIM_COUNT)
    }
    return claim_segments.Segment(claims_by_digest)


def _allocated_bytes(build: Callable[[], Any]) -> int:
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size
