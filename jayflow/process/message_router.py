"""Decode the messages of other nodes and route them to their handlers.

Requests arrive at the node's listener; replies and published states arrive
on the connections that the node opened.
"""

from collections.abc import Callable
import dataclasses
import time

import anyio.abc
import msgspec

from jayflow.connection import codec
from jayflow.connection import link_budget
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import logs
from jayflow import metrics as metrics_module
from jayflow.process import config_age
from jayflow.process import member_directory
from jayflow.process import member_writer as member_writers
from jayflow.process import platform_objects
from jayflow.process import server_registration
from jayflow.process import state_publishing
from jayflow.process import status_reporter as status_reporters
from jayflow.process import team_limits
from jayflow.request import claim_routing
from jayflow.request import exchange as exchanges
from jayflow.request import executor as executors
from jayflow.request import idempotency
from jayflow.request import outcome
from jayflow.version import objects

Reason = outcome.Reason
# The job that sends these ends if its sender is gone.
_RESPONSE_MESSAGES = (messages.ResponseHead, messages.ResponsePart)


@dataclasses.dataclass(frozen=True)
class MessageHandlers:
    """Hold the parts of a node that handle messages."""

    executor: executors.Executor
    exchange_table: exchanges.ExchangeTable
    publisher: state_publishing.StatePublisher
    subscriptions: state_publishing.PeerSubscriptions
    member_writer: member_writers.MemberWriter
    registration: server_registration.ServerRegistration
    status_reporter: status_reporters.StatusReporter
    active_version: member_directory.ActiveVersion
    idempotent_runner: idempotency.IdempotentRunner
    claim_router: claim_routing.ClaimRouter
    config_age: config_age.ConfigAgeTracker
    team_limits: team_limits.TeamLimits


class MessageRouter:
    """Decode messages, pass them to their handlers and send the replies."""

    def __init__(
        self,
        node: messages.NodeId,
        directory: member_directory.MemberDirectory,
        metrics: metrics_module.Metrics,
        handlers: MessageHandlers,
        budget_for: executors.LinkBudgetFor,
        decode_version: platform_objects.DecodeVersion,
    ) -> None:
        self.send: Callable[[sockets.RoutingId, messages.PeerReply], None]
        self.tasks: anyio.abc.TaskGroup
        self._node = node
        self._directory = directory
        self._metrics = metrics
        self._handlers = handlers
        self._budget_for = budget_for
        self._decode_version = decode_version
        self._log = logs.get_logger(logs.Component.NODE)

    def handle_request(self, peer: sockets.RoutingId, data: bytes) -> None:
        """Handle a message that a peer sent to the node's listener."""
        try:
            message = messages.decode_request(data)
        except msgspec.DecodeError:
            self._metrics.count_refusal(Reason.GARBAGE_FRAME)
            return

        sender_data_centre = (
            message.sender_data_centre
            if isinstance(message, messages.Start)
            else ''
        )
        budget = (
            self._budget_for(sender_data_centre)
            if sender_data_centre
            else None
        )

        def reply(peer_reply: messages.PeerReply) -> None:
            try:
                self._send_reply(peer, peer_reply, budget)
            except sockets.NotSentError:
                self._metrics.count_event(metrics_module.Event.REPLY_DROPPED)
                if isinstance(peer_reply, _RESPONSE_MESSAGES):
                    raise

        match message:
            case messages.Subscribe():
                if message.member:
                    self._add_subscriber_member(message.member)
                self._handlers.publisher.subscribe(
                    peer,
                    self._directory.distance_to(
                        objects.DataCentreName(message.sender_data_centre)
                    ),
                    is_renewal=not message.member,
                )
            case messages.VersionQuery(attempt):
                compressed = self._handlers.active_version.compressed()
                reply(messages.VersionAnswer(attempt, compressed))
            case messages.ConfigAgeQuery():
                if answer := self._handlers.config_age.answer(message):
                    reply(answer)
            case messages.MemberMissing():
                self._handlers.member_writer.mark_missing(message.must_read)
            case messages.ServerLeft():
                self._handlers.registration.recall_departure(message.server)
            case messages.StatusQuery(attempt):
                status = self._handlers.status_reporter.status()
                reply(messages.Status(attempt, status))
            case messages.KeyedResultQuery():
                reply(self._handlers.idempotent_runner.handle_query(message))
            case messages.ClaimQuery():
                self.tasks.start_soon(self._answer_claim, message, reply)
            case messages.TeamAllowanceQuery():
                self._handlers.team_limits.handle_query(message, reply)
            case _:
                self._handlers.executor.handle(message, reply)

    def handle_reply(self, data: bytes) -> None:
        """Handle a reply or state that arrived on a connection to a peer."""
        try:
            message = messages.decode_reply(data)
        except msgspec.DecodeError:
            self._metrics.count_refusal(Reason.GARBAGE_FRAME)
            return
        match message:
            case messages.NodeState():
                self._handlers.subscriptions.handle_state(message)
            case messages.MemberUpdate(node, member):
                self._apply_member_update(node, member)
            case messages.VersionAnswer():
                self._apply_peer_version(message.encoded)
            case _:
                self._handlers.exchange_table.deliver(message)

    def _add_subscriber_member(self, encoded: bytes) -> None:
        """Add the member that a subscriber sent to describe itself."""
        try:
            member = members.Member.decode(encoded)
        except msgspec.DecodeError:
            self._metrics.count_refusal(Reason.GARBAGE_FRAME)
            return
        if member.node != self._node:
            self._directory.put_from_node(member)

    def _apply_member_update(
        self, node: messages.NodeId, encoded: bytes
    ) -> None:
        """Apply a member update that a watcher saw in the platform."""
        now = time.monotonic()
        if not encoded:
            self._directory.remove_if_not_heard(node, now)
            return
        try:
            member = members.Member.decode(encoded)
        except msgspec.DecodeError:
            self._metrics.count_refusal(Reason.GARBAGE_FRAME)
            return
        if member.node != self._node:
            self._directory.put_from_listing(member, now)

    def _apply_peer_version(self, compressed: bytes) -> None:
        """Apply a configuration version that a peer has from the platform."""
        if self._decode_version is None:
            return
        try:
            encoded = codec.decompress(compressed)
            if not encoded:
                return
            version = self._decode_version(encoded)
        except ValueError as exc:
            self._log.error(
                'Configuration version from a peer is malformed.',
                error=str(exc),
            )
            return
        self._handlers.active_version.apply(version, encoded)

    async def _answer_claim(
        self, query: messages.ClaimQuery, reply: executors.Reply
    ) -> None:
        reply(await self._handlers.claim_router.handle_query(query))

    def _send_reply(
        self,
        peer: sockets.RoutingId,
        peer_reply: messages.PeerReply,
        budget: link_budget.LinkBudget | None,
    ) -> None:
        """Send a reply, counted against the budget of its link if it has one.

        Response heads and parts are not counted here: the job that sends
        them has already waited for the budget. Over a link, the other
        replies are sent without the load.
        """
        is_paced = isinstance(peer_reply, _RESPONSE_MESSAGES)
        if budget is not None and not is_paced:
            if not isinstance(peer_reply, messages.Credit):
                peer_reply.load = None
            size = len(messages.encode(peer_reply))
            if not budget.try_spend_traffic(size, time.monotonic()):
                raise sockets.LinkBudgetError
        self.send(peer, peer_reply)
