"""Spend a node's shares of the links from its region to the others."""

from collections.abc import Callable
import random
import time

import anyio

from jayflow.connection import lease
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow.connection import spending
from jayflow.process import status
from jayflow.version import objects

STEP_S = 1.0


class FarWire:
    """Send over a link between regions only what its budget allows."""

    def __init__(
        self, link: sockets.Link, spender: spending.LinkSpender
    ) -> None:
        self._link = link
        self._spender = spender

    @property
    def carrier(self) -> sockets.Link:
        """Return the link that carries the messages."""
        return self._link

    @property
    def is_up(self) -> bool:
        """Return whether the link is connected."""
        return self._link.is_up

    async def wait_ready(self) -> None:
        """Wait until the link is connected."""
        await self._link.wait_ready()

    def send(self, message: messages.ToDoor) -> None:
        """Send without waiting; LinkBudgetError when over the budget."""
        size = len(messages.encode(message))
        if not self._spender.may_send(size, time.monotonic()):
            raise sockets.LinkBudgetError('share of the link is used up')
        self._link.send(message)


class Crossings:
    """Hold a spender, and a seat, for each link of the node's region."""

    def __init__(
        self,
        platform: api.Platform,
        node: messages.NodeId,
        data_centre: objects.DataCentreName,
        incarnation: messages.Incarnation,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._platform = platform
        self._node = node
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._rng = rng
        self._on_change = on_change
        self._objects = objects.Objects()
        self._spenders: dict[objects.RegionName, spending.LinkSpender] = {}

    def use(self, whole: objects.Objects) -> None:
        """Take the links and budgets of a configuration version."""
        self._objects = whole
        mine = whole.region_of(self._data_centre)
        for region in whole.region:
            link = whole.link_between(mine, region) if mine else None
            if region == mine or link is None:
                self._spenders.pop(region, None)
            else:
                self._spender(region).use(link, mine)

    def to(
        self, data_centre: objects.DataCentreName
    ) -> spending.LinkSpender | None:
        """Return the spender on the way to a data centre, None if near."""
        mine = self._objects.region_of(self._data_centre)
        region = self._objects.region_of(data_centre)
        if region is None or region == mine:
            return None
        return self._spenders.get(region) or self._unlinked()

    def has_seats(self) -> bool:
        """Return whether the node may send on all its links."""
        now = time.monotonic()
        return bool(self._spenders) and all(
            spender.holder.is_held(now) for spender in self._spenders.values()
        )

    def status(self) -> tuple[status.LinkStatus, ...]:
        """Describe the links to operators."""
        now = time.monotonic()
        return tuple(
            status.LinkStatus(
                region,
                spender.holder.is_held(now),
                spender.shares.traffic,
                spender.shares.measuring,
                spender.traffic_sent,
                spender.measuring_sent,
                spender.traffic.peak,
                spender.measuring.peak,
            )
            for region, spender in self._spenders.items()
        )

    async def run(self) -> None:
        """Take and renew seats until cancelled."""
        had_seats = False
        while True:
            for spender in list(self._spenders.values()):
                await spender.holder.step()
            if self.has_seats() != had_seats:
                had_seats = not had_seats
                self._on_change()
            await anyio.sleep(STEP_S * self._rng.uniform(0.8, 1.2))

    async def release(self) -> None:
        """Give the seats back."""
        for spender in self._spenders.values():
            await spender.holder.release()

    def _spender(self, region: objects.RegionName) -> spending.LinkSpender:
        if region not in self._spenders:
            self._spenders[region] = self._unlinked()
        return self._spenders[region]

    def _unlinked(self) -> spending.LinkSpender:
        """Return a spender that may send nothing until it is given a link."""
        return spending.LinkSpender(
            lease.SeatHolder(
                self._platform, self._node, self._incarnation, self._rng
            )
        )
