"""Test request outcomes when frames are lost, late, repeated and reordered.

Guards against a request that runs although it is reported as not run, and
against one that is not idempotent but runs twice.
"""

import asyncio
import collections
import random
import time

from jayflow.connection import announcement
from jayflow.connection import member as members
from jayflow.connection import messages
from jayflow.connection import sockets
from jayflow import metrics as metrics_module
from jayflow.request import caller_request
from jayflow.request.decisions import routing
from jayflow.request import dispatch
from jayflow.request import exchange as exchanges
from jayflow.request import executor as executors
from jayflow.request import outcome
from jayflow.request import response as responses
from jayflow.version import objects
from tests import virtual_time

REQUESTS = 60
SEEDS = range(1, 21)
PORT = 1
LATE_S = 0.3
QUICK_S = 0.005
SLOW_S = 0.6
# Title, shares of lost, repeated and late frames, and the longest event loop
# iteration in seconds, as on a machine that other processes keep busy.
FAULTS = [
    ('none', 0.0, 0.0, 0.0, 0.0),
    ('lost', 0.2, 0.0, 0.0, 0.0),
    ('repeated', 0.0, 0.4, 0.0, 0.0),
    ('late', 0.0, 0.0, 0.4, 0.0),
    ('all', 0.15, 0.3, 0.3, 0.0),
    ('busy', 0.0, 0.0, 0.0, 0.01),
    ('lost and busy', 0.2, 0.0, 0.0, 0.01),
    ('all and busy', 0.15, 0.3, 0.3, 0.01),
]
POLICY = objects.Policy(
    objects.PolicyName('p'), deadline=0.4, try_timeout=0.15, tries=3
)


class FaultyChannel:
    """Lose, repeat and delay messages both ways, with a seeded rng."""

    is_connected = True

    def __init__(self, executor, deliver, rng, lost, repeated, late):
        self._executor = executor
        self._deliver = deliver
        self._rng = rng
        self._lost, self._repeated, self._late = lost, repeated, late

    async def wait_connected(self):
        return

    def send(self, message):
        if self._rng.random() < self._lost / 4:
            raise sockets.NotSentError('connection lost')
        self._send_with_faults(
            lambda: self._executor.handle(message, self._reply)
        )

    def _reply(self, message):
        self._send_with_faults(lambda: self._deliver(message))

    def _send_with_faults(self, deliver):
        if self._rng.random() < self._lost:
            return
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self._rng.random() < self._repeated)):
            late = self._rng.random() < self._late
            loop.call_later(self._rng.uniform(0, LATE_S) * late, deliver)


class Server:
    """Run requests on loopback and record them by their target."""

    def __init__(self):
        self.runs = collections.Counter()

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                target = head.split(b' ')[1]
                self.runs[target] += 1
                await asyncio.sleep(SLOW_S if b'7' in target else QUICK_S)
                response = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
                writer.write(response % (len(target), target))
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            writer.close()


class FramesTest(virtual_time.VirtualTimeTestCase):
    def _start_executor(self, number):
        executor = executors.Executor(
            messages.Incarnation(number),
            metrics_module.Metrics(),
            time.monotonic,
        )
        server_announcement = announcement.Announcement(
            f'i{number}', ('s',), '127.0.0.1', PORT, 18
        )
        executor.apply_announcement(server_announcement)

        async def renew():
            while True:
                await asyncio.sleep(1)
                executor.apply_announcement(server_announcement)

        for coroutine in (executor.run(), renew()):
            self._tasks.append(asyncio.create_task(coroutine))
        member = members.Member(
            messages.NodeId(f'n{number}'),
            executor.incarnation,
            objects.DataCentreName('dc'),
            '127.0.0.1',
            1,
            (objects.ServiceName('s'),),
            18,
        )
        return executor, routing.PeerView(
            member, routing.Distance.SAME_DATA_CENTRE
        )

    async def _run(self, loop, server, seed, fault):
        loop.serve_port(PORT, server.serve)
        rng = random.Random(seed)
        self._tasks = []
        open_exchanges = exchanges.ExchangeTable(
            messages.Incarnation(99), metrics_module.Metrics()
        )
        channels, views = {}, []
        for number in (1, 2, 3):
            executor, view = self._start_executor(number)
            views.append(view)
            channels[view.member.node] = FaultyChannel(
                executor, open_exchanges.deliver, rng, *fault
            )
        dispatcher = dispatch.Dispatcher(
            open_exchanges,
            lambda service, regions: views,
            lambda view, lane: channels[view.member.node],
            metrics_module.Metrics(),
            rng,
            objects.DataCentreName('dc'),
        )
        results = await asyncio.gather(
            *[
                self._send(dispatcher, b'/%d/%d' % (seed, number), number)
                for number in range(REQUESTS)
            ]
        )
        await asyncio.sleep(2 * LATE_S + SLOW_S)
        for task in self._tasks:
            task.cancel()
        return results

    async def _send(self, dispatcher, target, number):
        await asyncio.sleep(number * 0.01)
        req = caller_request.Request(
            service=objects.ServiceName('s'),
            policy=POLICY,
            method='POST',
            target=target,
            headers=[(b'host', b'x')],
            body=b'',
            has_more_body=False,
            read_body=None,
            deadline=time.monotonic() + POLICY.deadline,
            is_idempotent=number % 3 == 0,
            fingerprint=target,
            arrived_at=time.monotonic(),
        )
        result = await dispatcher.run(req)
        if isinstance(result, responses.Response):
            result.close()
        return req, result

    def test_outcomes_match_the_runs(self):
        for title, *fault, max_iteration_s in FAULTS:
            for seed in SEEDS:
                with self.subTest(title, seed=seed):
                    server, results = self._run_with_faults(
                        seed, fault, max_iteration_s
                    )
                    self._check_outcomes(server, results, title)

    def _run_with_faults(self, seed, fault, max_iteration_s):
        server, rng = Server(), random.Random(seed)
        results = self.run_virtual(
            lambda loop: self._run(loop, server, seed, fault),
            lambda: rng.uniform(0, max_iteration_s),
        )
        return server, results

    def _check_outcomes(self, server, results, title):
        for req, result in results:
            runs = server.runs[req.target]
            if not req.is_idempotent:
                self.assertLessEqual(runs, 1, req.target)
            if isinstance(result, outcome.NotRun):
                self.assertEqual(0, runs, (req.target, result))
            if isinstance(result, responses.Response):
                self.assertEqual(req.target, result.data)
            if title == 'none' and b'7' not in req.target:
                self.assertIsInstance(result, responses.Response)
