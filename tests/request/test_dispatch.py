"""Test hedging, retries and the clean-up of attempts in the dispatcher.

Guards against exchanges that stay open after a request was cancelled, and
against attempts that are hedged or counted as tries by mistake.
"""

import asyncio
import random
import time
import unittest

from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.process import member_directory
from jayflow.request import caller_request
from jayflow.request.decisions import quarantine
from jayflow.request.decisions import routing
from jayflow.request import dispatch
from jayflow.request import exchange as exchanges
from jayflow.request import outcome
from jayflow.request import problem
from jayflow.request import response
from jayflow.version import objects
import msgspec

SENDER = messages.Incarnation(1)
TARGET_S = 0.4


class FakeReceiver:
    """Reply to each Start with the messages that a script returns."""

    def __init__(self, script) -> None:
        self.starts = []
        self.cancelled = []
        self.deliver = None
        self._script = script

    is_connected = True

    @property
    def connection(self):
        return self

    def send(self, message):
        if isinstance(message, messages.Cancel):
            self.cancelled.append(message.attempt)
        if isinstance(message, messages.Start):
            self.starts.append(message)
            for reply in self._script(message):
                self.deliver(reply)


def head(start, last=True, status=200):
    """Return the head of a response."""
    return messages.ResponseHead(start.attempt, status, [], b'x', last, None)


