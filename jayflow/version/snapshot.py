"""Encode a configuration version as immutable parts and a head."""

import hashlib
from typing import NewType, Self

import msgspec

from jayflow.version import objects

VersionNumber = NewType('VersionNumber', int)
Digest = NewType('Digest', str)
PART_BYTES = 900_000
HEAD_KEY = 'live/config'
PART_PREFIX = 'config/parts/'
NO_VERSION = VersionNumber(0)


class CorruptPartError(ValueError):
    """Report a part whose bytes do not match its digest."""


class Head(msgspec.Struct, frozen=True):
    """Name the parts of the version in force; written conditionally.

    The mark tells a publisher whose answer was lost that it succeeded.
    """

    number: VersionNumber
    parts: tuple[Digest, ...]
    mark: str
    author: str
    note: str = ''


class Version(msgspec.Struct, frozen=True):
    """Hold the objects of one version and its number."""

    number: VersionNumber
    objects: objects.Objects

    @classmethod
    def empty(cls) -> Self:
        """Return the version of a node that has seen none."""
        return cls(NO_VERSION, objects.Objects())

    @classmethod
    def from_parts(cls, head: Head, parts: list[bytes]) -> Self:
        """Return a version; CorruptPartError when a digest differs."""
        for digest, part in zip(head.parts, parts, strict=True):
            if digest_of(part) != digest:
                raise CorruptPartError(f'part {digest} has other bytes')
        whole = msgspec.msgpack.decode(b''.join(parts), type=objects.Objects)
        return cls(head.number, whole)


def digest_of(part: bytes) -> Digest:
    """Return the SHA-256 of a part in hex."""
    return Digest(hashlib.sha256(part).hexdigest())


def part_key(digest: Digest) -> str:
    """Return the platform key of a part."""
    return PART_PREFIX + digest


def split(whole: objects.Objects) -> dict[Digest, bytes]:
    """Return the encoded objects in parts under the platform's limit."""
    data = msgspec.msgpack.Encoder(order='deterministic').encode(whole)
    parts = [
        data[start : start + PART_BYTES]
        for start in range(0, len(data), PART_BYTES)
    ]
    return {digest_of(part): part for part in parts}
