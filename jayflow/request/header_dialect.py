"""Define the headers exchanged with callers and backend servers.

A header dialect is chosen once per process. The default is the native one;
an adapter for another environment supplies its own header names and its own
functions that interpret response headers.
"""

from collections.abc import Callable
import dataclasses
import enum

from jayflow.connection import messages
from jayflow.request import headers as http_headers

OUTCOME_HEADER = b'jayflow-outcome'
RATE_LIMIT_HEADER = b'jayflow-rate-limit'
LEAVING_HEADER = b'jayflow-leaving'
SHED_STATUSES = frozenset({429, 503})
FIRST_SERVER_ERROR_STATUS = 500


class ResponseKind(enum.Enum):
    """Classify the head of a backend server's response."""

    RESPONSE = 'answer'
    NOT_RUN = 'not-run'
    WRONG_INSTANCE = 'wrong-instance'
    INVALID = 'invalid'


def _classify_default(status: int, headers: messages.Headers) -> ResponseKind:
    outcome = http_headers.value_of(headers, OUTCOME_HEADER)
    if status in SHED_STATUSES and outcome == b'not-run':
        return ResponseKind.NOT_RUN
    return ResponseKind.RESPONSE


def _default_rate_limit_of(headers: messages.Headers) -> float | None:
    return http_headers.rate_limit_of(headers, RATE_LIMIT_HEADER)


def _default_is_leaving(headers: messages.Headers) -> bool:
    return http_headers.value_of(headers, LEAVING_HEADER) == b'1'


def _no_load(headers: messages.Headers) -> None:
    del headers


def _no_cold_time(headers: messages.Headers) -> None:
    del headers


@dataclasses.dataclass(frozen=True)
class HeaderDialect:
    """Hold header names, in lower case, and response header functions.

    A header whose name is None is not used. Servers echo the request id:
    a response with another id belongs to an earlier request.
    """

    request_id: bytes | None = None
    expected_instance: bytes | None = None
    # In responses to polls: the instance of the server that sends them.
    instance: bytes | None = None
    caller_service: bytes | None = None
    # A caller's key, and the name of its team that backend servers get.
    credential: bytes = b'jayflow-team-key'
    team: bytes = b'jayflow-team'
    allows_unframed_responses: bool = False
    allows_fractional_retry_after: bool = False
    # Statuses of failures that a retry on another server may avoid.
    retry_statuses: frozenset[int] = frozenset({429, 502, 503, 504})
    classify: Callable[[int, messages.Headers], ResponseKind] = (
        _classify_default
    )
    load_report_of: Callable[
        [messages.Headers], messages.LoadReport | None
    ] = _no_load
    # Requests per second that a server takes from all nodes together:
    # infinity without a limit, None if the header is malformed.
    rate_limit_of: Callable[[messages.Headers], float | None] = (
        _default_rate_limit_of
    )
    # For how long the server says that it is cold, in seconds; None if it
    # does not say, or the header is malformed.
    cold_s_of: Callable[[messages.Headers], float | None] = _no_cold_time
    # Whether the server is about to stop and takes no more requests.
    is_leaving: Callable[[messages.Headers], bool] = _default_is_leaving

    def caller_headers(
        self, headers: messages.Headers, caller: str
    ) -> messages.Headers:
        """Return a caller's headers; those only nodes may set are replaced."""
        node_only = (self.expected_instance, self.caller_service)
        rewritten = [row for row in headers if row[0] not in node_only]
        if self.caller_service is not None:
            rewritten.append((self.caller_service, caller.encode()))
        return rewritten

    def team_headers(
        self, headers: messages.Headers, team: str
    ) -> messages.Headers:
        """Return headers without a key, and with the team if there is one."""
        rewritten = [
            row
            for row in headers
            if row[0] not in (self.credential, self.team)
        ]
        if team:
            rewritten.append((self.team, team.encode()))
        return rewritten

    def server_headers(self, instance: str) -> messages.Headers:
        """Return the headers that the instance's own node adds."""
        if self.expected_instance is None:
            return []
        return [(self.expected_instance, instance.encode())]

    def may_come_from(self, instance: str, headers: messages.Headers) -> bool:
        """Return whether a response names this instance, or none."""
        if self.instance is None:
            return True
        value = http_headers.value_of(headers, self.instance)
        return value is None or value == instance.encode()

    def caller_of(self, headers: messages.Headers) -> bytes:
        """Return the caller that the sender's node named, empty if none."""
        if self.caller_service is None:
            return b''
        return http_headers.value_of(headers, self.caller_service) or b''

    def request_id_of(self, headers: messages.Headers) -> bytes | None:
        """Return the request id in the headers, if there is one."""
        if self.request_id is None:
            return None
        return http_headers.value_of(headers, self.request_id)


def is_server_error(status: int) -> bool:
    """Return whether a status says that the server failed."""
    return status >= FIRST_SERVER_ERROR_STATUS


DEFAULT_DIALECT = HeaderDialect()
