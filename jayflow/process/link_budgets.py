"""Limit what a node sends over the links to other regions.

A link's budget in bytes per second is divided into seats. A node sends to
another region only while it holds a seat of the link, which it leases from
the platform, and only as many bytes per second as one seat allows.
"""

from collections.abc import Callable
import random
import time

import anyio

from jayflow.connection import lease
from jayflow.connection import link_budget
from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow.connection import sockets
from jayflow.process import status
from jayflow.version import objects

SEAT_CHECK_INTERVAL_S = 1.0


class BudgetedChannel:
    """Send to a peer in another region within the byte budget of a link."""

    def __init__(
        self,
        connection: sockets.PeerConnection,
        budget: link_budget.LinkBudget,
    ) -> None:
        self._connection = connection
        self._budget = budget

    @property
    def connection(self) -> sockets.PeerConnection:
        """Return the underlying peer connection."""
        return self._connection

    @property
    def is_connected(self) -> bool:
        """Return whether the peer is connected."""
        return self._connection.is_connected

    async def wait_connected(self) -> None:
        """Wait until the peer is connected."""
        await self._connection.wait_connected()

    def send(self, message: messages.PeerRequest) -> None:
        """Send without waiting; LinkBudgetError if the budget is used up."""
        size = len(messages.encode(message))
        if not self._budget.try_spend_traffic(size, time.monotonic()):
            raise sockets.LinkBudgetError(
                'byte budget of the link between regions is used up'
            )
        self._connection.send(message)


class LinkBudgets:
    """Hold a byte budget and a seat for each link of the node's region."""

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
        self._objects = objects.ObjectSet()
        self._budgets: dict[objects.RegionName, link_budget.LinkBudget] = {}

    def apply_objects(self, config: objects.ObjectSet) -> None:
        """Apply the links and budgets of a configuration version."""
        self._objects = config
        own_region = config.region_of(self._data_centre)
        for region in config.region:
            link = (
                config.link_between(own_region, region) if own_region else None
            )
            if region == own_region or link is None:
                self._budgets.pop(region, None)
            else:
                self._get_or_create_budget(region).configure(link, own_region)

    def budget_for(
        self, data_centre: objects.DataCentreName
    ) -> link_budget.LinkBudget | None:
        """Return the budget for sending to a data centre.

        None means that no budget applies: links have none, the data centre
        is in the node's own region, or its region is unknown. Without a link
        between the regions the budget allows nothing.
        """
        if not self._objects.limits_links:
            return None
        own_region = self._objects.region_of(self._data_centre)
        region = self._objects.region_of(data_centre)
        if region is None or region == own_region:
            return None
        return self._budgets.get(region) or self._new_budget()

    def holds_all_seats(self) -> bool:
        """Return whether there are links and the node holds a seat of each."""
        now = time.monotonic()
        return bool(self._budgets) and all(
            budget.seat_lease.is_held(now) for budget in self._budgets.values()
        )

    def status(self) -> tuple[status.LinkStatus, ...]:
        """Return the state of the links for the status document."""
        now = time.monotonic()
        return tuple(
            status.LinkStatus(
                region,
                budget.seat_lease.is_held(now),
                budget.shares.traffic,
                budget.shares.measuring,
                budget.traffic_sent,
                budget.measuring_sent,
                budget.traffic.peak,
                budget.measuring.peak,
            )
            for region, budget in self._budgets.items()
        )

    async def run(self) -> None:
        """Acquire and renew seats until cancelled."""
        had_seats = False
        while True:
            for budget in list(self._budgets.values()):
                await budget.seat_lease.acquire_or_renew()
            if self.holds_all_seats() != had_seats:
                had_seats = not had_seats
                self._on_change()
            await anyio.sleep(
                SEAT_CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )

    async def release_seats(self) -> None:
        """Release the seats, so that other nodes can take them at once."""
        for budget in self._budgets.values():
            await budget.seat_lease.release()

    def _get_or_create_budget(
        self, region: objects.RegionName
    ) -> link_budget.LinkBudget:
        if region not in self._budgets:
            self._budgets[region] = self._new_budget()
        return self._budgets[region]

    def _new_budget(self) -> link_budget.LinkBudget:
        """Return a budget that allows nothing until its link is set."""
        return link_budget.LinkBudget(
            lease.SeatLease(
                self._platform, self._node, self._incarnation, self._rng
            )
        )
