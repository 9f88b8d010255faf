"""Outcomes of a request and the reasons for refusals and retries.

A request ends answered, not run or unknown. NotRun wants evidence, so a
place that can't name what proves it has only Unknown to return.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Say how a request ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Evidence(enum.Enum):
    """Name what proves that an attempt did not run."""

    NEVER_SENT = 'never-sent'
    REFUSED_BEFORE_START = 'refused-before-start'
    REVOKED_BEFORE_START = 'revoked-before-start'
    SERVER_SHED = 'server-shed'


class Reason(enum.Enum):
    """Name why a request or an attempt was refused or failed."""

    BAD_REQUEST = 'bad_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_CUT = 'body_cut'
    NO_ROUTE = 'no_route'
    NO_CONFIGURATION = 'no_configuration'
    NO_MEMBER = 'no_member'
    BODY_TOO_LARGE = 'body_too_large'
    KEY_REQUIRED = 'key_required'
    KEY_IN_USE = 'key_in_use'
    KEY_UNCLAIMED = 'key_unclaimed'
    KEY_OUTCOME_UNKNOWN = 'key_outcome_unknown'
    KEY_MISMATCH = 'key_mismatch'
    QUARANTINED = 'quarantined'
    NODE_FAULT = 'node_fault'
    NODE_STOPPING = 'node_stopping'
    DRAINING = 'draining'
    NOT_SERVED_HERE = 'not_served_here'
    QUEUE_FULL = 'queue_full'
    QUEUE_TIME = 'queue_time'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    RETRY_BUDGET = 'retry_budget'
    LINK_BUDGET = 'link_budget'
    PEER_UNREACHABLE = 'peer_unreachable'
    PEER_SILENT = 'peer_silent'
    PEER_INCARNATION = 'peer_incarnation'
    DUPLICATE_ATTEMPT = 'duplicate_attempt'
    REVOKED = 'revoked'
    FORGOTTEN = 'forgotten'
    GARBAGE_FRAME = 'garbage_frame'
    SERVER_UNREACHABLE = 'server_unreachable'
    SERVER_SHED = 'server_shed'
    SERVER_FAILED = 'server_failed'
    SERVER_BROKEN = 'server_broken'
    WRONG_INSTANCE = 'wrong_instance'
    SERVER_CRASHED = 'server_crashed'
    ANSWER_CUT = 'answer_cut'


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Report a request that did not run, with the proof."""

    reason: Reason
    evidence: Evidence
    retry_after_s: float = 0.0

    outcome = Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Report a request that may have run."""

    reason: Reason

    outcome = Outcome.UNKNOWN


Failure = NotRun | Unknown


def worse(before: Failure, after: Failure) -> Failure:
    """Return what two failed attempts mean for their request.

    The later counts, but not run can't undo that an earlier may have run.
    """
    if isinstance(before, Unknown) and isinstance(after, NotRun):
        return before
    return after
