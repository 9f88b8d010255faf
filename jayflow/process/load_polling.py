"""Poll the node's backend server for its load.

Responses to requests report the load as well, but a slow server answers
seldom, and its slowness changes several times within one request.
"""

from collections.abc import Callable
import math
import time

import anyio

from jayflow.connection import backend_client
from jayflow import logs
from jayflow.request import executor as executors
from jayflow.version import objects

# A busy server is polled about this many times while it runs one request.
POLLS_PER_REQUEST = 4
MIN_POLL_INTERVAL_S = 0.04
MAX_POLL_INTERVAL_S = 0.2
# An idle server is polled less often, as little is sent to it.
IDLE_INTERVAL_FACTOR = 5
# A server that limits the requests per second gets few polls beside them.
LIMITED_POLL_INTERVAL_S = 1.0
# Only a poll tells at once that a server has turned cold, so one that limits
# requests meanwhile is polled at least this often, also beside responses that
# report its load.
COLD_POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 0.5


def poll_interval_s(
    mean_service_s: float, is_busy: bool, is_limited: bool = False
) -> float:
    """Return the pause between two polls of a server.

    It grows with the time that a request takes, because a report has to be
    recent only in proportion to it.
    """
    if is_limited:
        return LIMITED_POLL_INTERVAL_S
    interval_s = min(
        MAX_POLL_INTERVAL_S,
        max(MIN_POLL_INTERVAL_S, mean_service_s / POLLS_PER_REQUEST),
    )
    return interval_s if is_busy else IDLE_INTERVAL_FACTOR * interval_s


class LoadPoller:
    """Poll the health path of the node's backend server for its load."""

    def __init__(
        self,
        executor: executors.Executor,
        find_service: Callable[[str], objects.Service | None],
    ) -> None:
        self._executor = executor
        self._find_service = find_service
        self._has_logged_fault = False
        self._polled_at = -math.inf
        self._log = logs.get_logger(logs.Component.EXECUTOR)

    async def run(self) -> None:
        """Poll until cancelled, except while the last report is recent."""
        while True:
            interval_s = self._interval_s()
            await anyio.sleep(interval_s)
            path = self._health_path()
            if path and self._is_due(interval_s, time.monotonic()):
                await self._poll(path)

    def _is_due(self, interval_s: float, now: float) -> bool:
        backend = self._executor.backend
        if now - backend.load_reported_at >= interval_s:
            return True
        next_check_at = now + interval_s
        return backend.cold.rate > 0 and (
            next_check_at - self._polled_at > COLD_POLL_INTERVAL_S
        )

    def _interval_s(self) -> float:
        backend = self._executor.backend
        if backend.announcement is not None and not backend.has_responded:
            return MIN_POLL_INTERVAL_S
        interval_s = poll_interval_s(
            self._executor.load().latency_ms / 1000,
            self._executor.in_flight > 0,
            backend.rate_limit.is_limited,
        )
        if backend.cold.rate and not backend.rate_limit.is_limited:
            return min(interval_s, COLD_POLL_INTERVAL_S)
        return interval_s

    def _health_path(self) -> str:
        for name in self._executor.backend.services:
            service = self._find_service(name)
            if service is not None and service.health_path:
                return service.health_path
        return ''

    async def _poll(self, path: str) -> None:
        self._polled_at = time.monotonic()
        with anyio.move_on_after(POLL_TIMEOUT_S):
            try:
                await self._executor.poll_load(path)
            except backend_client.BackendError:
                # A failed poll has no effect: whether the server is gone shows
                # when a request is sent to it.
                return
            except Exception:
                if not self._has_logged_fault:
                    self._has_logged_fault = True
                    self._log.exception(
                        'Response to a poll of the load can not be read; '
                        'later faults are not logged.'
                    )
