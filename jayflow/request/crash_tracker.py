"""Detect crashes of the backend server and notify the other nodes.

A sender learns of a crash only after the other nodes have acknowledged the
report of it, or after a bounded wait, so that its retry doesn't reach a node
before the report does.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import secrets
import time

import anyio

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.request import crash_window
from jayflow.request.decisions import quarantine
from jayflow.request import header_dialect
from jayflow.request import headers as http_headers
from jayflow.request import quarantine_record
from jayflow.version import objects

# Longer than a busy node takes to acknowledge a report; shorter than the time
# after which a silent node gets no requests.
BROADCAST_TIMEOUT_S = 1.0
# Reports are repeated until they are acknowledged, so as many crashes are
# remembered to count each only once.
MAX_REMEMBERED_CRASHES = 256
# Requests in one answer to a node that has just got a server.
MAX_SENT_RECORDS = 1000
# A log line holds this many fingerprints at most.
MAX_LOGGED_FINGERPRINTS = 50

Broadcast = Callable[[messages.CrashReport], Awaitable[None]]
RunningRequests = crash_window.RunningRequests
StartTimes = crash_window.StartTimes


class CrashTracker:
    """Keep the quarantine and the state of the latest crash."""

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float],
        max_crashes: int | None = None,
        dialect: header_dialect.HeaderDialect = header_dialect.DEFAULT_DIALECT,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.max_crashes = max_crashes
        self._dialect = dialect
        self.quarantine = quarantine.Quarantine()
        self.broadcast: Broadcast = _broadcast_to_nobody
        self.quarantine_duration_s: Callable[[objects.ServiceName], float] = (
            lambda service: objects.DEFAULT_QUARANTINE_S
        )
        self._metrics = metrics
        self._clock = clock
        self._log = logs.get_logger(logs.Component.EXECUTOR)
        self._window = crash_window.CrashWindow()
        self._reported: anyio.Event | None = None
        self._handled: collections.deque[str] = collections.deque(
            maxlen=MAX_REMEMBERED_CRASHES
        )
        self.own_record = quarantine_record.QuarantineRecord(wall_clock)
        self.on_quarantined: Callable[[], None] = lambda: None

    def fingerprints_of(
        self, start: messages.Start
    ) -> tuple[quarantine.Fingerprint, ...]:
        """Return the fingerprints under which crashes of a request count.

        A suspect that runs alone is the only cause of a crash, so that its
        own fingerprint is enough.
        """
        if not start.fingerprint:
            return ()
        own = quarantine.Fingerprint(start.fingerprint)
        if self.max_crashes is None:
            return (own,)
        path = quarantine.path_fingerprint(
            http_headers.value_of(start.headers, b'host') or b'',
            start.target,
            self._dialect.caller_of(start.headers),
            start.body,
        )
        return own, path

    def state_of(
        self, fingerprints: Iterable[quarantine.Fingerprint]
    ) -> quarantine.QuarantineState:
        """Return how to treat a request with these fingerprints now."""
        return self.quarantine.worst_state_of(fingerprints, self._clock())

    def running_at_crash(
        self,
        server: messages.ServerIncarnation,
        running: Iterable[tuple[quarantine.Fingerprint, ...]],
        started_at: StartTimes | None = None,
    ) -> RunningRequests:
        """Return what has run since the first request of this crash broke.

        The first one to break may have had another reason.
        """
        now = self._clock()
        if not self._window.is_open(server, now):
            self._window.open(server, now)
            self._reported = None
        self._window.add(running, started_at or {})
        return self._window.running

    def unreported(
        self, server: messages.ServerIncarnation
    ) -> RunningRequests:
        """Return what ran when connections to a server broke just now.

        Returns nothing once a crash of it was reported.
        """
        is_open = self._window.is_open(server, self._clock())
        if self._reported is not None or not is_open:
            return frozenset()
        return self._window.running

    async def wait_reported(self) -> None:
        """Wait until the latest crash has been reported, if it hasn't."""
        if self._reported is not None:
            await self._reported.wait()

    async def report_crash(
        self,
        service: objects.ServiceName,
        running_at_crash: RunningRequests,
        is_exclusive: bool,
    ) -> None:
        """Record a crash and notify the other nodes, once per crash.

        A request may be quarantined after an exclusive run or where crashes
        are counted. Otherwise the report has a quarantine time of 0, and its
        receivers only mark suspects.
        """
        if self._reported is not None:
            await self._reported.wait()
            return
        self._reported = reported = anyio.Event()
        may_quarantine = is_exclusive or self.max_crashes is not None
        remaining_s = (
            self.quarantine_duration_s(service) if may_quarantine else 0
        )
        self._metrics.count_event(metrics_module.Event.CRASH)
        crash = secrets.token_hex(8)
        self._log.warning(
            'Backend server crashed.',
            crash=crash,
            beside=len(running_at_crash),
            alone=is_exclusive,
        )
        fingerprints = sorted(set(itertools.chain(*running_at_crash)))
        now, started_at = self._clock(), self._window.started_at
        try:
            await self._broadcast(
                messages.CrashReport(
                    crash,
                    fingerprints,
                    int(remaining_s * 1000),
                    ran_ms=[
                        int((now - started_at.get(digest, now)) * 1000)
                        for digest in fingerprints
                    ],
                )
            )
        finally:
            reported.set()

    async def report_cleared(
        self, fingerprints: Iterable[quarantine.Fingerprint]
    ) -> None:
        """Clear a suspect that ended without a crash, on all nodes."""
        await self._broadcast(messages.CrashReport('', list(fingerprints), 0))

    def handle_report(self, report: messages.CrashReport) -> None:
        """Handle a report of a crash, or of a cleared suspect."""
        now = self._clock()
        if report.crash in self._handled:
            return
        if report.crash:
            self._handled.append(report.crash)
        fingerprints = [
            quarantine.Fingerprint(digest) for digest in report.fingerprints
        ]
        if not report.crash:
            for fingerprint in fingerprints:
                if self.quarantine.clear(fingerprint):
                    self._log.info(
                        'Suspect request ended without a crash.',
                        fingerprint=fingerprint.hex(),
                    )
            return
        if self.max_crashes is not None:
            self.quarantine.count_crashes(
                fingerprints,
                now,
                self.max_crashes,
                report.remaining_ms / 1000,
                _start_times(report, now),
            )
        elif len(fingerprints) == 1 and report.remaining_ms:
            until = now + report.remaining_ms / 1000
            self.quarantine.add(fingerprints[0], until)
        else:
            self.quarantine.mark_suspects(fingerprints, now)
        self._log.info(
            'Crash is recorded.',
            crash=report.crash,
            suspects=[
                f'{fingerprint.hex()}:{self.quarantine.describe(fingerprint)}'
                for fingerprint in fingerprints[:MAX_LOGGED_FINGERPRINTS]
            ],
        )

    def answer(self, query: messages.CrashQuery) -> messages.CrashAnswer:
        """Return what is known of requests that crash servers."""
        records = self.quarantine.export(self._clock(), MAX_SENT_RECORDS)
        return messages.CrashAnswer(
            query.attempt, records, list(self._handled)
        )

    def merge(self, answer: messages.CrashAnswer) -> None:
        """Add what another node knows.

        A crash that it has counted is not counted again when its report
        arrives here.
        """
        if answer.records:
            self._log.info(
                'Crashes known to a peer are recorded.',
                records=len(answer.records),
            )
        self.quarantine.merge(answer.records, self._clock())
        self._handled.extend(
            crash for crash in answer.crashes if crash not in self._handled
        )

    def restore(
        self, records: Iterable[members.QuarantinedRequest], is_own: bool
    ) -> None:
        """Refuse the requests that a member record names."""
        for record in records:
            remaining_s = self.own_record.remaining_s(record)
            if remaining_s > 0:
                digest = quarantine_record.fingerprint_of(record)
                self.quarantine.add(digest, self._clock() + remaining_s)
                if is_own:
                    self.own_record.put(record)

    def _record_quarantined(self, report: messages.CrashReport) -> None:
        """Record the requests that a crash of the own server quarantined."""
        quarantined = [
            digest
            for digest in map(quarantine.Fingerprint, report.fingerprints)
            if self.state_of([digest])
            is quarantine.QuarantineState.QUARANTINED
        ]
        if self.own_record.add(quarantined, report.remaining_ms):
            self.on_quarantined()

    async def _broadcast(self, report: messages.CrashReport) -> None:
        self.handle_report(report)
        if report.crash:
            self._record_quarantined(report)
        with anyio.move_on_after(BROADCAST_TIMEOUT_S):
            await self.broadcast(report)


def _start_times(report: messages.CrashReport, now: float) -> StartTimes:
    """Return when requests started; older nodes do not state it."""
    return {
        quarantine.Fingerprint(digest): now - ran_ms / 1000
        for digest, ran_ms in zip(
            report.fingerprints, report.ran_ms or [], strict=False
        )
    }


async def _broadcast_to_nobody(report: messages.CrashReport) -> None:
    del report
