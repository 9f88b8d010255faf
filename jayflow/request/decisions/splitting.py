"""Split a route's requests among services by their weights."""

import random

from jayflow.version import objects

MAX_INITIAL_CHOICES = 100


class TrafficSplitter:
    """Choose services by smooth weighted round-robin.

    Even a short run of requests is split by the weights. A request stays
    with the service chosen for it: if that service has no capacity left,
    the request does not move to another one.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[str, dict[objects.ServiceName, float]] = {}

    def choose_service(self, route: objects.Route) -> objects.ServiceName:
        """Return the service of a route's next request."""
        if not route.split:
            return route.service
        if route.name not in self._credits:
            # Keeps nodes that start together from choosing in step.
            self._credits[route.name] = {}
            for _ in range(self._rng.randrange(MAX_INITIAL_CHOICES)):
                self._next_service(route)
        return self._next_service(route)

    def _next_service(self, route: objects.Route) -> objects.ServiceName:
        previous = self._credits[route.name]
        total = sum(part.weight for part in route.split)
        credits = {
            part.service: previous.get(part.service, 0.0) + part.weight / total
            for part in route.split
        }
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= 1
        self._credits[route.name] = credits
        return chosen
