"""Describe a caller's request on its way to a backend server."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from jayflow.connection import messages
from jayflow.request import quarantine
from jayflow.version import objects

ReadBody = Callable[[], Awaitable[tuple[bytes, bool]]]


@dataclasses.dataclass
class Request:
    """Hold one caller's request; deadline is monotonic seconds."""

    service: objects.ServiceName
    policy: objects.Policy
    method: str
    target: bytes
    headers: messages.Headers
    body: bytes
    more: bool
    read_body: ReadBody
    deadline: float
    repeatable: bool
    fingerprint: quarantine.Fingerprint
    arrived: float = dataclasses.field(default_factory=time.monotonic)
    id: str = ''
    version: int = 0
    is_keyed: bool = False
    is_suspect: bool = False
    is_body_started: bool = False

    @property
    def lane(self) -> messages.Lane:
        """Return the lane that keeps bulk transfers off short requests."""
        if self.policy.request_class is objects.RequestClass.BULK:
            return messages.Lane.BULK
        return messages.Lane.SHORT

    def target_left_s(self) -> float:
        """Return the time in which an answer is worth most."""
        elapsed_s = time.monotonic() - self.arrived
        return self.policy.latency_target - elapsed_s

    def remaining_s(self) -> float:
        """Return the time that is left."""
        return self.deadline - time.monotonic()
