"""Collect the faults in configuration text, with file and line.

All faults of a text are reported together instead of one at a time.
"""

import dataclasses
from typing import NoReturn


@dataclasses.dataclass(frozen=True, order=True)
class Location:
    """Identify a line of a file and the section it belongs to."""

    file: str
    line: int
    section: str = ''

    def __str__(self) -> str:
        prefix = f'{self.file}:{self.line}:'
        return f'{prefix} [{self.section}]' if self.section else prefix


@dataclasses.dataclass(frozen=True, order=True)
class Finding:
    """Describe one fault and its location."""

    location: Location
    text: str

    def __str__(self) -> str:
        return f'{self.location} {self.text}'


class FindingError(ValueError):
    """Carry one finding as an error."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class Findings:
    """Collect findings so that all are reported together."""

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def add(self, location: Location, text: str) -> None:
        """Add one finding."""
        self._findings.append(Finding(location, text))

    def __len__(self) -> int:
        return len(self._findings)

    def __iter__(self):
        return iter(sorted(self._findings))

    def raise_all(self, title: str) -> NoReturn:
        """Raise an ExceptionGroup of one FindingError for each finding."""
        raise ExceptionGroup(
            title, [FindingError(finding) for finding in self]
        )

    def raise_if_any(self, title: str) -> None:
        """Raise the ExceptionGroup if there are findings."""
        if self._findings:
            self.raise_all(title)


def format_group(group: BaseExceptionGroup) -> list[str]:
    """Return the findings of a group, one line for each."""
    return [str(exc) for exc in group.exceptions]
