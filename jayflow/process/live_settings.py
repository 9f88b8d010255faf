"""Reload the settings of a running node.

The settings file is read again when its modification time changes and when
the process receives SIGHUP.
"""

import contextlib
import dataclasses
import signal

import anyio

from jayflow import logs
from jayflow.process import settings

FILE_POLL_INTERVAL_S = 5.0
RELOADABLE_SETTINGS = (
    'service',
    'retry_share',
    'hedge_share',
    'fleet_retry_burst',
    'leave_time',
    'stop_limit',
)


class LiveSettings:
    """Hold the settings in force; only RELOADABLE_SETTINGS ever change."""

    def __init__(self, cfg: settings.Settings) -> None:
        self.current = cfg
        self._modified_ns = self._read_modified_ns()
        self._log = logs.get_logger(logs.Component.NODE)

    async def run(self) -> None:
        """Reload on SIGHUP and when the file changes, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reload_on_sighup)
            tasks.start_soon(self._reload_on_file_change)

    def reload(self) -> None:
        """Read the file and apply the settings that may change at run time.

        If the file can't be read or has faults, no setting changes.
        """
        if self.current.file is None:
            return
        try:
            loaded = settings.Settings.from_file(self.current.file)
        except (OSError, ExceptionGroup) as exc:
            self._log.error(
                'Settings could not be reloaded; keeping the current ones.',
                error=repr(exc),
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name) != getattr(self.current, field.name)
        ]
        self.current = dataclasses.replace(
            self.current,
            **{name: getattr(loaded, name) for name in RELOADABLE_SETTINGS},
        )
        self._log.info(
            'Settings reloaded.',
            changed=changed,
            ignored=[
                name for name in changed if name not in RELOADABLE_SETTINGS
            ],
        )

    async def _reload_on_sighup(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._modified_ns = self._read_modified_ns()
                self.reload()

    async def _reload_on_file_change(self) -> None:
        while True:
            await anyio.sleep(FILE_POLL_INTERVAL_S)
            modified_ns = self._read_modified_ns()
            if modified_ns != self._modified_ns:
                self._modified_ns = modified_ns
                self.reload()

    def _read_modified_ns(self) -> int:
        if self.current.file is not None:
            # The file may be missing for a moment while it is replaced.
            with contextlib.suppress(OSError):
                return self.current.file.stat().st_mtime_ns
        return 0
