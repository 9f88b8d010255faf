"""Check a whole set of objects before anything is published."""

from collections.abc import Iterable

from jayflow.version import findings as found
from jayflow.version import inifile
from jayflow.version import objects
from jayflow.version import quantity

Places = dict[tuple[str, str], inifile.Section]
SECONDS_PER_MONTH = 30 * 86400
BYTES_PER_GB = 10**9


def load(texts: Iterable[tuple[str, str]]) -> objects.Objects:
    """Return the checked objects of (file name, text) pairs.

    Raises an ExceptionGroup of FindingError that holds every fault.
    """
    findings = found.Findings()
    sections = [
        section
        for file, text in texts
        for section in inifile.parse(file, text, findings)
    ]
    by_kind, places = _build(sections, findings)
    whole = objects.Objects(**by_kind)
    if not findings:
        _check_references(whole, places, findings)
        _check_contradictions(whole, places, findings)
    findings.fail_if_any('configuration')
    return whole


def _build(
    sections: list[inifile.Section], findings: found.Findings
) -> tuple[dict, Places]:
    by_kind: dict[str, dict] = {kind: {} for kind in objects.KINDS}
    places: Places = {}
    for section in sections:
        kind = objects.KINDS.get(section.kind)
        if kind is None:
            findings.add(section.place, f'unknown kind {section.kind!r}')
            continue
        try:
            quantity.name(section.name)
        except ValueError as exc:
            findings.add(section.place, f'name: {exc}')
        if (section.kind, section.name) in places:
            findings.add(section.place, 'object stands twice')
        places[section.kind, section.name] = section
        made = kind.from_section(section, findings)
        by_kind[section.kind][section.name] = made
    return by_kind, places


def _check_references(
    whole: objects.Objects, places: Places, findings: found.Findings
) -> None:
    references = [
        ('data_centre', 'region', whole.region),
        ('service', 'policy', whole.policy),
        ('route', 'service', whole.service),
    ]
    for kind, key, targets in references:
        for each in getattr(whole, kind).values():
            _check_known(kind, each, key, targets, places, findings)
    for link in whole.link.values():
        _check_known('link', link, 'regions', whole.region, places, findings)
    for route in whole.route.values():
        _check_route(route, whole, places, findings)


def _check_known(kind, each, key, targets, places, findings) -> None:
    value = getattr(each, key)
    names = value if isinstance(value, tuple) else (value,)
    for name in names:
        if name not in targets:
            place = places[kind, each.name].place_of(key)
            findings.add(place, f'{key}: no such object {name!r}')


def _check_route(route, whole, places, findings) -> None:
    if route.policy:
        _check_known('route', route, 'policy', whole.policy, places, findings)
    place = places['route', route.name].place_of('split')
    for part in route.split:
        if part.service not in whole.service:
            findings.add(place, f'split: no such object {part.service!r}')
    if route.split and not any(part.weight for part in route.split):
        findings.add(place, 'split: every weight is 0')


def _check_contradictions(
    whole: objects.Objects, places: Places, findings: found.Findings
) -> None:
    for link in whole.link.values():
        _check_link(link, places['link', link.name], findings)
    for policy in whole.policy.values():
        _check_policy(policy, places['policy', policy.name], findings)
    _check_same(
        whole.link.values(),
        lambda link: tuple(sorted(link.regions)),
        lambda link: places['link', link.name].place_of('regions'),
        findings,
    )
    _check_same(
        whole.route.values(),
        lambda route: (route.host, route.path),
        lambda route: places['route', route.name].place_of('path'),
        findings,
    )


def _check_same(each, key_of, place_of, findings) -> None:
    first: dict = {}
    for item in each:
        other = first.setdefault(key_of(item), item)
        if other is not item:
            findings.add(place_of(item), f'says the same as {other.name!r}')


def _check_link(link, section, findings) -> None:
    if len(set(link.regions)) != 2:
        place = section.place_of('regions')
        findings.add(place, 'a link joins two different regions')
    budgets = link.traffic_budget + link.measuring_budget
    if budgets > link.capacity:
        place = section.place_of('traffic-budget')
        findings.add(place, 'budgets add up to more than the capacity')
    cost = budgets * SECONDS_PER_MONTH / BYTES_PER_GB * link.price_per_gb
    if link.monthly_budget and 2 * cost > link.monthly_budget:
        text = f'budgets can cost {2 * cost:.0f} a month, both ways'
        findings.add(section.place_of('monthly-budget'), text)


def _check_policy(policy, section, findings) -> None:
    if policy.queue_time >= policy.deadline:
        place = section.place_of('queue-time')
        findings.add(place, 'queue-time must be less than deadline')
    if policy.try_timeout > policy.deadline:
        place = section.place_of('try-timeout')
        findings.add(place, 'try-timeout is more than deadline')
