"""Define the messages between nodes, encoded as MessagePack by msgspec.

A sender asks another node to run a request on that node's backend server;
each try is an attempt. The receiver's executor admits and runs the
attempts. Bodies larger than one part are sent with credit-based flow
control.
"""

import enum
from typing import Annotated, NewType

import msgspec

from jayflow.connection import codec

Incarnation = NewType('Incarnation', int)
NodeId = NewType('NodeId', str)
Headers = list[tuple[bytes, bytes]]

MAX_PART_BYTES = 64 * 1024
MAX_NUMBER = 2**63 - 1
FLOW_WINDOW_PARTS = 4


class Lane(enum.Enum):
    """Separate short requests from bulk transfers to a peer."""

    SHORT = 's'
    BULK = 'b'


class AttemptState(enum.Enum):
    """Enumerate what a receiver knows of an attempt when it is revoked."""

    NEVER_STARTED = 'never-started'
    RUNNING = 'running'
    DONE = 'done'
    FORGOTTEN = 'forgotten'
    OTHER_INCARNATION = 'other-incarnation'


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """Identify one attempt by its sender's incarnation and sequence number."""

    sender: Incarnation
    sequence: int


class ServerIncarnation(msgspec.Struct, frozen=True):
    """Identify one process of a backend server instance.

    `born` is when the process started; it distinguishes the starts of one
    instance.
    """

    instance: str
    born: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Represent the load that a backend server reports of itself.

    `slowness` is the current service time as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Represent a backend server's load as its node reports it."""

    running: int
    queued: int
    slots: int
    latency_ms: float
    draining: bool = False
    slowness: float = 1.0


class Start(msgspec.Struct, array_like=True, tag='S'):
    """Ask a node to run a request on its backend server.

    `receiver` is the incarnation of the node that the message is meant for.
    `latency_target_ms` is what remains of the latency target, within which
    a response is worth most; 0 means no target. `expected_service_ms` is
    the expected service time on a server of usual speed. `suspect` marks a
    request that may have crashed a server. With `bounds_response`, the whole
    response has to arrive within `remaining_ms`, else only its head.
    """

    attempt: AttemptId
    receiver: Incarnation
    service: str
    method: str
    target: bytes
    headers: Headers
    body: bytes
    has_more_body: bool
    remaining_ms: int
    rank: int
    max_queue_ms: int
    max_queue_length: int
    is_idempotent: bool
    fingerprint: bytes
    suspect: bool = False
    sender_data_centre: str = ''
    latency_target_ms: int = 0
    expected_service_ms: int = 0
    slot_share: float = 1.0
    bounds_response: bool = False


class RequestPart(msgspec.Struct, array_like=True, tag='B'):
    """Carry a part of a request body; `seq` counts from 0."""

    attempt: AttemptId
    seq: int
    data: bytes
    last: bool


class Credit(msgspec.Struct, array_like=True, tag='C'):
    """Grant the other side credit to send more parts of a body."""

    attempt: AttemptId
    parts: int


class Cancel(msgspec.Struct, array_like=True, tag='X'):
    """Cancel an attempt whose result is no longer needed."""

    attempt: AttemptId


class Revoke(msgspec.Struct, array_like=True, tag='V'):
    """Ask a node never to start an attempt and to report its state."""

    attempt: AttemptId
    receiver: Incarnation


class Subscribe(msgspec.Struct, array_like=True, tag='O'):
    """Ask a node to send its state now and on every change.

    `member` is the subscriber's own membership record, so that each side
    learns about the other. It is empty in a renewal on the same connection,
    which the receiver answers only if it does not know the subscriber.
    """

    attempt: AttemptId
    sender_data_centre: str
    member: bytes = b''


class VersionQuery(msgspec.Struct, array_like=True, tag='G'):
    """Ask a peer for the configuration version that it has."""

    attempt: AttemptId


class ConfigAgeQuery(msgspec.Struct, array_like=True, tag='g'):
    """Ask a peer for the age of the configuration version that it has."""

    attempt: AttemptId


class MemberMissing(msgspec.Struct, array_like=True, tag='N'):
    """Tell a node that its membership record is not in the platform.

    With `must_read`, what the platform holds may differ from what the node
    wrote last, whatever that was.
    """

    attempt: AttemptId
    must_read: bool = False


