"""Decide on claims of idempotency keys, as values of the platform.

A key is claimed once in a range's current segment before its request
runs; the segment's revision fences every claim. A full segment is sealed
and never changes again, and it is dropped after the retention time. Time
is measured by the sealing node's monotonic clock alone and never longer
than it was, so a key is kept at least as long as the policy says.
"""

import dataclasses
import hashlib
from typing import NewType, Self

import msgspec

from jayflow.connection import messages

KeyDigest = NewType('KeyDigest', bytes)
RANGES = 16
DIGEST_BYTES = 16
MAX_CLAIMS = 1000
SEGMENTS_PER_RETENTION = 8
PREFIX = 'keys/'
Claim = messages.Claim


class Segment(msgspec.Struct, frozen=True):
    """Hold the claims of one stretch of time; span in seconds."""

    claims: dict[KeyDigest, Claim] = {}
    span_s: float = 0.0
    sealed: bool = False

    def with_claims(self, added: dict[KeyDigest, Claim]) -> Self:
        """Return the segment with more claims."""
        return msgspec.structs.replace(self, claims={**self.claims, **added})

    def seal(self, span_s: float) -> Self:
        """Return the segment so that it takes no more claims."""
        return msgspec.structs.replace(self, sealed=True, span_s=span_s)

    def encode(self) -> bytes:
        """Return the segment as bytes."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Return a segment; msgspec.DecodeError for other bytes."""
        return msgspec.msgpack.decode(data, type=cls)


@dataclasses.dataclass(frozen=True)
class Wanted:
    """Ask for a claim; it may supersede one whose request did not run."""

    digest: KeyDigest
    claim: Claim
    supersedes: Claim | None = None


def digest_of(service: str, key: bytes) -> KeyDigest:
    """Return the digest that names a caller's key in the platform."""
    digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES)
    digest.update(service.encode())
    return KeyDigest(digest.digest())


def range_of(digest: KeyDigest) -> int:
    """Return the range that a key belongs to."""
    return digest[0] % RANGES


def range_prefix(service: str, number: int) -> str:
    """Return the prefix of a range's segments in the platform."""
    return f'{PREFIX}{service}/{number:02d}/'


def segment_key(prefix: str, number: int) -> str:
    """Return the platform key of a segment; keys sort by age."""
    return f'{prefix}{number:08d}'


def find(segments: list[Segment], digest: KeyDigest) -> Claim | None:
    """Return the newest claim of a key in segments that sort by age."""
    for segment in reversed(segments):
        claim = segment.claims.get(digest)
        if claim is not None:
            return claim
    return None


def is_free(segments: list[Segment], wanted: Wanted) -> bool:
    """Return whether a wanted claim may be added."""
    held = find(segments, wanted.digest)
    return held is None or held == wanted.supersedes


def is_due(segment: Segment, age_s: float, retention_s: float) -> bool:
    """Return whether a segment should be sealed."""
    is_old = age_s > retention_s / SEGMENTS_PER_RETENTION
    return bool(segment.claims) and (
        is_old or len(segment.claims) >= MAX_CLAIMS
    )


def expired(segments: list[Segment], retention_s: float) -> int:
    """Return how many of the oldest segments are past the retention."""
    later_s = 0.0
    for index in range(len(segments) - 1, -1, -1):
        if later_s > retention_s:
            return index + 1
        later_s += segments[index].span_s
    return 0
