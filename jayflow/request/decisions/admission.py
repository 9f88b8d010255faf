"""Admit requests to the slots of one backend server.

Keeps a server useful under a load above its capacity. A request that can't
end in time is not started, and none is refused while it still can. Waiting
requests that can keep their latency target start first, ordered by rank and
then by target; those that will be late anyway get the starts that are left.
A full queue refuses the request that would start last. No service and no
request class can take every slot.
"""

import collections
from collections.abc import Collection
import dataclasses
import math
from typing import Generic, NamedTuple, TypeVar

from jayflow.request.decisions import rate_limit as rate_limits
from jayflow.request import outcome

Reason = outcome.Reason
Item = TypeVar('Item')

MAX_SERVICE_SLOT_SHARE = 0.75
LATENCY_SMOOTHING = 0.1
# The average follows a burst within about as many starts as there are slots.
LATE_SHARE_SMOOTHING = 0.1
MIN_LATE_SHARE = 0.02
# Nine in ten requests take less than this multiple of the mean work if the
# standard deviation is a third of the mean.
WORK_MARGIN_RATIO = 1.4


def latest_start(now: float, target_s: float, work_s: float) -> float:
    """Return the latest start that most likely keeps a latency target.

    The earliest target goes first, so in overload every request starts at
    about its latest start; without a margin half of them would be late.
    """
    return now + target_s - WORK_MARGIN_RATIO * work_s


class SortKey(NamedTuple):
    """Order the waiting requests; the smallest key starts first."""

    is_shared: bool
    is_late: bool
    rank: int
    deadline: float


@dataclasses.dataclass(frozen=True)
class QueuedRequest(Generic[Item]):
    """Describe a request that waits for a slot; times are monotonic s.

    A request that has not started by expires_at is refused with reason. An
    exclusive one runs only while no other request runs on the server. The
    max_slot_share is the largest share of the slots that requests of this
    rank may take.
    """

    item: Item
    service: str
    rank: int
    expires_at: float
    reason: Reason
    is_exclusive: bool = False
    max_slot_share: float = 1.0
    # The latest start that keeps the latency target.
    target_start: float = math.inf

    def sort_key(self, now: float) -> SortKey:
        """Return the key that orders the queue; late requests come last."""
        is_late = self.target_start < now
        deadline = self.expires_at if is_late else self.target_start
        return SortKey(not self.is_exclusive, is_late, self.rank, deadline)


class Rejection(NamedTuple, Generic[Item]):
    """Name a request that is refused without having started, and why."""

    queued_request: QueuedRequest[Item]
    reason: Reason


