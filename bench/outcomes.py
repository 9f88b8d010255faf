"""Inject faults under load and count violated guarantees.

Single faults and pairs of faults are injected while callers send lookups,
saves with and without keys, and downloads. The history is checked at the
end.
"""

import dataclasses
import random
import signal
import time
from typing import Any

from bench import history as histories
from bench import load_generator
from bench import local_cluster

NODE_SERVER_PAIRS = 4
SERVICES = 'lookups,lists,packs'
FAULTS_DURATION_S = 42.0
SETTLE_S = 0.4
FREEZE_DURATION_S = 2.5
PLATFORM_FAULT_DURATION_S = 1.5


@dataclasses.dataclass
class FaultContext:
    """Hold what a fault function needs.

    Faults hit the pairs of a node and a server from first_pair up to, but
    not including, end_pair.
    """

    cluster: local_cluster.LocalCluster
    rng: random.Random
    history: histories.History
    first_pair: int = 1
    end_pair: int | None = None

    def pick_node(self) -> local_cluster.Node:
        """Return a random running node."""
        nodes = self.cluster.nodes[self.first_pair : self.end_pair]
        return self.rng.choice([n for n in nodes if n.process.is_running])

    def pick_server(self) -> local_cluster.Server:
        """Return a random running server."""
        servers = self.cluster.servers[self.first_pair : self.end_pair]
        return self.rng.choice([s for s in servers if s.process.is_running])


def _kill_node(context: FaultContext) -> None:
    node = context.pick_node()
    node.process.kill()
    time.sleep(SETTLE_S)
    context.cluster.restart_node(node)


def _kill_server(context: FaultContext) -> None:
    server = context.pick_server()
    server.process.kill()
    time.sleep(SETTLE_S)
    context.cluster.restart_server(server)


def _freeze_node(context: FaultContext) -> None:
    _freeze(context.pick_node().process)


def _freeze_server(context: FaultContext) -> None:
    _freeze(context.pick_server().process)


def _freeze(process: local_cluster.Process) -> None:
    process.signal(signal.SIGSTOP)
    time.sleep(FREEZE_DURATION_S)
    process.signal(signal.SIGCONT)


def _platform_down(context: FaultContext) -> None:
    context.cluster.set_fault('down')
    time.sleep(PLATFORM_FAULT_DURATION_S)
    context.cluster.set_fault('none')


def _platform_loses_answers(context: FaultContext) -> None:
    context.cluster.set_fault('lost-answer')
    time.sleep(PLATFORM_FAULT_DURATION_S)
    context.cluster.set_fault('none')


def _drain_server(context: FaultContext) -> None:
    server = context.pick_server()
    server.process.signal(signal.SIGTERM)
    drained_at = time.time()
    server.process.wait()
    context.history.drains.append(
        histories.Drain(server.name, drained_at, time.time())
    )
    context.cluster.restart_server(server)


def _kill_server_while_node_is_frozen(context: FaultContext) -> None:
    node = context.pick_node()
    node.process.signal(signal.SIGSTOP)
    _kill_server(context)
    node.process.signal(signal.SIGCONT)


def _kill_node_while_platform_is_down(context: FaultContext) -> None:
    context.cluster.set_fault('down')
    node = context.pick_node()
    node.process.kill()
    time.sleep(SETTLE_S)
    context.cluster.set_fault('none')
    context.cluster.restart_node(node)


def _kill_node_and_server(context: FaultContext) -> None:
    node, server = context.pick_node(), context.pick_server()
    node.process.kill()
    server.process.kill()
    time.sleep(SETTLE_S)
    context.cluster.restart_node(node)
    context.cluster.restart_server(server)


FAULTS = (
    _kill_node,
    _kill_server,
    _freeze_node,
    _freeze_server,
    _platform_down,
    _platform_loses_answers,
    _drain_server,
    _kill_server_while_node_is_frozen,
    _kill_node_while_platform_is_down,
    _kill_node_and_server,
)


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    start = time.monotonic()
    injected = []
    with local_cluster.LocalCluster.open() as cluster:
        server_args = ('--service-time', '20 ms')
        cluster.start_nodes_with_servers(
            NODE_SERVER_PAIRS, SERVICES, *server_args
        )
        with load_generator.LoadGenerator(cluster, seed) as callers:
            context = FaultContext(
                cluster, random.Random(seed), callers.history
            )
            in_flight: set[str] = set()
            while time.monotonic() - start < FAULTS_DURATION_S:
                fault = FAULTS[len(injected) % len(FAULTS)]
                time.sleep(SETTLE_S)
                in_flight |= callers.marks_in_flight()
                fault(context)
                injected.append(fault.__name__.strip('_'))
        return _figures(callers.history, injected, in_flight)


def _figures(
    history, injected: list[str], in_flight: set[str]
) -> dict[str, Any]:
    violations = histories.find_violations(history)
    for name, messages in violations.items():
        for message in messages[:10]:
            print(f'VIOLATION {name}: {message}')
    by_outcome = {
        kind: [
            request
            for request in history.requests
            if request.caller_outcome is kind
        ]
        for kind in histories.CallerOutcome
    }
    interrupted = [
        request for request in history.requests if request.mark in in_flight
    ]
    unknown = [
        request
        for request in interrupted
        if request.caller_outcome is histories.CallerOutcome.UNKNOWN
    ]
    return {
        'requests': len(history.requests),
        'runs': len(history.runs),
        'faults': len(injected),
        'faults_done': injected,
        **{kind.value: len(requests) for kind, requests in by_outcome.items()},
        'reasons': _failure_counts(history),
        'unknown_share_in_flight': round(
            len(unknown) / len(interrupted) if interrupted else 0.0, 4
        ),
        **{f'violations_{name}': len(v) for name, v in violations.items()},
        'violations': sum(len(messages) for messages in violations.values()),
    }


def _failure_counts(history: histories.History) -> dict[str, int]:
    counts: dict[str, int] = {}
    for request in history.requests:
        if request.caller_outcome is not histories.CallerOutcome.ANSWERED:
            name = f'{request.caller_outcome.value}:{request.reason}'
            counts[name] = counts.get(name, 0) + 1
    return counts