class ServerLeft(msgspec.Struct, array_like=True, tag='t'):
    """Remind a node that a backend server beside it is leaving or has left.

    The node's member record may have lost that with a restore of the platform.
    """

    attempt: AttemptId
    server: ServerIncarnation


class StatusQuery(msgspec.Struct, array_like=True, tag='Q'):
    """Ask a node for its status."""

    attempt: AttemptId


class KeyedRequestState(enum.Enum):
    """Enumerate the states of the request that claimed a key."""

    RUNNING = 'running'
    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class KeyedResultQuery(msgspec.Struct, array_like=True, tag='U'):
    """Ask a claimant for the state of the request of one of its claims."""

    attempt: AttemptId
    incarnation: Incarnation
    sequence: int


class KeyedResultAnswer(msgspec.Struct, array_like=True, tag='Y'):
    """Answer a KeyedResultQuery, with the complete response if stored."""

    attempt: AttemptId
    state: KeyedRequestState
    status: int
    headers: Headers
    body: bytes


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Record which node may run the request of an idempotency key.

    `sequence` identifies the claim within the node's incarnation;
    `body_digest` is the digest of the request body.
    """

    node: NodeId
    incarnation: Incarnation
    sequence: int
    body_digest: bytes


class ClaimQuery(msgspec.Struct, array_like=True, tag='D'):
    """Ask the preferred node of a key range to claim a key.

    A stored claim is replaced only if it equals `supersedes`.
    """

    attempt: AttemptId
    service: str
    digest: bytes
    claim: Claim
    supersedes: Claim | None
    retention_s: float
    remaining_ms: int


class ClaimAnswer(msgspec.Struct, array_like=True, tag='E'):
    """Answer a ClaimQuery with the claim stored for the key, if any."""

    attempt: AttemptId
    state: str
    existing: Claim | None


class Refused(msgspec.Struct, array_like=True, tag='R'):
    """Report that an attempt was refused and will never start."""

    attempt: AttemptId
    reason: str
    load: Load | None
    retry_after_ms: int = 0


class ResponseHead(msgspec.Struct, array_like=True, tag='H'):
    """Carry a response's head and the first part of its body.

    `service_ms` is the time that the backend server took until the head,
    without the time in the node's queue. `leaving` is the server, if it says
    in this response that it is leaving.
    """

    attempt: AttemptId
    status: int
    headers: Headers
    data: bytes
    last: bool
    load: Load | None
    service_ms: int = 0
    leaving: ServerIncarnation | None = None


class ResponsePart(msgspec.Struct, array_like=True, tag='P'):
    """Carry a later part of a response body; `seq` counts from 1."""

    attempt: AttemptId
    seq: int
    data: bytes
    last: bool


class AttemptFailed(msgspec.Struct, array_like=True, tag='K'):
    """Report that an attempt started but its response is incomplete."""

    attempt: AttemptId
    reason: str
    load: Load | None


class Revoked(msgspec.Struct, array_like=True, tag='W'):
    """Answer a Revoke with the state of the attempt."""

    attempt: AttemptId
    state: AttemptState
    load: Load | None


class Status(msgspec.Struct, array_like=True, tag='T'):
    """Report a node's status, encoded as JSON."""

    attempt: AttemptId
    body: bytes


class NodeState(msgspec.Struct, array_like=True, tag='L'):
    """Publish a node's load to a subscriber.

    `member` is the node's membership record if it has changed, else empty.
    `evacuated` names the evacuated data centres, as of a revision of the
    platform in an era; both are 0 until one is evacuated.
    """

    node: NodeId
    incarnation: Incarnation
    load: Load
    version: int
    platform_age_s: float
    member: bytes = b''
    evacuated: tuple[str, ...] = ()
    evacuation_revision: int = 0
    evacuation_era: int = 0


class MemberUpdate(msgspec.Struct, array_like=True, tag='M'):
    """Announce another node's membership record as the platform has it.

    `member` is empty when the platform has no record of the node.
    """

    node: NodeId
    member: bytes = b''


class VersionAnswer(msgspec.Struct, array_like=True, tag='J'):
    """Answer a VersionQuery with the encoding stored in the platform.

    It is compressed with zlib, since a version of tens of kilobytes goes to
    each node of the fleet.
    """

    attempt: AttemptId
    encoded: bytes


