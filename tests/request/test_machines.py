"""Test the state machines with generated, reproducible histories."""

import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from jayflow.connection import messages
from jayflow.request import claim_segments
from jayflow.request.decisions import admission
from jayflow.request.decisions import attempt_registry
from jayflow.request.decisions import quarantine
from jayflow.request import outcome

MAX_QUEUE_LENGTH = 4
RECEIVER = messages.Incarnation(1)
FIXED = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
IDS = st.builds(messages.AttemptId, st.just(1), st.integers(1, 3))
State = messages.AttemptState


class AttemptRegistryMachine(stateful.RuleBasedStateMachine):
    """Check that no attempt starts twice or after it was revoked.

    An attempt reported as never started must never start afterwards.
    """

    def __init__(self):
        super().__init__()
        self.registry = attempt_registry.AttemptRegistry(RECEIVER)
        self.now = 0.0
        self.started = set()
        self.never_started = set()

    @stateful.rule(attempt=IDS)
    def admit(self, attempt):
        if (
            self.registry.admit(attempt, RECEIVER)
            is attempt_registry.AdmitResult.NEW
        ):
            assert attempt not in self.started | self.never_started

    @stateful.rule(attempt=IDS)
    def start(self, attempt):
        if self.registry.start(attempt):
            assert attempt not in self.started | self.never_started
            self.started.add(attempt)

    @stateful.rule(attempt=IDS)
    def finish(self, attempt):
        if attempt in self.started:
            self.registry.finish(attempt, self.now)

    @stateful.rule(attempt=IDS)
    def revoke(self, attempt):
        state = self.registry.revoke(attempt, RECEIVER, self.now)
        if state is State.NEVER_STARTED:
            assert attempt not in self.started
            self.never_started.add(attempt)

    @stateful.rule(attempt=IDS)
    def other_incarnation(self, attempt):
        other_receiver = messages.Incarnation(2)
        state = self.registry.revoke(attempt, other_receiver, self.now)
        assert state is State.OTHER_INCARNATION
        result = self.registry.admit(attempt, other_receiver)
        assert result is attempt_registry.AdmitResult.OTHER_INCARNATION

    @stateful.rule(elapsed_s=st.floats(0, 2 * attempt_registry.RETENTION_S))
    def pass_time(self, elapsed_s):
        self.now += elapsed_s
        self.registry.expire(self.now)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Check that two claims never hold the same key at once.

    Several writers act on the segments that they read last; the revision
    rejects writes that are based on an old read.
    """

    def __init__(self):
        super().__init__()
        self.stored = [claim_segments.Segment()]
        self.revision = 0
        self.last_reads = {}
        self.claimed = {}
        self.count = 0

    @stateful.rule(writer=st.integers(0, 2))
    def read(self, writer):
        self.last_reads[writer] = (list(self.stored), self.revision)

    @stateful.rule(writer=st.integers(0, 2), key=st.binary(max_size=1))
    def claim(self, writer, key):
        segments, revision = self.last_reads.get(writer, ([], -1))
        self.count += 1
        claim = claim_segments.Claim('n', writer, self.count, b'')
        claim_request = claim_segments.ClaimRequest(
            claim_segments.key_digest('s', key), claim
        )
        if revision != self.revision or not segments:
            return
        if claim_segments.may_claim(segments, claim_request):
            assert claim_request.digest not in self.claimed
            self.claimed[claim_request.digest] = claim
            added = {claim_request.digest: claim}
            self.stored[-1] = segments[-1].with_claims(added)
            self.revision += 1

    @stateful.rule(writer=st.integers(0, 2), span=st.floats(0, 20))
    def turn_over(self, writer, span):
        segments, revision = self.last_reads.get(writer, ([], -1))
        if revision != self.revision or not segments:
            return
        self.stored = [*segments[:-1], segments[-1].seal(span)]
        self.stored.append(claim_segments.Segment())
        expired_count = claim_segments.count_expired(self.stored, 1000.0)
        self.stored = self.stored[expired_count:]
        self.revision += 1

    @stateful.invariant()
    def every_claim_is_found(self):
        for digest, claim in self.claimed.items():
            assert claim_segments.find_claim(self.stored, digest) == claim


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Check that only requests that crash a server alone are quarantined."""

    def __init__(self):
        super().__init__()
        self.quarantine = quarantine.Quarantine()
        self.now = 0.0
        self.quarantined_until = {}

    @stateful.rule(digests=st.lists(st.sampled_from([b'a', b'b', b'c'])))
    def crash(self, digests):
        self.quarantine.mark_suspects(digests, self.now)

    @stateful.rule(digest=st.sampled_from([b'a', b'b', b'c']))
    def crash_alone(self, digest):
        self.quarantined_until[digest] = self.now + 600
        self.quarantine.add(digest, self.quarantined_until[digest])

    @stateful.rule(digest=st.sampled_from([b'a', b'b', b'c']))
    def clear(self, digest):
        self.quarantine.clear(digest)

    @stateful.rule(elapsed_s=st.floats(0, 1000))
    def pass_time(self, elapsed_s):
        self.now += elapsed_s
        self.quarantine.expire(self.now)

    @stateful.invariant()
    def quarantine_needs_a_crash_alone(self):
        for digest in (b'a', b'b', b'c'):
            state = self.quarantine.state_of(digest, self.now)
            is_quarantined = state is quarantine.QuarantineState.QUARANTINED
            assert is_quarantined == (
                self.quarantined_until.get(digest, -1) > self.now
            )


