"""Warn of valid configuration objects that probably don't do what they say.

A set of objects with warnings may be published; one with faults may not
(see validation).
"""

from collections.abc import Callable
from collections.abc import Iterator
import string

from jayflow.version import findings as diagnostics
from jayflow.version import objects
from jayflow.version import validation

# Characters of a request's path, which routes are matched with; callers
# percent-encode all others (RFC 3986, section 3.3), and the query is left out.
_PATH_CHARACTERS = frozenset(
    string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@/%"
)
MIN_BURST = 1.0

# The key that a warning is about, and its text.
KeyAndText = Iterator[tuple[str, str]]
Check = Callable[..., KeyAndText]


def find_warnings(
    loaded: validation.LoadedObjects,
) -> diagnostics.Findings:
    """Return the warnings of a valid set of objects."""
    findings = diagnostics.Findings()
    for kind, checks in _CHECKS.items():
        for obj in getattr(loaded.objects, kind).values():
            section = loaded.sections[kind, obj.name]
            for check in checks:
                for key, text in check(obj, loaded.objects):
                    findings.add(section.location_of(key), text)
    if loaded.objects.requires_keys and not loaded.objects.team:
        section = loaded.sections[objects.TEAMS_KIND, '']
        findings.add(
            section.location_of('required'),
            'there is no team; requests on routes that are not public are '
            'refused',
        )
    return findings


def _check_can_match(
    route: objects.Route, all_objects: objects.ObjectSet
) -> KeyAndText:
    # Two routes with equal hosts and paths are a fault, and of two others
    # each matches at least its own path.
    foreign = sorted(set(route.path) - _PATH_CHARACTERS)
    if foreign:
        shown = ', '.join(map(repr, foreign))
        yield (
            'path',
            f'path: never matches, since no request path contains {shown}',
        )


def _check_weights(
    route: objects.Route, all_objects: objects.ObjectSet
) -> KeyAndText:
    for weighted in route.split:
        if not weighted.weight:
            yield (
                'split',
                f'split: {weighted.service!r} has a weight of 0 and gets no '
                'requests',
            )


def _check_regions(
    obj: objects.Route | objects.Team, all_objects: objects.ObjectSet
) -> KeyAndText:
    populated = {centre.region for centre in all_objects.data_centre.values()}
    empty = [name for name in obj.regions if name not in populated]
    for name in empty:
        yield 'regions', f'regions: {name!r} contains no data centre'
    if empty and len(empty) == len(obj.regions):
        yield 'regions', 'regions: no server can run the requests'


def _check_team_routes(
    team: objects.Team, all_objects: objects.ObjectSet
) -> KeyAndText:
    excluded = [
        repr(route.name)
        for route in all_objects.route.values()
        if team.regions
        and route.regions
        and not route.public
        and not set(team.regions) & set(route.regions)
    ]
    if excluded:
        noun = 'route' if len(excluded) == 1 else 'routes'
        yield (
            'regions',
            f'regions: none is allowed by {noun} {", ".join(excluded)}; the '
            "team's requests there reach no server",
        )


def _check_team_keys(
    team: objects.Team, all_objects: objects.ObjectSet
) -> KeyAndText:
    if team.key_digests:
        return
    others = [
        repr(other.name)
        for other in all_objects.team.values()
        if other is not team and not other.key_digests
    ]
    shared = f', like {", ".join(others)}' if others else ''
    yield 'key-digests', f'the team has no key{shared}; no request is its own'


def _check_burst(
    team: objects.Team, all_objects: objects.ObjectSet
) -> KeyAndText:
    if team.rate and team.burst < MIN_BURST:
        yield (
            'burst',
            f'burst of {team.burst:g} is below one request while a rate is '
            'set; it may refuse every request',
        )
    if team.burst and not team.rate:
        yield 'burst', 'burst has no effect without a rate'


def _check_timeouts(
    policy: objects.Policy, all_objects: objects.ObjectSet
) -> KeyAndText:
    target = policy.latency_target
    if policy.deadline < target:
        yield 'deadline', _longer_text('deadline', policy.deadline, target)
    if policy.try_timeout < target:
        yield (
            'try-timeout',
            _longer_text('try-timeout', policy.try_timeout, target),
        )


def _longer_text(key: str, value: float, target: float) -> str:
    return (
        f'{key} of {value:g} s is shorter than the latency-target of '
        f'{target:g} s'
    )


def _check_queue_time(
    policy: objects.Policy, all_objects: objects.ObjectSet
) -> KeyAndText:
    if policy.queue_time >= policy.try_timeout:
        yield (
            'queue-time',
            f'queue-time of {policy.queue_time:g} s is not below the '
            f'try-timeout of {policy.try_timeout:g} s',
        )
    elif (
        policy.latency_target <= policy.deadline
        and policy.queue_time + policy.latency_target > policy.deadline
    ):
        yield (
            'queue-time',
            f'queue-time and latency-target together exceed the deadline of '
            f'{policy.deadline:g} s',
        )


def _check_cold(
    service: objects.Service, all_objects: objects.ObjectSet
) -> KeyAndText:
    if service.cold_rate and not service.cold_start:
        yield 'cold-rate', 'cold-rate has no effect without a cold-start'
    if service.cold_start and not service.cold_rate:
        yield (
            'cold-start',
            'cold-start without a cold-rate: cold servers take requests '
            'without a limit',
        )


_CHECKS: dict[str, tuple[Check, ...]] = {
    'policy': (_check_timeouts, _check_queue_time),
    'service': (_check_cold,),
    'route': (_check_can_match, _check_weights, _check_regions),
    'team': (
        _check_regions,
        _check_team_routes,
        _check_team_keys,
        _check_burst,
    ),
}
