"""Run all tests, or those named as arguments, and print the counts.

Tests listed in KNOWN-RED.txt at the root run too; their failures are
printed but do not fail the run.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def _known_failures() -> set[str]:
    """Return the test ids: the first word of each entry."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {line.split()[0] for line in lines if line.startswith('tests.')}


def unexpected_failures(failed: list[str], known: set[str]) -> list[str]:
    """Return the failed tests that KNOWN-RED.txt does not name exactly."""
    return [name for name in failed if name not in known]


def main() -> int:
    """Run the tests and return the exit code."""
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(names)
        if names
        else loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = _known_failures()
    failures = result.failures + result.errors
    failed = [test.id().split(' ')[0] for test, _ in failures]
    unexpected = unexpected_failures(failed, known)
    for name in sorted(set(failed) - set(unexpected)):
        print(f'known red: {name}')
    skipped = len(result.skipped)
    passed = result.testsRun - len(set(failed)) - skipped
    print(f'{passed} passed, {len(set(unexpected))} failed, {skipped} skipped')
    return 1 if unexpected or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
