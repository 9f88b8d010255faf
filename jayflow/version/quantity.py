"""Read quantities with units from configuration text."""

from collections.abc import Callable
import enum
import math
import re
from typing import NamedTuple, TypeVar

_QUANTITY = re.compile(r'^([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z/]+)$')
_SECONDS = {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}
_BYTES = {'B': 1, 'kB': 1000, 'MB': 1000**2, 'GB': 1000**3, 'TB': 1000**4}
_BYTES_PER_S = {
    'bit/s': 1 / 8,
    'kbit/s': 1000 / 8,
    'Mbit/s': 1000**2 / 8,
    'B/s': 1,
    'kB/s': 1000,
    'MB/s': 1000**2,
}
_NAME = re.compile(r'^[a-z0-9]([a-z0-9_.-]*[a-z0-9])?$')
MAX_PORT = 65535

State = TypeVar('State', bound=enum.Enum)


class Address(NamedTuple):
    """Hold an IP number or host name and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def _scaled(text: str, units: dict[str, float]) -> float:
    match = _QUANTITY.match(text)
    if match is None or match[2] not in units:
        raise ValueError(f'wants a number with one of {", ".join(units)}')
    value = float(match[1]) * units[match[2]]
    if value <= 0 or math.isinf(value):
        raise ValueError('must be more than 0')
    return value


def seconds(text: str) -> float:
    """Return a duration in seconds."""
    return _scaled(text, _SECONDS)


def byte_size(text: str) -> int:
    """Return a size in bytes."""
    return round(_scaled(text, _BYTES))


def byte_rate(text: str) -> float:
    """Return a rate in bytes per second."""
    return _scaled(text, _BYTES_PER_S)


def fraction(text: str) -> float:
    """Return a number from 0 to 1."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise ValueError('wants a number from 0 to 1')
    return value


def count(text: str) -> int:
    """Return a whole number of 1 or more."""
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        raise ValueError('wants a whole number of 1 or more')
    return int(text)


def whole(text: str) -> int:
    """Return a whole number of 0 or more."""
    if not text.isascii() or not text.isdigit():
        raise ValueError('wants a whole number of 0 or more')
    return int(text)


def name(text: str) -> str:
    """Return an object name."""
    if not _NAME.match(text):
        raise ValueError('wants a name of a-z, 0-9, dot, dash, underscore')
    return text


def names(text: str) -> tuple[str, ...]:
    """Return object names that are separated by commas."""
    return tuple(name(part.strip()) for part in text.split(','))


def line(text: str) -> str:
    """Return text that is not empty."""
    if not text:
        raise ValueError('must not be empty')
    return text


def path(text: str) -> str:
    """Return an absolute URL path."""
    if not text.startswith('/'):
        raise ValueError('wants a path that starts with /')
    return text


def flag(text: str) -> bool:
    """Return whether the text is yes."""
    if text not in ('yes', 'no'):
        raise ValueError('wants yes or no')
    return text == 'yes'


def address(text: str) -> Address:
    """Return an address written as HOST:PORT."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('wants HOST:PORT')
    return Address(host, int(port))


def choice(kind: type[State]) -> Callable[[str], State]:
    """Return a reader of the values of an Enum."""

    def read(text: str) -> State:
        try:
            return kind(text)
        except ValueError:
            options = ', '.join(each.value for each in kind)
            raise ValueError(f'wants one of {options}') from None

    return read
