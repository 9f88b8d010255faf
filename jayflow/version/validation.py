"""Parse and validate a set of configuration objects as a whole.

A set with any fault is rejected, so that no part of it is published.
"""

from collections.abc import Iterable
import dataclasses

from jayflow.version import findings as diagnostics
from jayflow.version import inifile
from jayflow.version import objects
from jayflow.version import value_parsers

SectionsByObject = dict[tuple[str, str], inifile.Section]
SECONDS_PER_MONTH = 30 * 86400
BYTES_PER_GB = 10**9


@dataclasses.dataclass(frozen=True)
class LoadedObjects:
    """Hold valid objects and the sections that describe them."""

    objects: objects.ObjectSet
    sections: SectionsByObject


def load_objects(texts: Iterable[tuple[str, str]]) -> objects.ObjectSet:
    """Return the validated objects of (file name, text) pairs.

    Raises an ExceptionGroup with a FindingError for each fault.
    """
    return load_with_sections(texts).objects


def load_with_sections(texts: Iterable[tuple[str, str]]) -> LoadedObjects:
    """Return the validated objects of (file name, text) pairs and sections.

    Raises an ExceptionGroup with a FindingError for each fault.
    """
    findings = diagnostics.Findings()
    sections = [
        section
        for file, text in texts
        for section in inifile.parse(file, text, findings)
    ]
    objects_by_kind, sections_by_object = _build_objects(sections, findings)
    requires_keys = _parse_teams_section(sections_by_object, findings)
    all_objects = objects.ObjectSet(
        **objects_by_kind, requires_keys=requires_keys
    )
    if not findings:
        _check_references(all_objects, sections_by_object, findings)
        _check_consistency(all_objects, sections_by_object, findings)
    findings.raise_if_any('configuration')
    return LoadedObjects(all_objects, sections_by_object)


def _build_objects(
    sections: list[inifile.Section], findings: diagnostics.Findings
) -> tuple[dict, SectionsByObject]:
    objects_by_kind: dict[str, dict] = {
        kind: {} for kind in objects.OBJECT_TYPES
    }
    sections_by_object: SectionsByObject = {}
    for section in sections:
        is_teams = section.title == objects.TEAMS_KIND
        object_type = objects.OBJECT_TYPES.get(section.kind)
        if object_type is None and not is_teams:
            findings.add(section.location, f'unknown kind {section.kind!r}')
            continue
        if (section.kind, section.name) in sections_by_object:
            findings.add(section.location, 'duplicate object')
        sections_by_object[section.kind, section.name] = section
        if object_type is None:
            continue
        try:
            value_parsers.object_name(section.name)
        except ValueError as exc:
            findings.add(section.location, f'name: {exc}')
        obj = object_type.from_section(section, findings)
        objects_by_kind[section.kind][section.name] = obj
    return objects_by_kind, sections_by_object


def _parse_teams_section(
    sections_by_object: SectionsByObject, findings: diagnostics.Findings
) -> bool:
    """Return whether requests need a key although there is no team."""
    section = sections_by_object.get((objects.TEAMS_KIND, ''))
    if section is None:
        return False
    return section.parse_fields(objects.TEAMS_FIELDS, findings)['required']


def _check_references(
    all_objects: objects.ObjectSet,
    sections_by_object: SectionsByObject,
    findings: diagnostics.Findings,
) -> None:
    references = [
        ('data_centre', 'region', all_objects.region),
        ('service', 'policy', all_objects.policy),
        ('route', 'service', all_objects.service),
    ]
    for kind, key, targets in references:
        for obj in getattr(all_objects, kind).values():
            _check_reference(
                kind, obj, key, targets, sections_by_object, findings
            )
    for link in all_objects.link.values():
        _check_reference(
            'link',
            link,
            'regions',
            all_objects.region,
            sections_by_object,
            findings,
        )
    for kind in ('route', 'team'):
        for obj in getattr(all_objects, kind).values():
            _check_reference(
                kind,
                obj,
                'regions',
                all_objects.region,
                sections_by_object,
                findings,
            )
    for route in all_objects.route.values():
        _check_route(route, all_objects, sections_by_object, findings)


def _check_reference(
    kind, obj, key, targets, sections_by_object, findings
) -> None:
    value = getattr(obj, key)
    names = value if isinstance(value, tuple) else (value,)
    for name in names:
        if name not in targets:
            location = sections_by_object[kind, obj.name].location_of(key)
            findings.add(location, f'{key}: no such object {name!r}')


def _check_route(route, all_objects, sections_by_object, findings) -> None:
    if route.policy:
        _check_reference(
            'route',
            route,
            'policy',
            all_objects.policy,
            sections_by_object,
            findings,
        )
    location = sections_by_object['route', route.name].location_of('split')
    for weighted in route.split:
        if weighted.service not in all_objects.service:
            findings.add(
                location, f'split: no such object {weighted.service!r}'
            )
    if route.split and not any(weighted.weight for weighted in route.split):
        findings.add(location, 'split: every weight is 0')


def _check_consistency(
    all_objects: objects.ObjectSet,
    sections_by_object: SectionsByObject,
    findings: diagnostics.Findings,
) -> None:
    for link in all_objects.link.values():
        _check_link(link, sections_by_object['link', link.name], findings)
    for policy in all_objects.policy.values():
        _check_policy(
            policy, sections_by_object['policy', policy.name], findings
        )
    _check_unique(
        all_objects.link.values(),
        lambda link: tuple(sorted(link.regions)),
        lambda link: sections_by_object['link', link.name].location_of(
            'regions'
        ),
        findings,
    )
    _check_unique_keys(all_objects, sections_by_object, findings)
    _check_unique(
        all_objects.route.values(),
        lambda route: (route.host, route.path),
        lambda route: sections_by_object['route', route.name].location_of(
            'path'
        ),
        findings,
    )


def _check_unique(items, key_of, location_of, findings) -> None:
    first_by_key: dict = {}
    for item in items:
        first = first_by_key.setdefault(key_of(item), item)
        if first is not item:
            findings.add(location_of(item), f'duplicates {first.name!r}')


def _check_unique_keys(all_objects, sections_by_object, findings) -> None:
    team_by_digest: dict = {}
    for team in all_objects.team.values():
        for digest in team.key_digests:
            first = team_by_digest.setdefault(digest, team)
            if first is not team:
                location = sections_by_object['team', team.name].location_of(
                    'key-digests'
                )
                findings.add(
                    location, f'shares a key with team {first.name!r}'
                )


def _check_link(link, section, findings) -> None:
    if len(set(link.regions)) != 2:
        location = section.location_of('regions')
        findings.add(location, 'a link must join two different regions')
    budgets = link.traffic_budget + link.measuring_budget
    if budgets > link.capacity:
        location = section.location_of('traffic-budget')
        findings.add(location, 'sum of the budgets is more than the capacity')
    cost_per_direction = (
        budgets * SECONDS_PER_MONTH / BYTES_PER_GB * link.price_per_gb
    )
    if link.monthly_budget and 2 * cost_per_direction > link.monthly_budget:
        text = (
            f'budgets can cost {2 * cost_per_direction:.0f} a month '
            'in both directions'
        )
        findings.add(section.location_of('monthly-budget'), text)


def _check_policy(policy, section, findings) -> None:
    if policy.queue_time >= policy.deadline:
        location = section.location_of('queue-time')
        findings.add(location, 'queue-time must be less than deadline')
    if policy.try_timeout > policy.deadline:
        location = section.location_of('try-timeout')
        findings.add(location, 'try-timeout must not be more than deadline')
