"""Parse the command line and run one command.

Exit codes: 0 done, 1 failed, 2 bad input (nothing was started or
published), 3 another operator published first, 4 not in force in time.
"""

import argparse
from collections.abc import Callable
import enum
import importlib
import os
import pathlib
import sys

import anyio
import msgspec

from jayflow.connection import http_server
from jayflow.connection import platform as api
from jayflow.emulator import backend
from jayflow.emulator import platform as platform_emulator
from jayflow import logs
from jayflow.process import boundary as boundaries
from jayflow.process import explaining
from jayflow.process import loop
from jayflow.process import node
from jayflow.process import operators
from jayflow.process import report
from jayflow.process import settings
from jayflow.version import findings
from jayflow.version import quantity
from jayflow.version import snapshot

DEFAULT_WAIT_S = 30.0
SETTINGS_VARIABLE = 'JAYFLOW_NODE_FILE'


class Exit(enum.IntEnum):
    """Name the exit codes."""

    DONE = 0
    FAILED = 1
    BAD_INPUT = 2
    LOST_RACE = 3
    NOT_IN_FORCE = 4


def _run_node(args: argparse.Namespace) -> Exit:
    path = args.settings or os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f'Give --settings or set {SETTINGS_VARIABLE}.', file=sys.stderr)
        return Exit.BAD_INPUT
    cfg = settings.Settings.from_file(pathlib.Path(path))
    logs.configure(cfg.log_format, cfg.log_level)
    loop.run(node.Node(cfg, _boundary_of(cfg)).run)
    return Exit.DONE


def _boundary_of(cfg: settings.Settings) -> boundaries.Boundary:
    """Return the boundary of the settings; an unused one is not loaded."""
    if cfg.protocol is settings.Protocol.METADATA:
        return importlib.import_module('jayflow.platform.boundary').METADATA
    return boundaries.OWN


def _run_explain(args: argparse.Namespace) -> Exit:
    lines = []
    for path in args.files:
        with path.open(encoding='utf-8', errors='replace') as rows:
            lines += explaining.read(path.name, rows)
    found = explaining.select(lines, args.id)
    for line in found:
        print(explaining.render(line))
    print(explaining.sentence(found, args.id))
    return Exit.DONE if found else Exit.FAILED


def _run_check(args: argparse.Namespace) -> Exit:
    whole = operators.load_files(args.files)
    counts = report.object_counts(whole)
    if args.json:
        _print_json(counts)
    else:
        print('Objects are sound:', report.counts_line(counts))
    return Exit.DONE


def _run_publish(args: argparse.Namespace) -> Exit:
    whole = operators.load_files(args.files)

    async def publish() -> snapshot.Head:
        operator = operators.Operator.from_address(args.platform)
        return await operator.publish(whole, args.note, args.based_on)

    try:
        head = anyio.run(publish)
    except operators.LostRaceError as exc:
        print(f'Nothing was published: {exc}.', file=sys.stderr)
        return Exit.LOST_RACE
    if args.json:
        _print_json({'version': head.number, 'mark': head.mark})
    else:
        print(f'Version {head.number} is published.')
    return Exit.DONE


def _run_status(args: argparse.Namespace) -> Exit:
    async def status() -> operators.FleetStatus:
        operator = operators.Operator.from_address(args.platform)
        if args.wait is None:
            return await operator.fleet()
        with anyio.move_on_after(args.timeout):
            return await operator.wait(args.wait)
        return await operator.fleet()

    fleet = anyio.run(status)
    if args.json:
        _print_json(report.fleet_document(fleet))
    else:
        print('\n'.join(report.fleet_lines(fleet)))
    if args.wait is not None and not report.is_in_force(fleet, args.wait):
        return Exit.NOT_IN_FORCE
    return Exit.DONE


def _run_platform(args: argparse.Namespace) -> Exit:
    logs.configure()

    async def serve() -> None:
        app = platform_emulator.App.empty()
        server = http_server.create(app, *args.address, _bad_request)
        await node.serve_until_signal(server)

    loop.run(serve)
    return Exit.DONE


def _run_backend(args: argparse.Namespace) -> Exit:
    logs.configure()
    options = backend.Options(
        services=args.services,
        address=args.address,
        node=args.node,
        slots=args.slots,
        service_s=args.service_time,
        jitter=args.jitter,
        cold_start_s=args.cold_start,
        drain_limit_s=args.drain_limit,
        run_log=args.run_log,
    )
    loop.run(backend.Backend.from_options(options, args.seed).run)
    return Exit.DONE


def _bad_request(is_too_large: bool):
    return (431 if is_too_large else 400), [(b'content-length', b'0')], b''


def _print_json(document) -> None:
    print(msgspec.json.encode(document).decode())


