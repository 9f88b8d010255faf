"""Check that no node runs by a configuration older than the bound.

A node that counted the age from the receipt of an answer would accept a
revoked key for as long as the answer was delayed.
"""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import config_age as tracking
from jayflow.request.decisions import config_age
from jayflow.version import objects
from jayflow.version import snapshot

MAX_AGE_S = 5.0
NODES = 2
HISTORY_STEPS = 60
# Histories that are searched for a fault. The fault of each unsound variant
# shows within the first 475 of this seed.
MAX_HISTORIES = 3000
ATTEMPT = messages.AttemptId(messages.Incarnation(1), 1)


class _Held:
    """Stand in for the active version; a lower one never replaces it."""

    def __init__(self) -> None:
        self.current = snapshot.Version.empty()

    def apply(self, number: int) -> None:
        if number > self.current.number:
            self.current = snapshot.Version(number, objects.ObjectSet())


class _Network:
    """Take messages that the history delivers by itself."""

    def send(self, message):
        pass

    def new_attempt_id(self):
        return ATTEMPT


class History:
    """Deliver calls, queries and versions late, never or in any order.

    Each part of a call or a query is a step, so a node may be suspended or
    cut off between any two. The real time is `now`; the clocks of the nodes
    differ by an offset.
    """

    counts_from_receipt_of_call = False
    counts_from_receipt_of_answer = False
    counts_suspension = True
    confirms_unchecked = False

    def __init__(self) -> None:
        self.now = 1000.0
        # Time of publication and whether it can be applied, by version - 1.
        self.published = [(900.0, True)]
        self.suspended_s = [0.0] * NODES
        self.calls, self.queries, self.versions = [], [], []
        self.trackers, self.held = [None] * NODES, [None] * NODES
        for node in range(NODES):
            self._start(node)

    def _clock(self, node) -> float:
        lost_s = 0.0 if self.counts_suspension else self.suspended_s[node]
        return self.now - 500.0 * node - lost_s

    def _start(self, node) -> None:
        self.held[node] = _Held()
        network = _Network()
        self.trackers[node] = tracking.ConfigAgeTracker(
            messages.NodeId(str(node)),
            MAX_AGE_S,
            None,
            self.held[node],
            network,
            None,
            None,
            None,
            metrics_module.Metrics(),
            lambda: self._clock(node),
        )

    def step(self, name: str, number: int) -> None:
        """Take a step, if there is anything to take it with; check."""
        getattr(self, name)(number)
        self.check()

    def check(self) -> None:
        """Check that no node accepts a key that was revoked too long ago."""
        for held, tracker in zip(self.held, self.trackers, strict=True):
            number = held.current.number
            if number < len(self.published) and tracker.is_fresh():
                age_s = self.now - self.published[number][0]
                assert age_s <= MAX_AGE_S, (
                    f'keys of version {number} are accepted {age_s:.1f} s '
                    f'after they were revoked'
                )

    def wait(self, number):
        self.now += (0.1, 1.0, 3.0)[number % 3]

    def suspend(self, number):
        self.now += 4.9
        self.suspended_s[number % NODES] += 4.9

    def publish(self, number):
        self.published.append((self.now, number % 4 > 0))

    def restart(self, number):
        node = number % NODES
        self._start(node)
        self.calls = [call for call in self.calls if call['node'] != node]
        self.queries = [
            query for query in self.queries if query['node'] != node
        ]

    def call(self, number):
        node = number % NODES
        self.calls.append({'node': node, 'sent_at': self._clock(node)})

    def serve_call(self, number):
        if waiting := [row for row in self.calls if 'version' not in row]:
            waiting[number % len(waiting)]['version'] = len(self.published)

    def receive_call(self, number):
        served = [row for row in self.calls if 'version' in row]
        if not served:
            return
        call = served[number % len(served)]
        self.calls.remove(call)
        node, version = call['node'], call['version']
        is_valid = self.published[version - 1][1]
        if is_valid:
            self.held[node].apply(version)
        sent_at = call['sent_at']
        if self.counts_from_receipt_of_call:
            sent_at = self._clock(node)
        if self.confirms_unchecked:
            version = self.held[node].current.number
        elif not is_valid:
            version = None
        self.trackers[node].confirm(version, sent_at)

    def query(self, number):
        node = number % NODES
        self.queries.append({'node': node, 'sent_at': self._clock(node)})

    def answer_query(self, number):
        waiting = [row for row in self.queries if 'answer' not in row]
        if waiting:
            query = waiting[number % len(waiting)]
            peer = (query['node'] + 1) % NODES
            query['answer'] = self.trackers[peer].answer(
                messages.ConfigAgeQuery(ATTEMPT)
            )

    def receive_answer(self, number):
        answered = [row for row in self.queries if row.get('answer')]
        if not answered:
            return
        query = answered[number % len(answered)]
        self.queries.remove(query)
        node, sent_at = query['node'], query['sent_at']
        if self.counts_from_receipt_of_answer:
            sent_at = self._clock(node)
        self.trackers[node]._record_answer(
            query['answer'], config_age.Source(True), _Network(), sent_at
        )

    def send_version(self, number):
        self.versions.append(self.held[number % NODES].current.number)

    def receive_version(self, number):
        if self.versions:
            version = self.versions[number % len(self.versions)]
            self.held[number % NODES].apply(version)


