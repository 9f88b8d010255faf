"""State what a difference between two sets of objects does."""

from collections.abc import Callable
from collections.abc import Iterator
import enum
from typing import Any

from jayflow.version import objects

ObjectSet = objects.ObjectSet
# What a key of a policy, service or team sets, and the value that stands for
# no limit.
_POLICY_LIMITS = {
    'request_class': ('the request class', None),
    'deadline': ('the deadline (s)', None),
    'try_timeout': ('the timeout of a try (s)', None),
    'tries': ('the number of tries', None),
    'retry_share': ('retries per request', None),
    'hedge_share': ('hedges per request', None),
    'queue_length': ('the length of a queue', None),
    'queue_time': ('the wait in a queue (s)', None),
    'cross_region': ('the use of other regions', None),
    'key_retention': ('how long idempotency keys are kept (s)', None),
    'quarantine': ('how long crashing requests are refused (s)', None),
    'latency_target': ('the latency target (s)', 0),
    'priority': ('the priority', None),
    'deadline_scope': ('what the deadline covers', None),
}
_SERVICE_LIMITS = {
    'health_path': ('the path of load reports', ''),
    'connections': ('connections to a server', 0),
    'cold_start': ('how long servers are cold (s)', None),
    'cold_rate': ('requests per second to a cold server', 0),
}
_TEAM_LIMITS = {
    'rate': ('requests per second', 0),
    'burst': ('the burst', None),
    'priority': ('the priority', None),
}
_LINK_LIMITS = {
    'capacity': ('the capacity (B/s)', None),
    'traffic_budget': ('the budget for traffic (B/s)', None),
    'measuring_budget': ('the budget for load reports (B/s)', None),
    'monthly_budget': ('the budget of a month', 0),
    'seats': ('nodes that share the budgets', None),
}
_CALLER_LIMITS = {
    'header_bytes': ('the size of headers (B)', None),
    'body_bytes': ('the size of a body (B)', None),
    'header_timeout': ('the time for headers (s)', None),
    'idle_timeout': ('the time that a connection may be idle (s)', None),
}


def effects_of(
    kind: str, old: Any, new: Any, old_set: ObjectSet, new_set: ObjectSet
) -> list[str]:
    """Return what the difference of one object does; None is no object."""
    return list(_EFFECTS[kind](old, new, old_set, new_set))


def limit_effects(old: objects.Limits, new: objects.Limits) -> list[str]:
    """Return what a difference of the limits of callers does."""
    return list(_changed_limits(_CALLER_LIMITS, old, new))


def key_effects(old: ObjectSet, new: ObjectSet) -> Iterator[str]:
    """Yield what changes in which requests need a team's key."""
    if new.has_keys and not old.has_keys:
        yield 'routes that are not public now need a key'
    if old.has_keys and not new.has_keys:
        yield 'no route needs a key any more'
    if new.has_keys and not new.team and (old.team or not old.has_keys):
        yield 'no team is left; only public routes are served'


def format_value(value: Any) -> str:
    """Return a value of a key as text."""
    match value:
        case None | ():
            return 'none'
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case enum.Enum():
            return str(value.value)
        case objects.WeightedService():
            return f'{value.service} {value.weight:g}'
        case tuple():
            return ', '.join(map(format_value, value))
    return str(value) or 'none'


def _changed_limits(limits: dict, old: Any, new: Any) -> Iterator[str]:
    if old is None or new is None:
        return
    for field, (title, no_limit) in limits.items():
        values = getattr(old, field), getattr(new, field)
        if values[0] == values[1]:
            continue
        texts = [
            'none' if value == no_limit else format_value(value)
            for value in values
        ]
        yield f'{title}: from {texts[0]} to {texts[1]}'


def _route_effects(
    old: objects.Route | None,
    new: objects.Route | None,
    old_set: ObjectSet,
    new_set: ObjectSet,
) -> Iterator[str]:
    targets = {(route.host, route.path) for route in (old, new) if route}
    for host, path in sorted(targets):
        yield from _moved_requests(host, path, old_set, new_set)
    if old is None or new is None:
        return
    if old.public != new.public:
        yield (
            "requests need no team's key"
            if new.public
            else "requests without a team's key are refused"
        )
    if old.idempotent is not new.idempotent:
        yield (
            'requests that may be repeated: from '
            f'{old.idempotent.value} to {new.idempotent.value}'
        )
    if old.key is not new.key:
        yield f'idempotency keys are {new.key.value}'
    if old.policy != new.policy:
        texts = [
            repr(row.policy) if row.policy else "the service's"
            for row in (old, new)
        ]
        yield f'requests change from policy {texts[0]} to {texts[1]}'
    yield from _region_effects(old, new, old_set, new_set)