class ConfigAge(msgspec.Struct, array_like=True, tag='a'):
    """Answer a ConfigAgeQuery.

    No version above `version` existed `age_ms` ago; None if that is unknown.
    """

    attempt: AttemptId
    version: int
    age_ms: Annotated[int, msgspec.Meta(ge=0)] | None


class CrashReport(msgspec.Struct, array_like=True, tag='Z'):
    """Report a crash of a backend server and the requests running in it.

    Each request has one or two fingerprints (`quarantine`); `remaining_ms`
    is how long the report stays valid. A report with an empty `crash` clears
    its fingerprints of suspicion. The receiver acknowledges a report that
    has an attempt id. `ran_ms` is for how long the latest request of each
    fingerprint had been running.
    """

    crash: str
    fingerprints: list[bytes]
    remaining_ms: int
    attempt: AttemptId | None = None
    ran_ms: list[int] | None = None


class CrashRecord(msgspec.Struct, array_like=True):
    """State what a node knows of a request that may crash servers.

    `crashes` is 0 where crashes are not counted; the record is valid for
    `remaining_ms` more.
    """

    fingerprint: bytes
    is_quarantined: bool
    crashes: int
    remaining_ms: int


class CrashQuery(msgspec.Struct, array_like=True, tag='F'):
    """Ask for the requests that are known to crash servers."""

    attempt: AttemptId


class CrashAnswer(msgspec.Struct, array_like=True, tag='I'):
    """Answer a CrashQuery; `crashes` names those that are counted."""

    attempt: AttemptId
    records: list[CrashRecord]
    crashes: list[str]


class CrashAck(msgspec.Struct, array_like=True, tag='A'):
    """Confirm that a crash report was handled."""

    attempt: AttemptId


class TeamAllowanceQuery(msgspec.Struct, array_like=True, tag='q'):
    """Ask the owner of a team's limit for tokens.

    `wanted` includes the requests that are `waiting`. `returned` tokens of
    earlier grants were not used, `held` ones may still be. A query that wants
    none asks whether the receiver grants tokens of the team.
    """

    attempt: AttemptId
    team: str
    wanted: int
    returned: int = 0
    waiting: int = 0
    held: int = 0


class TeamAllowance(msgspec.Struct, array_like=True, tag='w'):
    """Answer a TeamAllowanceQuery.

    `is_owner` is false if the node does not grant tokens of the team, and
    `is_full_rate` if it grants fewer than the team's rate for the time being.
    """

    attempt: AttemptId
    team: str
    granted: int
    retry_after_ms: int = 0
    is_owner: bool = True
    is_full_rate: bool = False


PeerRequest = (
    Start
    | RequestPart
    | Credit
    | Cancel
    | Revoke
    | Subscribe
    | VersionQuery
    | ConfigAgeQuery
    | MemberMissing
    | ServerLeft
    | StatusQuery
    | KeyedResultQuery
    | ClaimQuery
    | CrashReport
    | CrashQuery
    | TeamAllowanceQuery
)
PeerReply = (
    Refused
    | ResponseHead
    | ResponsePart
    | AttemptFailed
    | Revoked
    | Status
    | NodeState
    | MemberUpdate
    | VersionAnswer
    | ConfigAge
    | KeyedResultAnswer
    | ClaimAnswer
    | CrashAck
    | CrashAnswer
    | TeamAllowance
    | Credit
)

_request_decoder = msgspec.msgpack.Decoder(PeerRequest)
_reply_decoder = msgspec.msgpack.Decoder(PeerReply)
_encoder = msgspec.msgpack.Encoder()


def is_sendable(number: int) -> bool:
    """Return whether a message can hold a number that is not negative."""
    return 0 <= number <= MAX_NUMBER


def encode(message: PeerRequest | PeerReply) -> bytes:
    """Return a message encoded as MessagePack."""
    return _encoder.encode(message)


def decode_request(data: bytes) -> PeerRequest:
    """Return a request message, as sent to a receiver.

    Raises msgspec.DecodeError for any other data.
    """
    return codec.decode_message(_request_decoder, data)


def decode_reply(data: bytes) -> PeerReply:
    """Return a reply message, as sent back to a sender.

    Raises msgspec.DecodeError for any other data.
    """
    return codec.decode_message(_reply_decoder, data)
