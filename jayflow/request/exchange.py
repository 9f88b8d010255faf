"""Route the messages from peers to the open attempts of a sender.

Each attempt has an exchange, which queues the messages that were received
for it. Messages for a closed exchange are counted as late and dropped.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol, Self

from jayflow.connection import messages
from jayflow import metrics as metrics_module


class PeerChannel(Protocol):
    """Send messages to one peer.

    NotSentError means that a message was never sent.
    """

    def send(self, message: messages.PeerRequest) -> None:
        """Send without waiting."""

    @property
    def connection(self) -> object:
        """Return the underlying peer connection."""

    @property
    def is_connected(self) -> bool:
        """Return whether a message can be sent now."""

    async def wait_connected(self) -> None:
        """Wait until a message can be sent."""


class ConnectionLostEvent:
    """Report a lost peer connection; messages may be lost as well."""


class Exchange:
    """Queue the messages that are received for one attempt."""

    def __init__(
        self,
        attempt: messages.AttemptId,
        channel: PeerChannel,
        on_close: Callable[[Self], None],
    ) -> None:
        self.attempt = attempt
        self.channel = channel
        self._on_close = on_close
        self._messages: collections.deque = collections.deque()
        self._waiter: asyncio.Future | None = None

    def deliver(
        self, message: messages.PeerReply | ConnectionLostEvent
    ) -> None:
        """Queue a message without waiting."""
        self._messages.append(message)
        self._wake()

    def close(self) -> None:
        """Close the exchange; later messages are dropped."""
        self._on_close(self)

    async def next_message(self, timeout_s: float):
        """Return the next message, or None after the timeout."""
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


class ExchangeTable:
    """Number attempts and deliver messages to the open exchanges."""

    def __init__(
        self,
        incarnation: messages.Incarnation,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._incarnation = incarnation
        self._metrics = metrics
        self._last_sequence = 0
        self._open_exchanges: dict[messages.AttemptId, Exchange] = {}

    def __len__(self) -> int:
        return len(self._open_exchanges)

    def new_attempt_id(self) -> messages.AttemptId:
        """Return an id that is unique among all attempts."""
        self._last_sequence += 1
        return messages.AttemptId(self._incarnation, self._last_sequence)

    def open(self, channel: PeerChannel) -> Exchange:
        """Open the exchange of a new attempt."""
        attempt = self.new_attempt_id()
        exchange = Exchange(attempt, channel, self._close)
        self._open_exchanges[attempt] = exchange
        return exchange

    def _close(self, exchange: Exchange) -> None:
        self._open_exchanges.pop(exchange.attempt, None)

    def deliver(self, message: messages.PeerReply) -> None:
        """Deliver a message to its exchange, or count it as late."""
        exchange = self._open_exchanges.get(message.attempt)
        if exchange is None:
            self._metrics.count_event(metrics_module.Event.LATE_FRAME)
        else:
            exchange.deliver(message)

    def notify_connection_lost(self, connection: object) -> None:
        """Notify the open exchanges on a peer connection that it is lost."""
        self._metrics.count_event(metrics_module.Event.PEER_CONNECTION_LOST)
        for exchange in self._open_exchanges.values():
            if exchange.channel.connection is connection:
                exchange.deliver(ConnectionLostEvent())

    def uses_connection(self, connection: object) -> bool:
        """Return whether an open exchange uses a peer connection."""
        return any(
            exchange.channel.connection is connection
            for exchange in self._open_exchanges.values()
        )
