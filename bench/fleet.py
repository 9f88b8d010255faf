"""Measure the cost of a node as the fleet grows, with idle node processes.

The experiment announces a server to each node, as a sample server would.
The slopes are the increase per member between the smallest and the
largest fleet size.
"""

import concurrent.futures
import json
import os
import time
from typing import Any

from bench import hop
from bench import local_cluster

FLEET_SIZES = (20, 60, 120)
SETTLE_S = 2.0
MEASURE_DURATION_S = 3.0
SAMPLE_NODES = 8
# Lets a round of renewals end that may still announce a removed server.
RENEWAL_WAIT_S = 1.0
CHURN_EVENTS = 20
CHURN_PAUSE_S = 0.25
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
ANNOUNCEMENT = {
    'services': ['lookups'],
    'host': '127.0.0.1',
    'port': 1,
    'slots': 18,
}


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    del seed
    figures: dict[str, Any] = {}
    with (
        local_cluster.LocalCluster.open() as cluster,
        _Announcer(cluster) as announcer,
    ):
        cluster.publish()
        for size in FLEET_SIZES:
            _grow(cluster, announcer, size)
            figures[str(size)] = _measure(cluster)
        figures['per_event_and_node'] = _measure_churn(cluster, announcer)
        figures['join_s'] = _time_join(cluster, announcer)
        figures['leave_s'] = _time_leave(cluster, announcer)
        figures['publish_s'] = _time_publish(cluster)
    small, large = figures[str(FLEET_SIZES[0])], figures[str(FLEET_SIZES[-1])]
    size_difference = FLEET_SIZES[-1] - FLEET_SIZES[0]
    figures['slopes_per_member'] = {
        name: round((large[name] - small[name]) / size_difference, 5)
        for name in large
    }
    figures |= {
        'cpu_share': large['cpu_share'],
        'node_rss_mb': large['rss_mb'],
        'control_bytes_per_s': large['control_bytes_per_s'],
    }
    return figures


class _Announcer:
    """Renew the announcements of simulated servers."""

    def __init__(self, cluster: local_cluster.LocalCluster) -> None:
        self._cluster = cluster
        self._pool = concurrent.futures.ThreadPoolExecutor(4)
        self.nodes: list[local_cluster.Node] = []
        self._is_running = True

    def __enter__(self):
        self._pool.submit(self._renew)
        return self

    def __exit__(self, *exc_info) -> None:
        self._is_running = False
        self._pool.shutdown()

    def _renew(self) -> None:
        while self._is_running:
            for node in list(self.nodes):
                self.announce(node)
            time.sleep(0.5)

    def announce(self, node: local_cluster.Node) -> None:
        """Announce a simulated server to a node."""
        body = json.dumps({**ANNOUNCEMENT, 'instance': node.name}).encode()
        try:
            local_cluster.send_request(
                node.announce_port, '/announcement', 'PUT', body
            )
        except OSError:
            return


def _grow(cluster, announcer, size: int) -> None:
    nodes = cluster.start_nodes(size - len(cluster.nodes))
    announcer.nodes += nodes
    local_cluster.wait_until(
        lambda: all(node.server_count() >= size for node in nodes), 30
    )
    time.sleep(SETTLE_S)


def _cpu_s(pid: int) -> float:
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat_file:
        # Indexes 11 and 12 after the command name are utime and stime.
        stat_fields = stat_file.read().rpartition(')')[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S


def _control_bytes(nodes: list[local_cluster.Node]) -> int:
    node_counters = [node.status()['counters'] for node in nodes]
    return sum(
        count
        for counters in node_counters
        for name, count in counters.items()
        if name.startswith('control_')
    )


def _measure(cluster: local_cluster.LocalCluster) -> dict[str, float]:
    nodes = cluster.nodes
    size = len(nodes)

    before = _control_bytes(nodes)
    calls = sum(cluster.platform_call_counts().values())
    cpu_s = [_cpu_s(node.process.pid) for node in nodes]
    start = time.monotonic()
    time.sleep(MEASURE_DURATION_S)
    elapsed_s = time.monotonic() - start
    cpu_s = [
        _cpu_s(node.process.pid) - start_cpu_s
        for node, start_cpu_s in zip(nodes, cpu_s, strict=True)
    ]
    calls = sum(cluster.platform_call_counts().values()) - calls
    after = _control_bytes(nodes)
    counters_elapsed_s = time.monotonic() - start
    return {
        'cpu_share': round(max(cpu_s) / elapsed_s, 4),
        'cpu_share_mean': round(sum(cpu_s) / size / elapsed_s, 4),
        'rss_mb': max(hop.resident_mb(node.process.pid) for node in nodes),
        'control_bytes_per_s': round(
            (after - before) / size / counters_elapsed_s, 1
        ),
        'platform_calls_per_s': round(calls / elapsed_s, 2),
    }


def _measure_churn(cluster, announcer) -> dict[str, float]:
    """Let one server leave and join repeatedly; return the mean costs.

    Bytes and calls are per event and node; the CPU share is per node. An
    event is a server that leaves or joins.
    """
    node = announcer.nodes.pop()
    time.sleep(RENEWAL_WAIT_S)
    other_nodes = [peer for peer in cluster.nodes if peer is not node]
    before = _total_costs(cluster, other_nodes)
    for _ in range(CHURN_EVENTS // 2):
        local_cluster.send_request(
            node.announce_port, '/announcement', 'DELETE'
        )
        time.sleep(CHURN_PAUSE_S)
        announcer.announce(node)
        time.sleep(CHURN_PAUSE_S)
    announcer.nodes.append(node)
    after = _total_costs(cluster, other_nodes)
    event_deliveries = CHURN_EVENTS * len(other_nodes)
    churn_duration_s = CHURN_EVENTS * CHURN_PAUSE_S
    return {
        'control_bytes': round((after[0] - before[0]) / event_deliveries, 1),
        'platform_calls': round((after[1] - before[1]) / event_deliveries, 3),
        'cpu_share_busy': round(
            (after[2] - before[2]) / len(other_nodes) / churn_duration_s, 4
        ),
        'events_per_s': round(1 / CHURN_PAUSE_S, 1),
    }


def _total_costs(cluster, nodes) -> tuple[int, int, float]:
    """Return the control bytes, platform calls and CPU seconds so far.

    Bytes and CPU seconds are of the nodes, calls are of the cluster.
    """
    cpu_s = sum(_cpu_s(node.process.pid) for node in nodes)
    calls = sum(cluster.platform_call_counts().values())
    return _control_bytes(nodes), calls, cpu_s


def _time_join(cluster, announcer) -> float:
    node = cluster.start_nodes(1)[0]
    count = len(cluster.nodes)
    announcer.nodes.append(node)
    announcer.announce(node)
    return round(_wait_for_servers(cluster, count), 3)


def _time_leave(cluster, announcer) -> float:
    node = announcer.nodes.pop()
    cluster.nodes.remove(node)
    time.sleep(RENEWAL_WAIT_S)
    count = len(cluster.nodes)
    local_cluster.send_request(node.announce_port, '/announcement', 'DELETE')
    return round(_wait_for_servers(cluster, count), 3)


def _wait_for_servers(cluster, count: int) -> float:
    sample = cluster.nodes[:: max(1, len(cluster.nodes) // SAMPLE_NODES)]
    return local_cluster.wait_until(
        lambda: all(node.server_count() == count for node in sample), 20
    )


def _time_publish(cluster: local_cluster.LocalCluster) -> float:
    start = time.monotonic()
    cluster.publish()
    return round(time.monotonic() - start, 3)
