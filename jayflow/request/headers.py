"""Filter the headers that a node forwards and parse those it reads."""

import math
import re

from jayflow.connection import messages

IDEMPOTENCY_KEY_HEADER = b'idempotency-key'
DEADLINE_HEADER = b'jayflow-deadline-ms'
MAX_KEY_BYTES = 255
_DECIMAL = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,20})?')
# A deadline with more digits lies beyond that of any request.
MAX_DEADLINE_DIGITS = 15
_HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        DEADLINE_HEADER,
    }
)


class InvalidHeaderError(ValueError):
    """Report a header with an invalid value."""


def value_of(headers: messages.Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; names are in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def decimal_of(headers: messages.Headers, name: bytes) -> float | None:
    """Return a decimal header, None if it is missing or malformed."""
    value = value_of(headers, name) or b''
    return float(value) if _DECIMAL.fullmatch(value) else None


def rate_limit_of(headers: messages.Headers, name: bytes) -> float | None:
    """Return the requests per second that a header allows.

    Returns infinity if the header is missing and None if it is malformed.
    """
    if value_of(headers, name) is None:
        return math.inf
    return decimal_of(headers, name)


def has_no_duplicates(
    headers: messages.Headers, names: tuple[bytes, ...]
) -> bool:
    """Return whether none of the named headers is repeated.

    If host is among the names, it must also be present.
    """
    counts = dict.fromkeys(names, 0)
    for name, _ in headers:
        if name in counts:
            counts[name] += 1
    return counts.get(b'host', 1) == 1 and max(counts.values()) <= 1


def end_to_end(headers: messages.Headers) -> messages.Headers:
    """Return the headers without the hop-by-hop ones."""
    dropped = _HOP_BY_HOP
    nominated = value_of(headers, b'connection')
    if nominated:
        dropped = dropped | {
            name.strip().lower() for name in nominated.split(b',')
        }
    return [row for row in headers if row[0] not in dropped]


def with_framing(
    headers: messages.Headers, body: bytes, more: bool
) -> messages.Headers:
    """Return end-to-end headers and those that frame the body."""
    framed_headers = end_to_end(headers)
    length = value_of(framed_headers, b'content-length')
    if more:
        if length is None:
            framed_headers.append((b'transfer-encoding', b'chunked'))
        return framed_headers
    if body and length is None:
        framed_headers.append((b'content-length', str(len(body)).encode()))
    return framed_headers


def remaining_s(headers: messages.Headers, default_s: float) -> float:
    """Return the caller's remaining time, at most the default."""
    value = value_of(headers, DEADLINE_HEADER)
    if value is None:
        return default_s
    if not value.isdigit():
        raise InvalidHeaderError(
            'jayflow-deadline-ms must be whole milliseconds'
        )
    digits = value.lstrip(b'0') or b'0'
    if len(digits) > MAX_DEADLINE_DIGITS:
        return default_s
    return min(default_s, int(digits) / 1000)


def idempotency_key(headers: messages.Headers) -> bytes | None:
    """Return the caller's idempotency key, if there is one."""
    value = value_of(headers, IDEMPOTENCY_KEY_HEADER)
    if value is not None and not 0 < len(value) <= MAX_KEY_BYTES:
        raise InvalidHeaderError('idempotency-key must have 1 to 255 bytes')
    return value
