"""Encode a configuration version as immutable parts and a manifest.

The encoded objects may exceed the platform's size limit for one value, so
they are stored in parts that are named by their digest. The manifest lists
the parts of the version in force; replacing it publishes a new version.
"""

import hashlib
from typing import NewType, Self

import msgspec

from jayflow.version import objects

VersionNumber = NewType('VersionNumber', int)
Digest = NewType('Digest', str)
MAX_PART_BYTES = 900_000
MANIFEST_KEY = 'live/config'
PART_PREFIX = 'config/parts/'
NO_VERSION = VersionNumber(0)


class CorruptPartError(ValueError):
    """Report a part whose content does not match its digest."""


class Manifest(msgspec.Struct, frozen=True):
    """List the parts of the version in force.

    It is written on the condition that its revision has not changed. If the
    response to the write is lost, the publisher finds its mark in the
    stored manifest and knows that the write succeeded.
    """

    number: VersionNumber
    parts: tuple[Digest, ...]
    mark: str
    author: str
    note: str = ''


class Version(msgspec.Struct, frozen=True):
    """Hold the number and the objects of one version."""

    number: VersionNumber
    objects: objects.ObjectSet

    @classmethod
    def empty(cls) -> Self:
        """Return the version of a node that has not received any."""
        return cls(NO_VERSION, objects.ObjectSet())

    @classmethod
    def from_parts(cls, manifest: Manifest, parts: list[bytes]) -> Self:
        """Return a version; raises CorruptPartError if a digest differs."""
        for digest, part in zip(manifest.parts, parts, strict=True):
            if part_digest(part) != digest:
                raise CorruptPartError(
                    f'part {digest} does not match its digest'
                )
        all_objects = msgspec.msgpack.decode(
            b''.join(parts), type=objects.ObjectSet
        )
        return cls(manifest.number, all_objects)


def part_digest(part: bytes) -> Digest:
    """Return the SHA-256 digest of a part in hexadecimal."""
    return Digest(hashlib.sha256(part).hexdigest())


def part_key(digest: Digest) -> str:
    """Return the platform key of a part."""
    return PART_PREFIX + digest


def encode_parts(all_objects: objects.ObjectSet) -> dict[Digest, bytes]:
    """Return the encoded objects in parts, each below the size limit."""
    data = msgspec.msgpack.Encoder(order='deterministic').encode(all_objects)
    parts = [
        data[start : start + MAX_PART_BYTES]
        for start in range(0, len(data), MAX_PART_BYTES)
    ]
    return {part_digest(part): part for part in parts}