class AdmissionQueueMachine(stateful.RuleBasedStateMachine):
    """Check the limits on slots, shares and exclusive requests."""

    def __init__(self):
        super().__init__()
        self.admission = admission.AdmissionQueue(6, services=2)
        self.running = []
        self.now = 0.0
        self.count = 0

    @stateful.rule(
        service=st.sampled_from('ab'),
        rank=st.integers(0, 2),
        exclusive=st.booleans(),
    )
    def arrive(self, service, rank, exclusive):
        self.count += 1
        share = (1.0, 0.75, 0.5)[rank]
        if self.admission.try_start(service, rank, exclusive, share):
            self.running.append((service, rank, exclusive))
            return
        queued_request = admission.QueuedRequest(
            (self.count, service, rank, exclusive),
            service,
            rank,
            self.now + 0.05,
            outcome.Reason.QUEUE_TIME,
            exclusive,
            share,
        )
        rejection = self.admission.enqueue(
            queued_request, MAX_QUEUE_LENGTH, self.now
        )
        if rejection is not None:
            rejected = rejection.queued_request
            key = rejected.sort_key(self.now)
            assert key >= queued_request.sort_key(self.now)
            assert not self.admission.remove(rejected.item)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def finish(self, data):
        index = data.draw(st.integers(0, len(self.running) - 1))
        service, rank, _ = self.running.pop(index)
        self.admission.release_slot(service, rank, 0.001)
        while queued_request := self.admission.start_next():
            self.running.append(queued_request.item[1:])

    @stateful.rule()
    def pass_time(self):
        self.now += 0.03
        self.admission.remove_expired(self.now)

    @stateful.invariant()
    def limits_hold(self):
        assert self.admission.running == len(self.running) <= 6
        assert sum(rank == 2 for _, rank, _ in self.running) <= 3
        for service in 'ab':
            assert sum(name == service for name, _, _ in self.running) <= 4
        if any(exclusive for _, _, exclusive in self.running):
            assert len(self.running) == 1
        assert self.admission.queued <= MAX_QUEUE_LENGTH


class AttemptRegistryTest(AttemptRegistryMachine.TestCase):
    settings = FIXED


class KeyTest(KeyMachine.TestCase):
    settings = FIXED


class QuarantineTest(QuarantineMachine.TestCase):
    settings = FIXED


class AdmissionQueueTest(AdmissionQueueMachine.TestCase):
    settings = FIXED


class ExpiryTest(unittest.TestCase):
    def test_a_segment_outlives_the_retention(self):
        spans = [(100, 0), (100, 0), (100, 1), (100, 2)]
        segments = [
            claim_segments.Segment(span_s=span_s, sealed=True)
            for span_s, _ in spans
        ]
        for count in range(1, 5):
            expired_count = claim_segments.count_expired(
                segments[:count], 150.0
            )
            self.assertEqual(max(0, count - 2), expired_count)
