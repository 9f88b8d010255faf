"""Read a running node's settings again when they change."""

import contextlib
import dataclasses
import signal

import anyio

from jayflow import logs
from jayflow.process import settings

LOOK_S = 5.0
RELOADABLE = (
    'service',
    'retry_share',
    'fleet_retry_burst',
    'leave_time',
    'stop_limit',
)


class LiveSettings:
    """Hold the settings in force; those not reloadable stay as they were."""

    def __init__(self, cfg: settings.Settings) -> None:
        self.current = cfg
        self._modified_ns = self._read_modified_ns()
        self._log = logs.get(logs.Part.NODE)

    async def run(self) -> None:
        """Follow the file and SIGHUP until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_signal)
            tasks.start_soon(self._follow_file)

    def reload(self) -> None:
        """Take what may change at run time; keep faulty settings out."""
        if self.current.file is None:
            return
        try:
            read = settings.Settings.from_file(self.current.file)
        except (OSError, ExceptionGroup) as exc:
            self._log.error('Settings are not used.', error=repr(exc))
            return
        changed = [
            field.name
            for field in dataclasses.fields(read)
            if getattr(read, field.name) != getattr(self.current, field.name)
        ]
        self.current = dataclasses.replace(
            self.current, **{name: getattr(read, name) for name in RELOADABLE}
        )
        self._log.info(
            'Settings are read.',
            changed=changed,
            ignored=[name for name in changed if name not in RELOADABLE],
        )

    async def _follow_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._modified_ns = self._read_modified_ns()
                self.reload()

    async def _follow_file(self) -> None:
        while True:
            await anyio.sleep(LOOK_S)
            modified_ns = self._read_modified_ns()
            if modified_ns != self._modified_ns:
                self._modified_ns = modified_ns
                self.reload()

    def _read_modified_ns(self) -> int:
        if self.current.file is not None:
            # While the file is being replaced it may be missing.
            with contextlib.suppress(OSError):
                return self.current.file.stat().st_mtime_ns
        return 0
