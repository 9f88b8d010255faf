"""Parse the command line and run one command.

Exit codes: 0 done, 1 failed, 2 bad input (nothing was started or
published), 3 another operator published first, 4 version not active on
every node in time, 5 warnings under check --strict. For diff: 0 no
difference, 1 some, 2 not compared.
"""

import argparse
from collections.abc import Callable
import importlib
import pathlib
import sys

from jayflow.commands import exit_codes
from jayflow.connection import platform as api
from jayflow.process import settings
from jayflow.version import findings
from jayflow.version import value_parsers

DEFAULT_WAIT_TIMEOUT_S = 30.0


def _lazy_command(module: str, function: str) -> Callable:
    """Return a function that imports the command's module when called.

    Each process thus imports only the command that it runs.
    """

    def run(args: argparse.Namespace) -> exit_codes.ExitCode:
        command_module = importlib.import_module(f'jayflow.commands.{module}')
        return getattr(command_module, function)(args)

    return run


def _argument_type(parse: Callable) -> Callable:
    """Return an argparse type function that reports ValueError texts.

    argparse replaces the text of a ValueError with a generic message.
    """

    def parse_argument(text: str):
        try:
            return parse(text)
        except ValueError as exc:
            raise argparse.ArgumentTypeError(str(exc)) from exc

    return parse_argument


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    root = argparse.ArgumentParser(
        prog='jayflow',
        description=(
            'Load balancer for backend servers whose load changes within '
            'milliseconds.'
        ),
        epilog=(
            'Exit codes: 0 done, 1 failed, 2 bad input, 3 another operator '
            'published first, 4 version not active on every node in time, 5 '
            'warnings under check --strict. For diff: 0 no difference, 1 '
            'some, 2 not compared.'
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
        'explain', help='print the log lines of one request'
    )
    cmd.add_argument('id', help='request id')
    cmd.add_argument('files', nargs='+', type=pathlib.Path, metavar='FILE')
    cmd.set_defaults(run=_lazy_command('operate', 'run_explain'))


def _add_node(commands) -> None:
    cmd = commands.add_parser('node', help='run a node')
    cmd.add_argument(
        '--settings',
        type=pathlib.Path,
        help=(
            'INI file of this node'
            f' (default: ${settings.SETTINGS_FILE_VARIABLE})'
        ),
    )
    cmd.set_defaults(run=_lazy_command('serve', 'run_node'))


def _add_objects(commands) -> None:
    cmd = commands.add_parser('check', help='check configuration objects')
    cmd.add_argument('files', nargs='+', type=pathlib.Path, metavar='FILE')
    cmd.add_argument('--json', action='store_true')
    cmd.add_argument(
        '--strict',
        action='store_true',
        help='exit with 5 if there are warnings',
    )
    cmd.set_defaults(run=_lazy_command('configuration', 'run_check'))
    cmd = commands.add_parser(
        'diff', help='compare two configurations, object by object'
    )
    cmd.add_argument(
        'paths',
        nargs='+',
        type=pathlib.Path,
        metavar='OLD NEW',
        help='files or directories; only NEW with --platform',
    )
    _add_address(
        cmd,
        '--platform',
        'compare with the version in force at this object service',
        is_required=False,
    )
    cmd.add_argument('--json', action='store_true')
    cmd.set_defaults(run=_lazy_command('configuration', 'run_diff'))
    cmd = commands.add_parser(
        'publish', help='check and publish configuration objects'
    )
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
    cmd.set_defaults(run=_lazy_command('operate', 'run_publish'))


def _add_status(commands) -> None:
    cmd = commands.add_parser('status', help='show the status of the fleet')
    _add_platform_address(cmd)
    cmd.add_argument(
        '--wait',
        type=int,
        metavar='VERSION',
        help='wait until this version is active on every node',
    )
    cmd.add_argument(
        '--timeout',
        type=_argument_type(value_parsers.seconds),
        default=DEFAULT_WAIT_TIMEOUT_S,
        help='how long to wait, for example "30 s"',
    )
    cmd.add_argument('--json', action='store_true')
    cmd.set_defaults(run=_lazy_command('operate', 'run_status'))


def _add_platform(commands) -> None:
    cmd = commands.add_parser(
        'platform', help='run an in-memory emulator of the platform'
    )
    _add_address(cmd, '--address', 'listening address')
    cmd.set_defaults(run=_lazy_command('stand_in', 'run_platform'))


def _add_backend(commands) -> None:
    cmd = commands.add_parser('backend', help='run a sample backend server')
    cmd.add_argument(
        '--services',
        type=_argument_type(value_parsers.object_names),
        required=True,
        help='services to announce, separated by commas',
    )
    _add_address(cmd, '--address', 'listening address')
    _add_address(cmd, '--node', "the node's announce address")
    cmd.add_argument(
        '--slots', type=_argument_type(value_parsers.positive_int), default=18
    )
    cmd.add_argument(
        '--service-time',
        type=_argument_type(value_parsers.seconds),
        default=0.005,
    )
    cmd.add_argument(
        '--jitter', type=_argument_type(value_parsers.fraction), default=0.5
    )
    cmd.add_argument(
        '--cold-start', type=_argument_type(value_parsers.seconds), default=0.0
    )
    cmd.add_argument(
        '--drain-limit',
        type=_argument_type(value_parsers.seconds),
        default=600.0,
    )
    cmd.add_argument(
        '--rate-limit',
        type=_argument_type(value_parsers.non_negative_number),
        metavar='REQUESTS_PER_S',
        help='limit that the server names in its responses (default: none)',
    )
    cmd.add_argument(
        '--run-log',
        type=pathlib.Path,
        metavar='FILE',
        help='file that records each started request, for history checks',
    )
    cmd.add_argument('--seed', type=int, default=1)
    cmd.set_defaults(run=_lazy_command('stand_in', 'run_backend'))


def _add_address(
    cmd, option: str, help_text: str, is_required: bool = True
) -> None:
    cmd.add_argument(
        option,
        type=_argument_type(value_parsers.address),
        required=is_required,
        metavar='HOST:PORT',
        help=help_text,
    )


def _add_platform_address(cmd) -> None:
    _add_address(cmd, '--platform', "the platform's object service")


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return args.run(args)
    except* findings.FindingError as group:
        print('\n'.join(findings.format_group(group)), file=sys.stderr)
        code = exit_codes.ExitCode.BAD_INPUT
    except* (OSError, TimeoutError, api.PlatformError) as group:
        for exc in group.exceptions:
            print(f'jayflow: {exc!r}', file=sys.stderr)
        code = exit_codes.ExitCode.FAILED
    return code
