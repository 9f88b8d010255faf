"""Decode data that another writer may have written.

msgspec reports data that is nested too deeply with a RecursionError. Here it
is a msgspec.DecodeError like any other fault of the data.
"""

import re
from typing import TypeVar
import zlib

import msgspec

Document = TypeVar('Document')

# Documents that nodes and operators write are nested less deeply.
MAX_DEPTH = 64
_STRING_OR_BRACKETS = re.compile(
    rb'"(?:[^"\\]|\\.)*"|[\[{]+|[\]}]+', re.DOTALL
)


# A document of the platform may have 1 MB; compressed data that claims more is
# not what a node sends.
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Return data compressed for another node."""
    return zlib.compress(data, level=1)


def decompress(data: bytes) -> bytes:
    """Return what another node compressed; ValueError if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise ValueError(f'compressed data is malformed: {exc}') from exc
    if not decompressor.eof:
        raise ValueError('compressed data is truncated or too large')
    return decompressed


def decode_json(data: bytes, document_type: type[Document]) -> Document:
    """Return a JSON document; msgspec.DecodeError if it is malformed."""
    try:
        return msgspec.json.decode(data, type=document_type)
    except RecursionError as exc:
        raise msgspec.DecodeError('document is nested too deeply') from exc


def decode_message(
    decoder: msgspec.msgpack.Decoder, data: bytes
) -> msgspec.Struct:
    """Return a MessagePack message; msgspec.DecodeError if malformed."""
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError('message is nested too deeply') from exc


def decode_collection(data: bytes, document_type: type[Document]) -> Document:
    """Return a JSON document that holds others' documents.

    A value that is nested too deeply is replaced by null, so that it spoils
    only the document that it is part of. Raises msgspec.DecodeError.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except RecursionError:
        return decode_json(_without_deep_values(data), document_type)


def _without_deep_values(data: bytes) -> bytes:
    """Replace each array or object beyond MAX_DEPTH by null."""
    kept, kept_from, depth = [], 0, 0
    for token in _STRING_OR_BRACKETS.finditer(data):
        count = len(token[0])
        if token[0][:1] in (b'[', b'{'):
            if depth <= MAX_DEPTH < depth + count:
                cut_at = token.start() + MAX_DEPTH - depth
                kept.append(data[kept_from:cut_at])
            depth += count
        elif token[0][:1] in (b']', b'}'):
            if depth - count <= MAX_DEPTH < depth:
                kept.append(b'null')
                kept_from = token.start() + depth - MAX_DEPTH
            depth -= count
    return b''.join((*kept, data[kept_from:]))
