"""Select the headers that pass a node, and read those meant for it."""

from jayflow.connection import messages

KEY = b'idempotency-key'
DEADLINE = b'jayflow-deadline-ms'
MAX_KEY_BYTES = 255
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
        DEADLINE,
    }
)


class InvalidHeaderError(ValueError):
    """Report a header that the node can't read."""


def value_of(headers: messages.Headers, name: bytes) -> bytes | None:
    """Return the first value of a header whose name is in lower case."""
    for each, value in headers:
        if each == name:
            return value
    return None


def is_single(headers: messages.Headers, names: tuple[bytes, ...]) -> bool:
    """Return whether there is one host and no other name stands twice."""
    counts = dict.fromkeys(names, 0)
    for name, _ in headers:
        if name in counts:
            counts[name] += 1
    return counts.get(b'host', 1) == 1 and max(counts.values()) <= 1


def forwarded(headers: messages.Headers) -> messages.Headers:
    """Return the headers that pass to the next hop."""
    dropped = _HOP_BY_HOP
    nominated = value_of(headers, b'connection')
    if nominated:
        dropped = dropped | {
            name.strip().lower() for name in nominated.split(b',')
        }
    return [row for row in headers if row[0] not in dropped]


def framed(
    headers: messages.Headers, body: bytes, more: bool
) -> messages.Headers:
    """Return forwarded headers with the body's framing added."""
    rows = forwarded(headers)
    length = value_of(rows, b'content-length')
    if more:
        if length is None:
            rows.append((b'transfer-encoding', b'chunked'))
        return rows
    if body and length is None:
        rows.append((b'content-length', str(len(body)).encode()))
    return rows


def remaining_s(headers: messages.Headers, default_s: float) -> float:
    """Return the caller's remaining time, at most the policy's."""
    value = value_of(headers, DEADLINE)
    if value is None:
        return default_s
    if not value.isdigit():
        raise InvalidHeaderError('jayflow-deadline-ms wants milliseconds')
    return min(default_s, int(value) / 1000)


def key_of(headers: messages.Headers) -> bytes | None:
    """Return the caller's idempotency key, if there is one."""
    value = value_of(headers, KEY)
    if value is not None and not 0 < len(value) <= MAX_KEY_BYTES:
        raise InvalidHeaderError('idempotency-key wants 1 to 255 bytes')
    return value
