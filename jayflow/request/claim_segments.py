"""Store claims of idempotency keys in segments on the platform.

Each service's keys are divided into ranges by their digest, and each range
is a sequence of segments. A key is claimed in the range's last segment
before its request runs; writes are conditional on the segment's revision,
so that of two concurrent claims of a key only one is stored. A full or old
segment is sealed, never changes again, and is deleted after the retention
time.

The node that seals a segment measures its span with its own monotonic
clock alone, from when it last loaded or created the segment. The span must
not be overestimated, so that a key is kept at least as long as the policy
says.
"""

import dataclasses
import hashlib
from typing import NewType, Self

import msgspec

from jayflow.connection import messages

KeyDigest = NewType('KeyDigest', bytes)
RANGE_COUNT = 16
DIGEST_BYTES = 16
# A segment is sealed once it has this many claims; its last batch may exceed
# the number.
MAX_CLAIMS_PER_SEGMENT = 1000
# A segment is also sealed when it is older than the retention time divided
# by this number.
SEGMENTS_PER_RETENTION = 8
KEY_PREFIX = 'keys/'
Claim = messages.Claim


class Segment(msgspec.Struct, frozen=True):
    """Hold the claims of one span of time; span_s is set when sealed."""

    claims: dict[KeyDigest, Claim] = {}
    span_s: float = 0.0
    sealed: bool = False

    def with_claims(self, added: dict[KeyDigest, Claim]) -> Self:
        """Return a copy of the segment with more claims."""
        return msgspec.structs.replace(self, claims={**self.claims, **added})

    def seal(self, span_s: float) -> Self:
        """Return a copy of the segment that takes no more claims."""
        return msgspec.structs.replace(self, sealed=True, span_s=span_s)

    def encode(self) -> bytes:
        """Return the segment as MessagePack."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Decode a segment; raise msgspec.DecodeError for invalid data."""
        return msgspec.msgpack.decode(data, type=cls)


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """Request a claim, which may replace one whose request did not run."""

    digest: KeyDigest
    claim: Claim
    supersedes: Claim | None = None


def key_digest(service: str, key: bytes, team: str = '') -> KeyDigest:
    """Return the digest under which a caller's key is stored.

    Each team has keys of its own, so that none gets another's response.
    """
    digest = hashlib.blake2b(key, digest_size=DIGEST_BYTES)
    digest.update(service.encode())
    if team:
        digest.update(b'\0' + team.encode())
    return KeyDigest(digest.digest())


def range_of(digest: KeyDigest) -> int:
    """Return the number of the range that a key belongs to."""
    return digest[0] % RANGE_COUNT


def range_prefix(service: str, number: int) -> str:
    """Return the prefix of the platform keys of a range's segments."""
    return f'{KEY_PREFIX}{service}/{number:02d}/'


def segment_key(prefix: str, number: int) -> str:
    """Return the platform key of a segment; keys sort by age."""
    return f'{prefix}{number:08d}'


def find_claim(segments: list[Segment], digest: KeyDigest) -> Claim | None:
    """Return the newest claim of a key; segments are sorted oldest first."""
    for segment in reversed(segments):
        claim = segment.claims.get(digest)
        if claim is not None:
            return claim
    return None


def may_claim(segments: list[Segment], request: ClaimRequest) -> bool:
    """Return whether a requested claim may be added."""
    existing = find_claim(segments, request.digest)
    return existing is None or existing == request.supersedes


def should_seal(segment: Segment, age_s: float, retention_s: float) -> bool:
    """Return whether a segment is old or full, and not empty."""
    is_old = age_s > retention_s / SEGMENTS_PER_RETENTION
    return bool(segment.claims) and (
        is_old or len(segment.claims) >= MAX_CLAIMS_PER_SEGMENT
    )


def count_expired(segments: list[Segment], retention_s: float) -> int:
    """Return how many of the oldest segments are past the retention.

    A segment expires when the segments after it span more than the
    retention time, because then its newest claim is at least that old.
    """
    later_span_s = 0.0
    for index in range(len(segments) - 1, -1, -1):
        if later_span_s > retention_s:
            return index + 1
        later_span_s += segments[index].span_s
    return 0
