"""Run a table of faults under load and count broken promises.

Faults come alone and in pairs while callers send lookups, saves with and
without keys, and downloads. The history is judged at the end.
"""

import dataclasses
import random
import signal
import time
from typing import Any

from bench import callers as players
from bench import history as histories
from bench import stack as stacks

PAIRS = 4
SERVICES = 'lookups,lists,packs'
LIMIT_S = 42.0
CALM_S = 0.4
FREEZE_S = 2.5
OUTAGE_S = 1.5


@dataclasses.dataclass
class _Scene:
    stack: stacks.Stack
    rng: random.Random
    history: histories.History

    def node(self) -> stacks.Node:
        """Return a node that runs, but not the first."""
        return self.rng.choice(
            [n for n in self.stack.nodes[1:] if n.process.is_running]
        )

    def server(self) -> stacks.Server:
        """Return a server that runs, but not the first."""
        return self.rng.choice(
            [s for s in self.stack.servers[1:] if s.process.is_running]
        )


def _kill_node(scene: _Scene) -> None:
    node = scene.node()
    node.process.kill()
    time.sleep(CALM_S)
    scene.stack.restart_node(node)


def _kill_server(scene: _Scene) -> None:
    server = scene.server()
    server.process.kill()
    time.sleep(CALM_S)
    scene.stack.restart_server(server)


def _freeze_node(scene: _Scene) -> None:
    _freeze(scene.node().process)


def _freeze_server(scene: _Scene) -> None:
    _freeze(scene.server().process)


def _freeze(process: stacks.Process) -> None:
    process.signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    process.signal(signal.SIGCONT)


def _platform_down(scene: _Scene) -> None:
    scene.stack.set_fault('down')
    time.sleep(OUTAGE_S)
    scene.stack.set_fault('none')


def _platform_loses_answers(scene: _Scene) -> None:
    scene.stack.set_fault('lost-answer')
    time.sleep(OUTAGE_S)
    scene.stack.set_fault('none')


def _drain_server(scene: _Scene) -> None:
    server = scene.server()
    server.process.signal(signal.SIGTERM)
    drained_at = time.time()
    server.process.wait()
    scene.history.drains.append(histories.Drain(server.name, drained_at))
    runs = [run for run in server.runs() if run['at'] > drained_at]
    if any(r['at'] > drained_at + histories.LEAVING_LIMIT_S for r in runs):
        raise RuntimeError('new work after leaving')
    scene.history.drains.pop()
    scene.stack.restart_server(server)


def _kill_server_while_node_is_frozen(scene: _Scene) -> None:
    node = scene.node()
    node.process.signal(signal.SIGSTOP)
    _kill_server(scene)
    node.process.signal(signal.SIGCONT)


def _kill_node_while_platform_is_down(scene: _Scene) -> None:
    scene.stack.set_fault('down')
    node = scene.node()
    node.process.kill()
    time.sleep(CALM_S)
    scene.stack.set_fault('none')
    scene.stack.restart_node(node)


def _kill_node_and_server(scene: _Scene) -> None:
    node, server = scene.node(), scene.server()
    node.process.kill()
    server.process.kill()
    time.sleep(CALM_S)
    scene.stack.restart_node(node)
    scene.stack.restart_server(server)


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
    begun = time.monotonic()
    done = []
    with stacks.Stack.open() as stack:
        slow = ('--service-time', '20 ms')
        stack.start_pairs(PAIRS, SERVICES, *slow)
        with players.Callers(stack, seed) as callers:
            scene = _Scene(stack, random.Random(seed), callers.history)
            in_flight: set[str] = set()
            while time.monotonic() - begun < LIMIT_S:
                fault = FAULTS[len(done) % len(FAULTS)]
                time.sleep(CALM_S)
                in_flight |= callers.in_flight()
                fault(scene)
                done.append(fault.__name__.strip('_'))
        return _figures(callers.history, done, in_flight)


def _figures(history, done: list[str], in_flight: set[str]) -> dict[str, Any]:
    violations = histories.judge(history)
    for name, rows in violations.items():
        for row in rows[:10]:
            print(f'VIOLATION {name}: {row}')
    told = {
        kind: [send for send in history.sends if send.told is kind]
        for kind in histories.Told
    }
    hit = [send for send in history.sends if send.mark in in_flight]
    unknown = [send for send in hit if send.told is histories.Told.UNKNOWN]
    return {
        'requests': len(history.sends),
        'runs': len(history.runs),
        'faults': len(done),
        'faults_done': done,
        **{kind.value: len(sends) for kind, sends in told.items()},
        'reasons': _counts(history),
        'unknown_share_in_flight': round(
            len(unknown) / len(hit) if hit else 0.0, 4
        ),
        **{f'violations_{name}': len(v) for name, v in violations.items()},
        'violations': sum(len(rows) for rows in violations.values()),
    }


def _counts(history: histories.History) -> dict[str, int]:
    counts: dict[str, int] = {}
    for send in history.sends:
        if send.told is not histories.Told.ANSWERED:
            name = f'{send.told.value}:{send.reason}'
            counts[name] = counts.get(name, 0) + 1
    return counts
