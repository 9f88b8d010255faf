"""Outcomes of a request and the reasons for refusals and retries.

A request ends answered, not run or unknown. NotRun requires evidence, so
code that has no proof that the request did not run returns Unknown.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Describe how a request ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Evidence(enum.Enum):
    """List the proofs that an attempt did not run."""

    NEVER_SENT = 'never-sent'
    REFUSED_BEFORE_START = 'refused-before-start'
    REVOKED_BEFORE_START = 'revoked-before-start'
    SERVER_SHED = 'server-shed'


class Reason(enum.Enum):
    """List why a request or an attempt was refused or failed."""

    BAD_REQUEST = 'bad_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    HEADERS_TIMED_OUT = 'headers_timed_out'
    BODY_CUT = 'body_cut'
    NO_ROUTE = 'no_route'
    NO_TEAM = 'no_team'
    TEAM_LIMIT = 'team_limit'
    NO_CONFIGURATION = 'no_configuration'
    EVACUATIONS_UNKNOWN = 'evacuations_unknown'
    STALE_CONFIGURATION = 'stale_configuration'
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
    EVACUATED = 'evacuated'
    NOT_SERVED_HERE = 'not_served_here'
    QUEUE_FULL = 'queue_full'
    QUEUE_TIME = 'queue_time'
    RATE_LIMIT = 'rate_limit'
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
    RESPONSE_TRUNCATED = 'answer_cut'


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Describe a failed request that did not run, with the proof."""

    reason: Reason
    evidence: Evidence
    retry_after_s: float = 0.0

    outcome = Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Describe a failed request that may have run."""

    reason: Reason

    outcome = Outcome.UNKNOWN


Failure = NotRun | Unknown


def combine_failures(earlier: Failure, later: Failure) -> Failure:
    """Combine the failures of two attempts into that of their request.

    The later one counts, unless it did not run and the earlier one may have
    run: then the request may have run as well.
    """
    if isinstance(earlier, Unknown) and isinstance(later, NotRun):
        return earlier
    return later
