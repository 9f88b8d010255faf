"""Register the client connections of all addresses and close the excess.

Answers two loads. Clients that send requests ahead of the answers fill the
memory and come back as soon as they are closed. Their connections are closed
first, the one that holds the most bytes before all others, so that a caller
that waits for each answer keeps its connection. The second load is more
clients than the node can hold, none of which sends ahead: idle connections
are closed before busy ones, the longest idle first; of the busy ones, the one
that holds the most bytes is closed first.
"""

import asyncio
import enum
import heapq
import operator
from typing import Protocol

from jayflow.connection import connection_limits
from jayflow.connection import hangup_watch
from jayflow.connection import heap
from jayflow.connection import turn_queue
from jayflow import logs
from jayflow import metrics as metrics_module

SWEEP_INTERVAL_S = 1.0
# At the bound on bytes, as many connections are closed as bring the sum down
# to this share, so that the next byte does not need another search.
TARGET_SHARE = 0.9375
LOG_INTERVAL_S = 10.0
# How many clients are told apart in the log.
MAX_LOGGED_CLIENTS = 256
_HELD_BYTES = operator.attrgetter('held_bytes')

_log = logs.get_logger(logs.Component.CLIENTS)


class CloseReason(enum.Enum):
    """List the limits at which a client connection is closed."""

    CONNECTIONS = metrics_module.Event.CLOSED_AT_CONNECTIONS
    BYTES = metrics_module.Event.CLOSED_AT_BYTES
    UNREAD = metrics_module.Event.CLOSED_UNREAD


class Connection(Protocol):
    """Represent one client connection.

    `held_bytes` is an estimate of the memory that the connection makes the
    node keep, as of its last update.
    """

    held_bytes: int
    client_host: str

    def abort(self) -> None:
        """Free what was received and close without writing the rest."""

    def is_unread(self) -> bool:
        """Return whether the client has read nothing since the last call."""


class ConnectionRegistry:
    """Hold the connections of all addresses of a node."""

    def __init__(
        self,
        limits: connection_limits.ConnectionLimits,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.turns = turn_queue.TurnQueue()
        self.hangups = hangup_watch.HangupWatch()
        self._metrics = metrics or metrics_module.Metrics()
        # The longest idle connection is the first.
        self._idle: dict[Connection, None] = {}
        self._busy: dict[Connection, None] = {}
        self._ahead: dict[Connection, None] = {}
        self._unread_sweeps: dict[Connection, int] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._is_log_due = _LogSchedule()
        self._trims = heap.TrimSchedule()

    def __len__(self) -> int:
        return len(self._idle) + len(self._busy) + len(self._ahead)

    @property
    def idle_count(self) -> int:
        """Return the number of connections without a request."""
        return len(self._idle)

    def add(self, connection: Connection) -> None:
        """Register a new connection; close another one beyond the limit."""
        if len(self) >= self.limits.connections:
            self._close_next(CloseReason.CONNECTIONS)
        self._idle[connection] = None
        self.held_bytes += connection.held_bytes
        self._enforce_bytes()
        if self._sweep_timer is None:
            self._arm_sweep()

    def update(
        self,
        connection: Connection,
        held_bytes: int,
        is_idle: bool,
        sends_ahead: bool = False,
    ) -> None:
        """Record what a connection holds, and keep to the limit on bytes.

        A connection sends ahead while requests of it wait for an earlier
        answer; it is idle while no request runs and nothing is to be written.
        """
        current = self._group_of(connection)
        if current is None:
            return
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if sends_ahead:
            group = self._ahead
        else:
            group = self._idle if is_idle else self._busy
        if group is not current:
            del current[connection]
            group[connection] = None
        self._enforce_bytes()

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed, if it is registered."""
        group = self._group_of(connection)
        if group is not None:
            del group[connection]
            self._unread_sweeps.pop(connection, None)
            self.held_bytes -= connection.held_bytes

    def _group_of(self, connection: Connection) -> dict | None:
        for group in (self._idle, self._busy, self._ahead):
            if connection in group:
                return group
        return None

    def _enforce_bytes(self) -> None:
        self._trims.record(self.held_bytes)
        if self.held_bytes <= self.limits.held_bytes:
            return
        target_bytes = int(self.limits.held_bytes * TARGET_SHARE)
        self._close_largest(self._ahead, target_bytes)
        while self._idle and self.held_bytes > target_bytes:
            self._close(next(iter(self._idle)), CloseReason.BYTES)
        self._close_largest(self._busy, target_bytes)

    def _close_largest(
        self, group: dict[Connection, None], target_bytes: int
    ) -> None:
        """Close connections of a group, the largest first, until they fit."""
        excess_bytes = self.held_bytes - target_bytes
        if excess_bytes <= 0 or not group:
            return
        # The largest ones hold at least the mean.
        mean_bytes = max(1, sum(map(_HELD_BYTES, group)) / len(group))
        count = int(excess_bytes / mean_bytes) + 1
        for connection in heapq.nlargest(count, group, _HELD_BYTES):
            if self.held_bytes <= target_bytes:
                return
            self._close(connection, CloseReason.BYTES)

    def _close_next(self, reason: CloseReason) -> None:
        if self._ahead:
            self._close(max(self._ahead, key=_HELD_BYTES), reason)
        elif self._idle:
            self._close(next(iter(self._idle)), reason)
        elif self._busy:
            self._close(max(self._busy, key=_HELD_BYTES), reason)

    def _close(self, connection: Connection, reason: CloseReason) -> None:
        is_idle = connection in self._idle
        sends_ahead = connection in self._ahead
        self.remove(connection)
        connection.abort()
        self._metrics.count_event(reason.value)
        now = asyncio.get_running_loop().time()
        if self._is_log_due(connection.client_host, now):
            _log.warning(
                'Client connection is closed at a limit.',
                client=connection.client_host,
                reason=reason.value.value,
                idle=is_idle,
                sends_ahead=sends_ahead,
                held_bytes=connection.held_bytes,
                connections=len(self),
                all_held_bytes=self.held_bytes,
            )

    def _arm_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._sweep
        )

    def _sweep(self) -> None:
        """Close the connections whose clients have long read nothing.

        Also return memory to the system once connections have freed much.
        Sweeps are counted instead of seconds: a process that was paused
        could not write either.
        """
        max_sweeps = connection_limits.UNREAD_TIMEOUT_S / SWEEP_INTERVAL_S
        for connection in [*self._idle, *self._busy, *self._ahead]:
            if not connection.is_unread():
                self._unread_sweeps.pop(connection, None)
                continue
            sweeps = self._unread_sweeps.get(connection, 0) + 1
            self._unread_sweeps[connection] = sweeps
            if sweeps >= max_sweeps:
                self._close(connection, CloseReason.UNREAD)
        if self._trims.is_due(
            self.held_bytes, asyncio.get_running_loop().time()
        ):
            heap.trim()
        self._sweep_timer = None
        if len(self) or self._trims.is_pending(self.held_bytes):
            self._arm_sweep()


class _LogSchedule:
    """Allow one line per client and interval, for a bounded number."""

    def __init__(self) -> None:
        self._due_at: dict[str, float] = {}

    def __call__(self, client: str, now: float) -> bool:
        if now < self._due_at.get(client, now):
            return False
        if client not in self._due_at:
            if len(self._due_at) >= MAX_LOGGED_CLIENTS:
                self._due_at = {
                    name: due_at
                    for name, due_at in self._due_at.items()
                    if due_at > now
                }
            if len(self._due_at) >= MAX_LOGGED_CLIENTS:
                return False
        self._due_at[client] = now + LOG_INTERVAL_S
        return True
