"""Notice that a backend server crashed and tell the other doors.

A sender hears of a crash only after the other doors were told, or after
a bounded wait, so that a re-send does not come before the news.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import secrets

import anyio

from jayflow.connection import messages
from jayflow.connection import server
from jayflow import logs
from jayflow import metrics as counting
from jayflow.request import quarantine
from jayflow.version import objects

PROBES = 3
PROBE_PAUSE_S = 0.02
SPREAD_LIMIT_S = 0.25
WINDOW_S = 0.5

Spread = Callable[[messages.Crashing], Awaitable[None]]


class CrashWatch:
    """Hold the quarantine and the crash that is going on, if any."""

    def __init__(
        self,
        metrics: counting.Metrics,
        clock: Callable[[], float],
        strikes: int | None = None,
    ) -> None:
        self.strikes = strikes
        self.quarantine = quarantine.Quarantine()
        self.spread: Spread = _spread_to_nobody
        self.quarantine_s: Callable[[objects.ServiceName], float] = (
            lambda service: objects.DEFAULT_QUARANTINE_S
        )
        self._metrics = metrics
        self._clock = clock
        self._log = logs.get(logs.Part.DOOR)
        self._beside: frozenset[quarantine.Fingerprint] = frozenset()
        self._until = 0.0
        self._is_reported = False

    def open(
        self, running: Iterable[quarantine.Fingerprint]
    ) -> frozenset[quarantine.Fingerprint]:
        """Return what ran when the first request of a crash broke."""
        now = self._clock()
        if now >= self._until:
            self._until = now + WINDOW_S
            self._is_reported = False
            self._beside = frozenset(running)
        return self._beside

    async def report(
        self,
        service: objects.ServiceName,
        beside: frozenset[quarantine.Fingerprint],
        is_alone: bool,
    ) -> None:
        """Learn of a crash and tell the other doors, once per crash."""
        if self._is_reported:
            await anyio.sleep(SPREAD_LIMIT_S)
            return
        self._is_reported = True
        is_proof = is_alone or self.strikes is not None
        remaining_s = self.quarantine_s(service) if is_proof else 0
        self._metrics.event(counting.Event.CRASH)
        self._log.warning(
            'Server crashed.', beside=len(beside), alone=is_alone
        )
        await self._tell(
            messages.Crashing(
                secrets.token_hex(8), list(beside), int(remaining_s * 1000)
            )
        )

    async def clear(self, fingerprint: quarantine.Fingerprint) -> None:
        """Free a suspect that ended alone without a crash."""
        await self._tell(messages.Crashing('', [fingerprint], 0))

    def learn(self, report: messages.Crashing) -> None:
        """Take a report of a crash, or of a cleared suspect."""
        now = self._clock()
        found = [quarantine.Fingerprint(each) for each in report.fingerprints]
        if not report.crash:
            for each in found:
                self.quarantine.clear(each)
        elif self.strikes is not None:
            self.quarantine.strike(
                found, now, self.strikes, report.remaining_ms / 1000
            )
        elif len(found) == 1 and report.remaining_ms:
            until = now + report.remaining_ms / 1000
            self.quarantine.convict(found[0], until)
        else:
            self.quarantine.suspect(found, now)

    async def _tell(self, report: messages.Crashing) -> None:
        self.learn(report)
        with anyio.move_on_after(SPREAD_LIMIT_S):
            await self.spread(report)


async def is_server_gone(pool: server.Pool | None) -> bool:
    """Return whether a server refuses connections."""
    for _ in range(PROBES):
        if pool is None:
            return True
        try:
            conn = await pool.open()
        except server.ServerError:
            return True
        conn.close()
        await anyio.sleep(PROBE_PAUSE_S)
    return False


async def _spread_to_nobody(report: messages.Crashing) -> None:
    del report
