"""Poll the node's backend server for its load.

Responses to requests report the load as well, but a slow server answers
seldom, and its slowness changes several times within one request.
"""

from collections.abc import Callable
import time

import anyio

from jayflow.connection import backend_client
from jayflow.request import executor as executors
from jayflow.version import objects

BUSY_POLL_INTERVAL_S = 0.04
IDLE_POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 0.5


class LoadPoller:
    """Poll the health path of the node's backend server for its load."""

    def __init__(
        self,
        executor: executors.Executor,
        find_service: Callable[[str], objects.Service | None],
    ) -> None:
        self._executor = executor
        self._find_service = find_service

    async def run(self) -> None:
        """Poll until cancelled, except while the last report is recent."""
        while True:
            is_busy = self._executor.in_flight > 0
            await anyio.sleep(
                BUSY_POLL_INTERVAL_S if is_busy else IDLE_POLL_INTERVAL_S
            )
            age_s = time.monotonic() - self._executor.backend.load_reported_at
            path = self._health_path()
            if path and age_s >= BUSY_POLL_INTERVAL_S:
                await self._poll(path)

    def _health_path(self) -> str:
        for name in self._executor.backend.services:
            service = self._find_service(name)
            if service is not None and service.health_path:
                return service.health_path
        return ''

    async def _poll(self, path: str) -> None:
        with anyio.move_on_after(POLL_TIMEOUT_S):
            try:
                await self._executor.poll_load(path)
            except backend_client.BackendError:
                # A failed poll has no effect: whether the server is gone shows
                # when a request is sent to it.
                return
