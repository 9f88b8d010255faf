"""Divide a route's requests among services by their weights."""

import random

from jayflow.version import objects

FIRST_TURNS = 100


class Splits:
    """Choose by smooth weighted turns, so that short spans keep the shares.

    A part's turn is its own: what does not fit there moves nowhere else.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, dict[objects.ServiceName, float]] = {}

    def choose(self, route: objects.Route) -> objects.ServiceName:
        """Return the service of a route's next request."""
        if not route.split:
            return route.service
        if route.name not in self._credits:
            # Nodes that start together must not take their turns in step.
            self._credits[route.name] = {}
            for _ in range(self._rng.randrange(FIRST_TURNS)):
                self._turn(route)
        return self._turn(route)

    def _turn(self, route: objects.Route) -> objects.ServiceName:
        before = self._credits[route.name]
        total = sum(part.weight for part in route.split)
        credits = {
            part.service: before.get(part.service, 0.0) + part.weight / total
            for part in route.split
        }
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= 1
        self._credits[route.name] = credits
        return chosen
