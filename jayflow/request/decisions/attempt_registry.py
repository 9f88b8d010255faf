"""Record the attempts that a node receives, so that none starts twice or late.

Decisions depend only on the recorded attempts and the time given. Memory is
bounded: when an attempt is evicted, the watermark of its sender rises to
its number. An attempt at or below the watermark may have been received
before, so it is neither started nor reported as never started.
"""

import collections
import enum

from jayflow.connection import messages

RETENTION_S = 120.0
MAX_ATTEMPTS = 20_000
_State = messages.AttemptState


class AdmitResult(enum.Enum):
    """Describe what the receiver does with a Start message."""

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


class AttemptRegistry:
    """Record the attempts that one incarnation of a receiver knows."""

    def __init__(self, incarnation: messages.Incarnation) -> None:
        self.incarnation = incarnation
        self._phases: dict[messages.AttemptId, _Phase] = {}
        self._ended: collections.deque = collections.deque()
        self._watermarks: dict[messages.Incarnation, int] = {}

    def __len__(self) -> int:
        return len(self._phases)

    def admit(
        self,
        attempt: messages.AttemptId,
        receiver: messages.Incarnation,
    ) -> AdmitResult:
        """Return whether an attempt may go on, and record it if so."""
        if receiver != self.incarnation:
            return AdmitResult.OTHER_INCARNATION
        phase = self._phases.get(attempt)
        if phase is _Phase.REVOKED:
            return AdmitResult.REVOKED
        if phase is not None:
            return AdmitResult.DUPLICATE
        if self._is_forgotten(attempt):
            return AdmitResult.FORGOTTEN
        self._phases[attempt] = _Phase.WAITING
        return AdmitResult.NEW

    def start(self, attempt: messages.AttemptId) -> bool:
        """Mark a waiting attempt as running; return whether it may start."""
        if self._phases.get(attempt) is not _Phase.WAITING:
            return False
        self._phases[attempt] = _Phase.RUNNING
        return True

    def finish(self, attempt: messages.AttemptId, now: float) -> None:
        """Record that a started attempt has ended."""
        self._end(attempt, _Phase.DONE, now)

    def mark_refused(self, attempt: messages.AttemptId, now: float) -> None:
        """Record that an attempt must never start."""
        self._end(attempt, _Phase.REVOKED, now)

    def revoke(
        self,
        attempt: messages.AttemptId,
        receiver: messages.Incarnation,
        now: float,
    ) -> messages.AttemptState:
        """Return the state of an attempt; keep it from starting hereafter."""
        if receiver != self.incarnation:
            return _State.OTHER_INCARNATION
        phase = self._phases.get(attempt)
        if phase is None:
            if self._is_forgotten(attempt):
                return _State.FORGOTTEN
            self.mark_refused(attempt, now)
            return _State.NEVER_STARTED
        if phase is _Phase.WAITING:
            self.mark_refused(attempt, now)
        return _STATE_OF[phase]

    def expire(self, now: float) -> None:
        """Evict attempts that ended long ago and raise the watermarks."""
        while self._ended and (
            len(self._phases) > MAX_ATTEMPTS
            or self._ended[0][0] + RETENTION_S < now
        ):
            _, attempt = self._ended.popleft()
            self._phases.pop(attempt, None)
            self._raise_watermark(attempt)

    def _end(self, attempt, phase: _Phase, now: float) -> None:
        self._phases[attempt] = phase
        self._ended.append((now, attempt))

    def _is_forgotten(self, attempt: messages.AttemptId) -> bool:
        return attempt.sequence <= self._watermarks.get(attempt.sender, 0)

    def _raise_watermark(self, attempt: messages.AttemptId) -> None:
        watermark = self._watermarks.get(attempt.sender, 0)
        self._watermarks[attempt.sender] = max(watermark, attempt.sequence)
