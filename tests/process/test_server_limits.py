"""Test what a server with a rate limit gets from real nodes.

All nodes send to it; the node beside it is stopped or killed meanwhile and
forgets what its last process was told.
"""

import http.client
import itertools
import signal
import threading
import time
import unittest

from bench import local_cluster
from tests.request import test_rate_limit

NODES = 3
LIMIT_PER_S = 5.0
CALLERS_PER_NODE = 2
PAUSE_S = 0.03
BEFORE_STOP_S = 5.0
AFTER_RESTART_S = 3.0
CASES = [('stopped', signal.SIGTERM), ('killed', signal.SIGKILL)]


class ServerLimitTest(unittest.TestCase):
    def test_a_server_got_more_requests_than_its_limit_beside_a_restart(self):
        for title, stop_signal in CASES:
            with (
                self.subTest(title),
                local_cluster.LocalCluster.open() as cluster,
            ):
                runs = self._run_cluster(cluster, stop_signal)
                since = runs[0] + test_rate_limit.STABLE_WINDOW_S
                most = test_rate_limit.most_in_window(
                    [at for at in runs if at >= since]
                )
                self.assertLessEqual(
                    most,
                    test_rate_limit.MAX_RATIO
                    * LIMIT_PER_S
                    * test_rate_limit.WINDOW_S
                    + test_rate_limit.MAX_EXTRA,
                )
                self.assertGreater(len(runs), LIMIT_PER_S * BEFORE_STOP_S)

    def _run_cluster(self, cluster, stop_signal):
        """Return the times at which the server got requests."""
        nodes = cluster.start_nodes(NODES, stop_limit='6 s')
        server = cluster.start_server(
            nodes[0], 'lookups', '--rate-limit', str(LIMIT_PER_S)
        )
        cluster.publish()
        cluster.wait_for_servers(1)
        is_done = threading.Event()
        callers = [
            threading.Thread(target=self._call, args=(node, is_done))
            for node in nodes
            for _ in range(CALLERS_PER_NODE)
        ]
        for caller in callers:
            caller.start()
        time.sleep(BEFORE_STOP_S)
        nodes[0].process.signal(stop_signal)
        nodes[0].process.wait()
        cluster.restart_node(nodes[0])
        time.sleep(AFTER_RESTART_S)
        is_done.set()
        for caller in callers:
            caller.join()
        return sorted(run['at'] for run in server.runs())

    def _call(self, node, is_done):
        for number in itertools.count():
            if is_done.wait(PAUSE_S):
                return
            try:
                local_cluster.send_request(
                    node.http_port, f'/lookup/{number}?ms=20'
                )
            except (OSError, http.client.HTTPException):
                # The node is down.
                continue
