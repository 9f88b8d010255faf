"""Describe a request without an answer as an RFC 9457 document."""

import dataclasses
import math
from typing import Self

import msgspec

from jayflow.connection import messages
from jayflow.request import outcome

CONTENT_TYPE = b'application/problem+json'
TYPE_PREFIX = 'urn:jayflow:problem:'
RETRY_AFTER_S = 1
RETRY_AFTER_FRACTION_S = 0.1
Reason = outcome.Reason

_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_CUT: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.NO_ROUTE: 404,
    Reason.KEY_IN_USE: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_MISMATCH: 422,
    Reason.HEADERS_TOO_LARGE: 431,
}
_TIMEOUTS = frozenset({Reason.DEADLINE, Reason.PEER_SILENT})
_TITLES = {
    outcome.Outcome.NOT_RUN: 'The request did not run.',
    outcome.Outcome.UNKNOWN: 'The request may have run.',
}


# A node that starts knows the configuration and its peers in about this
# time; a full queue moves on in about the time of one request.
_RETURN_S = {
    Reason.NO_CONFIGURATION: 0.5,
    Reason.NO_MEMBER: 0.5,
    Reason.NODE_STOPPING: 0.5,
    Reason.QUEUE_TIME: 0.25,
    Reason.QUEUE_FULL: 0.25,
}


@dataclasses.dataclass(frozen=True)
class Problem:
    """Hold what a caller is told; retry-after in seconds."""

    status: int
    outcome: outcome.Outcome
    reason: Reason
    retry_after_s: float | None

    @classmethod
    def from_failure(
        cls, failure: outcome.Failure, is_fractional: bool = False
    ) -> Self:
        """Return the problem for a failure; waits are whole seconds else."""
        reason = failure.reason
        if isinstance(failure, outcome.Unknown):
            lost = 504 if reason in _TIMEOUTS else 502
            status = _STATUSES.get(reason, lost)
            return cls(status, failure.outcome, reason, None)
        status = _STATUSES.get(reason, 503)
        if is_fractional:
            wait_s = failure.retry_after_s or _RETURN_S.get(
                reason, RETRY_AFTER_FRACTION_S
            )
        else:
            wait_s = max(RETRY_AFTER_S, math.ceil(failure.retry_after_s))
        retry_after_s = wait_s if status == 503 else None
        return cls(status, failure.outcome, reason, retry_after_s)

    def headers(self, body: bytes) -> messages.Headers:
        """Return the answer's headers."""
        rows = [
            (b'content-type', CONTENT_TYPE),
            (b'content-length', str(len(body)).encode()),
            (b'jayflow-outcome', self.outcome.value.encode()),
            (b'jayflow-tried', b'1'),
        ]
        if self.retry_after_s is not None:
            rows.append((b'retry-after', b'%g' % self.retry_after_s))
        return rows

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
