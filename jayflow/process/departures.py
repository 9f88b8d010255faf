"""Remember the backend servers that are leaving or have left.

A server that said so is never used again, however late its other heartbeats
arrive; a later start of the same instance is another server. Three parts
remember it: the node beside it, until the process of the node ends; the
member record of that node, for its next process; and the other nodes, which
learn of it from the record or from the node itself. They remind a node that
has forgotten it, as a record is lost if the platform is restored from a copy
while the node is down.
"""

from collections.abc import Iterable

from jayflow.connection import messages


class Departures:
    """Hold the last start that is known to leave of each instance.

    Earlier starts of an instance have left as well. Beyond max_instances, the
    oldest entry is dropped.
    """

    def __init__(self, max_instances: int) -> None:
        self._max_instances = max_instances
        self._born_by_instance: dict[str, int] = {}

    def __contains__(self, server: messages.ServerIncarnation) -> bool:
        born = self._born_by_instance.get(server.instance)
        return born is not None and server.born <= born

    def add(self, server: messages.ServerIncarnation) -> bool:
        """Add a server; return whether it is new."""
        if server in self:
            return False
        self._born_by_instance.pop(server.instance, None)
        self._born_by_instance[server.instance] = server.born
        if len(self._born_by_instance) > self._max_instances:
            del self._born_by_instance[next(iter(self._born_by_instance))]
        return True

    def update(self, servers: Iterable[messages.ServerIncarnation]) -> None:
        """Add several servers, the oldest first."""
        for server in servers:
            self.add(server)

    def servers(self) -> tuple[messages.ServerIncarnation, ...]:
        """Return the servers, the oldest entry first."""
        return tuple(
            messages.ServerIncarnation(instance, born)
            for instance, born in self._born_by_instance.items()
        )
