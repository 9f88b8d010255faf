"""Run all tests; print a closing line with the counts.

Tests named in KNOWN-RED.txt at the root run too, but do not fail the
run; they are printed.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def _known_red() -> set[str]:
    """Return the test ids that are the first word of an entry."""
    if not KNOWN_RED.exists():
        return set()
    rows = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {row.split()[0] for row in rows if row.startswith('tests.')}


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
    red = _known_red()
    failed = result.failures + result.errors
    bad = [test.id().split(' ')[0] for test, _ in failed]
    new = [name for name in bad if not any(name.startswith(r) for r in red)]
    for name in sorted(set(bad) - set(new)):
        print(f'known red: {name}')
    skipped = len(result.skipped)
    passed = result.testsRun - len(set(bad)) - skipped
    print(f'{passed} passed, {len(set(new))} failed, {skipped} skipped')
    return 1 if new or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
