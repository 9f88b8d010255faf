"""Check that a crash is known to the other nodes before its sender knows.

A report was once sent without waiting for an acknowledgement, so a retry
could overtake a delayed report and crash a third server.
"""

import anyio

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import crash_broadcast
from jayflow.process import member_directory
from jayflow.request import crash_tracker
from jayflow.request.decisions import quarantine
from jayflow.request import exchange as exchanges
from jayflow.version import objects
from tests.process import test_member_directory
from tests import virtual_time

SERVICE = objects.ServiceName('s')
DIGEST = quarantine.Fingerprint(b'bad')
# Title, delays of the reports to the peer in s, of which the last repeats
# (None if a report is lost), and when the crash may be told to the sender.
CASES = [
    ('at once', [0.0], 0.0),
    ('delayed', [0.6], 0.6),
    ('first report lost', [None, 0.0], crash_broadcast.RESEND_INTERVAL_S),
    ('never', [None], crash_tracker.BROADCAST_TIMEOUT_S),
]


# Title, for how long a member that was never heard has been known, and the
# wait for it.
UNHEARD_CASES = [
    ('has just become known', 0.0, crash_tracker.BROADCAST_TIMEOUT_S),
    ('is gone for good', 60.0, 0.0),
]
# Title, services of a member that acknowledges nothing, and the wait for it.
WAIT_CASES = [
    (
        'may get the retry',
        (SERVICE,),
        crash_tracker.BROADCAST_TIMEOUT_S,
    ),
    ('has no server', (), 0.0),
    ('serves another service', ('other',), 0.0),
]
# Title, services of a member and whether it drains, other members, and whether
# it hears of the crash. A member without a server will have one again.
AUDIENCE_CASES = [
    ('serves the service', (SERVICE,), False, 0, True),
    ('its server drains', (SERVICE,), True, 0, True),
    ('its own server has crashed', (), False, 0, True),
    ('serves another service', ('other',), False, 0, True),
    ('serves the service in a large fleet', (SERVICE,), False, 30, True),
    ('has no server in a large fleet', (), False, 30, True),
    ('serves another service there', ('other',), False, 30, False),
]


class FakePeer:
    """Handle crash reports and acknowledge each after a delay."""

    is_connected = True

    def __init__(self, delays, loop) -> None:
        self.tracker = crash_tracker.CrashTracker(
            metrics_module.Metrics(), loop.time, 2
        )
        self.deliver = None
        self._delays = list(delays)
        self._loop = loop

    @property
    def connection(self):
        return self

    async def wait_connected(self):
        return

    def send(self, report):
        is_last = len(self._delays) == 1
        delay_s = self._delays[0] if is_last else self._delays.pop(0)
        if delay_s is not None:
            self._loop.call_later(delay_s, self._handle, report)

    def _handle(self, report):
        self.tracker.handle_report(report)
        self.deliver(messages.CrashAck(report.attempt))


class FakeBackend:
    services = (SERVICE,)


class CrashBroadcastTest(virtual_time.VirtualTimeTestCase):
    async def _report(self, loop, delays, services=(SERVICE,), known_s=0.0):
        """Report a crash; return the time taken and the peer."""
        peer = FakePeer(delays, loop)
        table = exchanges.ExchangeTable(
            messages.Incarnation(1), metrics_module.Metrics()
        )
        peer.deliver = table.deliver
        directory = member_directory.MemberDirectory(
            messages.NodeId('n1'), objects.DataCentreName('a')
        )
        directory.put(
            test_member_directory.member('n2', 'a', services=services)
        )
        view = directory.peer_view(messages.NodeId('n2'))
        view.known_since -= known_s
        tracker = crash_tracker.CrashTracker(
            metrics_module.Metrics(), loop.time, 2
        )
        tracker.broadcast = crash_broadcast.CrashBroadcaster(
            messages.NodeId('n1'),
            FakeBackend(),
            directory,
            table,
            lambda view, lane: peer,
        ).broadcast
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            # Two requests broke in the same crash.
            for _ in range(2):
                tasks.start_soon(
                    tracker.report_crash,
                    SERVICE,
                    frozenset({(DIGEST,)}),
                    False,
                )
        self.assertEqual(0, len(table))
        return anyio.current_time() - started_at, peer

    def test_a_crash_is_told_after_the_acknowledgement(self):
        for title, delays, expected_s in CASES:
            with self.subTest(title):
                elapsed_s, peer = self.run_virtual(
                    lambda loop, delays=delays: self._report(loop, delays)
                )
                self.assertAlmostEqual(expected_s, elapsed_s, delta=0.01)
                if title != 'never':
                    state = peer.tracker.quarantine.state_of(DIGEST, 0.0)
                    self.assertIs(quarantine.QuarantineState.SUSPECT, state)

    def test_a_crash_was_told_late_because_of_a_member_that_is_gone(self):
        for title, known_s, expected_s in UNHEARD_CASES:
            with self.subTest(title):
                elapsed_s, _ = self.run_virtual(
                    lambda loop, known_s=known_s: self._report(
                        loop, [None], known_s=known_s
                    )
                )
                self.assertAlmostEqual(expected_s, elapsed_s, delta=0.01)

    def test_a_node_whose_server_is_down_hears_of_later_crashes(self):
        async def main(loop, services, is_draining, others):
            peer = FakePeer([0.0], loop)
            table = exchanges.ExchangeTable(
                messages.Incarnation(1), metrics_module.Metrics()
            )
            peer.deliver = table.deliver
            directory = member_directory.MemberDirectory(
                messages.NodeId('n1'), objects.DataCentreName('a')
            )
            directory.put(
                test_member_directory.member(
                    'n2', 'a', services=services, draining=is_draining
                )
            )
            for other in range(others):
                directory.put(
                    test_member_directory.member(
                        f'other-{other}', 'a', services=('other',)
                    )
                )
            await crash_broadcast.CrashBroadcaster(
                messages.NodeId('n1'),
                FakeBackend(),
                directory,
                table,
                lambda view, lane: peer,
            ).broadcast(messages.CrashReport('c1', [DIGEST], 5000))
            # Some are not waited for.
            await anyio.sleep(0.01)
            return peer.tracker.quarantine.state_of(DIGEST, 0.0)

        for title, *case, is_told in AUDIENCE_CASES:
            with self.subTest(title):
                state = self.run_virtual(
                    lambda loop, case=case: main(loop, *case)
                )
                self.assertEqual(
                    is_told, state is quarantine.QuarantineState.SUSPECT
                )

    def test_only_nodes_that_may_get_the_retry_delay_it(self):
        for title, services, expected_s in WAIT_CASES:
            with self.subTest(title):
                elapsed_s, _ = self.run_virtual(
                    lambda loop, services=services: self._report(
                        loop, [None], services
                    )
                )
                self.assertAlmostEqual(expected_s, elapsed_s, delta=0.01)

    def test_a_repeated_report_counts_one_crash(self):
        async def main(loop):
            peer = FakePeer([], loop)
            peer.deliver = lambda message: None
            for crash in ('c1', 'c1', 'c2'):
                report = messages.CrashReport(crash, [DIGEST], 5000)
                peer._handle(report)
                states.append(peer.tracker.quarantine.state_of(DIGEST, 0.0))

        states = []
        self.run_virtual(main)
        suspect = quarantine.QuarantineState.SUSPECT
        quarantined = quarantine.QuarantineState.QUARANTINED
        self.assertEqual([suspect, suspect, quarantined], states)
