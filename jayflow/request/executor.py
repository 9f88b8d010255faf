"""Admit attempts and run them on the node's own backend server.

All requests to that server pass through this executor. It therefore knows
without delay how many slots are in use, and it can prove that an attempt
did not start.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import math
import time

import anyio
import msgspec

from jayflow.connection import announcement
from jayflow.connection import backend_client
from jayflow.connection import link_budget
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.request import backend_server
from jayflow.request import crash_detector
from jayflow.request import crash_tracker
from jayflow.request.decisions import admission
from jayflow.request.decisions import attempt_registry
from jayflow.request.decisions import quarantine
from jayflow.request import header_dialect
from jayflow.request import job as jobs
from jayflow.request import outcome

Reason = outcome.Reason
Reply = Callable[[messages.PeerReply], None]

LinkBudgetFor = Callable[[str], link_budget.LinkBudget | None]

ANNOUNCEMENT_TTL_S = 3.0
ANNOUNCEMENT_INTERVAL_S = 1.0
# Pauses between two checks for requests whose time is up: while some wait for
# a slot, while some run, and while there are none.
EXPIRY_INTERVAL_S = 0.02
RUNNING_EXPIRY_INTERVAL_S = 0.1
IDLE_EXPIRY_INTERVAL_S = 0.25
# Longest queue time of a suspect request that has to run alone.
SUSPECT_QUEUE_TIME_S = 2.0
# Service times vary: one request in five takes longer than this multiple of
# the expected time. A queued request must have that much time left.
SERVICE_TIME_MARGIN = 1.2
_NOT_RUN_REASONS = {
    header_dialect.ResponseKind.NOT_RUN: Reason.SERVER_SHED,
    header_dialect.ResponseKind.WRONG_INSTANCE: Reason.WRONG_INSTANCE,
}
_ADMIT_REFUSAL_REASONS = {
    attempt_registry.AdmitResult.DUPLICATE: Reason.DUPLICATE_ATTEMPT,
    attempt_registry.AdmitResult.REVOKED: Reason.REVOKED,
    attempt_registry.AdmitResult.FORGOTTEN: Reason.FORGOTTEN,
    attempt_registry.AdmitResult.OTHER_INCARNATION: Reason.PEER_INCARNATION,
}


class _NotRunError(Exception):
    """Report a response that says that the request did not run."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Executor:
    """Admit and run attempts on one backend server and send the replies."""

    def __init__(
        self,
        incarnation: messages.Incarnation,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float] = time.monotonic,
        dialect: header_dialect.HeaderDialect = header_dialect.DEFAULT_DIALECT,
        announcement_ttl_s: float = ANNOUNCEMENT_TTL_S,
        max_crashes: int | None = None,
        is_adaptive: bool = False,
    ) -> None:
        self.incarnation = incarnation
        self.dialect = dialect
        self._announcement_ttl_s = announcement_ttl_s
        self.backend = backend_server.BackendServer(
            clock, dialect, is_adaptive
        )
        self.crash_tracker = crash_tracker.CrashTracker(
            metrics, clock, max_crashes, dialect
        )
        self.on_state_change: Callable[[], None] = lambda: None
        self.on_slowness_change: Callable[[], None] = lambda: None
        self.on_server_leaving: Callable[
            [messages.ServerIncarnation], object
        ] = self.drain_server
        self.link_budget_for: LinkBudgetFor = _no_link_budget
        self.is_stopping = False
        self.is_evacuated = False
        self._metrics = metrics
        self._clock = clock
        self._log = logs.get_logger(logs.Component.EXECUTOR)
        self._attempt_registry = attempt_registry.AttemptRegistry(incarnation)
        self._admission_queue: admission.AdmissionQueue = (
            admission.AdmissionQueue(0)
        )
        self._jobs: dict[messages.AttemptId, jobs.Job] = {}
        self._crash_detector = crash_detector.CrashDetector(
            self.backend,
            self.crash_tracker,
            self._running_jobs,
            self.remove_server,
        )
        self._has_queued = asyncio.Event()
        self._running: set[messages.AttemptId] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_draining(self) -> bool:
        """Return whether new attempts are refused."""
        server_announcement = self.backend.announcement
        return (
            self.is_stopping
            or server_announcement is None
            or server_announcement.draining
        )

    @property
    def in_flight(self) -> int:
        """Return how many requests are running or queued."""
        return self._admission_queue.running + self._admission_queue.queued

    def load(self) -> messages.Load:
        """Return the current load."""
        return messages.Load(
            self._admission_queue.running,
            self._admission_queue.queued,
            self._admission_queue.slots,
            round(self._admission_queue.mean_service_s * 1000, 2),
            self.is_draining,
            self.backend.slowness(),
        )

    def record_load_report(self, report: messages.LoadReport | None) -> None:
        """Record the server's own load report, if there is one."""
        if self.backend.observe(report):
            self.on_slowness_change()

    def _load_for(self, job: jobs.Job) -> messages.Load | None:
        """Return the load, None if the link's budget does not allow it."""
        if (
            job.link_budget is not None
            and not job.link_budget.try_spend_measuring(self._clock())
        ):
            return None
        return self.load()

    async def poll_load(self, path: str) -> None:
        """Request the server's load; raise BackendError without a response."""
        announced = self.backend.announcement
        headers = await self.backend.poll(path)
        if announced is not None and self.dialect.may_come_from(
            announced.instance, headers
        ):
            self._observe_server(
                announced.incarnation, headers, may_end_limit=False
            )
            if self.backend.incarnation == announced.incarnation:
                self.backend.observe_cold(headers)
                self._check_cold()
            if self.dialect.is_leaving(headers):
                self.on_server_leaving(announced.incarnation)

    def _check_cold(self) -> None:
        """Report at once that the server has turned cold or warm."""
        if not self.backend.has_cold_changed():
            return
        if self.backend.cold.is_cold(self._clock()):
            self._metrics.count_event(metrics_module.Event.SERVER_COLD)
        self.on_slowness_change()
        self._start_queued()

    def _observe_server(
        self,
        server: messages.ServerIncarnation,
        headers: messages.Headers,
        may_end_limit: bool,
    ) -> None:
        """Record the load and the rate limit that a response names."""
        announced = self.backend.announcement
        if announced is None or announced.incarnation != server:
            return
        self.record_load_report(self.dialect.load_report_of(headers))
        self.backend.observe_rate_limit(headers, may_end_limit)
        if not self.backend.has_responded:
            self.backend.has_responded = True
            self._resize()
            self._start_queued()

    def apply_announcement(
        self, server_announcement: announcement.Announcement
    ) -> None:
        """Apply an announcement of the backend server."""
        previous = self.backend.announcement
        self.backend.announce(server_announcement)
        self._resize()
        if previous != server_announcement:
            self._refuse_unserved()
            self.on_state_change()
        if server_announcement.draining:
            self._refuse_queued(Reason.DRAINING)
        self._check_cold()

    def restore_server(
        self, server_announcement: announcement.Announcement, valid_s: float
    ) -> None:
        """Use a server for valid_s, within which it has to announce itself."""
        self.apply_announcement(server_announcement)
        self.backend.announced_at += valid_s - self._announcement_ttl_s

    def drain_server(self, server: messages.ServerIncarnation) -> bool:
        """Refuse new attempts if this server is still the current one.

        Returns whether it was not draining yet.
        """
        announced = self.backend.announcement
        if (
            announced is None
            or announced.incarnation != server
            or announced.draining
        ):
            return False
        self.apply_announcement(
            msgspec.structs.replace(announced, draining=True, cold_s=None)
        )
        return True

    def remove_server(self) -> None:
        """Drop the backend server; new attempts are refused."""
        server_announcement = self.backend.announcement
        if server_announcement is None:
            return
        self._log.info(
            'Server removed until its next announcement.',
            instance=server_announcement.instance,
            busy=self.in_flight,
        )
        self.backend.withdraw()
        self._resize()
        self._refuse_queued(Reason.NOT_SERVED_HERE)
        self.on_state_change()

    def stop_accepting(self) -> None:
        """Refuse new and queued attempts; running ones continue."""
        self.is_stopping = True
        self._refuse_queued(Reason.NODE_STOPPING)
        self.on_state_change()

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Refuse new and queued attempts while the data centre is evacuated.

        Running ones continue.
        """
        self.is_evacuated = is_evacuated
        if is_evacuated:
            self._refuse_queued(Reason.EVACUATED)

    async def wait_idle(self) -> None:
        """Wait until no request is running or queued."""
        while self._jobs:
            await anyio.sleep(EXPIRY_INTERVAL_S)

    async def run(self) -> None:
        """Expire requests, attempts and announcements until cancelled."""
        try:
            while True:
                self._has_queued.clear()
                if not self._admission_queue.queued:
                    with anyio.move_on_after(
                        RUNNING_EXPIRY_INTERVAL_S
                        if self._jobs
                        else IDLE_EXPIRY_INTERVAL_S
                    ):
                        await self._has_queued.wait()
                await anyio.sleep(EXPIRY_INTERVAL_S)
                self._expire(self._clock())
        finally:
            for task in self._tasks:
                task.cancel()

    def handle(self, message: messages.PeerRequest, reply: Reply) -> None:
        """Handle one message from a sender."""
        match message:
            case messages.Start():
                self._handle_start(message, reply)
            case messages.Revoke(attempt, incarnation):
                self._handle_revoke(attempt, incarnation, reply)
            case messages.Cancel(attempt):
                self._handle_cancel(attempt)
            case messages.Credit(attempt, parts):
                if job := self._jobs.get(attempt):
                    job.add_credit(parts)
            case messages.RequestPart(attempt):
                if job := self._jobs.get(attempt):
                    job.add_body(message)
            case messages.CrashReport():
                self.crash_tracker.handle_report(message)
                if message.attempt is not None:
                    reply(messages.CrashAck(message.attempt))
            case messages.CrashQuery():
                reply(self.crash_tracker.answer(message))

    def _handle_start(self, start: messages.Start, reply: Reply) -> None:
        result = self._attempt_registry.admit(start.attempt, start.receiver)
        if result is attempt_registry.AdmitResult.DUPLICATE:
            self._metrics.count_refusal(Reason.DUPLICATE_ATTEMPT)
            return
        if result is not attempt_registry.AdmitResult.NEW:
            self._send_refusal(start, _ADMIT_REFUSAL_REASONS[result], reply)
            return
        now = self._clock()
        fingerprints = self.crash_tracker.fingerprints_of(start)
        reason = self._reason_to_refuse(start)
        if self._is_quarantined(fingerprints):
            reason = Reason.QUARANTINED
        if reason is not None:
            self._refuse(start, reason, reply)
            return
        job = jobs.Job(start, reply, now)
        job.server = self.backend.announcement.incarnation
        job.link_budget = self.link_budget_for(start.sender_data_centre)
        job.fingerprints = fingerprints
        job.is_suspect = bool(fingerprints) and (
            start.suspect or self._is_suspect(fingerprints)
        )
        job.is_exclusive = (
            job.is_suspect and self.crash_tracker.max_crashes is None
        )
        self._jobs[start.attempt] = job
        if self._admission_queue.try_start(
            start.service,
            start.rank,
            job.is_exclusive,
            start.slot_share,
            now,
        ):
            self._spawn(job)
        else:
            self._enqueue(job, now)

    def _is_quarantined(
        self, fingerprints: tuple[quarantine.Fingerprint, ...]
    ) -> bool:
        state = self.crash_tracker.state_of(fingerprints)
        return state is quarantine.QuarantineState.QUARANTINED

    def _is_suspect(
        self, fingerprints: tuple[quarantine.Fingerprint, ...]
    ) -> bool:
        state = self.crash_tracker.state_of(fingerprints)
        return state is quarantine.QuarantineState.SUSPECT

    def _reason_to_refuse(self, start: messages.Start) -> Reason | None:
        if self.is_stopping:
            return Reason.NODE_STOPPING
        server_announcement = self.backend.announcement
        if (
            server_announcement is None
            or start.service not in server_announcement.services
        ):
            return Reason.NOT_SERVED_HERE
        if server_announcement.draining:
            return Reason.DRAINING
        if self.is_evacuated:
            return Reason.EVACUATED
        if start.remaining_ms <= 0:
            return Reason.DEADLINE
        return None

    def _enqueue(self, job: jobs.Job, now: float) -> None:
        start = job.start
        wait_s = (
            SUSPECT_QUEUE_TIME_S
            if job.is_exclusive
            else start.max_queue_ms / 1000
        )
        work_s = start.expected_service_ms / 1000
        reserved_s = SERVICE_TIME_MARGIN * self.backend.expected_s(work_s)
        max_wait_s = start.remaining_ms / 1000 - reserved_s
        target_start = math.inf
        if start.latency_target_ms:
            target_s = start.latency_target_ms / 1000
            target_start = admission.latest_start(now, target_s, work_s)
        queued_request = admission.QueuedRequest(
            start.attempt,
            start.service,
            start.rank,
            now + min(wait_s, max_wait_s),
            Reason.RATE_LIMIT
            if self.backend.rate_limit.is_binding
            else Reason.QUEUE_TIME,
            job.is_exclusive,
            start.slot_share,
            target_start,
        )
        self._has_queued.set()
        rejection = self._admission_queue.enqueue(
            queued_request, start.max_queue_length, now
        )
        if rejection is not None:
            rejected_job = self._jobs.pop(rejection.queued_request.item)
            self._refuse(
                rejected_job.start, rejection.reason, rejected_job.reply
            )

    def _handle_revoke(self, attempt, incarnation, reply: Reply) -> None:
        now = self._clock()
        state = self._attempt_registry.revoke(attempt, incarnation, now)
        is_unstarted = state is messages.AttemptState.NEVER_STARTED
        if is_unstarted and self._admission_queue.remove(attempt):
            del self._jobs[attempt]
        reply(messages.Revoked(attempt, state, self.load()))

    def _handle_cancel(self, attempt: messages.AttemptId) -> None:
        job = self._jobs.get(attempt)
        if job is None:
            return
        if self._admission_queue.remove(attempt):
            del self._jobs[attempt]
            self._refuse(job.start, Reason.CANCELLED, job.reply)
        else:
            job.cancel(Reason.CANCELLED)

    def _spawn(self, job: jobs.Job) -> None:
        """Run a job in a plain task; a task group costs more per call."""
        job.task = self._start_task(self._serve(job))

    def _start_task(
        self, coroutine: Coroutine[None, None, object]
    ) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(self, job: jobs.Job) -> None:
        start, started_at = job.start, self._clock()
        job.running_at_start = self._admission_queue.running
        job.slowness_at_start = self.backend.slowness()
        # A task that is cancelled before its first step runs no finally
        # block, so Job.cancel() cancels it only from here on.
        job.has_task_started = True
        try:
            if job.cancelled is None:
                await self._serve_started(job)
        except asyncio.CancelledError:
            if job.cancelled is None:
                raise
            if job.is_started:
                self._crash_detector.record_cancelled(job)
        finally:
            now = self._clock()
            self._running.discard(start.attempt)
            self._jobs.pop(start.attempt, None)
            if job.is_started:
                self._attempt_registry.finish(start.attempt, now)
            elapsed_s = (job.head_received_at or now) - started_at
            self._metrics.observe(
                metrics_module.Histogram.SERVER_TIME, elapsed_s
            )
            self._metrics.observe(
                metrics_module.Histogram.QUEUE_WAIT,
                max(0.0, started_at - job.received_at),
            )
            self._admission_queue.release_slot(
                start.service, start.rank, elapsed_s
            )
            if (
                job.head_received_at is not None
                and self.backend.incarnation == job.server
            ):
                self.backend.update_concurrency_limit(job, elapsed_s)
                self._resize()
            self._start_queued()
        if job.cancelled is not None and not job.is_closed:
            job.end(messages.AttemptFailed, job.cancelled, self.load())

    async def _serve_started(self, job: jobs.Job) -> None:
        start = job.start
        if self._is_quarantined(job.fingerprints):
            # Since it was queued.
            self._refuse(start, Reason.QUARANTINED, job.reply)
            job.is_closed = True
            return
        conn = await self._acquire_connection(job)
        if conn is None:
            job.is_closed = True
            return
        if not self._attempt_registry.start(start.attempt):
            job.pool.release(conn)
            job.is_closed = True
            return
        job.is_started = True
        counts = self.backend.rate_limit.counts
        if start.attempt.sender == self.incarnation:
            counts.own_node += 1
        else:
            counts.other_nodes += 1
        self._running.add(start.attempt)
        try:
            await self._exchange_with_server(job, conn)
        except _NotRunError as exc:
            # A faulty server may write the refusal once more, and it would
            # be taken for the response to the next request.
            conn.prevent_reuse()
            self._send_refusal(start, exc.reason, job.reply)
            job.is_closed = True
            if exc.reason is Reason.WRONG_INSTANCE:
                self._crash_detector.remove_server_of(job)
        except backend_client.BackendError as exc:
            conn.prevent_reuse()
            await self._report_failure(job, exc)
        except sockets.NotSentError:
            job.end(
                messages.AttemptFailed, Reason.PEER_UNREACHABLE, self.load()
            )
        except Exception:
            conn.prevent_reuse()
            self._log.exception(
                'Unhandled exception in the node while running an attempt.',
                id=self._request_id(start),
            )
            self._metrics.count_refusal(Reason.NODE_FAULT)
            job.end(messages.AttemptFailed, Reason.NODE_FAULT, self.load())
        finally:
            job.pool.release(conn)

    async def _acquire_connection(
        self, job: jobs.Job
    ) -> backend_client.Connection | None:
        """Return a connection to the server that a job was accepted for.

        Returns None after refusing the job. Another server may take the place
        of that one while a connection is made.
        """
        conn = None
        if self.backend.can_run(job):
            try:
                conn = await self.backend.acquire_connection(job)
            except backend_client.BackendError:
                await self._crash_detector.handle_unreachable(job)
                self._refuse(job.start, Reason.SERVER_UNREACHABLE, job.reply)
                self._crash_detector.remove_server_of(job)
                return None
            if self.backend.can_run(job):
                return conn
            conn.prevent_reuse()
            job.pool.release(conn)
        self._refuse(job.start, Reason.NOT_SERVED_HERE, job.reply)
        return None

    async def _exchange_with_server(
        self, job: jobs.Job, conn: backend_client.Connection
    ) -> None:
        job.server_headers = self.dialect.server_headers(job.server.instance)
        job.conn = conn

        def check_head(status: int, headers: messages.Headers) -> None:
            self._check_head(job, status, headers)

        def load() -> messages.Load | None:
            return self._load_for(job)

        await job.exchange(conn, check_head, load)
        if conn.was_ended_by_close:
            self._start_task(self._check_end(job, conn.status))
        else:
            await self._clear_suspect(job, conn.status)

    async def _check_end(self, job: jobs.Job, status: int) -> None:
        """Find out whether a response ended because its server did."""
        if not await self._crash_detector.check(job):
            await self._clear_suspect(job, status)

    async def _clear_suspect(self, job: jobs.Job, status: int) -> None:
        # A server that fails may not have come to what crashes others.
        if header_dialect.is_server_error(status):
            return
        if job.is_suspect or self._is_suspect(job.fingerprints):
            await self.crash_tracker.report_cleared(job.fingerprints)

    def _check_head(
        self, job: jobs.Job, status: int, headers: messages.Headers
    ) -> None:
        """Raise if the response is invalid or the request did not run."""
        response_kind = self._classify(job, status, headers)
        is_valid = response_kind is not header_dialect.ResponseKind.INVALID
        self._observe_server(job.server, headers, may_end_limit=is_valid)
        if is_valid and self.dialect.is_leaving(headers):
            job.leaving = job.server
            self.on_server_leaving(job.server)
        if response_kind in _NOT_RUN_REASONS:
            raise _NotRunError(_NOT_RUN_REASONS[response_kind])
        if not is_valid:
            raise backend_client.BackendError(
                backend_client.ConnectionFault.INVALID, sent=True
            )

    def _classify(
        self, job: jobs.Job, status: int, headers: messages.Headers
    ) -> header_dialect.ResponseKind:
        """Return the kind of a response; a refusal must name its request."""
        response_kind = self.dialect.classify(status, headers)
        if response_kind not in _NOT_RUN_REASONS or self._names_request(
            job, headers
        ):
            return response_kind
        self._log.warning(
            'Refusal by the server does not name the request.',
            id=self._request_id(job.start),
            status=status,
        )
        return header_dialect.ResponseKind.INVALID

    def _names_request(self, job: jobs.Job, headers: messages.Headers) -> bool:
        """Return whether a response names its request, if servers do that.

        The connection has skipped responses that name another one.
        """
        return (
            self.dialect.request_id_of(job.start.headers) is None
            or self.dialect.request_id_of(headers) is not None
        )

    async def _report_failure(
        self, job: jobs.Job, exc: backend_client.BackendError
    ) -> None:
        reason = Reason.SERVER_BROKEN
        if exc.fault is not backend_client.ConnectionFault.CLOSED:
            self._crash_detector.record_broken(job)
        elif exc.sent and await self._crash_detector.check(job):
            reason = Reason.SERVER_CRASHED
        self._metrics.count_refusal(reason)
        self._log.info(
            'Server gave no complete response.',
            id=self._request_id(job.start),
            reason=reason.value,
            fault=exc.fault.value,
            instance=job.server.instance,
            elapsed_ms=round((self._clock() - job.sent_at) * 1000),
            **_request_fields(job.start),
        )
        job.end(messages.AttemptFailed, reason, self.load())

    def _running_jobs(self) -> Iterator[jobs.Job]:
        return (
            self._jobs[attempt]
            for attempt in self._running
            if attempt in self._jobs
        )

    def _start_queued(self) -> None:
        while queued_request := self._admission_queue.start_next(
            self._clock()
        ):
            self._spawn(self._jobs[queued_request.item])

    def _refuse(
        self, start: messages.Start, reason: Reason, reply: Reply
    ) -> None:
        self._attempt_registry.mark_refused(start.attempt, self._clock())
        self._send_refusal(start, reason, reply)

    def _send_refusal(
        self, start: messages.Start, reason: Reason, reply: Reply
    ) -> None:
        self._metrics.count_refusal(reason)
        load = self.load()
        self._log.info(
            'Attempt is refused.',
            id=self._request_id(start),
            reason=reason.value,
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            **(_request_fields(start) if reason is Reason.QUARANTINED else {}),
        )
        reply(messages.Refused(start.attempt, reason.value, load))

    def _request_id(self, start: messages.Start) -> str:
        return (self.dialect.request_id_of(start.headers) or b'').decode(
            'latin-1'
        )

    def _refuse_queued(self, reason: Reason) -> None:
        for queued_request in self._admission_queue.remove_expired(
            float('inf')
        ):
            job = self._jobs.pop(queued_request.item)
            self._refuse(job.start, reason, job.reply)

    def _refuse_unserved(self) -> None:
        """Refuse the queued jobs that the current server must not run."""
        unserved = {
            attempt
            for attempt, job in self._jobs.items()
            if not self.backend.can_run(job)
        }
        for attempt in self._admission_queue.remove_all(unserved):
            job = self._jobs.pop(attempt)
            self._refuse(job.start, Reason.NOT_SERVED_HERE, job.reply)

    def _resize(self) -> None:
        self._admission_queue.resize(
            self.backend.slots,
            max(1, len(self.backend.services)),
            self.backend.rate_limit,
        )

    def _expire(self, now: float) -> None:
        for queued_request in self._admission_queue.remove_expired(now):
            job = self._jobs.pop(queued_request.item)
            self._refuse(job.start, queued_request.reason, job.reply)
        self._check_cold()
        if self.backend.rate_limit.is_binding:
            self._start_queued()
        for job in list(self._jobs.values()):
            if job.is_overdue(now):
                job.cancel(Reason.DEADLINE)
            else:
                job.probe_sender(now)
        self._attempt_registry.expire(now)
        self.crash_tracker.quarantine.expire(now)
        self.backend.report_rate_limit()
        if self.backend.announcement is None:
            return
        if now - self.backend.announced_at > self._announcement_ttl_s:
            self._metrics.count_event(
                metrics_module.Event.ANNOUNCEMENT_EXPIRED
            )
            self._log.warning('Server announcement expired.')
            self.remove_server()


def _request_fields(start: messages.Start) -> dict[str, str | int]:
    """Return what identifies the content of a request, for the log."""
    return {
        'fingerprint': start.fingerprint.hex(),
        'method': start.method,
        'target': start.target.decode('latin-1'),
        'body_bytes': len(start.body),
    }


def _no_link_budget(sender_data_centre: str) -> None:
    """Return None, as if every sender were in this region."""
    del sender_data_centre
