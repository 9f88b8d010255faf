"""Hold a sender's open attempts and hand each its messages."""

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol, Self

from jayflow.connection import messages
from jayflow import metrics as counting


class Wire(Protocol):
    """Carry messages to one door; LinkDownError means never sent."""

    def send(self, message: messages.ToDoor) -> None:
        """Send without waiting."""

    @property
    def carrier(self) -> object:
        """Return the link that carries the messages in the end."""

    @property
    def is_up(self) -> bool:
        """Return whether a message can be sent now."""

    async def wait_ready(self) -> None:
        """Wait until a message can be sent."""


class LinkLost:
    """Tell an exchange that its link was cut and messages may be lost."""


class Exchange:
    """Receive the messages of one attempt."""

    def __init__(
        self,
        attempt: messages.AttemptId,
        wire: Wire,
        on_close: Callable[[Self], None],
    ) -> None:
        self.attempt = attempt
        self.wire = wire
        self._on_close = on_close
        self._messages: collections.deque = collections.deque()
        self._waiter: asyncio.Future | None = None

    def deliver(self, message: messages.ToSender | LinkLost) -> None:
        """Add a message; never waits."""
        self._messages.append(message)
        self._wake()

    def close(self) -> None:
        """Forget the exchange; its later messages are dropped."""
        self._on_close(self)

    async def next(self, timeout_s: float):
        """Return the next message, or None when the time is over."""
        if not self._messages:
            loop = asyncio.get_running_loop()
            self._waiter = loop.create_future()
            timer = loop.call_later(timeout_s, self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
        return self._messages.popleft() if self._messages else None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Exchanges:
    """Number attempts and find the open one that a message is for."""

    def __init__(
        self, incarnation: messages.Incarnation, metrics: counting.Metrics
    ) -> None:
        self._incarnation = incarnation
        self._metrics = metrics
        self._count = 0
        self._open: dict[messages.AttemptId, Exchange] = {}

    def __len__(self) -> int:
        return len(self._open)

    def new_attempt(self) -> messages.AttemptId:
        """Return a name that no other attempt has."""
        self._count += 1
        return messages.AttemptId(self._incarnation, self._count)

    def open(self, wire: Wire) -> Exchange:
        """Return the exchange of a new attempt."""
        attempt = self.new_attempt()
        exchange = Exchange(attempt, wire, self._close)
        self._open[attempt] = exchange
        return exchange

    def _close(self, exchange: Exchange) -> None:
        self._open.pop(exchange.attempt, None)

    def deliver(self, message: messages.ToSender) -> None:
        """Hand a message to its exchange, or count it as late."""
        exchange = self._open.get(message.attempt)
        if exchange is None:
            self._metrics.event(counting.Event.LATE_FRAME)
        else:
            exchange.deliver(message)

    def lose(self, carrier: object) -> None:
        """Tell the open exchanges of a link that it was cut."""
        self._metrics.event(counting.Event.LINK_LOST)
        for exchange in self._open.values():
            if exchange.wire.carrier is carrier:
                exchange.deliver(LinkLost())

    def is_using(self, carrier: object) -> bool:
        """Return whether an open exchange uses a link."""
        return any(
            exchange.wire.carrier is carrier
            for exchange in self._open.values()
        )
