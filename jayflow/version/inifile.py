"""Parse INI text into sections that keep the line of each key."""

from collections.abc import Callable
from collections.abc import Iterable
import configparser
import dataclasses
import re
from typing import Any

from jayflow.version import findings as diagnostics

_SECTION = re.compile(r'^\[(?P<title>[^]]+)\]')
_KEY = re.compile(r'^(?P<key>[^\s=:#;][^=:]*?)\s*[=:]')


@dataclasses.dataclass(frozen=True)
class Field:
    """Describe one key of a section: its parser and its default."""

    key: str
    parse: Callable[[str], Any]
    default: Any = None
    required: bool = False


@dataclasses.dataclass(frozen=True)
class Section:
    """Hold one section's values as text.

    The title is a kind, or a kind and a name separated by a space.
    """

    title: str
    location: diagnostics.Location
    values: dict[str, str]
    key_locations: dict[str, diagnostics.Location]

    @property
    def kind(self) -> str:
        """Return the kind, the first word of the title."""
        return self.title.partition(' ')[0]

    @property
    def name(self) -> str:
        """Return the name, the title without its first word."""
        return self.title.partition(' ')[2].strip()

    def location_of(self, key: str) -> diagnostics.Location:
        """Return the location of a key, or of the section if it is absent."""
        return self.key_locations.get(key, self.location)

    def parse_fields(
        self, fields: Iterable[Field], findings: diagnostics.Findings
    ) -> dict[str, Any]:
        """Return the value of each field; adds a finding for each fault."""
        fields_by_key = {field.key: field for field in fields}
        for key in self.values:
            if key not in fields_by_key:
                findings.add(self.location_of(key), f'unknown key {key!r}')
        return {
            key: self._read_field(field, findings)
            for key, field in fields_by_key.items()
        }

    def _read_field(self, field: Field, findings: diagnostics.Findings) -> Any:
        if field.key not in self.values:
            if field.required:
                findings.add(self.location, f'missing key {field.key!r}')
            return field.default
        try:
            return field.parse(self.values[field.key])
        except ValueError as exc:
            text = f'{field.key} = {self.values[field.key]}: {exc}'
            findings.add(self.location_of(field.key), text)
            return field.default


def parse(
    file: str, text: str, findings: diagnostics.Findings
) -> list[Section]:
    """Return the sections of one file in file order."""
    parser = configparser.RawConfigParser(
        strict=False, interpolation=None, default_section='\0'
    )
    try:
        parser.read_string(text, file)
    except configparser.MissingSectionHeaderError as exc:
        location = diagnostics.Location(file, exc.lineno)
        findings.add(location, 'text before the first section header')
        return []
    except configparser.ParsingError as exc:
        for line_number, _ in exc.errors:
            findings.add(
                diagnostics.Location(file, line_number),
                'not a key = value line',
            )
    return _locate(file, text, parser, findings)


def _locate(
    file: str,
    text: str,
    parser: configparser.RawConfigParser,
    findings: diagnostics.Findings,
) -> list[Section]:
    sections: dict[str, Section] = {}
    current = None
    for line_number, line in enumerate(text.splitlines(), 1):
        if match := _SECTION.match(line):
            title = match['title']
            location = diagnostics.Location(file, line_number, title)
            if title in sections:
                findings.add(location, 'duplicate section')
            values = dict(parser[title]) if parser.has_section(title) else {}
            current = Section(title, location, values, {})
            sections[title] = current
        elif current and (match := _KEY.match(line)):
            key = match['key'].lower()
            location = diagnostics.Location(file, line_number, current.title)
            if key in current.key_locations:
                findings.add(location, f'duplicate key {key!r}')
            current.key_locations[key] = location
    return list(sections.values())
