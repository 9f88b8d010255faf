"""Read the platform's headers on answers of backend servers."""

from jayflow.connection import messages
from jayflow.platform import wire
from jayflow.request import dialect as dialects
from jayflow.request import headers as http

MISDIRECTED = 421
# The fourth figure of a load header is in hundredths of the usual time.
USUAL_SLOWNESS = 100


def judge(status: int, headers: messages.Headers) -> dialects.Judgement:
    """Return what the head of an answer amounts to.

    A success counts only with the server's signature and unencoded.
    """
    if status == MISDIRECTED:
        return dialects.Judgement.WRONG_INSTANCE
    if http.value_of(headers, wire.NOT_EXECUTED) is not None:
        return dialects.Judgement.NOT_RUN
    if http.value_of(headers, wire.CONTENT_ENCODING) is not None:
        return dialects.Judgement.INVALID
    if http.value_of(headers, wire.REQUEST_ID) is None:
        return dialects.Judgement.INVALID
    is_signed = http.value_of(headers, wire.SIGNATURE) is not None
    if 200 <= status < 300 and not is_signed:
        return dialects.Judgement.INVALID
    return dialects.Judgement.ANSWER


def load_of(headers: messages.Headers) -> messages.Report | None:
    """Return the server's load; None when it is missing or garbled."""
    value = http.value_of(headers, wire.SERVER_LOAD)
    if value is None:
        return None
    figures = value.split(b',')
    if not 3 <= len(figures) <= 4 or not all(
        figure.strip().isdigit() for figure in figures
    ):
        return None
    running, waiting, slots, *slowness = (int(each) for each in figures)
    times = slowness[0] / USUAL_SLOWNESS if slowness else 1.0
    return messages.Report(running, waiting, slots, times)


DIALECT = dialects.Dialect(
    request_id=wire.REQUEST_ID,
    expected_instance=wire.EXPECTED_INSTANCE,
    caller_service=wire.CALLER_SERVICE,
    is_unframed_allowed=True,
    has_fractional_retry_after=True,
    retry_statuses=frozenset({429, 500, 502, 503, 504}),
    judge=judge,
    load_of=load_of,
)
