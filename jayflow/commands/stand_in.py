"""Run the emulators of the platform and of a backend server."""

import argparse

from jayflow.commands import exit_codes
from jayflow.connection import http_server
from jayflow.emulator import platform as platform_emulator
from jayflow.emulator import sample_backend
from jayflow import logs
from jayflow.process import event_loop
from jayflow.process import node


def run_platform(args: argparse.Namespace) -> exit_codes.ExitCode:
    """Run an in-memory emulator of the platform until stopped."""
    logs.configure()

    async def serve() -> None:
        app = platform_emulator.PlatformApp.with_empty_store()
        server = http_server.create(app, *args.address)
        await node.serve_until_signal(server)

    event_loop.run(serve)
    return exit_codes.ExitCode.DONE


def run_backend(args: argparse.Namespace) -> exit_codes.ExitCode:
    """Run a sample backend server until stopped."""
    logs.configure()
    options = sample_backend.BackendOptions(
        services=args.services,
        address=args.address,
        node=args.node,
        slots=args.slots,
        service_time_s=args.service_time,
        jitter=args.jitter,
        cold_start_s=args.cold_start,
        drain_timeout_s=args.drain_limit,
        rate_limit=args.rate_limit,
        run_log=args.run_log,
    )
    event_loop.run(
        sample_backend.SampleBackend.from_options(options, args.seed).run
    )
    return exit_codes.ExitCode.DONE
