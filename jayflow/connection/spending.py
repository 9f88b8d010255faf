"""Keep what a node sends over a link between regions within its share.

A share is the link's budget divided by its seats. Bytes are counted at
the moment of sending, framing included, and no window of a second ever
holds more than the share.
"""

import collections
import dataclasses
import time
from typing import Self

import anyio

from jayflow.connection import lease
from jayflow.version import objects

WINDOW_S = 1.0
PACKET_BYTES = 1400
PACKET_OVERHEAD_BYTES = 66
MESSAGE_OVERHEAD_BYTES = 24
LOAD_BYTES = 24
MIN_PART_BYTES = 1024
PARTS_PER_S = 8
PACE_S = 0.02


def wire_bytes(size: int) -> int:
    """Return what a message of a size takes on the wire, at the most."""
    packets = 1 + size // PACKET_BYTES
    return size + MESSAGE_OVERHEAD_BYTES + packets * PACKET_OVERHEAD_BYTES


class Window:
    """Count bytes in a sliding window of a second."""

    def __init__(self) -> None:
        self._spent: collections.deque[tuple[float, int]] = collections.deque()
        self._sum = 0
        self.peak = 0

    def left(self, share: float, now: float) -> float:
        """Return how many bytes may be sent now."""
        while self._spent and self._spent[0][0] <= now - WINDOW_S:
            self._sum -= self._spent.popleft()[1]
        return share - self._sum

    def add(self, size: int, now: float) -> None:
        """Count bytes that are sent now."""
        self._spent.append((now, size))
        self._sum += size
        self.peak = max(self.peak, self._sum)


@dataclasses.dataclass(frozen=True)
class Shares:
    """Hold one seat's shares of a link, in bytes per second."""

    traffic: float
    measuring: float

    @classmethod
    def from_link(cls, link: objects.Link) -> Self:
        """Return the shares of one of the link's seats on one side."""
        return cls(
            link.traffic_budget / link.seats,
            link.measuring_budget / link.seats,
        )


class LinkSpender:
    """Spend one node's share of the link between its region and another."""

    def __init__(self, holder: lease.SeatHolder) -> None:
        self.holder = holder
        self.shares = Shares(0.0, 0.0)
        self.traffic = Window()
        self.measuring = Window()
        self.traffic_sent = 0
        self.measuring_sent = 0

    def use(self, link: objects.Link, region: objects.RegionName) -> None:
        """Take the budgets of a configuration version."""
        self.shares = Shares.from_link(link)
        self.holder.use(f'{link.name}/{region}', link.seats)

    def may_send(self, size: int, now: float) -> bool:
        """Return whether a message may be sent now; count it if so."""
        if not self.holder.is_held(now):
            return False
        cost = wire_bytes(size)
        if cost > self.traffic.left(self.shares.traffic, now):
            return False
        self.traffic.add(cost, now)
        self.traffic_sent += cost
        return True

    def may_measure(self, now: float) -> bool:
        """Return whether a load report may ride along; count it if so."""
        if not self.holder.is_held(now):
            return False
        if self.measuring.left(self.shares.measuring, now) < LOAD_BYTES:
            return False
        self.measuring.add(LOAD_BYTES, now)
        self.measuring_sent += LOAD_BYTES
        return True

    @property
    def part_bytes(self) -> int:
        """Return the size of parts that a second's share carries well."""
        return max(MIN_PART_BYTES, int(self.shares.traffic / PARTS_PER_S))

    async def pace(self, size: int) -> None:
        """Wait until a message of a size may be sent, and count it."""
        while not self.may_send(size, time.monotonic()):
            await anyio.sleep(PACE_S)
