"""Interpret the platform's headers on responses of backend servers.

DIALECT holds these functions and the names of the headers for a node on
the users' platform.
"""

import re

from jayflow.connection import messages
from jayflow.platform import protocol
from jayflow.request import header_dialect
from jayflow.request import headers as http_headers

MISDIRECTED_REQUEST = 421
# Statuses that promise callers that the request did not run.
NOT_RUN_STATUSES = frozenset({408, 429, 503})
# The fourth figure of a load header is the current service time in hundredths
# of the usual one: 700 means seven times as long.
SLOWNESS_SCALE = 100
# Longer figures are the work of a faulty server; these fit into a message.
_FIGURE = rb'\s*([0-9]{1,9})\s*'
_COLD_MS = re.compile(_FIGURE)
_LOAD = re.compile(rb','.join([_FIGURE] * 3) + rb'(?:,%b)?' % _FIGURE)


def classify(
    status: int, headers: messages.Headers
) -> header_dialect.ResponseKind:
    """Return the kind of a response, from its status and headers.

    A response to a request that was run is valid only with a request id
    and without a content encoding; a success also needs the server's
    signature. A status that promises that the request did not run is
    invalid unless the server states that as well.
    """
    if status == MISDIRECTED_REQUEST:
        return header_dialect.ResponseKind.WRONG_INSTANCE
    if http_headers.value_of(headers, protocol.NOT_EXECUTED) is not None:
        return header_dialect.ResponseKind.NOT_RUN
    if status in NOT_RUN_STATUSES:
        return header_dialect.ResponseKind.INVALID
    if http_headers.value_of(headers, protocol.CONTENT_ENCODING) is not None:
        return header_dialect.ResponseKind.INVALID
    if http_headers.value_of(headers, protocol.REQUEST_ID) is None:
        return header_dialect.ResponseKind.INVALID
    is_signed = http_headers.value_of(headers, protocol.SIGNATURE) is not None
    if 200 <= status < 300 and not is_signed:
        return header_dialect.ResponseKind.INVALID
    return header_dialect.ResponseKind.RESPONSE


def load_report_of(headers: messages.Headers) -> messages.LoadReport | None:
    """Return the load that a server reports.

    Returns None when the header is missing or malformed.
    """
    value = http_headers.value_of(headers, protocol.SERVER_LOAD)
    if value is None:
        return None
    found = _LOAD.fullmatch(value)
    if found is None:
        return None
    running, waiting, slots = map(int, found.groups()[:3])
    slowness = int(found[4]) / SLOWNESS_SCALE if found[4] else 1.0
    return messages.LoadReport(running, waiting, slots, slowness)


def rate_limit_of(headers: messages.Headers) -> float | None:
    """Return the requests per second that a server takes from all nodes.

    Returns infinity without a limit and None if the header is malformed.
    """
    return http_headers.rate_limit_of(headers, protocol.SERVER_LIMIT)


def is_leaving(headers: messages.Headers) -> bool:
    """Return whether a server says that it is leaving."""
    return http_headers.value_of(headers, protocol.SERVER_LEAVING) == b'1'


def cold_s_of(headers: messages.Headers) -> float | None:
    """Return for how long a server says that it is cold.

    Returns None when the header is missing or malformed.
    """
    value = http_headers.value_of(headers, protocol.COLD_MS)
    found = None if value is None else _COLD_MS.fullmatch(value)
    return int(found[1]) / 1000 if found else None


DIALECT = header_dialect.HeaderDialect(
    request_id=protocol.REQUEST_ID,
    expected_instance=protocol.EXPECTED_INSTANCE,
    instance=protocol.INSTANCE_ID,
    caller_service=protocol.CALLER_SERVICE,
    credential=protocol.CREDENTIAL,
    team=protocol.TENANT,
    allows_unframed_responses=True,
    allows_fractional_retry_after=True,
    retry_statuses=frozenset({429, 500, 502, 503, 504}),
    classify=classify,
    load_report_of=load_report_of,
    rate_limit_of=rate_limit_of,
    cold_s_of=cold_s_of,
    is_leaving=is_leaving,
)
