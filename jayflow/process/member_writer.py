"""Keep the node's own member record in the platform up to date.

Peers learn of a node from this record. MemberWriter compares the record that
the platform holds with the one that the node wants, and writes or deletes
it until both agree.
"""

from collections.abc import Callable

import anyio

from jayflow.connection import member as members
from jayflow.connection import platform as api
from jayflow import logs
from jayflow.process import platform_pauses


class MemberWriter:
    """Write the node's member record until it equals the desired one.

    desired_member returns the record to store, or None to store none.
    """

    def __init__(
        self,
        platform: api.Platform,
        key: str,
        desired_member: Callable[[], members.Member | None],
        pause: platform_pauses.Pause,
    ) -> None:
        self._platform = platform
        self._key = key
        self._desired_member = desired_member
        self._pause = pause
        self._changed = anyio.Event()
        self._waiters: list[anyio.Event] = []
        self._stored: api.Entry | None = None
        self._is_stored_known = False
        self._log = logs.get_logger(logs.Component.MEMBERS)

    def notify(self) -> None:
        """Signal that the desired record may have changed."""
        self._changed.set()

    def set_stored(self, entry: api.Entry | None) -> None:
        """Set the record that the platform holds, as it was just read."""
        self._stored = entry
        self._is_stored_known = True

    def mark_missing(self, must_read: bool = False) -> None:
        """Signal that the record is missing from the platform.

        With must_read it may also hold a record that was deleted.
        """
        if must_read or self._stored is not None:
            self._is_stored_known = False
            self.notify()

    async def run(self) -> None:
        """Write the record whenever it changes, until cancelled."""
        while True:
            self._changed = anyio.Event()
            waiters, self._waiters = self._waiters, []
            await self.reconcile()
            for waiter in waiters:
                waiter.set()
            await self._changed.wait()

    async def wait_written(self, timeout_s: float) -> bool:
        """Return whether the desired record was stored within the timeout."""
        written = anyio.Event()
        self._waiters.append(written)
        self.notify()
        with anyio.move_on_after(timeout_s):
            await written.wait()
            return True
        return False

    async def reconcile(self) -> None:
        """Retry until the platform holds the desired record."""
        failures = 0
        while True:
            try:
                if await self._reconcile_once():
                    return
            except api.PlatformError as exc:
                self._is_stored_known = False
                failures += 1
                if failures == 1:
                    self._log.warning(
                        'Member record could not be written; retrying.',
                        error=str(exc),
                    )
                await self._pause(failures)

    async def _reconcile_once(self) -> bool:
        """Write or delete the record if it differs; return True.

        Raises PlatformError if a call fails.
        """
        if not self._is_stored_known:
            self._stored = await self._platform.get(self._key)
            self._is_stored_known = True
        desired = self._desired_member()
        expected = self._stored.revision if self._stored else api.ABSENT
        if desired is None:
            if self._stored is not None:
                await self._platform.delete(self._key, expected)
                self._stored = None
            return True
        value = desired.encode()
        if self._stored is None or self._stored.value != value:
            revision = await self._platform.put(self._key, value, expected)
            self._stored = api.Entry(self._key, value, revision)
        return True
