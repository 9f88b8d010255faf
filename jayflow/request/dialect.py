"""Name the headers that a node shares with callers and backend servers.

A dialect is chosen once per process. The default is the product's own;
an adapter for another environment brings its own names and readings.
"""

from collections.abc import Callable
import dataclasses
import enum

from jayflow.connection import messages
from jayflow.request import headers as http

OUTCOME_HEADER = b'jayflow-outcome'
SHED_STATUSES = frozenset({429, 503})


class Judgement(enum.Enum):
    """Say what the head of a backend server's answer amounts to."""

    ANSWER = 'answer'
    NOT_RUN = 'not-run'
    WRONG_INSTANCE = 'wrong-instance'
    INVALID = 'invalid'


def _judge_own(status: int, headers: messages.Headers) -> Judgement:
    said = http.value_of(headers, OUTCOME_HEADER)
    if status in SHED_STATUSES and said == b'not-run':
        return Judgement.NOT_RUN
    return Judgement.ANSWER


def _no_load(headers: messages.Headers) -> None:
    del headers


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Hold header names, in lower case, and readings of answers.

    A name that is None is not used. Servers echo the request id, so an
    answer with another id belongs to an earlier request.
    """

    request_id: bytes | None = None
    expected_instance: bytes | None = None
    caller_service: bytes | None = None
    is_unframed_allowed: bool = False
    has_fractional_retry_after: bool = False
    # A failure with one of these may go away at another server.
    retry_statuses: frozenset[int] = frozenset({429, 502, 503, 504})
    judge: Callable[[int, messages.Headers], Judgement] = _judge_own
    load_of: Callable[[messages.Headers], messages.Report | None] = _no_load

    def inbound(
        self, headers: messages.Headers, caller: str
    ) -> messages.Headers:
        """Return a caller's headers with those that only nodes may set."""
        own = (self.expected_instance, self.caller_service)
        rows = [row for row in headers if row[0] not in own]
        if self.caller_service is not None:
            rows.append((self.caller_service, caller.encode()))
        return rows

    def server_rows(self, instance: str) -> messages.Headers:
        """Return the headers that only the instance's node adds."""
        if self.expected_instance is None:
            return []
        return [(self.expected_instance, instance.encode())]

    def id_of(self, headers: messages.Headers) -> bytes | None:
        """Return the id of a request or an answer, if there is one."""
        if self.request_id is None:
            return None
        return http.value_of(headers, self.request_id)


OWN = Dialect()
