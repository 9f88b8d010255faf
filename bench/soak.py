"""Stop, kill and pause real processes in overlapping series under load.

Callers keep using open connections until the process at the other end is
gone. First all work is planned (nodes and servers are stopped and started,
settings and objects change), so nothing may be cut off; then faults come in
two series at a time. The history of each part is checked at its end.
"""

from collections.abc import Callable
import concurrent.futures
import random
import signal
import time
from typing import Any

from bench import history as histories
from bench import load_generator
from bench import local_cluster
from bench import outcomes

PAIRS = 5
SERVICES = 'lookups,lists,packs'
STOP_LIMIT = '10 s'
CALLERS = 24
# Requests that take longer than the steps of a planned stop, so that one that
# does not wait for them is noticed.
SERVER_ARGS = ('--service-time', '500 ms', '--jitter', '0.9')
OBJECTS_INI = local_cluster.OBJECTS_INI.replace(
    'deadline = 2 s\ntry-timeout = 500 ms', 'deadline = 4 s\ntry-timeout = 4 s'
)
PLANNED_DURATION_S = 25.0
FAULTS_DURATION_S = 25.0
MAX_PAUSE_S = 1.0
# The pairs that each of the two series hits; the first is spared, so that
# callers always find a node.
SERIES = ((1, 3), (3, 5))

Action = Callable[[outcomes.FaultContext], None]


def _stop_node(context: outcomes.FaultContext) -> None:
    """Stop and start a node whose server goes on."""
    node = context.pick_node()
    node.is_stopping = True
    node.process.signal(signal.SIGTERM)
    _check_exit(node.process.wait())
    context.cluster.restart_node(node)


def _stop_server(context: outcomes.FaultContext) -> None:
    server = context.pick_server()
    server.process.signal(signal.SIGTERM)
    _check_exit(server.process.wait())
    context.cluster.restart_server(server)


def _stop_server_and_node(context: outcomes.FaultContext) -> None:
    server = context.pick_server()
    server.process.signal(signal.SIGTERM)
    server.node.is_stopping = True
    server.node.process.signal(signal.SIGTERM)
    _check_exit(server.node.process.wait())
    _check_exit(server.process.wait())
    context.cluster.restart_node(server.node)
    context.cluster.restart_server(server)


def _read_settings_again(context: outcomes.FaultContext) -> None:
    context.pick_node().process.signal(signal.SIGHUP)


def _check_exit(code: int) -> None:
    if code:
        raise RuntimeError(f'a process ended with {code} in a planned stop')


PLANNED = (
    _stop_node,
    _stop_server,
    _stop_server_and_node,
    _read_settings_again,
)
FAULTS = (*outcomes.FAULTS, *PLANNED[:2])


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    figures: dict[str, Any] = {}
    parts = (
        ('planned', PLANNED, PLANNED_DURATION_S),
        ('faults', FAULTS, FAULTS_DURATION_S),
    )
    for part, (name, actions, duration_s) in enumerate(parts):
        history, done = _play(seed + part, actions, duration_s)
        violations = histories.find_violations(history)
        if name == 'planned':
            violations['nothing_cut'] = histories.check_nothing_cut(history)
        figures[f'{name}_requests'] = len(history.requests)
        figures[f'{name}_actions'] = done
        for guarantee, found in violations.items():
            for message in found[:10]:
                print(f'VIOLATION {name} {guarantee}: {message}')
            figures[f'{name}_{guarantee}'] = len(found)
    figures['violations'] = sum(
        count
        for name, count in figures.items()
        if not name.endswith(('_requests', '_actions'))
    )
    return figures


def _play(
    seed: int, actions: tuple[Action, ...], duration_s: float
) -> tuple[histories.History, int]:
    """Return the history of one part, and how many actions were done."""
    with local_cluster.LocalCluster.open() as cluster:
        for node in cluster.start_nodes(PAIRS, stop_limit=STOP_LIMIT):
            cluster.start_server(node, SERVICES, *SERVER_ARGS)
        cluster.publish(OBJECTS_INI)
        cluster.wait_for_servers(PAIRS)
        with load_generator.LoadGenerator(
            cluster, seed, CALLERS, keeps_connections=True
        ) as callers:
            until = time.monotonic() + duration_s
            with concurrent.futures.ThreadPoolExecutor(len(SERIES)) as pool:
                series = [
                    pool.submit(
                        _act_until,
                        outcomes.FaultContext(
                            cluster,
                            random.Random(f'{seed} {number}'),
                            callers.history,
                            *pairs,
                        ),
                        actions,
                        until,
                    )
                    for number, pairs in enumerate(SERIES)
                ]
                done = sum(fut.result() for fut in series)
        return callers.history, done


def _act_until(
    context: outcomes.FaultContext, actions: tuple[Action, ...], until: float
) -> int:
    """Act at random times until a time; return how often."""
    done = 0
    while time.monotonic() < until:
        time.sleep(context.rng.uniform(0, MAX_PAUSE_S))
        context.rng.choice(actions)(context)
        done += 1
    return done
