"""Run the commands that check and compare configurations."""

import argparse
import sys

import anyio
import msgspec

from jayflow.commands import exit_codes
from jayflow.connection import platform as api
from jayflow.process import fleet_client
from jayflow.process import status_format
from jayflow.version import diff
from jayflow.version import findings as diagnostics
from jayflow.version import lint

ExitCode = exit_codes.ExitCode


def run_check(args: argparse.Namespace) -> ExitCode:
    """Check the configuration objects in files and print warnings."""
    try:
        loaded = fleet_client.load_files_with_sections(args.files)
    except* diagnostics.FindingError as group:
        if not args.json:
            raise
        faults = [exc.finding for exc in group.exceptions]
        _print_json({'errors': _to_builtins(faults), 'warnings': []})
        code = ExitCode.BAD_INPUT
    else:
        warnings = list(lint.find_warnings(loaded))
        counts = status_format.count_objects(loaded.objects)
        if args.json:
            _print_json(
                counts | {'errors': [], 'warnings': _to_builtins(warnings)}
            )
        else:
            for warning in warnings:
                print(
                    f'{warning.location} warning: {warning.text}',
                    file=sys.stderr,
                )
            print(
                'All objects are valid:', status_format.format_counts(counts)
            )
        code = ExitCode.DONE
        if warnings and args.strict:
            code = ExitCode.WARNINGS
    return code


def run_diff(args: argparse.Namespace) -> ExitCode:
    """Compare two configurations and print the differences."""
    if len(args.paths) != (1 if args.platform else 2):
        print(
            'jayflow: diff takes OLD and NEW, or --platform and NEW.',
            file=sys.stderr,
        )
        return ExitCode.BAD_INPUT
    try:
        new = fleet_client.load_object_files(args.paths[-1:])
        if args.platform:
            client = fleet_client.FleetClient.from_address(args.platform)
            old = anyio.run(client.fetch_published)
        else:
            old = fleet_client.load_object_files(args.paths[:1])
    except* (OSError, TimeoutError, api.PlatformError) as group:
        # FAILED would be taken for a difference.
        for exc in group.exceptions:
            # The representation of an OSError does not name the file.
            print(f'jayflow: {str(exc) or repr(exc)}', file=sys.stderr)
        code = ExitCode.BAD_INPUT
    else:
        changes = diff.compare(old, new)
        if args.json:
            _print_json({'changes': msgspec.to_builtins(changes)})
        else:
            print('\n'.join(diff.format_lines(changes) or ['No difference.']))
        code = ExitCode.DIFFERENT if changes else ExitCode.DONE
    return code


def _to_builtins(findings: list[diagnostics.Finding]) -> list[dict]:
    return [
        {
            'file': finding.location.file,
            'line': finding.location.line,
            'section': finding.location.section,
            'text': finding.text,
        }
        for finding in sorted(findings)
    ]


def _print_json(document) -> None:
    print(msgspec.json.encode(document).decode())
