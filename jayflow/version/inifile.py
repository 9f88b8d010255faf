"""Read INI text into sections whose entries know their place."""

from collections.abc import Callable
from collections.abc import Iterable
import configparser
import dataclasses
import re
from typing import Any

from jayflow.version import findings as found

_SECTION = re.compile(r'^\[(?P<title>[^]]+)\]')
_KEY = re.compile(r'^(?P<key>[^\s=:#;][^=:]*?)\s*[=:]')


@dataclasses.dataclass(frozen=True)
class Field:
    """Describe one key of a section: how to read it and its default."""

    key: str
    read: Callable[[str], Any]
    default: Any = None
    required: bool = False


@dataclasses.dataclass(frozen=True)
class Section:
    """Hold the text of one section; the title is its kind and its name."""

    title: str
    place: found.Place
    values: dict[str, str]
    places: dict[str, found.Place]

    @property
    def kind(self) -> str:
        """Return the first word of the title."""
        return self.title.partition(' ')[0]

    @property
    def name(self) -> str:
        """Return what follows the first word of the title."""
        return self.title.partition(' ')[2].strip()

    def place_of(self, key: str) -> found.Place:
        """Return the place of a key, or of the section without it."""
        return self.places.get(key, self.place)

    def read(
        self, fields: Iterable[Field], findings: found.Findings
    ) -> dict[str, Any]:
        """Return every field's value; add a finding for each fault."""
        known = {field.key: field for field in fields}
        for key in self.values:
            if key not in known:
                findings.add(self.place_of(key), f'unknown key {key!r}')
        return {
            key: self._read_one(field, findings)
            for key, field in known.items()
        }

    def _read_one(self, field: Field, findings: found.Findings) -> Any:
        if field.key not in self.values:
            if field.required:
                findings.add(self.place, f'missing key {field.key!r}')
            return field.default
        try:
            return field.read(self.values[field.key])
        except ValueError as exc:
            text = f'{field.key} = {self.values[field.key]}: {exc}'
            findings.add(self.place_of(field.key), text)
            return field.default


def parse(file: str, text: str, findings: found.Findings) -> list[Section]:
    """Return the sections of one file in their order."""
    parser = configparser.RawConfigParser(
        strict=False, interpolation=None, default_section='\0'
    )
    try:
        parser.read_string(text, file)
    except configparser.MissingSectionHeaderError as exc:
        place = found.Place(file, exc.lineno)
        findings.add(place, 'text before the first section')
        return []
    except configparser.ParsingError as exc:
        for number, _ in exc.errors:
            findings.add(found.Place(file, number), 'not a key = value line')
    return _placed(file, text, parser, findings)


def _placed(
    file: str,
    text: str,
    parser: configparser.RawConfigParser,
    findings: found.Findings,
) -> list[Section]:
    sections: dict[str, Section] = {}
    current = None
    for number, row in enumerate(text.splitlines(), 1):
        if match := _SECTION.match(row):
            title = match['title']
            place = found.Place(file, number, title)
            if title in sections:
                findings.add(place, 'section stands twice')
            values = dict(parser[title]) if parser.has_section(title) else {}
            current = Section(title, place, values, {})
            sections[title] = current
        elif current and (match := _KEY.match(row)):
            key = match['key'].lower()
            place = found.Place(file, number, current.title)
            if key in current.places:
                findings.add(place, f'key {key!r} stands twice')
            current.places[key] = place
    return list(sections.values())
