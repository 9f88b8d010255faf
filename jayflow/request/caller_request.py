"""A caller's HTTP request, as routed and forwarded to backend servers.

A request keeps its deadline and policy over all its attempts.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import math
import time

from jayflow.connection import messages
from jayflow.request.decisions import quarantine
from jayflow.version import objects

ReadBody = Callable[[], Awaitable[tuple[bytes, bool]]]
NO_TEAM = objects.TeamName('')


@dataclasses.dataclass
class Request:
    """Hold one caller's request.

    The body is the first part; if more follow, read_body returns the next
    part and whether more follow. deadline and arrived_at are monotonic
    seconds. An idempotent request may be retried and hedged. Only servers in
    the allowed regions may run it; None allows all regions.
    """

    service: objects.ServiceName
    policy: objects.Policy
    method: str
    target: bytes
    headers: messages.Headers
    body: bytes
    has_more_body: bool
    read_body: ReadBody
    deadline: float
    is_idempotent: bool
    fingerprint: quarantine.Fingerprint
    arrived_at: float = dataclasses.field(default_factory=time.monotonic)
    id: str = ''
    # Empty if the request has no team.
    team: objects.TeamName = NO_TEAM
    allowed_regions: frozenset[objects.RegionName] | None = None
    version: int = 0
    uses_idempotency_key: bool = False
    is_suspect: bool = False
    is_body_started: bool = False

    @property
    def lane(self) -> messages.Lane:
        """Return the lane; bulk transfers are kept off the short lane."""
        if self.policy.request_class is objects.RequestClass.BULK:
            return messages.Lane.BULK
        return messages.Lane.SHORT

    @functools.cached_property
    def size_bytes(self) -> int:
        """Return the size of the request up to the first part of its body."""
        header_bytes = sum(
            len(name) + len(value) for name, value in self.headers
        )
        return header_bytes + len(self.target) + len(self.body)

    @property
    def response_deadline(self) -> float:
        """Return when the whole response has to be there, or infinity."""
        if self.policy.deadline_scope is objects.DeadlineScope.RESPONSE:
            return self.deadline
        return math.inf

    def remaining_target_s(self) -> float:
        """Return the seconds left until the policy's latency target."""
        elapsed_s = time.monotonic() - self.arrived_at
        return self.policy.latency_target - elapsed_s

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - time.monotonic()
