"""Test idempotency keys, headers between nodes and the forced stop."""

import concurrent.futures
import json
import time
import unittest

from bench import local_cluster

SAVE = b'{"word": "hola"}'


class IdempotencyTest(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(local_cluster.LocalCluster.open())
        self.cluster.start_nodes_with_servers(3, 'lookups,lists')

    def _save(self, node, key='k', body=SAVE, path='/lists/maria'):
        return local_cluster.send_request(
            node.http_port, path, 'POST', body, {'Idempotency-Key': key}
        )

    def _runs(self, key='k') -> int:
        return sum(
            run['key'] == key
            for server in self.cluster.servers
            for run in server.runs()
        )

    def test_repeated_saves(self):
        claimant, peer, other_peer = self.cluster.nodes
        first = self._save(claimant)
        repeated = self._save(peer)
        self.assertEqual(first.body, repeated.body)
        self.assertEqual('1', repeated.headers['jayflow-replayed'])
        mismatch = self._save(other_peer, body=b'other')
        self.assertEqual(
            (422, 'key_mismatch'), (mismatch.status, mismatch.reason)
        )
        claimant.process.kill()
        lost = self._save(peer)
        self.assertEqual(
            ('unknown', 'key_outcome_unknown'), (lost.outcome, lost.reason)
        )
        self.assertEqual(1, self._runs())

    def test_concurrent_saves(self):
        slow_path = '/lists/maria?ms=200'
        with concurrent.futures.ThreadPoolExecutor(9) as pool:
            responses = list(
                pool.map(
                    lambda number: self._save(
                        self.cluster.nodes[number % 3], path=slow_path
                    ),
                    range(9),
                )
            )
        self.assertEqual({200}, {response.status for response in responses})
        self.assertEqual(1, len({response.body for response in responses}))
        self.assertEqual(1, self._runs())

    def test_server_killed_during_the_run(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(
                self._save,
                self.cluster.nodes[0],
                path='/lists/maria?ms=1500',
            )
            local_cluster.wait_until(lambda: self._runs() == 1)
            for server in self.cluster.servers:
                if server.runs():
                    server.process.kill()
            self.assertEqual('unknown', fut.result().outcome)
        repeated = self._save(
            self.cluster.nodes[1], path='/lists/maria?ms=1500'
        )
        self.assertEqual('unknown', repeated.outcome)
        self.assertEqual(1, self._runs())

    def test_save_that_did_not_run_can_run_later(self):
        for server in self.cluster.servers:
            server.process.kill()
        refused = self._save(self.cluster.nodes[0])
        self.assertEqual('not-run', refused.outcome)
        server = self.cluster.servers[0]
        self.cluster.restart_server(server)
        local_cluster.wait_until(
            lambda: server.node.status()['services'] != []
        )
        local_cluster.wait_until(
            lambda: self._save(self.cluster.nodes[1]).status == 200, 5
        )
        self.assertEqual(1, self._runs())


class ForwardedHeadersTest(unittest.TestCase):
    def test_tried_header_stops_retries_and_deadline_is_passed_on(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(2, 'lookups')
            node = cluster.nodes[0]
            tried = local_cluster.send_request(
                node.http_port, '/lookup?status=503&tried=1'
            )
            self.assertEqual(503, tried.status)
            self.assertEqual(1, node.counter('attempt'))
            local_cluster.send_request(node.http_port, '/lookup?status=503')
            self.assertEqual(3, node.counter('attempt'))
            headers = {'jayflow-deadline-ms': '900'}
            response = local_cluster.send_request(
                node.http_port, '/lookup', headers=headers
            )
            remaining_ms = int(response.headers['x-deadline-ms'])
            self.assertTrue(500 < remaining_ms < 900, remaining_ms)


class ForcedStopTest(unittest.TestCase):
    def test_second_signal_stops_the_node_and_logs_cut_requests(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(1)
            node = cluster.nodes[0]
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                path = '/lookup?ms=5000'
                headers = {'jayflow-deadline-ms': '6000'}
                fut = pool.submit(
                    local_cluster.send_request,
                    node.http_port,
                    path,
                    headers=headers,
                )
                local_cluster.wait_until(lambda: node.status()['running'] == 1)
                node.process.signal(local_cluster.signal.SIGTERM)
                time.sleep(0.3)
                self.assertTrue(node.process.is_running)
                node.process.signal(local_cluster.signal.SIGTERM)
                self.assertEqual(0, node.process.wait(3))
                response = fut.result()
                self.assertEqual(
                    ('unknown', 'node_stopping'),
                    (response.outcome, response.reason),
                )
            lines = node.process.log_path.read_text().splitlines()
            forced = [json.loads(line) for line in lines if 'forced' in line]
            self.assertGreaterEqual(forced[0]['cut'], 1)
