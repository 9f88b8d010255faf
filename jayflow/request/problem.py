"""RFC 9457 problem documents for requests without a response."""

import dataclasses
import math
from typing import Self

import msgspec

from jayflow.connection import messages
from jayflow.request import outcome

CONTENT_TYPE = b'application/problem+json'
TYPE_PREFIX = 'urn:jayflow:problem:'
MIN_RETRY_AFTER_S = 1
DEFAULT_FRACTIONAL_RETRY_AFTER_S = 0.1
Reason = outcome.Reason

_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_CUT: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.NO_TEAM: 401,
    Reason.NO_ROUTE: 404,
    Reason.HEADERS_TIMED_OUT: 408,
    Reason.KEY_IN_USE: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_MISMATCH: 422,
    Reason.TEAM_LIMIT: 429,
    Reason.HEADERS_TOO_LARGE: 431,
}
_TIMEOUTS = frozenset({Reason.DEADLINE, Reason.PEER_SILENT})
_TITLES = {
    outcome.Outcome.NOT_RUN: 'The request did not run.',
    outcome.Outcome.UNKNOWN: 'The request may have run.',
}

# A starting node knows the configuration and its peers after about 0.5 s; a
# full queue advances in about the time of one request. A node that was
# suspended learns the age of its configuration within half a second.
_RETRY_AFTER_BY_REASON_S = {
    Reason.NO_CONFIGURATION: 0.5,
    Reason.EVACUATIONS_UNKNOWN: 0.5,
    Reason.STALE_CONFIGURATION: 0.25,
    Reason.NO_MEMBER: 0.5,
    Reason.EVACUATED: 0.5,
    Reason.NODE_STOPPING: 0.5,
    Reason.QUEUE_TIME: 0.25,
    Reason.QUEUE_FULL: 0.25,
    Reason.RATE_LIMIT: 0.25,
}


@dataclasses.dataclass(frozen=True)
class Problem:
    """Hold the fields of a problem document; retry-after in seconds."""

    status: int
    outcome: outcome.Outcome
    reason: Reason
    retry_after_s: float | None

    @classmethod
    def from_failure(
        cls, failure: outcome.Failure, is_fractional: bool = False
    ) -> Self:
        """Return the problem for a failure.

        Unless is_fractional, retry-after is rounded up to whole seconds.
        """
        reason = failure.reason
        if isinstance(failure, outcome.Unknown):
            default_status = 504 if reason in _TIMEOUTS else 502
            status = _STATUSES.get(reason, default_status)
            return cls(status, failure.outcome, reason, None)
        status = _STATUSES.get(reason, 503)
        if is_fractional:
            wait_s = failure.retry_after_s or _RETRY_AFTER_BY_REASON_S.get(
                reason, DEFAULT_FRACTIONAL_RETRY_AFTER_S
            )
        else:
            wait_s = max(MIN_RETRY_AFTER_S, math.ceil(failure.retry_after_s))
        retry_after_s = wait_s if status in (429, 503) else None
        return cls(status, failure.outcome, reason, retry_after_s)

    def headers(self, body: bytes) -> messages.Headers:
        """Return the response headers."""
        fields = [
            (b'content-type', CONTENT_TYPE),
            (b'content-length', str(len(body)).encode()),
            (b'jayflow-outcome', self.outcome.value.encode()),
            (b'jayflow-tried', b'1'),
        ]
        if self.retry_after_s is not None:
            fields.append((b'retry-after', b'%g' % self.retry_after_s))
        return fields

    def body(self) -> bytes:
        """Return the document as JSON."""
        return msgspec.json.encode(
            {
                'type': TYPE_PREFIX + self.reason.value,
                'title': _TITLES[self.outcome],
                'status': self.status,
                'outcome': self.outcome.value,
                'reason': self.reason.value,
            }
        )
