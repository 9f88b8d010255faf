"""Remember attempts at a door, so that none starts twice or late.

Decisions are pure functions of the ledger and now. Memory is bounded:
what is evicted raises the sender's floor, and an attempt at or below the
floor is neither started nor said to be unstarted.
"""

import collections
import enum

from jayflow.connection import messages

RETENTION_S = 120.0
MAX_ATTEMPTS = 20_000
_State = messages.AttemptState


class Verdict(enum.Enum):
    """Say what a door does with a Start."""

    NEW = 'new'
    DUPLICATE = 'duplicate'
    REVOKED = 'revoked'
    FORGOTTEN = 'forgotten'
    OTHER_INCARNATION = 'other-incarnation'


class _Phase(enum.Enum):
    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    REVOKED = 'revoked'


_STATE_OF = {
    _Phase.WAITING: _State.NEVER_STARTED,
    _Phase.REVOKED: _State.NEVER_STARTED,
    _Phase.RUNNING: _State.RUNNING,
    _Phase.DONE: _State.DONE,
}


class Ledger:
    """Hold the attempts that one door incarnation has heard of."""

    def __init__(self, incarnation: messages.Incarnation) -> None:
        self.incarnation = incarnation
        self._phases: dict[messages.AttemptId, _Phase] = {}
        self._ended: collections.deque = collections.deque()
        self._floors: dict[messages.Incarnation, int] = {}

    def __len__(self) -> int:
        return len(self._phases)

    def admit(
        self, attempt: messages.AttemptId, door: messages.Incarnation
    ) -> Verdict:
        """Return whether an attempt may go on, and remember it."""
        if door != self.incarnation:
            return Verdict.OTHER_INCARNATION
        phase = self._phases.get(attempt)
        if phase is _Phase.REVOKED:
            return Verdict.REVOKED
        if phase is not None:
            return Verdict.DUPLICATE
        if self._is_forgotten(attempt):
            return Verdict.FORGOTTEN
        self._phases[attempt] = _Phase.WAITING
        return Verdict.NEW

    def start(self, attempt: messages.AttemptId) -> bool:
        """Return whether a waiting attempt starts now; never twice."""
        if self._phases.get(attempt) is not _Phase.WAITING:
            return False
        self._phases[attempt] = _Phase.RUNNING
        return True

    def finish(self, attempt: messages.AttemptId, now: float) -> None:
        """Record that a started attempt has ended."""
        self._end(attempt, _Phase.DONE, now)

    def refuse(self, attempt: messages.AttemptId, now: float) -> None:
        """Record that an attempt never will start."""
        self._end(attempt, _Phase.REVOKED, now)

    def revoke(
        self,
        attempt: messages.AttemptId,
        door: messages.Incarnation,
        now: float,
    ) -> messages.AttemptState:
        """Return what is known of an attempt; unstarted, it stays so."""
        if door != self.incarnation:
            return _State.OTHER_INCARNATION
        phase = self._phases.get(attempt)
        if phase is None:
            if self._is_forgotten(attempt):
                return _State.FORGOTTEN
            self.refuse(attempt, now)
            return _State.NEVER_STARTED
        if phase is _Phase.WAITING:
            self.refuse(attempt, now)
        return _STATE_OF[phase]

    def expire(self, now: float) -> None:
        """Evict attempts that ended long ago and raise the floors."""
        while self._ended and (
            len(self._phases) > MAX_ATTEMPTS
            or self._ended[0][0] + RETENTION_S < now
        ):
            _, attempt = self._ended.popleft()
            self._phases.pop(attempt, None)
            self._raise_floor(attempt)

    def _end(self, attempt, phase: _Phase, now: float) -> None:
        self._phases[attempt] = phase
        self._ended.append((now, attempt))

    def _is_forgotten(self, attempt: messages.AttemptId) -> bool:
        return attempt.count <= self._floors.get(attempt.sender, 0)

    def _raise_floor(self, attempt: messages.AttemptId) -> None:
        floor = self._floors.get(attempt.sender, 0)
        self._floors[attempt.sender] = max(floor, attempt.count)
