"""Run the operators' commands: explain, check, publish and status."""

import argparse
import sys

import anyio
import msgspec

from jayflow.commands import exit_codes
from jayflow.process import fleet_client
from jayflow.process import request_log
from jayflow.process import status_format
from jayflow.version import snapshot


def run_explain(args: argparse.Namespace) -> exit_codes.ExitCode:
    """Print the log lines of one request and a summary of how it ended."""
    lines = []
    for path in args.files:
        with path.open(encoding='utf-8', errors='replace') as log_file:
            lines += request_log.parse_lines(path.name, log_file)
    request_lines = request_log.lines_of_request(lines, args.id)
    for line in request_lines:
        print(request_log.format_line(line))
    print(request_log.summarize(request_lines, args.id))
    return (
        exit_codes.ExitCode.DONE
        if request_lines
        else exit_codes.ExitCode.FAILED
    )


def run_publish(args: argparse.Namespace) -> exit_codes.ExitCode:
    """Check and publish the configuration objects in files."""
    object_set = fleet_client.load_object_files(args.files)

    async def publish() -> snapshot.Manifest:
        client = fleet_client.FleetClient.from_address(args.platform)
        return await client.publish(object_set, args.note, args.based_on)

    try:
        manifest = anyio.run(publish)
    except fleet_client.VersionConflictError as exc:
        print(f'Nothing was published: {exc}.', file=sys.stderr)
        return exit_codes.ExitCode.VERSION_CONFLICT
    if args.json:
        _print_json({'version': manifest.number, 'mark': manifest.mark})
    else:
        print(f'Version {manifest.number} is published.')
    return exit_codes.ExitCode.DONE


def run_status(args: argparse.Namespace) -> exit_codes.ExitCode:
    """Print the status of the fleet."""

    async def status() -> fleet_client.FleetStatus:
        client = fleet_client.FleetClient.from_address(args.platform)
        if args.wait is None:
            return await client.fetch_status()
        with anyio.move_on_after(args.timeout):
            return await client.wait_for_version(args.wait)
        return await client.fetch_status()

    fleet = anyio.run(status)
    if args.json:
        _print_json(status_format.fleet_to_builtins(fleet))
    else:
        print('\n'.join(status_format.fleet_lines(fleet)))
    if args.wait is not None and not status_format.is_active_everywhere(
        fleet, args.wait
    ):
        return exit_codes.ExitCode.NOT_ACTIVE_EVERYWHERE
    return exit_codes.ExitCode.DONE


def _print_json(document) -> None:
    print(msgspec.json.encode(document).decode())