def request(**changes) -> caller_request.Request:
    """Return an idempotent request."""
    values = {
        'service': objects.ServiceName('s'),
        'policy': objects.Policy('p', latency_target=TARGET_S, tries=2),
        'method': 'GET',
        'target': b'/',
        'headers': [],
        'body': b'',
        'has_more_body': False,
        'read_body': None,
        'deadline': time.monotonic() + 2,
        'is_idempotent': True,
        'fingerprint': quarantine.Fingerprint(b'f'),
    }
    return caller_request.Request(**(values | changes))


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *scripts):
        """Return a dispatcher with one receiver for each script."""
        self.receivers = [FakeReceiver(script) for script in scripts]
        self.exchanges = exchanges.ExchangeTable(
            SENDER, metrics_module.Metrics()
        )
        views = []
        for number, receiver in enumerate(self.receivers):
            receiver.deliver = self.exchanges.deliver
            member = members.Member(
                messages.NodeId(f'n{number}'),
                messages.Incarnation(10 + number),
                objects.DataCentreName('dc'),
                '127.0.0.1',
                number,
                (objects.ServiceName('s'),),
                4,
            )
            load = messages.Load(number, 0, 100, 0.0)
            view = routing.PeerView(member, routing.Distance.SAME_DATA_CENTRE)
            view.record_load(load, time.monotonic())
            views.append(view)
        self.views = views
        return dispatch.Dispatcher(
            self.exchanges,
            lambda service, regions: views,
            lambda view, lane: self.receivers[views.index(view)],
            metrics_module.Metrics(),
            random.Random(1),
            objects.DataCentreName('dc'),
        )

    async def test_a_cancelled_request_leaves_no_open_exchange(self):
        for title, script in (
            ('before the response', lambda start: []),
            ('during the response', lambda start: [head(start, last=False)]),
        ):
            with self.subTest(title):
                dispatcher = self.build(script)
                task = asyncio.create_task(dispatcher.run(request()))
                await asyncio.sleep(0.02)
                task.cancel()
                await asyncio.wait((task,))
                self.assertEqual(0, len(self.exchanges))
                started = [
                    message.attempt for message in self.receivers[0].starts
                ]
                self.assertEqual(started, self.receivers[0].cancelled)

    async def test_a_stuck_attempt_is_hedged_and_cancelled(self):
        scripts = [lambda start: [], lambda start: [head(start)]]
        dispatcher = self.build(*scripts)
        self.views[1].cooldown_until = time.monotonic() + 0.1
        result = await dispatcher.run(request())
        self.assertIsInstance(result, response.Response)
        self.assertEqual(1, len(self.receivers[1].starts))
        result.close()
        self.assertEqual(0, len(self.exchanges))
        self.assertEqual(1, len(self.receivers[0].cancelled))

    async def test_a_failed_hedge_counts_as_two_tries(self):
        starts = []

        def fail_twice(start):
            starts.append(start)
            if len(starts) > 2:
                return [head(start)]
            loop = asyncio.get_running_loop()
            failure = messages.AttemptFailed(
                start.attempt, 'server_broken', None
            )
            loop.call_later(0.6, self.exchanges.deliver, failure)
            return []

        dispatcher = self.build(fail_twice, fail_twice, fail_twice)
        result = await dispatcher.run(request())
        self.assertIsInstance(result, outcome.Unknown)
        self.assertEqual(2, len(starts))

    async def test_no_hedge_to_a_server_with_a_queue(self):
        scripts = [lambda start: [], lambda start: [head(start)]]
        dispatcher = self.build(*scripts)
        self.views[1].cooldown_until = time.monotonic() + 0.1
        self.views[1].load = messages.Load(4, 3, 4, 0.0)
        req = request(deadline=time.monotonic() + 1.0)
        result = await dispatcher.run(req)
        self.assertIsInstance(result, outcome.Failure)
        self.assertEqual([], self.receivers[1].starts)

    async def test_only_idempotent_requests_are_hedged(self):
        scripts = [lambda start: [], lambda start: [head(start)]]
        dispatcher = self.build(*scripts)
        self.views[1].cooldown_until = time.monotonic() + 5
        req = request(is_idempotent=False, deadline=time.monotonic() + 0.9)
        result = await dispatcher.run(req)
        self.assertIsInstance(result, outcome.Unknown)
        self.assertEqual([], self.receivers[1].starts)

    async def test_queue_time_is_not_counted_as_service_time(self):
        def serve_after_queueing(start):
            reply = messages.ResponseHead(
                start.attempt, 200, [], b'x', True, None, service_ms=20
            )
            loop = asyncio.get_running_loop()
            loop.call_later(0.2, self.exchanges.deliver, reply)
            return []

        dispatcher = self.build(serve_after_queueing)
        for _ in range(3):
            (await dispatcher.run(request())).close()
        expected_service_times_ms = [
            message.expected_service_ms for message in self.receivers[0].starts
        ]
        self.assertEqual(
            sorted(expected_service_times_ms, reverse=True),
            expected_service_times_ms,
        )

    async def test_a_request_waits_in_one_queue_only(self):
        # A request once waited in up to four queues in turn, and its caller
        # learnt only near the deadline that it was refused.
        for title, delay_s, queued, expected in (
            ('waited, the next has a queue', 0.1, 5, 0),
            ('waited, the next has a free slot', 0.1, 0, 1),
            ('refused at once, the next has a queue', 0.0, 5, 1),
        ):
            with self.subTest(title):

                def refuse(start, delay_s=delay_s):
                    refusal = messages.Refused(
                        start.attempt, 'queue_time', None
                    )
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay_s, self.exchanges.deliver, refusal)
                    return []

                dispatcher = self.build(refuse, lambda start: [head(start)])
                load = messages.Load(4 if queued else 3, queued, 4, 0.0)
                self.views[1].record_load(load, time.monotonic())
                req = request(is_idempotent=False)
                result = await dispatcher.run(req)
                self.assertEqual(expected, len(self.receivers[1].starts))
                if not expected:
                    self.assertIs(outcome.Reason.QUEUE_TIME, result.reason)

    async def test_a_refusal_does_not_use_up_a_try(self):
        def refuse(start):
            return [messages.Refused(start.attempt, 'draining', None)]

        dispatcher = self.build(refuse, lambda start: [head(start)])
        policy = objects.Policy('p', tries=1)
        result = await dispatcher.run(request(policy=policy))
        self.assertIsInstance(result, response.Response)
        self.assertEqual(1, len(self.receivers[1].starts))

    async def test_a_refusal_by_an_evacuated_server_counted_as_its_failure(
        self,
    ):
        def refuse(start):
            return [messages.Refused(start.attempt, 'evacuated', None)]

        dispatcher = self.build(refuse, lambda start: [head(start)])
        req = request(is_idempotent=False)
        result = await dispatcher.run(req)
        self.assertIsInstance(result, response.Response)
        self.assertEqual(1, len(self.receivers[0].starts))
        self.assertEqual(0, self.views[0].failures)
        self.assertLess(self.views[0].cooldown_until, time.monotonic())

    async def test_no_attempt_goes_to_an_evacuated_data_centre(self):
        # Title, data centres evacuated, whether the first server fails or is
        # silent, and which servers get an attempt.
        failure = 'server_broken'
        for title, evacuated, fails, expected in (
            ('first attempt', {0}, False, {1}),
            ('retry', {1}, True, {0, 2}),
            ('hedge', {1}, False, {0, 2}),
            ('all', {0, 1, 2}, False, set()),
        ):
            with self.subTest(title):

                def first(start, fails=fails):
                    if not fails:
                        return []
                    return [
                        messages.AttemptFailed(start.attempt, failure, None)
                    ]

                def serve(start):
                    return [head(start)]

                self.build(first, serve, serve)
                directory = member_directory.MemberDirectory(
                    messages.NodeId('me'), objects.DataCentreName('dc')
                )
                receivers = {}
                for number, receiver in enumerate(self.receivers):
                    member = msgspec.structs.replace(
                        self.views[number].member, data_centre=f'dc{number}'
                    )
                    directory.put(member)
                    view = directory.peer_view(member.node)
                    view.requires_seat = False
                    now = time.monotonic()
                    view.record_load(messages.Load(number, 0, 9, 5.0), now)
                    receivers[member.node] = receiver
                directory.set_evacuated({f'dc{n}' for n in evacuated})
                dispatcher = dispatch.Dispatcher(
                    self.exchanges,
                    directory.candidates,
                    lambda view, lane, known=receivers: known[
                        view.member.node
                    ],
                    metrics_module.Metrics(),
                    random.Random(1),
                    objects.DataCentreName('dc'),
                )
                result = await dispatcher.run(request())
                started = {
                    number
                    for number, receiver in enumerate(self.receivers)
                    if receiver.starts
                }
                self.assertEqual(expected, started)
                if not expected:
                    document = problem.Problem.from_failure(result)
                    self.assertEqual(503, document.status)
                    self.assertIs(outcome.Outcome.NOT_RUN, document.outcome)
