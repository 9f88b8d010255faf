"""Check that a new node refuses what its peers have found to crash servers.

What a node had learned of crashes was once lost when it restarted, and a node
that joined never learned it, so that a request crashed three servers more.
"""

import math
import random

import anyio

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import crash_recovery
from jayflow.process import member_directory
from jayflow.request import crash_tracker
from jayflow.request.decisions import quarantine
from jayflow.request import exchange as exchanges
from jayflow.version import objects
from tests.process import test_member_directory
from tests import virtual_time

DIGEST = quarantine.Fingerprint(b'bad')
SERVICE = objects.ServiceName('s')
FIRST_SERVER = messages.ServerIncarnation('i1', 1)
SECOND_SERVER = messages.ServerIncarnation('i2', 2)
State = quarantine.QuarantineState
# Title, crashes known to the peers and to the node itself, crashes reported
# to the node afterwards, and the state of the request there.
CASES = [
    ('quarantined by a peer', ['c1', 'c2', 'c3'], [], [], State.QUARANTINED),
    ('a suspect of a peer', ['c1', 'c2'], [], [], State.SUSPECT),
    ('one more crash', ['c1', 'c2'], [], ['c3'], State.QUARANTINED),
    ('a late report', ['c1', 'c2'], [], ['c2'], State.SUSPECT),
    ('known on both sides', ['c1', 'c2'], ['c1'], [], State.SUSPECT),
    ('known to itself only', [], ['c1', 'c2', 'c3'], [], State.QUARANTINED),
    ('unknown', [], [], [], State.FREE),
]
# Title, time of the restart in s (the crash was at 50.0), whether the record
# is the own one, state of the request, and how many the own record names.
RESTART_CASES = [
    ('the node that recorded it', 51.0, True, (State.QUARANTINED, 1)),
    ('another node', 51.0, False, (State.QUARANTINED, 0)),
    ('a clock that is behind', 20.0, False, (State.QUARANTINED, 0)),
    ('after the quarantine', 50.0 + 601.0, True, (State.FREE, 0)),
]


class FakeBackend:
    services = (SERVICE,)
    incarnation = None


class FakePeer:
    """Answer crash queries after a delay, or never if it is None."""

    is_connected = True

    def __init__(self, loop, delay_s: float | None) -> None:
        self.tracker = _tracker(loop)
        self.deliver = None
        self.queries = 0
        self._loop = loop
        self._delay_s = delay_s

    @property
    def connection(self):
        return self

    async def wait_connected(self):
        return

    def send(self, query):
        self.queries += 1
        if self._delay_s is not None:
            answer = self.tracker.answer(query)
            self._loop.call_later(self._delay_s, self.deliver, answer)


def _tracker(loop) -> crash_tracker.CrashTracker:
    return crash_tracker.CrashTracker(metrics_module.Metrics(), loop.time, 3)


def _report(tracker: crash_tracker.CrashTracker, crashes: list[str]) -> None:
    for crash in crashes:
        tracker.handle_report(messages.CrashReport(crash, [DIGEST], 60_000))


def _recovery(loop, peer, backend) -> crash_recovery.CrashRecovery:
    table = exchanges.ExchangeTable(
        messages.Incarnation(1), metrics_module.Metrics()
    )
    peer.deliver = table.deliver
    directory = member_directory.MemberDirectory(
        messages.NodeId('n1'), objects.DataCentreName('a')
    )
    for node in ('n1', 'n2', 'n3', 'n4', 'n5'):
        directory.put(test_member_directory.member(node, 'a'))
    for view in directory.peer_views():
        view.last_heard_at = math.inf
    return crash_recovery.CrashRecovery(
        messages.NodeId('n1'),
        backend,
        _tracker(loop),
        directory,
        table,
        lambda view, lane: peer,
        random.Random(1),
    )


class CrashRecoveryTest(virtual_time.VirtualTimeTestCase):
    async def _recover(self, loop, peer_crashes, own_crashes, later):
        peer = FakePeer(loop, 0.02)
        recovery = _recovery(loop, peer, FakeBackend())
        _report(peer.tracker, peer_crashes)
        _report(recovery._tracker, own_crashes)
        self.assertTrue(await recovery.recover())
        _report(recovery._tracker, later)
        self.assertEqual(crash_recovery.MAX_PEERS_ASKED, peer.queries)
        return recovery._tracker.state_of([DIGEST])

    def test_a_new_node_refuses_what_its_peers_refuse(self):
        for title, *case, expected in CASES:
            with self.subTest(title):
                state = self.run_virtual(
                    lambda loop, case=case: self._recover(loop, *case)
                )
                self.assertIs(expected, state)

    def test_a_restarted_fleet_refuses_what_was_recorded(self):
        async def main(loop, now_s, is_own):
            first = crash_tracker.CrashTracker(
                metrics_module.Metrics(), loop.time, 3, wall_clock=lambda: 50.0
            )
            _report(first, ['c1', 'c2'])
            self.assertEqual((), first.own_record.current())
            written = []
            first.on_quarantined = lambda: written.append(
                first.own_record.current()
            )
            await first.report_crash(SERVICE, frozenset({(DIGEST,)}), False)
            second = crash_tracker.CrashTracker(
                metrics_module.Metrics(),
                loop.time,
                3,
                wall_clock=lambda: now_s,
            )
            second.restore(written[0], is_own)
            return second.state_of([DIGEST]), len(second.own_record.current())

        for title, *case, expected in RESTART_CASES:
            with self.subTest(title):
                result = self.run_virtual(
                    lambda loop, case=case: main(loop, *case)
                )
                self.assertEqual(expected, result)

    def test_a_node_asks_once_for_each_server_until_a_peer_answers(self):
        async def main(loop, delay_s):
            backend = FakeBackend()
            peer = FakePeer(loop, delay_s)
            recovery = _recovery(loop, peer, backend)
            queries = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(recovery.run)
                for server in (None, FIRST_SERVER, FIRST_SERVER, None):
                    backend.incarnation = server
                    recovery.notify()
                    await anyio.sleep(2.0)
                    queries.append(peer.queries)
                backend.incarnation = SECOND_SERVER
                recovery.notify()
                await anyio.sleep(2.0)
                queries.append(peer.queries)
                tasks.cancel_scope.cancel()
            return queries

        asked = crash_recovery.MAX_PEERS_ASKED
        queries = self.run_virtual(lambda loop: main(loop, 0.02))
        self.assertEqual([0, asked, asked, asked, 2 * asked], queries)
        queries = self.run_virtual(lambda loop: main(loop, None))
        self.assertEqual([0, 2 * asked, 4 * asked], queries[:3])
