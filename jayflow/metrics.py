"""Count refusals, retries and other events, and send them to statsd.

Counting touches memory only. A flush each second sends what changed; a
fault in sending is dropped and never reaches a request.
"""

import collections
import contextlib
import enum
from typing import Self

import anyio
import statsd

from jayflow.version import quantity

FLUSH_INTERVAL_S = 1.0
PREFIX = 'jayflow'


class Event(enum.Enum):
    """Name an event that is counted besides refusals and retries."""

    REQUEST = 'request'
    ATTEMPT = 'attempt'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    ANSWER_ABORTED = 'answer_aborted'
    ANSWER_RESUMED = 'answer_resumed'
    CALLER_GONE = 'caller_gone'
    LATE_FRAME = 'late_frame'
    LINK_LOST = 'link_lost'
    REPLY_DROPPED = 'reply_dropped'
    SERVER_LAPSED = 'server_lapsed'
    CRASH = 'crash'
    CONFIG_APPLIED = 'config_applied'
    CONFIG_REJECTED = 'config_rejected'
    PLATFORM_CALL = 'platform_call'
    PLATFORM_FAILED = 'platform_failed'
    CONTROL_SENT_BYTES = 'control_sent_bytes'
    CONTROL_RECEIVED_BYTES = 'control_received_bytes'
    PLATFORM_BUDGET = 'platform_budget'
    KEY_CLAIMED = 'key_claimed'
    KEY_REPLAYED = 'key_replayed'
    KEY_CONFLICT = 'key_conflict'


class Metrics:
    """Count events in memory and flush them to a statsd client."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.totals: collections.Counter[str] = collections.Counter()
        self._unsent: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_address(cls, address: quantity.Address | None) -> Self:
        """Return metrics that send to a statsd server, if one is set."""
        if address is None:
            return cls()
        return cls(
            statsd.StatsClient(address.host, address.port, prefix=PREFIX)
        )

    def refused(self, reason: enum.Enum) -> None:
        """Count one refusal."""
        self._add(f'refused.{reason.value}')

    def retried(self, reason: enum.Enum) -> None:
        """Count one retry."""
        self._add(f'retried.{reason.value}')

    def event(self, event: Event, number: int = 1) -> None:
        """Count an event."""
        self._add(event.value, number)

    def flush(self) -> None:
        """Send what was counted since the last flush."""
        unsent, self._unsent = self._unsent, collections.Counter()
        if self._client is None or not unsent:
            return
        with contextlib.suppress(OSError):
            with self._client.pipeline() as pipe:
                for name, number in unsent.items():
                    pipe.incr(name, number)

    async def run(self) -> None:
        """Flush each second until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _add(self, name: str, number: int = 1) -> None:
        self.totals[name] += number
        if self._client is not None:
            self._unsent[name] += number
