"""Measure the bytes over a link in a load surge against its budgets.

The first part runs processes: all servers are in the other region, and
the callers send at ten times their rate while a node joins, another is
paused and the platform is down. The peak of a node is the most bytes that it
sent in any second of its own clock; the sum of all peaks is an upper
bound of what the fleet sent in any second, in each direction.

The second part, the frontier, measures in virtual time the p99 latency of
routing against the share of the responses that carry a load report.
"""

import concurrent.futures
import signal
import threading
import time
from typing import Any

from bench import local_cluster
from bench import routing as routing_bench

ENTRY_NODES = 3
SERVERS = 2
CALLER_THREADS = 20
NORMAL_SEND_INTERVAL_S = 0.2
SURGE_SEND_INTERVAL_S = 0.02
PHASE_S = 4.0
NODE_PAUSE_DURATION_S = 1.0
SEAT_TIMEOUT_S = 30.0
TRAFFIC_BUDGET_BYTES_PER_S = 1_000_000.0
MEASURING_BUDGET_BYTES_PER_S = 2_000.0
REPORT_SHARES = (0.0, 0.01, 0.1, 1.0)
FRONTIER_SCENARIOS = ('calm_0.95', 'stragglers_0.8', 'cold_0.8')


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    with local_cluster.LocalCluster.open() as cluster:
        for _ in range(SERVERS):
            cluster.start_server(cluster.start_node('dc2'), 'lookups')
        entry_nodes = cluster.start_nodes(ENTRY_NODES, 'dc1')
        cluster.publish()
        local_cluster.wait_until(
            lambda: _all_have_seats(cluster.nodes), SEAT_TIMEOUT_S
        )
        outcomes = _run_surge(cluster, entry_nodes)
        figures = _figures(cluster, outcomes)
    return figures | _frontier(seed)


def _all_have_seats(nodes: list[local_cluster.Node]) -> bool:
    return all(
        link['has_seat'] for node in nodes for link in node.status()['links']
    )


def _run_surge(
    cluster: local_cluster.LocalCluster, entry_nodes: list[local_cluster.Node]
) -> list[str]:
    interval_s = [NORMAL_SEND_INTERVAL_S]
    stopped = threading.Event()
    outcomes: list[str] = []

    def send_requests(number: int) -> None:
        while not stopped.is_set():
            node = entry_nodes[number % len(entry_nodes)]
            path = f'/lookup/{number}?bytes=3000&ms=1'
            try:
                response = local_cluster.send_request(node.http_port, path)
                outcomes.append(response.reason or str(response.status))
            except OSError as exc:
                outcomes.append(type(exc).__name__)
            time.sleep(interval_s[0])

    with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
        for number in range(CALLER_THREADS):
            pool.submit(send_requests, number)
        time.sleep(PHASE_S / 2)
        interval_s[0] = SURGE_SEND_INTERVAL_S
        time.sleep(PHASE_S)
        cluster.start_node('dc1')
        entry_nodes[0].process.signal(signal.SIGSTOP)
        time.sleep(NODE_PAUSE_DURATION_S)
        entry_nodes[0].process.signal(signal.SIGCONT)
        cluster.set_fault('down')
        time.sleep(PHASE_S)
        cluster.set_fault('none')
        time.sleep(PHASE_S / 2)
        stopped.set()
    return outcomes


def _figures(
    cluster: local_cluster.LocalCluster, outcomes: list[str]
) -> dict[str, Any]:
    peaks = {'dc1': [0, 0], 'dc2': [0, 0]}
    sent = {'dc1': [0, 0], 'dc2': [0, 0]}
    for node in cluster.nodes:
        for link in node.status()['links']:
            for index, name in enumerate(('traffic', 'measuring')):
                peaks[node.data_centre][index] += link[f'{name}_peak']
                sent[node.data_centre][index] += link[f'{name}_sent']
    shares = {
        data_centre: [
            round(traffic / TRAFFIC_BUDGET_BYTES_PER_S, 3),
            round(measuring / MEASURING_BUDGET_BYTES_PER_S, 3),
        ]
        for data_centre, (traffic, measuring) in peaks.items()
    }
    return {
        'calls': len(outcomes),
        'ends': {
            outcome: outcomes.count(outcome)
            for outcome in sorted(set(outcomes))
        },
        'peak_bytes_in_a_second': peaks,
        'sent_bytes': sent,
        'peaks_to_budgets': shares,
        'max_over_budget': max(
            max(budget_shares) for budget_shares in shares.values()
        ),
    }


def _frontier(seed: int) -> dict[str, Any]:
    return {
        f'frontier_p99_ms {scenario}': {
            str(share): routing_bench.percentile(
                routing_bench.run_strategy(scenario, 'jayflow', seed, share),
                0.99,
            )
            for share in REPORT_SHARES
        }
        for scenario in FRONTIER_SCENARIOS
    }
