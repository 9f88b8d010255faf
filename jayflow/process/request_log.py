"""Gather the log lines of one request and summarize how it ended.

The lines may come from the logs of several nodes, also of older releases.
The event texts that are searched for must therefore not change: 'Attempt
failed', 'Request ended' and 'Request is refused'.
"""

from collections.abc import Iterable
import json
from typing import Any, NamedTuple

# Texts for values of outcome.Reason.
_REASON_TEXTS = {
    'queue_time': 'it would have waited in the queue for too long',
    'queue_full': 'the queue of its server was full',
    'deadline': 'its deadline passed',
    'no_member': 'no server of the service was known',
    'no_configuration': 'the node knew no configuration yet',
    'no_route': 'the configuration in force has no such route',
    'server_shed': 'the server reported that it did not run it',
    'server_failed': 'the server responded with an error',
    'server_broken': 'the response of the server was cut off or invalid',
    'server_crashed': 'the server crashed',
    'server_unreachable': 'the server did not accept a connection',
    'wrong_instance': 'another server used the address',
    'peer_unreachable': 'the node of the server could not be reached',
    'peer_silent': 'the node of the server did not reply in time',
    'peer_incarnation': 'the node of the server had restarted',
    'draining': 'the server was draining',
    'node_stopping': 'the node was stopping',
    'quarantined': 'it had crashed servers before',
    'answer_cut': 'the response ended early',
}


class LogLine(NamedTuple):
    """Hold one log line, its timestamp and its source."""

    timestamp: str
    source: str
    fields: dict[str, Any]


def parse_lines(source: str, rows: Iterable[str]) -> list[LogLine]:
    """Return the structured lines of one log; others are skipped.

    Text before the JSON object, such as the columns that a log collector
    adds, replaces the source.
    """
    lines = []
    for row in rows:
        prefix, brace, rest = row.partition('{')
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            line_source = ' '.join(prefix.split()) or source
            lines.append(
                LogLine(str(fields.get('timestamp')), line_source, fields)
            )
    return lines


def lines_of_request(
    lines: Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines of a request and of its child calls, by time.

    The ID of a child call is that of the request, a dot and a suffix.
    """
    prefix = request_id + '.'
    selected = [
        line
        for line in lines
        if (line_id := str(line.fields.get('id', ''))) == request_id
        or line_id.startswith(prefix)
    ]
    return sorted(selected, key=lambda line: line.timestamp)


def summarize(lines: list[LogLine], request_id: str) -> str:
    """Return one sentence on how the request ended, by its log lines."""
    own_lines = [line for line in lines if line.fields.get('id') == request_id]
    failures = [
        line for line in own_lines if 'Attempt failed' in line.fields['event']
    ]
    ends = [
        line for line in own_lines if 'Request ended' in line.fields['event']
    ]
    refusals = [
        line
        for line in own_lines
        if 'Request is refused' in line.fields['event']
    ]
    if refusals:
        return f'Refused before any attempt: {_reason_text(refusals[-1])}.'
    if not own_lines:
        return (
            'No log line names it: it was served normally, or not logged here.'
        )
    if not ends:
        return 'Its end is not in these logs; its last line is above.'
    end = ends[-1].fields
    after = f'after {end["elapsed_ms"]} ms and {len(failures)} failed attempts'
    if end['ended'] != 'answered':
        return f'Not answered, {after}: {_reason_text(ends[-1])}.'
    late_ms = end['elapsed_ms'] - end['target_ms']
    if end['status'] < 500 and late_ms > 0:
        return f'Answered {late_ms} ms late, {after}.'
    return f'Ended with status {end["status"]} from the server, {after}.'


def _reason_text(line: LogLine) -> str:
    reason = line.fields.get('reason') or line.fields.get('ended')
    return _REASON_TEXTS.get(str(reason), str(reason))


def format_line(line: LogLine) -> str:
    """Return a log line as text for the terminal."""
    hidden = ('event', 'timestamp', 'id', 'level')
    shown = ' '.join(
        f'{key}={value}'
        for key, value in line.fields.items()
        if key not in hidden
    )
    return f'{line.timestamp} {line.source} {line.fields["event"]} {shown}'
