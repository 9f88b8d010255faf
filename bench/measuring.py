"""Rush over the link between two regions and compare with its budgets.

Live processes: all servers are in the other region; callers rise to ten
times their rate while a node joins, one is paused and the platform is
down. A node's peak is the most that any second of its own held; the sum
of all peaks bounds what the fleet sent in any second, each way. The
frontier (virtual time) is the p99 of routing against the share of the
answers that carry a load report.
"""

import concurrent.futures
import signal
import threading
import time
from typing import Any

from bench import routing as experiment
from bench import stack as stacks

ENTRIES = 3
SERVERS = 2
THREADS = 20
CALM_PAUSE_S = 0.2
RUSH_PAUSE_S = 0.02
PHASE_S = 4.0
FREEZE_S = 1.0
SEAT_LIMIT_S = 30.0
TRAFFIC_BUDGET = 1_000_000.0
MEASURING_BUDGET = 2_000.0
REPORT_SHARES = (0.0, 0.01, 0.1, 1.0)
FRONTIER = ('calm_0.95', 'stragglers_0.8', 'cold_0.8')


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    with stacks.Stack.open() as stack:
        for _ in range(SERVERS):
            stack.start_server(stack.start_node('dc2'), 'lookups')
        entries = stack.start_nodes(ENTRIES, 'dc1')
        stack.publish()
        stacks.wait_until(lambda: _all_seated(stack.nodes), SEAT_LIMIT_S)
        statuses = _rush(stack, entries)
        figures = _figures(stack, statuses)
    return figures | _frontier(seed)


def _all_seated(nodes: list[stacks.Node]) -> bool:
    return all(
        link['has_seat'] for node in nodes for link in node.status()['links']
    )


def _rush(stack: stacks.Stack, entries: list[stacks.Node]) -> list[str]:
    pause = [CALM_PAUSE_S]
    stopped = threading.Event()
    statuses: list[str] = []

    def call_on(number: int) -> None:
        while not stopped.is_set():
            node = entries[number % len(entries)]
            path = f'/lookup/{number}?bytes=3000&ms=1'
            try:
                answer = stacks.call(node.http, path)
                statuses.append(answer.reason or str(answer.status))
            except OSError as exc:
                statuses.append(type(exc).__name__)
            time.sleep(pause[0])

    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        for number in range(THREADS):
            pool.submit(call_on, number)
        time.sleep(PHASE_S / 2)
        pause[0] = RUSH_PAUSE_S
        time.sleep(PHASE_S)
        stack.start_node('dc1')
        entries[0].process.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        entries[0].process.signal(signal.SIGCONT)
        stack.set_fault('down')
        time.sleep(PHASE_S)
        stack.set_fault('none')
        time.sleep(PHASE_S / 2)
        stopped.set()
    return statuses


def _figures(stack: stacks.Stack, statuses: list[str]) -> dict[str, Any]:
    peaks = {'dc1': [0, 0], 'dc2': [0, 0]}
    sent = {'dc1': [0, 0], 'dc2': [0, 0]}
    for node in stack.nodes:
        for link in node.status()['links']:
            for index, name in enumerate(('traffic', 'measuring')):
                peaks[node.data_centre][index] += link[f'{name}_peak']
                sent[node.data_centre][index] += link[f'{name}_sent']
    shares = {
        side: [
            round(traffic / TRAFFIC_BUDGET, 3),
            round(measuring / MEASURING_BUDGET, 3),
        ]
        for side, (traffic, measuring) in peaks.items()
    }
    return {
        'calls': len(statuses),
        'ends': {end: statuses.count(end) for end in sorted(set(statuses))},
        'peak_bytes_in_a_second': peaks,
        'sent_bytes': sent,
        'peaks_to_budgets': shares,
        'max_over_budget': max(max(each) for each in shares.values()),
    }


def _frontier(seed: int) -> dict[str, Any]:
    return {
        f'frontier_p99_ms {scenario}': {
            str(share): experiment.percentile(
                experiment.run_way(scenario, 'jayflow', seed, share), 0.99
            )
            for share in REPORT_SHARES
        }
        for scenario in FRONTIER
    }
