"""Collect what was running while the connections to a server broke."""

from collections.abc import Iterable
from collections.abc import Mapping

from jayflow.connection import messages
from jayflow.request.decisions import quarantine

# Requests that break within this time belong to the same crash.
CRASH_WINDOW_S = 0.5

# The fingerprints of each request that is running.
RunningRequests = frozenset[tuple[quarantine.Fingerprint, ...]]
# When the latest request of each fingerprint started, in monotonic seconds.
StartTimes = Mapping[quarantine.Fingerprint, float]


class CrashWindow:
    """Hold the requests that ran since the first exchange broke.

    The first one to break may have had another reason than the crash.
    """

    def __init__(self) -> None:
        self._server: messages.ServerIncarnation | None = None
        self._ends_at = 0.0
        self.running: RunningRequests = frozenset()
        self.started_at: StartTimes = {}

    def is_open(self, server: messages.ServerIncarnation, now: float) -> bool:
        """Return whether an exchange with this server broke just now."""
        return server == self._server and now < self._ends_at

    def open(self, server: messages.ServerIncarnation, now: float) -> None:
        """Start anew with a broken exchange."""
        self._server = server
        self._ends_at = now + CRASH_WINDOW_S
        self.running, self.started_at = frozenset(), {}

    def add(
        self,
        running: Iterable[tuple[quarantine.Fingerprint, ...]],
        started_at: StartTimes,
    ) -> None:
        """Add the requests that were running when an exchange broke."""
        self.running |= frozenset(running)
        self.started_at = {**self.started_at, **started_at}