def _typed(read: Callable) -> Callable:
    """Return a reader whose ValueError text argparse shows."""

    def typed(text: str):
        try:
            return read(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(str(exc)) from exc

    return typed


def parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    root = argparse.ArgumentParser(
        prog='jayflow',
        description='Load balancer for servers whose load shifts fast.',
        epilog=(
            'Exit codes: 0 done, 1 failed, 2 bad input, 3 another operator '
            'published first, 4 not in force in time.'
        ),
    )
    commands = root.add_subparsers(dest='command', required=True)
    _add_node(commands)
    _add_explain(commands)
    _add_objects(commands)
    _add_status(commands)
    _add_platform(commands)
    _add_backend(commands)
    return root


def _add_explain(commands) -> None:
    cmd = commands.add_parser(
        'explain', help='gather the log lines of one request'
    )
    cmd.add_argument('id', help='the id of the request')
    cmd.add_argument('files', nargs='+', type=pathlib.Path, metavar='FILE')
    cmd.set_defaults(run=_run_explain)


def _add_node(commands) -> None:
    cmd = commands.add_parser('node', help='run a node')
    cmd.add_argument(
        '--settings',
        type=pathlib.Path,
        help=f'INI file of this process (default: ${SETTINGS_VARIABLE})',
    )
    cmd.set_defaults(run=_run_node)


def _add_objects(commands) -> None:
    cmd = commands.add_parser('check', help='check objects')
    cmd.add_argument('files', nargs='+', type=pathlib.Path, metavar='FILE')
    cmd.add_argument('--json', action='store_true')
    cmd.set_defaults(run=_run_check)
    cmd = commands.add_parser('publish', help='check and publish objects')
    cmd.add_argument('files', nargs='+', type=pathlib.Path, metavar='FILE')
    _add_platform_address(cmd)
    cmd.add_argument('--note', default='', help='what changed, and why')
    cmd.add_argument(
        '--based-on',
        type=int,
        metavar='VERSION',
        help='publish only if this version is still the newest',
    )
    cmd.add_argument('--json', action='store_true')
    cmd.set_defaults(run=_run_publish)


def _add_status(commands) -> None:
    cmd = commands.add_parser('status', help='show the status of the fleet')
    _add_platform_address(cmd)
    cmd.add_argument(
        '--wait',
        type=int,
        metavar='VERSION',
        help='wait until this version is in force everywhere',
    )
    cmd.add_argument(
        '--timeout',
        type=_typed(quantity.seconds),
        default=DEFAULT_WAIT_S,
        help='how long to wait, as in 30 s',
    )
    cmd.add_argument('--json', action='store_true')
    cmd.set_defaults(run=_run_status)


def _add_platform(commands) -> None:
    cmd = commands.add_parser(
        'platform', help='run a stand-in for the platform, in memory'
    )
    _add_address(cmd, '--address', 'where to listen')
    cmd.set_defaults(run=_run_platform)


def _add_backend(commands) -> None:
    cmd = commands.add_parser('backend', help='run a sample backend server')
    cmd.add_argument(
        '--services',
        type=_typed(quantity.names),
        required=True,
        help='services to announce, separated by commas',
    )
    _add_address(cmd, '--address', 'where to listen')
    _add_address(cmd, '--node', "the node's announce address")
    cmd.add_argument('--slots', type=_typed(quantity.count), default=18)
    cmd.add_argument(
        '--service-time', type=_typed(quantity.seconds), default=0.005
    )
    cmd.add_argument('--jitter', type=_typed(quantity.fraction), default=0.5)
    cmd.add_argument(
        '--cold-start', type=_typed(quantity.seconds), default=0.0
    )
    cmd.add_argument(
        '--drain-limit', type=_typed(quantity.seconds), default=600.0
    )
    cmd.add_argument(
        '--run-log',
        type=pathlib.Path,
        metavar='FILE',
        help='file that records each request it starts, for history checks',
    )
    cmd.add_argument('--seed', type=int, default=1)
    cmd.set_defaults(run=_run_backend)


def _add_address(cmd, option: str, text: str) -> None:
    cmd.add_argument(
        option,
        type=_typed(quantity.address),
        required=True,
        metavar='HOST:PORT',
        help=text,
    )


def _add_platform_address(cmd) -> None:
    _add_address(cmd, '--platform', "the platform's object service")


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = parser().parse_args(argv)
    try:
        return args.run(args)
    except* findings.FindingError as group:
        print('\n'.join(findings.lines_of(group)), file=sys.stderr)
        code = Exit.BAD_INPUT
    except* (OSError, TimeoutError, api.PlatformError) as group:
        for exc in group.exceptions:
            print(f'jayflow: {exc!r}', file=sys.stderr)
        code = Exit.FAILED
    return code
