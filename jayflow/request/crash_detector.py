"""Find out whether a server crashed while it ran a request.

A crash closes the connections to a server at any stage of a response, and the
server then refuses new ones. A server that closes a connection and lives has
not crashed.
"""

from collections.abc import Callable
from collections.abc import Iterable
import operator
import time

import anyio

from jayflow.connection import backend_client
from jayflow.connection import messages
from jayflow.request import backend_server
from jayflow.request import crash_tracker
from jayflow.request import job as jobs
from jayflow.version import objects

PROBE_COUNT = 3
PROBE_INTERVAL_S = 0.02


class CrashDetector:
    """Report each crash of the node's server with the requests it ran."""

    def __init__(
        self,
        backend: backend_server.BackendServer,
        tracker: crash_tracker.CrashTracker,
        running_jobs: Callable[[], Iterable[jobs.Job]],
        remove_server: Callable[[], None],
    ) -> None:
        self._backend = backend
        self._tracker = tracker
        self._running_jobs = running_jobs
        self._remove_server = remove_server
        self._crashed: messages.ServerIncarnation | None = None
        self._crashed_at = 0.0

    async def check(self, job: jobs.Job) -> bool:
        """Return whether the server of a job that broke has crashed.

        Returns once the crash has been reported.
        """
        running = self.record_broken(job)
        if not await self._is_gone(job):
            return False
        await self._report(job, running, job.is_exclusive)
        return True

    def record_broken(self, job: jobs.Job) -> crash_tracker.RunningRequests:
        """Record what was running when an exchange broke, and return it.

        A crash that shows shortly afterwards is reported with it.
        """
        running_jobs = self._running_beside(job)
        started_at = {
            digest: running_job.sent_at
            for running_job in sorted(
                running_jobs, key=operator.attrgetter('sent_at')
            )
            for digest in running_job.fingerprints
        }
        return self._tracker.running_at_crash(
            job.server,
            {running_job.fingerprints for running_job in running_jobs},
            started_at,
        )

    def record_cancelled(self, job: jobs.Job) -> None:
        """Record a request that the server may still be running."""
        if job.fingerprints and not job.has_whole_response:
            self._tracker.running_at_crash(
                job.server,
                {job.fingerprints},
                dict.fromkeys(job.fingerprints, job.sent_at),
            )

    async def handle_unreachable(self, job: jobs.Job) -> None:
        """Report a crash if connections broke just before the server refuses.

        The probes of a request that broke may have come before the end.
        """
        if broken := self._tracker.unreported(job.server):
            # What broke did not run alone, whatever this request asks for.
            await self._report(job, broken, is_exclusive=False)

    def remove_server_of(self, job: jobs.Job) -> None:
        """Drop the server of a job unless another one has replaced it."""
        if self._backend.incarnation == job.server:
            self._remove_server()

    async def _report(
        self,
        job: jobs.Job,
        running: crash_tracker.RunningRequests,
        is_exclusive: bool,
    ) -> None:
        self.remove_server_of(job)
        if job.server == self._crashed and job.sent_at < self._crashed_at:
            # It was running then, and its connection was read only now.
            await self._tracker.wait_reported()
            return
        self._crashed, self._crashed_at = job.server, time.monotonic()
        service = objects.ServiceName(job.start.service)
        await self._tracker.report_crash(service, running, is_exclusive)

    async def _is_gone(self, job: jobs.Job) -> bool:
        """Return whether a server was replaced or refuses connections."""
        if self._backend.incarnation != job.server:
            return True
        return await is_server_gone(job.pool)

    def _running_beside(self, broken_job: jobs.Job) -> list[jobs.Job]:
        """Return a job and what else its server was still running.

        A response that has arrived as a whole may wait for its sender.
        """
        running_jobs = [
            job
            for job in self._running_jobs()
            if job.server == broken_job.server and not job.has_whole_response
        ]
        return [job for job in [broken_job, *running_jobs] if job.fingerprints]


async def is_server_gone(pool: backend_client.Pool | None) -> bool:
    """Return whether a server refuses connections."""
    for _ in range(PROBE_COUNT):
        if pool is None:
            return True
        try:
            conn = await pool.open()
        except backend_client.BackendError:
            return True
        conn.close()
        await anyio.sleep(PROBE_INTERVAL_S)
    return False
