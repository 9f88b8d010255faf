"""Limit what a node sends over a link between regions to its share.

A link's budget is divided equally among its seats; a node may send only
while it holds a seat. Bytes are counted when they are sent, with framing,
and no sliding window of one second ever contains more than the share.
"""

import collections
import dataclasses
import time
from typing import Self

import anyio

from jayflow.connection import lease
from jayflow.version import objects

WINDOW_S = 1.0
PACKET_PAYLOAD_BYTES = 1400
PACKET_OVERHEAD_BYTES = 66
MESSAGE_OVERHEAD_BYTES = 24
LOAD_REPORT_BYTES = 24
MIN_PART_BYTES = 1024
PARTS_PER_S = 8
BUDGET_POLL_S = 0.02


def network_bytes(size: int) -> int:
    """Return the maximum network bytes for a message of `size` bytes."""
    packets = 1 + size // PACKET_PAYLOAD_BYTES
    return size + MESSAGE_OVERHEAD_BYTES + packets * PACKET_OVERHEAD_BYTES


class SlidingWindow:
    """Count the bytes sent in a sliding window of one second."""

    def __init__(self) -> None:
        self._sent: collections.deque[tuple[float, int]] = collections.deque()
        self._sent_bytes = 0
        self.peak = 0

    def available(self, share: float, now: float) -> float:
        """Return how many bytes of a share may still be sent now."""
        while self._sent and self._sent[0][0] <= now - WINDOW_S:
            self._sent_bytes -= self._sent.popleft()[1]
        return share - self._sent_bytes

    def record(self, size: int, now: float) -> None:
        """Count bytes that are sent now."""
        self._sent.append((now, size))
        self._sent_bytes += size
        self.peak = max(self.peak, self._sent_bytes)


@dataclasses.dataclass(frozen=True)
class Shares:
    """Hold one seat's shares of a link's budgets, in bytes per second."""

    traffic: float
    measuring: float

    @classmethod
    def from_link(cls, link: objects.Link) -> Self:
        """Return the shares of one seat of the link.

        Each of the link's regions has its own seats.
        """
        return cls(
            link.traffic_budget / link.seats,
            link.measuring_budget / link.seats,
        )


class LinkBudget:
    """Limit one node's traffic over the link to another region."""

    def __init__(self, seat_lease: lease.SeatLease) -> None:
        self.seat_lease = seat_lease
        self.shares = Shares(0.0, 0.0)
        self.traffic = SlidingWindow()
        self.measuring = SlidingWindow()
        self.traffic_sent = 0
        self.measuring_sent = 0

    def configure(
        self, link: objects.Link, region: objects.RegionName
    ) -> None:
        """Apply the link's budgets from a configuration version."""
        self.shares = Shares.from_link(link)
        self.seat_lease.configure(f'{link.name}/{region}', link.seats)

    def try_spend_traffic(self, size: int, now: float) -> bool:
        """Return whether a message may be sent now; count it if so."""
        if not self.seat_lease.is_held(now):
            return False
        cost = network_bytes(size)
        if cost > self.traffic.available(self.shares.traffic, now):
            return False
        self.traffic.record(cost, now)
        self.traffic_sent += cost
        return True

    def try_spend_measuring(self, now: float) -> bool:
        """Return whether a load report may be sent along; count it if so."""
        if not self.seat_lease.is_held(now):
            return False
        if (
            self.measuring.available(self.shares.measuring, now)
            < LOAD_REPORT_BYTES
        ):
            return False
        self.measuring.record(LOAD_REPORT_BYTES, now)
        self.measuring_sent += LOAD_REPORT_BYTES
        return True

    @property
    def part_bytes(self) -> int:
        """Return the size of body parts.

        It is a second's share divided by `PARTS_PER_S`, so that one part
        uses only a fraction of the share, but at least `MIN_PART_BYTES`.
        """
        return max(MIN_PART_BYTES, int(self.shares.traffic / PARTS_PER_S))

    async def wait_to_send(self, size: int) -> None:
        """Wait until a message of `size` bytes may be sent; count it."""
        while not self.try_spend_traffic(size, time.monotonic()):
            await anyio.sleep(BUDGET_POLL_S)
