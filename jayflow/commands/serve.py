"""Run the command that starts a node."""

import argparse
import importlib
import os
import pathlib
import sys

from jayflow.commands import exit_codes
from jayflow import logs
from jayflow.process import environment
from jayflow.process import event_loop
from jayflow.process import node
from jayflow.process import settings


def run_node(args: argparse.Namespace) -> exit_codes.ExitCode:
    """Run a node until it is stopped."""
    path = args.settings or os.environ.get(settings.SETTINGS_FILE_VARIABLE)
    if path is None:
        print(
            f'Pass --settings or set {settings.SETTINGS_FILE_VARIABLE}.',
            file=sys.stderr,
        )
        return exit_codes.ExitCode.BAD_INPUT
    cfg = settings.Settings.from_file(pathlib.Path(path))
    logs.configure(cfg.log_format, cfg.log_level)
    event_loop.run(node.Node(cfg, _environment_of(cfg)).run)
    return exit_codes.ExitCode.DONE


def _environment_of(cfg: settings.Settings) -> environment.Environment:
    """Return the environment for the platform protocol in the settings.

    The adapter of the metadata store is imported only when it is used.
    """
    if cfg.protocol is settings.Protocol.METADATA_STORE:
        return importlib.import_module(
            'jayflow.platform.environment'
        ).METADATA_STORE
    return environment.STANDALONE
