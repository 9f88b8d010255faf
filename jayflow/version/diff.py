"""Compare two sets of configuration objects, object by object."""

import enum
from typing import Any

import msgspec

from jayflow.version import diff_effects
from jayflow.version import objects

# The limits are one object without a name.
LIMITS_KIND = 'limits'
REQUIRED = 'required'
KEY_DIGESTS = 'key-digests'
DIGEST_PREFIX_LENGTH = 12


class ChangeKind(enum.Enum):
    """State what happened to an object."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class KeyChange(msgspec.Struct, frozen=True):
    """Describe a key of an object whose value differs, as text."""

    key: str
    old: str
    new: str


class ObjectChange(msgspec.Struct, frozen=True):
    """Describe what differs in one object and what that does."""

    kind: str
    name: str
    change: ChangeKind
    keys: tuple[KeyChange, ...]
    effects: tuple[str, ...]


def compare(
    old: objects.ObjectSet, new: objects.ObjectSet
) -> list[ObjectChange]:
    """Return the differences in the order of kinds and names."""
    changes = []
    for kind in objects.OBJECT_TYPES:
        old_objects, new_objects = getattr(old, kind), getattr(new, kind)
        for name in sorted(old_objects.keys() | new_objects.keys()):
            pair = old_objects.get(name), new_objects.get(name)
            if pair[0] != pair[1]:
                effects = diff_effects.effects_of(kind, *pair, old, new)
                changes.append(_object_change(kind, name, *pair, effects))
    if old.limits != new.limits:
        effects = diff_effects.limit_effects(old.limits, new.limits)
        changes.append(
            _object_change(LIMITS_KIND, '', old.limits, new.limits, effects)
        )
    if old.requires_keys != new.requires_keys:
        changes.append(_teams_change(old, new))
    return changes


def _teams_change(
    old: objects.ObjectSet, new: objects.ObjectSet
) -> ObjectChange:
    values = [
        diff_effects.format_value(object_set.requires_keys)
        for object_set in (old, new)
    ]
    return ObjectChange(
        objects.TEAMS_KIND,
        '',
        ChangeKind.CHANGED,
        (KeyChange(REQUIRED, *values),),
        tuple(diff_effects.key_effects(old, new)),
    )


def _object_change(
    kind: str,
    name: str,
    old: msgspec.Struct | None,
    new: msgspec.Struct | None,
    effects: list[str],
) -> ObjectChange:
    change = ChangeKind.CHANGED
    if old is None or new is None:
        change = ChangeKind.ADDED if old is None else ChangeKind.REMOVED
    keys = []
    for field in msgspec.structs.fields(old or new):
        values = [
            None if obj is None else getattr(obj, field.name)
            for obj in (old, new)
        ]
        if field.name != 'name' and values[0] != values[1]:
            key = field.name.replace('_', '-')
            keys.append(KeyChange(key, *_value_texts(key, *values)))
    return ObjectChange(kind, name, change, tuple(keys), tuple(effects))


def _value_texts(key: str, *values: Any) -> list[str]:
    if key == KEY_DIGESTS:
        values = tuple(
            value and tuple(row[:DIGEST_PREFIX_LENGTH] for row in value)
            for value in values
        )
    return [diff_effects.format_value(value) for value in values]


def format_lines(changes: list[ObjectChange]) -> list[str]:
    """Return the differences as lines of text."""
    signs = {
        ChangeKind.ADDED: '+',
        ChangeKind.REMOVED: '-',
        ChangeKind.CHANGED: '~',
    }
    lines = []
    for change in changes:
        title = f'{change.kind} {change.name}'.strip()
        lines.append(f'{signs[change.change]} [{title}] {change.change.value}')
        if change.change is ChangeKind.CHANGED:
            lines += [
                f'    {row.key}: {row.old} -> {row.new}' for row in change.keys
            ]
        lines += [f'    => {effect}' for effect in change.effects]
    return lines
