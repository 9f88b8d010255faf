"""Gather the log lines of one request and say what ended it."""

from collections.abc import Iterable
import json
from typing import Any, NamedTuple

_REASONS = {
    'queue_time': 'its queue would not have moved on in time',
    'queue_full': 'the queue of its server was full',
    'deadline': 'its time was over',
    'no_member': 'no server of the service was known',
    'no_configuration': 'the node knew no configuration yet',
    'no_route': 'the configuration in force has no such route',
    'server_shed': 'the server said that it did not run it',
    'server_failed': 'the server answered with an error',
    'server_broken': 'the answer of the server was broken off or faulty',
    'server_crashed': 'the server crashed',
    'server_unreachable': 'the server took no connection',
    'wrong_instance': 'another server had the address',
    'peer_unreachable': 'the node beside the server was not reached',
    'peer_silent': 'the node beside the server did not answer in time',
    'peer_incarnation': 'the node beside the server had started again',
    'draining': 'the server was leaving',
    'node_stopping': 'the node was stopping',
    'quarantined': 'it had crashed servers before',
    'answer_cut': 'the answer ended early',
}


class Line(NamedTuple):
    """Hold one log line and where it came from."""

    at: str
    source: str
    fields: dict[str, Any]


def read(source: str, rows: Iterable[str]) -> list[Line]:
    """Return the structured lines of one log; others are passed over.

    What stands before the object, such as a collector's own columns, is
    taken for the source.
    """
    found = []
    for row in rows:
        before, brace, rest = row.partition('{')
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            where = ' '.join(before.split()) or source
            found.append(Line(str(fields.get('timestamp')), where, fields))
    return found


def select(lines: Iterable[Line], request_id: str) -> list[Line]:
    """Return the lines of a request and of calls made for it, by time."""
    prefix = request_id + '.'
    chosen = [
        line
        for line in lines
        if (own := str(line.fields.get('id', ''))) == request_id
        or own.startswith(prefix)
    ]
    return sorted(chosen, key=lambda line: line.at)


def sentence(lines: list[Line], request_id: str) -> str:
    """Return one sentence on how the request ended, as the lines tell."""
    own = [line for line in lines if line.fields.get('id') == request_id]
    tries = [each for each in own if 'Attempt failed' in each.fields['event']]
    ends = [each for each in own if 'Request ended' in each.fields['event']]
    refusals = [
        each for each in own if 'Request is refused' in each.fields['event']
    ]
    if refusals:
        return f'Refused before any try: {_why(refusals[-1])}.'
    if not own:
        return 'No line names it: it was served as planned, or not seen.'
    if not ends:
        return 'Its end is not in these logs; its last line is above.'
    end = ends[-1].fields
    after = f'after {end["elapsed_ms"]} ms and {len(tries)} failed tries'
    if end['ended'] != 'answered':
        return f'Not answered, {after}: {_why(ends[-1])}.'
    late = end['elapsed_ms'] - end['target_ms']
    if end['status'] < 500 and late > 0:
        return f'Answered {late} ms late, {after}.'
    return f'Ended with status {end["status"]} of the server, {after}.'


def _why(line: Line) -> str:
    reason = line.fields.get('reason') or line.fields.get('ended')
    return _REASONS.get(str(reason), str(reason))


def render(line: Line) -> str:
    """Return a line for a person to read."""
    hidden = ('event', 'timestamp', 'id', 'level')
    rest = ' '.join(
        f'{key}={value}'
        for key, value in line.fields.items()
        if key not in hidden
    )
    return f'{line.at} {line.source} {line.fields["event"]} {rest}'
