"""Run a request that has an idempotency key at most once.

The node that claims a key, the claimant, stores the outcome of the request
in memory. A repeated request at any node finds the claim and asks the
claimant for the outcome. When the claimant is gone, the outcome is unknown
and the request is not run again.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import time

import anyio

from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.request import caller_request
from jayflow.request import claim_routing
from jayflow.request import claim_segments
from jayflow.request import claim_writer
from jayflow.request import dispatch
from jayflow.request import exchange as exchanges
from jayflow.request import outcome
from jayflow.request import response

Reason = outcome.Reason
# The sequence numbers of claims start at 1.
UNUSED_SEQUENCE = 0
MAX_OUTCOMES = 10_000
MAX_TOTAL_BODY_BYTES = 8 * 1024 * 1024
# Limits how often a request supersedes claims whose requests did not run.
MAX_CLAIM_TRIES = 3
CLAIMANT_POLL_INTERVAL_S = 0.05
CLAIMANT_TIMEOUT_S = 0.5
REPLAYED_HEADER = (b'jayflow-replayed', b'1')

ChannelFor = Callable[[claim_segments.Claim], exchanges.PeerChannel | None]


class StoredResponse:
    """Hold a complete response that is replayed to repeated requests."""

    def __init__(
        self, status: int, headers: messages.Headers, data: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.data = data


Result = dispatch.Result | StoredResponse


class OutcomeCache:
    """Store the outcomes of the requests that this node claimed."""

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[
            int, messages.KeyedResultAnswer
        ] = collections.OrderedDict()
        self._bytes = 0

    def put(self, sequence: int, answer: messages.KeyedResultAnswer) -> None:
        """Store an outcome; evict the oldest ones beyond the limits."""
        previous = self._answers.pop(sequence, None)
        self._bytes -= len(previous.body) if previous else 0
        self._answers[sequence] = answer
        self._bytes += len(answer.body)
        while (
            len(self._answers) > MAX_OUTCOMES
            or self._bytes > MAX_TOTAL_BODY_BYTES
        ):
            _, evicted = self._answers.popitem(last=False)
            self._bytes -= len(evicted.body)

    def get(
        self, sequence: int, attempt: messages.AttemptId
    ) -> messages.KeyedResultAnswer:
        """Return the stored outcome of a claim, or an unknown one."""
        stored = self._answers.get(sequence)
        if stored is None:
            return _key_answer(attempt, messages.KeyedRequestState.UNKNOWN)
        return messages.KeyedResultAnswer(
            attempt, stored.state, stored.status, stored.headers, stored.body
        )


class _Decision(enum.Enum):
    """Define what a repeated request does about an earlier claim."""

    TAKE_OVER = 'take-over'


class IdempotentRunner:
    """Claim, run and replay requests that have an idempotency key."""

    def __init__(
        self,
        node: messages.NodeId,
        incarnation: messages.Incarnation,
        claim: claim_routing.ClaimFunction,
        run: Callable[[caller_request.Request], Awaitable[dispatch.Result]],
        exchange_table: exchanges.ExchangeTable,
        channel_for: ChannelFor,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.outcomes = OutcomeCache()
        self._node = node
        self._incarnation = incarnation
        self._claim = claim
        self._run = run
        self._exchange_table = exchange_table
        self._channel_for = channel_for
        self._metrics = metrics
        self._last_sequence = 0

    def handle_query(
        self, query: messages.KeyedResultQuery
    ) -> messages.KeyedResultAnswer:
        """Return the state of the request of one of this node's claims."""
        sequence = query.sequence
        if query.incarnation != self._incarnation:
            sequence = UNUSED_SEQUENCE
        return self.outcomes.get(sequence, query.attempt)

    async def run(self, req: caller_request.Request, key: bytes) -> Result:
        """Run a request or replay the outcome of an earlier run."""
        if req.has_more_body:
            return _never_sent(Reason.BODY_TOO_LARGE)
        digest = claim_segments.key_digest(req.service, key, req.team)
        supersedes = None
        for _ in range(MAX_CLAIM_TRIES):
            claim = self._new_claim(req)
            claim_result = await self._claim(
                req.service,
                claim_segments.ClaimRequest(digest, claim, supersedes),
                req.policy.key_retention,
                req.remaining_s(),
            )
            if claim_result.state is claim_writer.ClaimState.CLAIMED:
                return await self._run_claimed(req, claim)
            self._store_state(claim, messages.KeyedRequestState.NOT_RUN)
            if claim_result.state is claim_writer.ClaimState.UNCONFIRMED:
                return _never_sent(Reason.KEY_UNCLAIMED)
            if claim_result.existing.body_digest != claim.body_digest:
                return _never_sent(Reason.KEY_MISMATCH)
            result = await self._await_outcome(req, claim_result.existing)
            if result is not _Decision.TAKE_OVER:
                return result
            supersedes = claim_result.existing
        return _never_sent(Reason.KEY_UNCLAIMED)

    def _new_claim(self, req: caller_request.Request) -> claim_segments.Claim:
        self._last_sequence += 1
        claim = claim_segments.Claim(
            self._node, self._incarnation, self._last_sequence, req.fingerprint
        )
        self._store_state(claim, messages.KeyedRequestState.RUNNING)
        return claim

    async def _run_claimed(
        self, req: caller_request.Request, claim: claim_segments.Claim
    ) -> dispatch.Result:
        result: dispatch.Result | None = None
        try:
            result = await self._run(req)
            if isinstance(result, response.Response):
                await result.buffer_body(messages.MAX_PART_BYTES)
        except response.TruncatedResponseError:
            result.close()
            result = outcome.Unknown(Reason.RESPONSE_TRUNCATED)
        finally:
            self._store_result(claim, result)
        return result

    def _store_result(
        self, claim: claim_segments.Claim, result: dispatch.Result | None
    ) -> None:
        is_response = isinstance(result, response.Response)
        if isinstance(result, outcome.NotRun) or (
            is_response and result.was_shed_by_server
        ):
            self._store_state(claim, messages.KeyedRequestState.NOT_RUN)
        elif is_response and result.is_complete:
            self.outcomes.put(
                claim.sequence,
                messages.KeyedResultAnswer(
                    messages.AttemptId(self._incarnation, 0),
                    messages.KeyedRequestState.DONE,
                    result.status,
                    result.headers,
                    result.data,
                ),
            )
        else:
            self._store_state(claim, messages.KeyedRequestState.UNKNOWN)

    def _store_state(
        self, claim: claim_segments.Claim, state: messages.KeyedRequestState
    ) -> None:
        attempt = messages.AttemptId(self._incarnation, 0)
        self.outcomes.put(claim.sequence, _key_answer(attempt, state))

    async def _await_outcome(
        self, req: caller_request.Request, claim: claim_segments.Claim
    ) -> Result | _Decision:
        """Poll the claimant until the claimed request has ended."""
        while True:
            answer = await self._query_claimant(claim)
            match answer.state:
                case messages.KeyedRequestState.NOT_RUN:
                    return _Decision.TAKE_OVER
                case messages.KeyedRequestState.DONE:
                    self._metrics.count_event(
                        metrics_module.Event.KEY_REPLAYED
                    )
                    headers = [*answer.headers, REPLAYED_HEADER]
                    return StoredResponse(answer.status, headers, answer.body)
                case messages.KeyedRequestState.UNKNOWN:
                    return outcome.Unknown(Reason.KEY_OUTCOME_UNKNOWN)
            if req.remaining_s() <= CLAIMANT_POLL_INTERVAL_S:
                return outcome.Unknown(Reason.KEY_IN_USE)
            await anyio.sleep(CLAIMANT_POLL_INTERVAL_S)

    async def _query_claimant(
        self, claim: claim_segments.Claim
    ) -> messages.KeyedResultAnswer:
        if claim.incarnation == self._incarnation:
            attempt = messages.AttemptId(self._incarnation, 0)
            return self.outcomes.get(claim.sequence, attempt)
        channel = self._channel_for(claim)
        if channel is None:
            return _unknown_answer()
        return await self._query_peer(channel, claim)

    async def _query_peer(
        self, channel: exchanges.PeerChannel, claim: claim_segments.Claim
    ) -> messages.KeyedResultAnswer:
        exchange = self._exchange_table.open(channel)
        deadline = time.monotonic() + CLAIMANT_TIMEOUT_S
        try:
            with anyio.fail_after(CLAIMANT_TIMEOUT_S):
                await channel.wait_connected()
            query = messages.KeyedResultQuery(
                exchange.attempt, claim.incarnation, claim.sequence
            )
            channel.send(query)
            while (remaining_s := deadline - time.monotonic()) > 0:
                message = await exchange.next_message(remaining_s)
                if isinstance(message, messages.KeyedResultAnswer):
                    return message
        except (TimeoutError, sockets.NotSentError):
            return _unknown_answer()
        finally:
            exchange.close()
        return _unknown_answer()


def _unknown_answer() -> messages.KeyedResultAnswer:
    no_attempt = messages.AttemptId(messages.Incarnation(0), 0)
    return _key_answer(no_attempt, messages.KeyedRequestState.UNKNOWN)


def _key_answer(
    attempt: messages.AttemptId, state: messages.KeyedRequestState
) -> messages.KeyedResultAnswer:
    return messages.KeyedResultAnswer(attempt, state, 0, [], b'')


def _never_sent(reason: Reason) -> outcome.NotRun:
    return outcome.NotRun(reason, outcome.Evidence.NEVER_SENT)
