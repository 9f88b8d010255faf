"""Track the node's own backend server.

Holds its last announcement, its slowness, its connection pool and how many
requests it may run at once.
"""

from collections.abc import Callable
import math
import time

from jayflow.connection import announcement
from jayflow.connection import backend_client
from jayflow.connection import messages
from jayflow import logs
from jayflow.request.decisions import cold_limit
from jayflow.request.decisions import concurrency_limit
from jayflow.request.decisions import rate_limit
from jayflow.request.decisions import slowdowns
from jayflow.request import header_dialect
from jayflow.request import job as jobs
from jayflow.version import objects
from jayflow.version import value_parsers

# Slowness assumed for a cold server, as after its start: its caches are empty
# and its code is not compiled yet.
COLD_SLOWNESS = 2.0
# Requests that run at once until the first response, which tells whether the
# server limits them. A node that restarts does not know what its last process
# was told.
INITIAL_CONCURRENCY = 4
OK_STATUS = 200


class BackendServer:
    """Track the announcement, connections, slowness and slots of a server.

    Times are monotonic seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        dialect: header_dialect.HeaderDialect = header_dialect.DEFAULT_DIALECT,
        is_adaptive: bool = False,
    ) -> None:
        self.announcement: announcement.Announcement | None = None
        self.announced_at = 0.0
        # What is known of a server holds until another process replaces it,
        # also while its announcement is missing.
        self._incarnation: messages.ServerIncarnation | None = None
        # Kept after the server is gone: a crash is reported to other nodes
        # that serve the same services.
        self.services: tuple[objects.ServiceName, ...] = ()
        self.has_responded = False
        self.load_reported_at = 0.0
        self.address: value_parsers.Address | None = None
        self.pool: backend_client.Pool | None = None
        self._clock = clock
        self._dialect = dialect
        self._is_adaptive = is_adaptive
        self.cold = cold_limit.ColdLimit()
        self.cold_rate_of: Callable[
            [tuple[objects.ServiceName, ...]], float
        ] = lambda services: 0.0
        self._was_cold = False
        self.rate_limit = rate_limit.RateLimit(self.cold)
        self._start_learning()
        self._log = logs.get_logger(logs.Component.EXECUTOR)

    @property
    def incarnation(self) -> messages.ServerIncarnation | None:
        """Return the last server that announced itself, even if it is gone."""
        return self._incarnation

    @property
    def slots(self) -> int:
        """Return how many requests the server may run at once."""
        if self.announcement is None:
            return 0
        limit = self.announcement.max_concurrency
        if self._concurrency_limit is not None:
            limit = self._concurrency_limit.usable_slots(limit)
        return limit if self.has_responded else min(limit, INITIAL_CONCURRENCY)

    def slowness(self) -> float:
        """Return the current service time as a multiple of the usual one."""
        is_cold = self.cold.is_cold(self._clock())
        cold_slowness = COLD_SLOWNESS if is_cold else 1.0
        return max(self._slowdowns.slowness, cold_slowness)

    def expected_s(self, work_s: float) -> float:
        """Return the expected time of work that usually takes work_s."""
        return self._slowdowns.expected_work_s(work_s, self._clock())

    def announce(self, server_announcement: announcement.Announcement) -> None:
        """Record an announcement; replace the pool if the address changed."""
        previous, now = self.announcement, self._clock()
        self.announcement, self.announced_at = server_announcement, now
        if self.services != server_announcement.services:
            self.services = server_announcement.services
            self._start_learning()
        if self._incarnation != server_announcement.incarnation:
            self._incarnation = server_announcement.incarnation
            self.rate_limit = rate_limit.RateLimit(self.cold)
            self.has_responded = False
            # Connections to a server that fell silent stay open.
            self._replace_pool(None)
        cold_s = server_announcement.cold_s
        is_first = (
            previous is None
            or previous.incarnation != server_announcement.incarnation
        )
        if cold_s is None and (is_first or not self.cold.is_stated):
            cold_s = server_announcement.cold_start_s
        if is_first:
            self._log.info(
                'Server announced itself.',
                instance=server_announcement.instance,
                port=server_announcement.port,
            )
        if cold_s is not None:
            self.cold.observe(cold_s, now)
        self.refresh_cold_rate()
        address = self.address = value_parsers.Address(
            server_announcement.host, server_announcement.port
        )
        if self.pool is None or (self.pool.host, self.pool.port) != address:
            self._replace_pool(backend_client.Pool(*address, self._dialect))

    def _start_learning(self) -> None:
        """Forget what was learned from the requests of other services."""
        self._slowdowns = slowdowns.SlowdownTracker()
        self._concurrency_limit = (
            concurrency_limit.ConcurrencyLimit() if self._is_adaptive else None
        )

    def withdraw(self) -> None:
        """Drop the announcement and close the connections."""
        self.announcement = None
        self._replace_pool(None)

    def observe(self, report: messages.LoadReport | None) -> bool:
        """Record a load report; return whether the slowness changed."""
        if report is None:
            return False
        now = self.load_reported_at = self._clock()
        old_slowness = self._slowdowns.slowness
        self._slowdowns.observe(report.slowness, now)
        return self._slowdowns.slowness != old_slowness

    def observe_rate_limit(
        self, headers: messages.Headers, may_end_limit: bool
    ) -> None:
        """Record the rate limit that a response names, if any.

        A limit that is still in force may be missing from a faulty response.
        """
        requests_per_s = self._dialect.rate_limit_of(headers)
        if requests_per_s is None:
            self._log.warning('Server names a malformed rate limit.')
            return
        if math.isinf(requests_per_s) and not may_end_limit:
            return
        if self.rate_limit.update(requests_per_s, self._clock()):
            self._log.info(
                'Server changed its rate limit.',
                requests_per_s=None
                if math.isinf(requests_per_s)
                else requests_per_s,
            )

    def refresh_cold_rate(self) -> None:
        """Set the rate that the server's services name for a cold server."""
        self.cold.set_rate(self.cold_rate_of(self.services), self._clock())

    def observe_cold(self, headers: messages.Headers) -> None:
        """Record for how long a response says that the server is cold."""
        cold_s = self._dialect.cold_s_of(headers)
        if cold_s is not None:
            self.cold.observe(cold_s, self._clock())

    def has_cold_changed(self) -> bool:
        """Return whether the server turned cold or warm since the last call.

        It also does so by the time that has passed.
        """
        now = self._clock()
        is_cold = self.cold.is_cold(now)
        if is_cold == self._was_cold:
            return False
        self._was_cold = is_cold
        cold_s = self.cold.remaining_s(now)
        self._log.info(
            'Server is cold.' if is_cold else 'Server is warm.',
            cold_s=round(cold_s, 3) if math.isfinite(cold_s) else None,
            requests_per_s=self.cold.rate or None,
        )
        return True

    def report_rate_limit(self) -> None:
        """Log what a server with a rate limit got, once per interval."""
        counts = self.rate_limit.take_counts(self._clock())
        if counts is not None:
            self._log.info(
                'Requests sent to a server with a rate limit.',
                requests_per_s=self.rate_limit.requests_per_s,
                own_node=counts.own_node,
                other_nodes=counts.other_nodes,
                polls=counts.polls,
            )

    def update_concurrency_limit(
        self, job: jobs.Job, service_s: float
    ) -> None:
        """Update the concurrency limit from the service time of a request.

        Requests without an expected time or during a slowdown are ignored.
        """
        slowness = max(job.slowness_at_start, self.slowness())
        expected_s = job.start.expected_service_ms / 1000
        if (
            self._concurrency_limit is None
            or not expected_s
            or slowness >= slowdowns.SLOW_THRESHOLD
        ):
            return
        self._concurrency_limit.observe(
            job.running_at_start, service_s / expected_s
        )

    def can_run(self, job: jobs.Job) -> bool:
        """Return whether the server is the one that accepted a job.

        A server may also stop serving one of its services.
        """
        announced = self.announcement
        return (
            announced is not None
            and announced.incarnation == job.server
            and job.start.service in announced.services
        )

    async def acquire_connection(
        self, job: jobs.Job
    ) -> backend_client.Connection:
        """Return a connection for a job; raise BackendError on failure."""
        if self.pool is None:
            raise backend_client.BackendError(
                backend_client.ConnectionFault.REFUSED, sent=False
            )
        job.pool = self.pool
        return await job.pool.acquire(job.start.is_idempotent)

    async def poll(self, path: str) -> messages.Headers:
        """Request a path; return the headers of the response.

        Raises BackendError without a response.
        """
        pool = self.pool
        if pool is None:
            return []
        conn = await pool.acquire(is_idempotent=True)
        try:
            host = f'{pool.host}:{pool.port}'.encode()
            self.rate_limit.counts.polls += 1
            conn.write_head('GET', path.encode(), [(b'host', host)], b'')
            status = await conn.read_head()
            if status != OK_STATUS:
                # A faulty server may write a refusal once more, and it would
                # be taken for the response to the next request.
                conn.prevent_reuse()
            async for _ in conn.iter_parts():
                pass
            return conn.headers
        finally:
            pool.release(conn)

    def _replace_pool(self, pool: backend_client.Pool | None) -> None:
        if self.pool is not None:
            self.pool.close()
        self.pool = pool
