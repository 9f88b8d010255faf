"""Parse the values of configuration text.

Each parser returns the value or raises ValueError with a message that says
what is expected. Quantities are written as a number with a unit.
"""

from collections.abc import Callable
import enum
import math
import re
from typing import NamedTuple, TypeVar

_NUMBER = r'[0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?'
_QUANTITY = re.compile(rf'^({_NUMBER})\s*([A-Za-z/]+)$')
_SECONDS_BY_UNIT = {'ms': 0.001, 's': 1.0, 'min': 60.0, 'h': 3600.0}
_BYTES_BY_UNIT = {
    'B': 1,
    'kB': 1000,
    'MB': 1000**2,
    'GB': 1000**3,
    'TB': 1000**4,
}
_BYTES_PER_S_BY_UNIT = {
    'bit/s': 1 / 8,
    'kbit/s': 1000 / 8,
    'Mbit/s': 1000**2 / 8,
    'B/s': 1,
    'kB/s': 1000,
    'MB/s': 1000**2,
}
_NAME = re.compile(r'^[a-z0-9]([a-z0-9_.-]*[a-z0-9])?$')
_DIGEST = re.compile(r'^[0-9a-f]{64}$')
MAX_PORT = 65535

T = TypeVar('T')
EnumMember = TypeVar('EnumMember', bound=enum.Enum)


class Address(NamedTuple):
    """Hold an IP address or host name and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def _parse_quantity(text: str, units: dict[str, float]) -> float:
    match = _QUANTITY.match(text)
    if match is None or match[2] not in units:
        raise ValueError(f'expected a number with one of {", ".join(units)}')
    value = float(match[1]) * units[match[2]]
    if math.isinf(value):
        raise ValueError('must be finite')
    return value


def _parse_positive_quantity(text: str, units: dict[str, float]) -> float:
    value = _parse_quantity(text, units)
    if value <= 0:
        raise ValueError('must be greater than 0')
    return value


def seconds(text: str) -> float:
    """Return a duration in seconds that is greater than 0."""
    return _parse_positive_quantity(text, _SECONDS_BY_UNIT)


def non_negative_seconds(text: str) -> float:
    """Return a duration in seconds of 0 or more."""
    return _parse_quantity(text, _SECONDS_BY_UNIT)


def byte_size(text: str) -> int:
    """Return a size in bytes."""
    return round(_parse_positive_quantity(text, _BYTES_BY_UNIT))


def byte_rate(text: str) -> float:
    """Return a rate in bytes per second."""
    return _parse_positive_quantity(text, _BYTES_PER_S_BY_UNIT)


def fraction(text: str) -> float:
    """Return a number from 0 to 1."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= 1:
        raise ValueError('expected a number from 0 to 1')
    return value


def non_negative_number(text: str) -> float:
    """Return a finite number of 0 or more, with or without a fraction."""
    if re.fullmatch(_NUMBER, text) is None or math.isinf(float(text)):
        raise ValueError('expected a number of 0 or more')
    return float(text)


def positive_int(text: str) -> int:
    """Return a whole number of 1 or more."""
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        raise ValueError('expected a whole number of 1 or more')
    return int(text)


def non_negative_int(text: str) -> int:
    """Return a whole number of 0 or more."""
    if not text.isascii() or not text.isdigit():
        raise ValueError('expected a whole number of 0 or more')
    return int(text)


def object_name(text: str) -> str:
    """Return an object name."""
    if not _NAME.match(text):
        raise ValueError('expected a name of a-z, 0-9, dot, dash, underscore')
    return text


def object_names(text: str) -> tuple[str, ...]:
    """Return object names that are separated by commas."""
    return tuple(object_name(part.strip()) for part in text.split(','))


def digests(text: str) -> tuple[str, ...]:
    """Return SHA-256 digests in hexadecimal, separated by commas."""
    parts = tuple(part.strip().lower() for part in text.split(','))
    if not all(map(_DIGEST.match, parts)):
        raise ValueError('expected SHA-256 digests of 64 hexadecimal digits')
    return parts


def non_empty(text: str) -> str:
    """Return the text unless it is empty."""
    if not text:
        raise ValueError('must not be empty')
    return text


def path(text: str) -> str:
    """Return an absolute URL path."""
    if not text.startswith('/'):
        raise ValueError('expected a path that starts with /')
    return text


def optional(parse: Callable[[str], T]) -> Callable[[str], T | None]:
    """Return a parser that takes an empty text, as of a template, as None."""

    def parse_optional(text: str) -> T | None:
        return parse(text) if text else None

    return parse_optional


def seconds_or_number(text: str) -> float:
    """Return a duration, in seconds if it has no unit."""
    return seconds(f'{text} s' if re.fullmatch(_NUMBER, text) else text)


def flag(text: str) -> bool:
    """Return whether a flag is set; an empty text stands for no."""
    if text.lower() in ('', 'false', 'no'):
        return False
    if text.lower() not in ('true', 'yes'):
        raise ValueError('expected yes, no, true or false')
    return True


def yes_or_no(text: str) -> bool:
    """Return True for yes and False for no."""
    if text not in ('yes', 'no'):
        raise ValueError('expected yes or no')
    return text == 'yes'


def address(text: str) -> Address:
    """Return an address written as HOST:PORT."""
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError('expected HOST:PORT')
    return Address(host, int(port))


def enum_value(enum_type: type[EnumMember]) -> Callable[[str], EnumMember]:
    """Return a parser for the values of an Enum."""

    def parse(text: str) -> EnumMember:
        try:
            return enum_type(text)
        except ValueError:
            options = ', '.join(member.value for member in enum_type)
            raise ValueError(f'expected one of {options}') from None

    return parse
