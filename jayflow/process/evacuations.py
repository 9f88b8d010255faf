"""Hold which data centres are evacuated, and decide whose word counts.

The store is the authority. Nodes that read it and nodes that only hear peers
hold the same kind of knowledge: a set of data centres and the position in the
store at which it was true. The knowledge of the higher position is adopted.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple, Self

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.version import objects

KEY_PREFIX = 'live/evacuations/'


class Position(NamedTuple):
    """Order the states of the store; a restored store has a higher era."""

    era: api.Era = api.ONLY_ERA
    revision: api.Revision = api.ABSENT


class Knowledge(NamedTuple):
    """State which data centres were evacuated at a position."""

    position: Position = Position()
    data_centres: tuple[objects.DataCentreName, ...] = ()

    @classmethod
    def from_state(cls, state: messages.NodeState) -> Self:
        """Return the knowledge that a node has published."""
        position = Position(
            api.Era(state.evacuation_era),
            api.Revision(state.evacuation_revision),
        )
        names = map(objects.DataCentreName, state.evacuated)
        return cls(position, tuple(names))


class Evacuations:
    """Keep the newest knowledge of the evacuated data centres.

    The position of the current knowledge does not follow each read of the
    store, so that nothing is sent to peers while nothing changes. It follows
    only when a peer holds other knowledge that the last read has outdated.
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self.current = Knowledge()
        self.on_change: Callable[[], None] = lambda: None
        # Called once, when it becomes known that nothing is evacuated.
        self.on_known: Callable[[], None] = lambda: None
        self._has_read = False
        self._read_at = Position()
        self._metrics = metrics
        self._log = logs.get_logger(logs.Component.PLATFORM)

    @property
    def is_known(self) -> bool:
        """Return whether the store or a peer has said what is evacuated.

        No evacuated data centre is known only by a position.
        """
        return self._has_read or self.current.position > Position()

    def apply(self, read: api.Read) -> None:
        """Apply what a call to the store returned."""
        was_known, self._has_read = self.is_known, True
        position = Position(read.era, read.revision)
        if position < max(self._read_at, self.current.position):
            return
        self._read_at = position
        if isinstance(read, api.Listing):
            names = _names(read.entries)
        else:
            names = set(self.current.data_centres)
            for change in read.changes:
                changed = _names([change.entry])
                is_put = change.kind is api.ChangeKind.PUT
                names = names | changed if is_put else names - changed
        data_centres = tuple(sorted(names))
        if data_centres != self.current.data_centres:
            self._replace(Knowledge(position, data_centres), 'store')
        elif not was_known:
            self.current = Knowledge(position, data_centres)
            self.on_known()

    def adopt(self, published: Knowledge) -> None:
        """Adopt what a peer published, if it is newer than what is known."""
        own, was_known = self.current, self.is_known
        if published.position <= own.position:
            return
        if published.data_centres == own.data_centres:
            self.current = published
            if not was_known:
                self.on_known()
        elif published.position > self._read_at:
            self._replace(published, 'peer')
        else:
            # The peer has not heard of what the store said last.
            self.current = own._replace(position=self._read_at)

    def _replace(self, knowledge: Knowledge, source: str) -> None:
        self.current = knowledge
        self._metrics.count_event(metrics_module.Event.EVACUATION_CHANGED)
        self._log.warning(
            'Evacuated data centres changed.',
            data_centres=knowledge.data_centres,
            era=knowledge.position.era,
            revision=knowledge.position.revision,
            source=source,
        )
        self.on_change()


def _names(entries: Iterable[api.Entry]) -> set[objects.DataCentreName]:
    """Return the data centres that objects name by their keys."""
    return {
        objects.DataCentreName(entry.key.removeprefix(KEY_PREFIX))
        for entry in entries
        if entry.key.startswith(KEY_PREFIX) and entry.key != KEY_PREFIX
    }
