"""Findings about configuration text, collected with their place."""

import dataclasses
from typing import NoReturn


@dataclasses.dataclass(frozen=True, order=True)
class Place:
    """Name a line of a file and the section it belongs to."""

    file: str
    line: int
    section: str = ''

    def __str__(self) -> str:
        head = f'{self.file}:{self.line}:'
        return f'{head} [{self.section}]' if self.section else head


@dataclasses.dataclass(frozen=True, order=True)
class Finding:
    """State one fault and its place."""

    place: Place
    text: str

    def __str__(self) -> str:
        return f'{self.place} {self.text}'


class FindingError(ValueError):
    """Carry one finding as an error."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class Findings:
    """Collect findings so that all are reported together."""

    def __init__(self) -> None:
        self._found: list[Finding] = []

    def add(self, place: Place, text: str) -> None:
        """Add one finding."""
        self._found.append(Finding(place, text))

    def __len__(self) -> int:
        return len(self._found)

    def __iter__(self):
        return iter(sorted(self._found))

    def fail(self, title: str) -> NoReturn:
        """Raise all findings as one ExceptionGroup of FindingError."""
        raise ExceptionGroup(title, [FindingError(each) for each in self])

    def fail_if_any(self, title: str) -> None:
        """Raise as fail does, unless nothing was found."""
        if self._found:
            self.fail(title)


def lines_of(group: BaseExceptionGroup) -> list[str]:
    """List the findings inside a group, one line each."""
    return [str(exc) for exc in group.exceptions]