def _moved_requests(
    host: str, path: str, old_set: ObjectSet, new_set: ObjectSet
) -> Iterator[str]:
    """Yield where requests to a path go, if that differs."""
    old = old_set.route_for(host, path)
    new = new_set.route_for(host, path)
    texts = [_services_text(route) for route in (old, new)]
    if texts[0] == texts[1]:
        return
    requests = f'requests to {host}{path}'
    if new is None:
        yield f'{requests} are refused (no route), before: {texts[0]}'
    elif old is None:
        yield f'{requests} go to {texts[1]}, before: refused (no route)'
    else:
        yield f'{requests} move from {texts[0]} to {texts[1]}'


def _services_text(route: objects.Route | None) -> str:
    if route is None:
        return ''
    parts = [part for part in route.split if part.weight]
    if not parts:
        return repr(route.service)
    if len(parts) == 1:
        return repr(parts[0].service)
    total = sum(part.weight for part in parts)
    return ', '.join(
        f'{part.service!r} ({part.weight / total:.4g} of all)'
        for part in parts
    )


def _region_effects(
    old: Any, new: Any, old_set: ObjectSet, new_set: ObjectSet
) -> Iterator[str]:
    if old.regions == new.regions:
        return
    before = set(old.regions or old_set.region)
    after = set(new.regions or new_set.region)
    for verb, names in (('lose', before - after), ('gain', after - before)):
        if names:
            shown = ', '.join(sorted(names))
            yield f'requests {verb} the servers in {shown}'


def _team_effects(
    old: objects.Team | None,
    new: objects.Team | None,
    old_set: ObjectSet,
    new_set: ObjectSet,
) -> Iterator[str]:
    before = set(old.key_digests) if old else set()
    after = set(new.key_digests) if new else set()
    for digest in sorted(before - after):
        owner = _team_of_key(digest, new_set)
        outcome = (
            f'its requests count for team {owner!r}'
            if owner
            else 'requests with it are refused'
        )
        yield f'loses key {digest[:12]}: {outcome}'
    for digest in sorted(after - before):
        owner = _team_of_key(digest, old_set)
        source = f' of team {owner!r}' if owner else ''
        yield f'gains key {digest[:12]}{source}'
    yield from key_effects(old_set, new_set)
    yield from _changed_limits(_TEAM_LIMITS, old, new)
    if old is not None and new is not None:
        yield from _region_effects(old, new, old_set, new_set)


def _team_of_key(
    digest: objects.KeyDigest, object_set: ObjectSet
) -> objects.TeamName | None:
    for team in object_set.team.values():
        if digest in team.key_digests:
            return team.name
    return None


def _policy_effects(
    old: objects.Policy | None,
    new: objects.Policy | None,
    old_set: ObjectSet,
    new_set: ObjectSet,
) -> Iterator[str]:
    limits = list(_changed_limits(_POLICY_LIMITS, old, new))
    yield from limits
    users = sorted(
        route.name
        for route in new_set.route.values()
        if new is not None
        and (route.policy or new_set.service[route.service].policy) == new.name
    )
    if limits:
        yield f'for routes: {", ".join(users) or "none"}'


def _service_effects(
    old: objects.Service | None,
    new: objects.Service | None,
    old_set: ObjectSet,
    new_set: ObjectSet,
) -> Iterator[str]:
    if old is None:
        yield 'nodes accept servers of this service'
    elif new is None:
        yield 'nodes use no server of this service any more'
    elif old.policy != new.policy:
        yield f'requests change from policy {old.policy!r} to {new.policy!r}'
    yield from _changed_limits(_SERVICE_LIMITS, old, new)


def _data_centre_effects(
    old: objects.DataCentre | None,
    new: objects.DataCentre | None,
    old_set: ObjectSet,
    new_set: ObjectSet,
) -> Iterator[str]:
    if old is not None and new is not None:
        yield f'its servers change from region {old.region} to {new.region}'
    elif old is None:
        yield f'its servers count as in region {new.region}'
    else:
        yield 'the region of its servers is unknown'


def _link_effects(
    old: objects.Link | None,
    new: objects.Link | None,
    old_set: ObjectSet,
    new_set: ObjectSet,
) -> Iterator[str]:
    if old is None or new is None:
        verb = 'is allowed' if old is None else 'is no longer allowed'
        yield f'traffic between {" and ".join((old or new).regions)} {verb}'
    yield from _changed_limits(_LINK_LIMITS, old, new)


def _no_effects(
    old: Any, new: Any, old_set: ObjectSet, new_set: ObjectSet
) -> Iterator[str]:
    yield from ()


Effects = Callable[[Any, Any, ObjectSet, ObjectSet], Iterator[str]]
_EFFECTS: dict[str, Effects] = {
    'region': _no_effects,
    'data_centre': _data_centre_effects,
    'link': _link_effects,
    'policy': _policy_effects,
    'service': _service_effects,
    'route': _route_effects,
    'team': _team_effects,
}
