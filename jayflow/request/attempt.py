"""Send a request to one receiving node and wait for the result.

An attempt that times out or loses its connection is revoked. If no response
arrives and the receiver does not confirm that the request never started, its
outcome is unknown.
"""

import math
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow.request import caller_request
from jayflow.request.decisions import routing
from jayflow.request import exchange as exchanges
from jayflow.request import header_dialect
from jayflow.request import outcome
from jayflow.request import response as responses
from jayflow.version import objects

Reason = outcome.Reason
Result = responses.Response | outcome.Failure

CONNECT_TIMEOUT_S = 0.25
REVOKE_TIMEOUT_S = 0.25
CREDIT_TIMEOUT_S = 30.0
BUDGET_RETRY_INTERVAL_S = 0.02
# Refusals after which the receiver is avoided for a cooldown period.
_COOLDOWN_REASONS = frozenset(
    {
        Reason.PEER_INCARNATION,
        Reason.NOT_SERVED_HERE,
        Reason.SERVER_UNREACHABLE,
    }
)


class Attempt:
    """Run one attempt from its Start to its response or failure."""

    def __init__(
        self,
        req: caller_request.Request,
        view: routing.PeerView,
        exchange: exchanges.Exchange,
    ) -> None:
        self._req = req
        self._view = view
        self._exchange = exchange
        self._is_revoking = False
        self._has_lost_connection = False
        self._started_at = time.monotonic()
        self._timeout_s = req.remaining_s()
        if req.is_idempotent and not req.is_suspect:
            self._timeout_s = min(self._timeout_s, req.policy.try_timeout)

    def send_start(
        self, sender_data_centre: objects.DataCentreName, work_s: float = 0.0
    ) -> None:
        """Send the Start; raise NotSentError if it was never sent."""
        req = self._req
        start = messages.Start(
            attempt=self._exchange.attempt,
            receiver=self._view.member.incarnation,
            service=req.service,
            method=req.method,
            target=req.target,
            headers=req.headers,
            body=req.body,
            has_more_body=req.has_more_body,
            remaining_ms=max(0, int(req.remaining_s() * 1000)),
            rank=req.policy.rank,
            slot_share=req.policy.slot_share,
            max_queue_ms=int(req.policy.queue_time * 1000),
            max_queue_length=req.policy.queue_length,
            is_idempotent=req.is_idempotent,
            fingerprint=req.fingerprint,
            suspect=req.is_suspect,
            sender_data_centre=sender_data_centre,
            latency_target_ms=max(1, int(req.remaining_target_s() * 1000))
            if req.policy.latency_target
            else 0,
            expected_service_ms=int(work_s * 1000),
            bounds_response=math.isfinite(req.response_deadline),
        )
        self._exchange.channel.send(start)

    async def wait_for_response(self) -> Result:
        """Wait for the response or a failure; revoke after the timeout."""
        while True:
            remaining_s = self._remaining_s()
            wait_s = REVOKE_TIMEOUT_S if self._is_revoking else remaining_s
            message = await self._exchange.next_message(max(0.0, wait_s))
            result = await self._handle(message, remaining_s <= 0)
            if result is not None:
                return result

    def _remaining_s(self) -> float:
        return self._started_at + self._timeout_s - time.monotonic()

    async def _handle(self, message, is_late: bool) -> Result | None:
        """Return the result after a message, None to keep waiting.

        If the wait timed out, the message is None.
        """
        match message:
            case messages.ResponseHead():
                return self._on_head(message)
            case messages.Refused():
                return self._on_refused(message)
            case messages.AttemptFailed():
                self._record_load(message.load)
                self._view.record_failure(time.monotonic())
                return outcome.Unknown(Reason(message.reason))
            case messages.Credit():
                with anyio.move_on_after(self._remaining_s()):
                    await self._send_body()
            case messages.Revoked():
                return self._on_revoked(message, is_late)
            case None if self._is_revoking or self._req.is_body_started:
                return self._give_up()
            case None:
                return await self._revoke()
            case exchanges.ConnectionLostEvent():
                self._has_lost_connection = True
                return await self._revoke()
        return None

    def _on_head(self, head: messages.ResponseHead) -> responses.Response:
        now = time.monotonic()
        self._record_load(head.load)
        response = responses.Response(
            head,
            self._exchange,
            self._view.member.node,
            self.end,
            self._req.response_deadline,
        )
        is_error = header_dialect.is_server_error(head.status)
        if is_error or head.status in responses.SHED_STATUSES:
            self._view.record_failure(now, response.retry_after_s)
        else:
            self._view.record_success(now - self._started_at)
        return response

    def _on_refused(self, message: messages.Refused) -> outcome.Failure:
        self._record_load(message.load)
        reason = Reason(message.reason)
        if reason in _COOLDOWN_REASONS:
            self._view.record_failure(time.monotonic())
        if reason is Reason.FORGOTTEN:
            return outcome.Unknown(reason)
        if reason is Reason.PEER_INCARNATION and self._has_lost_connection:
            # The previous incarnation may have received the Start.
            return outcome.Unknown(reason)
        return outcome.NotRun(reason, outcome.Evidence.REFUSED_BEFORE_START)

    async def _revoke(self) -> outcome.Unknown | None:
        """Revoke the attempt; give up if the receiver is unreachable."""
        if not await wait_until_ready(
            self._exchange.channel, REVOKE_TIMEOUT_S
        ):
            return self._give_up()
        self._is_revoking = True
        self._try_send(
            messages.Revoke(
                self._exchange.attempt, self._view.member.incarnation
            )
        )
        return None

    def _on_revoked(
        self, message: messages.Revoked, is_late: bool
    ) -> outcome.Failure | None:
        self._record_load(message.load)
        self._is_revoking = False
        match message.state:
            case messages.AttemptState.NEVER_STARTED:
                return outcome.NotRun(
                    Reason.REVOKED, outcome.Evidence.REVOKED_BEFORE_START
                )
            case messages.AttemptState.RUNNING:
                return self._give_up() if is_late else None
            case messages.AttemptState.DONE:
                return outcome.Unknown(Reason.RESPONSE_TRUNCATED)
            case messages.AttemptState.FORGOTTEN:
                return outcome.Unknown(Reason.FORGOTTEN)
            case messages.AttemptState.OTHER_INCARNATION:
                return outcome.Unknown(Reason.PEER_INCARNATION)

    def _give_up(self) -> outcome.Unknown:
        self._view.record_failure(time.monotonic())
        self.cancel()
        if self._req.remaining_s() <= 0:
            return outcome.Unknown(Reason.DEADLINE)
        return outcome.Unknown(Reason.PEER_SILENT)

    def cancel(self) -> None:
        """Cancel the attempt at the receiver, without waiting for a reply."""
        self._try_send(messages.Cancel(self._exchange.attempt))

    def end(self) -> None:
        """Close the exchange; later messages are dropped."""
        self._view.record_ended(time.monotonic())
        self._exchange.close()

    def _record_load(self, load: messages.Load | None) -> None:
        """Record the receiver's load.

        A reply from another region may omit it to save the link's budget.
        """
        if load is not None:
            self._view.record_load(load, time.monotonic())

    def _try_send(self, message: messages.PeerRequest) -> None:
        try:
            self._exchange.channel.send(message)
        except sockets.NotSentError:
            return

    async def _send_body(self) -> None:
        """Send the later body parts as the receiver grants credit."""
        req = self._req
        if req.is_body_started:
            return
        req.is_body_started = True
        seq, credit, more = 0, messages.FLOW_WINDOW_PARTS, req.has_more_body
        while more:
            data, more = await req.read_body()
            for part in _split(data):
                while credit < 1:
                    granted = await self._next_credit()
                    if not granted:
                        return
                    credit += granted
                if not await self._send_part(seq, part, last=False):
                    return
                seq, credit = seq + 1, credit - 1
        await self._send_part(seq, b'', last=True)

    async def _next_credit(self) -> int:
        """Wait for a grant of credit; return 0 if something else happens.

        A message of another type is queued again for wait_for_response().
        """
        message = await self._exchange.next_message(CREDIT_TIMEOUT_S)
        if isinstance(message, messages.Credit):
            return message.parts
        if message is not None:
            self._exchange.deliver(message)
        return 0

    async def _send_part(self, seq: int, data: bytes, last: bool) -> bool:
        """Send a body part once the link's budget allows it.

        The attempt has already started, so a failed send is handled as a
        lost connection: it doesn't prove that the request did not run.
        """
        part = messages.RequestPart(self._exchange.attempt, seq, data, last)
        while True:
            try:
                self._exchange.channel.send(part)
                return True
            except sockets.LinkBudgetError:
                await anyio.sleep(BUDGET_RETRY_INTERVAL_S)
            except sockets.NotSentError:
                self._exchange.deliver(exchanges.ConnectionLostEvent())
                return False


async def wait_until_ready(
    channel: exchanges.PeerChannel, timeout_s: float
) -> bool:
    """Wait a limited time and return whether messages can be sent."""
    if channel.is_connected:
        return True
    with anyio.move_on_after(max(0.0, timeout_s)):
        await channel.wait_connected()
        return True
    return False


def _split(data: bytes) -> list[bytes]:
    size = messages.MAX_PART_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]
