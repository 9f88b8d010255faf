"""Find the team that a caller's key belongs to.

Keys are held as digests only, so that neither a log nor a dump of the
configuration in memory shows one.
"""

from collections.abc import Iterable
import hashlib
from typing import Self

from jayflow.version import objects

MAX_KEY_BYTES = 255


class KeyRing:
    """Hold the digests of the keys of all teams of one version."""

    def __init__(
        self, teams_by_digest: dict[objects.KeyDigest, objects.Team]
    ) -> None:
        self._teams_by_digest = teams_by_digest

    @classmethod
    def from_teams(cls, teams: Iterable[objects.Team]) -> Self:
        """Return the keys of the teams."""
        return cls(
            {digest: team for team in teams for digest in team.key_digests}
        )

    def team_of(self, key: bytes) -> objects.Team | None:
        """Return the team that holds a key, None if no team does.

        Only digests are compared, so the time of the look-up tells nothing
        of how much of a guessed key is right.
        """
        return self._teams_by_digest.get(digest_of(key))


def digest_of(key: bytes) -> objects.KeyDigest:
    """Return the SHA-256 digest of a key in hexadecimal."""
    return objects.KeyDigest(hashlib.sha256(key).hexdigest())


def is_well_formed(key: bytes) -> bool:
    """Return whether a header's value can be a key."""
    return 0 < len(key) <= MAX_KEY_BYTES and key.isascii()


def allowed_regions(
    route: objects.Route, team: objects.Team | None
) -> frozenset[objects.RegionName] | None:
    """Return the regions whose servers may run a request, None for all.

    Where both the route and the team name regions, both bind.
    """
    constraints = [
        frozenset(regions)
        for regions in (route.regions, team.regions if team else ())
        if regions
    ]
    if not constraints:
        return None
    return frozenset.intersection(*constraints)
