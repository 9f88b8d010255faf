"""Compare the records of a restored platform with what a node knows.

A platform that comes back from a copy has lost the records written since. It
lists the older ones, and those of nodes that have gone.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import platform as api

KnownMembers = Mapping[str, members.Member]


def lost_members(
    known: KnownMembers, entries: Iterable[api.Entry]
) -> list[messages.NodeId]:
    """Return the known nodes whose record is missing or another one."""
    listed = {entry.key: _decode(entry) for entry in entries}
    return [
        member.node
        for key, member in known.items()
        if listed.get(key) != member
    ]


def is_older_copy(known: KnownMembers, entry: api.Entry) -> bool:
    """Return whether a listed record is an older one of a known node.

    One of another incarnation may be that of a node that has just restarted.
    """
    member, listed = known.get(entry.key), _decode(entry)
    return (
        member is not None
        and listed is not None
        and listed != member
        and listed.incarnation == member.incarnation
    )


def _decode(entry: api.Entry) -> members.Member | None:
    try:
        return members.Member.decode(entry.value)
    except ValueError:
        return None
