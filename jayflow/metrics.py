"""Count refusals, retries and other events, and send them to statsd.

Counting changes memory only. A flush once a second sends the increments;
errors while sending are ignored, so they never affect a request.
"""

import bisect
import collections
from collections.abc import Mapping
import contextlib
import enum
import itertools
from typing import Self

import anyio
import statsd

from jayflow.version import value_parsers

FLUSH_INTERVAL_S = 1.0
PREFIX = 'jayflow'
# Upper bounds of the histogram buckets, from a node's own overhead to the
# longest deadlines.
BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Histogram(enum.Enum):
    """Name a duration that is recorded in a histogram."""

    REQUEST = 'request'
    QUEUE_WAIT = 'queue_wait'
    SERVER_TIME = 'server'
    LOAD_AGE = 'load_age'


class Event(enum.Enum):
    """Name a counter other than those of refusals and retries."""

    REQUEST = 'request'
    ATTEMPT = 'attempt'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RESPONSE_ABORTED = 'answer_aborted'
    RESPONSE_RESUMED = 'answer_resumed'
    CALLER_GONE = 'caller_gone'
    LATE_RESPONSE = 'late'
    LATE_FRAME = 'late_frame'
    PEER_CONNECTION_LOST = 'link_lost'
    REPLY_DROPPED = 'reply_dropped'
    ANNOUNCEMENT_EXPIRED = 'server_lapsed'
    CRASH = 'crash'
    SERVER_COLD = 'server_cold'
    EVACUATION_CHANGED = 'evacuation_changed'
    CONFIG_APPLIED = 'config_applied'
    CONFIG_REJECTED = 'config_rejected'
    CONFIG_AGE_QUERY = 'config_age_query'
    CONFIG_AGE_SILENT = 'config_age_silent'
    CONFIG_AGE_READ = 'config_age_read'
    PLATFORM_CALL = 'platform_call'
    PLATFORM_FAILED = 'platform_failed'
    PLATFORM_RESTORED = 'platform_restored'
    CONTROL_SENT_BYTES = 'control_sent_bytes'
    CONTROL_RECEIVED_BYTES = 'control_received_bytes'
    PLATFORM_RATE_LIMITED = 'platform_budget'
    KEY_CLAIMED = 'key_claimed'
    KEY_REPLAYED = 'key_replayed'
    KEY_CONFLICT = 'key_conflict'
    TEAM_QUERY = 'team_query'
    TEAM_ANSWER = 'team_answer'
    TEAM_TOKENS = 'team_tokens'
    TEAM_TAKEOVER = 'team_takeover'
    CLOSED_AT_CONNECTIONS = 'closed_at_connections'
    CLOSED_AT_BYTES = 'closed_at_bytes'
    CLOSED_UNREAD = 'closed_unread'


class Metrics:
    """Count events in memory and flush them to a statsd client."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.counters: collections.Counter[str] = collections.Counter()
        self._unsent: collections.Counter[str] = collections.Counter()
        self._buckets = {
            histogram: [0] * (len(BOUNDS_S) + 1) for histogram in Histogram
        }
        self._sums_s = dict.fromkeys(Histogram, 0.0)

    @classmethod
    def from_address(cls, address: value_parsers.Address | None) -> Self:
        """Return metrics that send to a statsd server if an address is set."""
        if address is None:
            return cls()
        return cls(
            statsd.StatsClient(address.host, address.port, prefix=PREFIX)
        )

    def count_refusal(self, reason: enum.Enum) -> None:
        """Count one refusal."""
        self._add(f'refused.{reason.value}')

    def count_retry(self, reason: enum.Enum) -> None:
        """Count one retry."""
        self._add(f'retried.{reason.value}')

    def count_hedge(self, event: enum.Enum) -> None:
        """Count a hedge that was sent, won or refused."""
        self._add(f'hedge.{event.value}')

    def count_event(self, event: Event, count: int = 1) -> None:
        """Count an event."""
        self._add(event.value, count)

    def observe(self, histogram: Histogram, elapsed_s: float) -> None:
        """Record one duration in a histogram."""
        bucket = bisect.bisect_left(BOUNDS_S, elapsed_s)
        self._buckets[histogram][bucket] += 1
        self._sums_s[histogram] += elapsed_s

    def to_prometheus_text(self, gauges: Mapping[str, float]) -> str:
        """Return gauges, counters and histograms as Prometheus text."""
        lines = [
            f'{PREFIX}_{name} {value:g}' for name, value in gauges.items()
        ]
        for name, count in sorted(self.counters.items()):
            event, _, reason = name.partition('.')
            label = f'{{reason="{reason}"}}' if reason else ''
            lines.append(f'{PREFIX}_{event}_total{label} {count}')
        for histogram, bucket_counts in self._buckets.items():
            name = f'{PREFIX}_{histogram.value}_seconds'
            bounds = [f'{bound_s:g}' for bound_s in BOUNDS_S] + ['+Inf']
            cumulative = itertools.accumulate(bucket_counts)
            for bound, total in zip(bounds, cumulative, strict=True):
                lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
            lines.append(f'{name}_sum {self._sums_s[histogram]:g}')
            lines.append(f'{name}_count {sum(bucket_counts)}')
        return '\n'.join(lines) + '\n'

    def flush(self) -> None:
        """Send the increments since the last flush."""
        unsent, self._unsent = self._unsent, collections.Counter()
        if self._client is None or not unsent:
            return
        with contextlib.suppress(OSError):
            with self._client.pipeline() as pipe:
                for name, count in unsent.items():
                    pipe.incr(name, count)

    async def run(self) -> None:
        """Flush once a second until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _add(self, name: str, count: int = 1) -> None:
        self.counters[name] += count
        if self._client is not None:
            self._unsent[name] += count