class AdmissionQueue(Generic[Item]):
    """Count the slots in use and queue the requests that wait for one."""

    def __init__(self, slots: int, services: int = 1) -> None:
        self._server_slots = slots
        self._rate_limit = rate_limits.RateLimit()
        self._services = services
        self._queue: list[QueuedRequest[Item]] = []
        self._by_service: collections.Counter[str] = collections.Counter()
        self._by_rank: collections.Counter[int] = collections.Counter()
        self._is_exclusive = False
        # Moving average of the share of starts that late requests can get.
        self._late_share = 1.0
        self.running = 0
        self.mean_service_s = 0.0

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """Return how many slots can be in use, given the rate limit."""
        return self._rate_limit.usable_slots(
            self._server_slots, self.mean_service_s
        )

    def resize(
        self, slots: int, services: int, rate_limit: rate_limits.RateLimit
    ) -> None:
        """Set the slots, the services that share them and the rate limit."""
        self._server_slots = slots
        self._services = services
        self._rate_limit = rate_limit

    def try_start(
        self,
        service: str,
        rank: int,
        is_exclusive: bool = False,
        max_slot_share: float = 1.0,
        now: float = 0.0,
    ) -> bool:
        """Take a slot unless none is free or waiting requests go first.

        An exclusive request starts only on an idle server, and nothing
        else starts until it ends.
        """
        if any(
            queued_request.is_exclusive or queued_request.rank <= rank
            for queued_request in self._queue
        ):
            return False
        if not self._try_take_slot(
            service, rank, is_exclusive, max_slot_share, now
        ):
            return False
        # Nothing waits for this slot, so a late request could have had it.
        self._update_late_share(True)
        return True

    def enqueue(
        self, queued_request: QueuedRequest[Item], max_length: int, now: float
    ) -> Rejection[Item] | None:
        """Add a request to the queue; return the one that is refused for it.

        It is the new request if that can't start in time, or in a full
        queue the request that would start last.
        """
        key = queued_request.sort_key(now)
        ahead = sum(queued.sort_key(now) <= key for queued in self._queue)
        if not self.slots or ahead >= max_length:
            return Rejection(queued_request, Reason.QUEUE_FULL)
        wait_s = self._wait_s(ahead, key.is_late, now)
        if (
            now + wait_s > queued_request.expires_at
            and not queued_request.is_exclusive
        ):
            return Rejection(queued_request, queued_request.reason)
        displaced = None
        if len(self._queue) >= max_length:
            displaced = self._ordered(now)[-1]
            self._queue.remove(displaced)
        self._queue.append(queued_request)
        return displaced and Rejection(displaced, Reason.QUEUE_FULL)

    def _wait_s(self, ahead: int, is_late: bool, now: float) -> float:
        """Estimate the wait of a request with others ahead of it.

        Late requests get only the starts that those on time leave to them.
        """
        wait_s = max(
            (ahead + 1) * self.mean_service_s / self.slots,
            self._rate_limit.wait_s(ahead + 1, now),
        )
        return wait_s / self._late_share if is_late else wait_s

    def release_slot(self, service: str, rank: int, elapsed_s: float) -> None:
        """Release a slot and record the time that the request took."""
        self.running -= 1
        self._is_exclusive = False
        self._by_rank[rank] -= 1
        self._by_service[service] -= 1
        change_s = elapsed_s - self.mean_service_s
        weight = LATENCY_SMOOTHING if self.mean_service_s else 1.0
        self.mean_service_s += change_s * weight

    def start_next(self, now: float = 0.0) -> QueuedRequest[Item] | None:
        """Take a slot for the first waiting request that may have one."""
        if self.running >= self.slots:
            return None
        for queued_request in self._ordered(now):
            if self._try_take_slot(
                queued_request.service,
                queued_request.rank,
                queued_request.is_exclusive,
                queued_request.max_slot_share,
                now,
            ):
                self._queue.remove(queued_request)
                self._update_late_share(queued_request.sort_key(now).is_late)
                return queued_request
            if queued_request.is_exclusive:
                # Lets the server become idle; nothing starts ahead of it.
                return None
        return None

    def _update_late_share(self, is_late: bool) -> None:
        change = LATE_SHARE_SMOOTHING * (is_late - self._late_share)
        self._late_share = max(MIN_LATE_SHARE, self._late_share + change)

    def remove_expired(self, now: float) -> list[QueuedRequest[Item]]:
        """Remove and return the requests that can't start in time.

        A request that the ones ahead will keep from starting in time is
        removed early, while its caller can still try another server.
        """
        expired = [
            queued_request
            for ahead, queued_request in enumerate(self._ordered(now))
            if queued_request.expires_at <= now
            or self._will_expire(queued_request, ahead, now)
        ]
        for queued_request in expired:
            self._queue.remove(queued_request)
        return expired

    def _ordered(self, now: float) -> list[QueuedRequest[Item]]:
        return sorted(
            self._queue,
            key=lambda queued_request: queued_request.sort_key(now),
        )

    def _will_expire(
        self, queued_request: QueuedRequest[Item], ahead: int, now: float
    ) -> bool:
        if (
            queued_request.is_exclusive
            or not self.slots
            or math.isinf(queued_request.target_start)
        ):
            return False
        is_late = queued_request.sort_key(now).is_late
        wait_s = self._wait_s(ahead, is_late, now)
        return now + wait_s > queued_request.expires_at

    def remove_all(self, items: Collection[Item]) -> list[Item]:
        """Remove waiting requests; return those that were queued."""
        removed = [row.item for row in self._queue if row.item in items]
        self._queue = [row for row in self._queue if row.item not in items]
        return removed

    def remove(self, item: Item) -> bool:
        """Remove a waiting request; return whether it was queued."""
        length_before = len(self._queue)
        self._queue = [
            queued_request
            for queued_request in self._queue
            if queued_request.item != item
        ]
        return len(self._queue) < length_before

    def _try_take_slot(
        self,
        service: str,
        rank: int,
        is_exclusive: bool,
        max_slot_share: float,
        now: float,
    ) -> bool:
        if self._is_exclusive or self.running >= self.slots:
            return False
        if self._rate_limit.wait_s(1, now) > 0:
            return False
        if is_exclusive and self.running:
            return False
        if self._by_rank[rank] >= max(1, int(self.slots * max_slot_share)):
            return False
        taken = self._by_service[service]
        if self._services > 1 and taken >= self._max_service_slots():
            return False
        self.running += 1
        self._rate_limit.take(now)
        self._is_exclusive = is_exclusive
        self._by_rank[rank] += 1
        self._by_service[service] += 1
        return True

    def _max_service_slots(self) -> int:
        return max(1, int(self.slots * MAX_SERVICE_SLOT_SHARE))