# Waiting and calls are more frequent than what makes nodes forget.
STEPS = (
    *('wait', 'wait', 'suspend', 'publish', 'restart'),
    *('call', 'call', 'serve_call', 'serve_call'),
    *('receive_call', 'receive_call', 'query', 'query'),
    *('answer_query', 'answer_query', 'receive_answer', 'receive_answer'),
    *('send_version', 'receive_version'),
)
FAULTS = [
    ('counts_from_receipt_of_call', True),
    ('counts_from_receipt_of_answer', True),
    ('counts_suspension', False),
    ('confirms_unchecked', True),
]


def play_random_histories(history_type: type[History], count: int) -> None:
    """Play the histories of a fixed seed; raise at the first fault."""
    rng = random.Random(1)
    for _ in range(count):
        history = history_type()
        for _ in range(HISTORY_STEPS):
            history.step(rng.choice(STEPS), rng.randrange(12))


class SoundnessTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=300
    )
    @hypothesis.given(
        st.lists(
            st.tuples(st.sampled_from(STEPS), st.integers(0, 11)),
            max_size=HISTORY_STEPS,
        )
    )
    def test_no_order_of_events_lets_a_revoked_key_pass(self, steps):
        history = History()
        for name, number in steps:
            history.step(name, number)

    def test_no_random_history_lets_a_revoked_key_pass(self):
        play_random_histories(History, MAX_HISTORIES)

    def test_the_check_catches_unsound_variants(self):
        # A check that can't fail would prove nothing.
        for fault, value in FAULTS:
            with self.subTest(fault):
                broken = type('Broken', (History,), {fault: value})
                with self.assertRaisesRegex(AssertionError, 'are accepted'):
                    play_random_histories(broken, MAX_HISTORIES)

    def test_a_confirmed_version_is_fresh_until_the_limit(self):
        # A check in which no node is ever fresh would prove nothing either.
        history = History()
        for name in ('call', 'serve_call', 'receive_call', 'wait', 'wait'):
            history.step(name, 2)
        self.assertEqual(6.0, history.trackers[0].age_s())
        history.step('call', 0)
        history.step('serve_call', 0)
        history.step('receive_call', 0)
        history.step('wait', 2)
        self.assertTrue(history.trackers[0].is_fresh())
        self.assertTrue(history.trackers[0].may_lack_keys())
        history.step('wait', 2)
        self.assertFalse(history.trackers[0].is_fresh())
