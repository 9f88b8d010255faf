"""Check requests under kills, crashes and planned stops of real processes."""

import concurrent.futures
import http.client
import itertools
import signal
import time
import unittest
from unittest import mock

from bench import history as histories
from bench import load_generator
from bench import local_cluster

PAIRS = 4
SLOW_MS = 300
STOP_LIMIT_S = 6
PAUSE_S = 0.4
# Title, time in service in ms, and when the sender is paused after the signal
# in s. Callers have a second to leave.
BUSY_CASES = [
    ('ends after callers have left', 2000, 1.5),
    ('ends just before that', 1200, 0.75),
]
DOWNLOADS = 6
CRASH_STRIKES = 3
# Queries with which a crashing request comes again.
VARIANTS = 10
COUNTED_CRASHES_TEMPLATE = local_cluster.SETTINGS_TEMPLATE.replace(
    '[platform]', f'crash-strikes = {CRASH_STRIKES}\n\n[platform]'
)
CRASH_CASES = [
    ('read', 'GET', 'lookup', 'crash=1'),
    ('save', 'POST', 'lists', 'crash=1'),
    ('read with a delayed crash', 'GET', 'lookup', 'crash=1&ms=5'),
]


class CrashTest(unittest.TestCase):
    def _call(self, cluster, count, method, path, body=None):
        node = cluster.nodes[count % PAIRS]
        try:
            return local_cluster.send_request(
                node.http_port, path, method, body
            )
        except (OSError, http.client.HTTPException) as exc:
            self.fail(f'{path}: {exc!r}')

    def test_a_crashing_request_crashes_two_servers_at_most(self):
        for title, method, service, query in CRASH_CASES:
            with (
                self.subTest(title),
                local_cluster.LocalCluster.open() as cluster,
            ):
                cluster.start_nodes_with_servers(PAIRS, 'lookups,lists')
                reasons = []
                for count in range(6):
                    path = f'/{service}/bad?{query}'
                    response = self._call(cluster, count, method, path)
                    reasons.append(response.reason)
                crashed = [
                    server.name
                    for server in cluster.servers
                    if not server.process.is_running
                ]
                self.assertLessEqual(len(crashed), 2, reasons)
                self.assertEqual('quarantined', reasons[-1], reasons)
                response = self._call(cluster, 0, 'GET', '/lookup/good')
                self.assertEqual(200, response.status)

    def test_three_servers_crash_whatever_queries_a_request_has(self):
        with (
            mock.patch.object(
                local_cluster, 'SETTINGS_TEMPLATE', COUNTED_CRASHES_TEMPLATE
            ),
            local_cluster.LocalCluster.open() as cluster,
        ):
            cluster.start_nodes_with_servers(PAIRS, 'lookups')
            crashes = 0
            for count in range(VARIANTS):
                path = f'/lookup/bad?crash=1&page={count}'
                response = self._call(cluster, count, 'GET', path)
                for server in cluster.servers:
                    if not server.process.is_running:
                        crashes += 1
                        cluster.restart_server(server)
                if count == VARIANTS // 2:
                    node = cluster.nodes[0]
                    node.process.kill()
                    node.process.wait()
                    cluster.restart_node(node)
                cluster.wait_for_servers(PAIRS)
            self.assertEqual(CRASH_STRIKES, crashes)
            self.assertEqual('quarantined', response.reason)
            response = self._call(cluster, 0, 'GET', '/lookup/good?page=1')
            self.assertEqual(200, response.status)

    def test_killed_nodes_still_refuse_a_crashing_request(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(PAIRS, 'lookups,lists')
            path = '/lookup/bad?crash=1'
            for count in range(3):
                response = self._call(cluster, count, 'GET', path)
            self.assertEqual('quarantined', response.reason)
            # Time for the record to be written.
            time.sleep(1.0)
            for node in cluster.nodes:
                node.process.kill()
                node.process.wait()
            for node in cluster.nodes:
                cluster.restart_node(node)
            for server in cluster.servers:
                if not server.process.is_running:
                    cluster.restart_server(server)
            cluster.wait_for_members(PAIRS)
            for count in range(PAIRS):
                response = self._call(cluster, count, 'GET', path)
                self.assertEqual('quarantined', response.reason)
            for server in cluster.servers:
                self.assertTrue(server.process.is_running, server.name)

    def test_other_requests_on_a_crashing_server_are_served(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(PAIRS, 'lookups,lists')
            counter = itertools.count()

            def look_up(word: int):
                path = f'/lookup/innocent{word}?ms={SLOW_MS}'
                return self._call(cluster, next(counter), 'GET', path)

            with concurrent.futures.ThreadPoolExecutor(12) as pool:
                futs = [pool.submit(look_up, word) for word in range(8)]
                time.sleep(0.05)
                for bad in ('x', 'y'):
                    path = f'/lists/{bad}?crash=1'
                    self._call(cluster, next(counter), 'POST', path)
                responses = [fut.result() for fut in futs]
            outcomes = {(result.status, result.reason) for result in responses}
            counters = [node.status()['counters'] for node in cluster.nodes]
            self.assertEqual({(200, '')}, outcomes, counters)
            for word in range(8):
                response = look_up(word)
                self.assertEqual(200, response.status, response.reason)


class PlannedStopTest(unittest.TestCase):
    def test_rolling_restart_fails_no_request(self):
        with local_cluster.LocalCluster.open() as cluster:
            services = 'lookups,lists,packs'
            cluster.start_nodes_with_servers(
                3, services, '--service-time', '20 ms'
            )
            with load_generator.LoadGenerator(
                cluster, 1, threads=6
            ) as callers:
                for server in cluster.servers:
                    self._restart(cluster, server)
                time.sleep(0.5)
            findings = histories.check_all_answered(callers.history)
            for rows in histories.find_violations(callers.history).values():
                findings += rows
        self.assertEqual([], findings)
        self.assertGreater(len(callers.history.requests), 200)

    def _restart(
        self, cluster: local_cluster.LocalCluster, server: local_cluster.Server
    ) -> None:
        server.process.signal(signal.SIGTERM)
        self.assertEqual(0, server.process.wait())
        server.node.is_stopping = True
        server.node.process.signal(signal.SIGTERM)
        self.assertEqual(0, server.node.process.wait())
        cluster.restart_node(server.node)
        cluster.restart_server(server)
        cluster.wait_for_members(len(cluster.servers))

    def test_a_download_completes_while_its_server_and_node_stop(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(1, 'packs')
            conn = http.client.HTTPConnection(
                local_cluster.HOST, cluster.nodes[0].http_port, timeout=20
            )
            self.addCleanup(conn.close)
            host = {'Host': local_cluster.CALLER_HOST}
            conn.request('GET', '/packs?bytes=30000000', headers=host)
            response = conn.getresponse()
            size = len(response.read(1_000_000))
            cluster.servers[0].process.signal(signal.SIGTERM)
            cluster.nodes[0].process.signal(signal.SIGTERM)
            time.sleep(1)
            while data := response.read(1_000_000):
                size += len(data)
            self.assertEqual(30_000_000, size)
            self.assertEqual(0, cluster.servers[0].process.wait())
            self.assertEqual(0, cluster.nodes[0].process.wait())

    def test_a_late_request_was_cut_at_the_end_of_a_planned_stop(self):
        with local_cluster.LocalCluster.open() as cluster:
            for _ in range(2):
                node = cluster.start_node(stop_limit=f'{STOP_LIMIT_S} s')
                cluster.start_server(node, 'packs,lists')
            cluster.publish()
            cluster.wait_for_members(2)
            stopping, other = cluster.nodes
            kept = local_cluster.KeptConnection(stopping.http_port)
            self.addCleanup(kept.close)
            self.assertEqual(200, kept.send_request('/lists/first').status)
            with concurrent.futures.ThreadPoolExecutor(DOWNLOADS) as pool:
                # The node waits for those that run on its own server.
                downloads = [
                    pool.submit(
                        local_cluster.send_request,
                        other.http_port,
                        f'/packs/{number}?ms=5000',
                    )
                    for number in range(DOWNLOADS)
                ]
                time.sleep(0.3)
                stopping.process.signal(signal.SIGTERM)
                time.sleep(3.8)
                late = kept.send_request('/lists/late?ms=1900', 'POST')
                statuses = {fut.result().status for fut in downloads}
            self.assertEqual(0, stopping.process.wait())
            runs = [run for server in cluster.servers for run in server.runs()]
        self.assertEqual({200}, statuses)
        self.assertEqual((503, 'not-run'), (late.status, late.outcome))
        self.assertEqual('close', late.headers['connection'])
        self.assertNotIn('/lists/late', {run['path'] for run in runs})

    def test_a_response_was_lost_as_its_node_stopped_and_the_other_was_busy(
        self,
    ):
        for title, service_ms, paused_after_s in BUSY_CASES:
            with (
                self.subTest(title),
                local_cluster.LocalCluster.open() as cluster,
            ):
                status = self._status_beside_pause(
                    cluster, service_ms, paused_after_s
                )
                self.assertEqual(200, status)
                self.assertEqual(0, cluster.nodes[1].process.wait())

    def _status_beside_pause(self, cluster, service_ms, paused_after_s):
        """Return the status of a request whose sender is paused at its end."""
        busy = cluster.start_node(stop_limit=f'{STOP_LIMIT_S} s')
        stopping = cluster.start_node(stop_limit=f'{STOP_LIMIT_S} s')
        cluster.start_server(stopping, 'packs')
        cluster.publish()
        cluster.wait_for_servers(1)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            response = pool.submit(
                local_cluster.send_request,
                busy.http_port,
                f'/packs/x?ms={service_ms}',
            )
            time.sleep(0.3)
            stopping.process.signal(signal.SIGTERM)
            time.sleep(paused_after_s)
            busy.process.signal(signal.SIGSTOP)
            time.sleep(PAUSE_S)
            busy.process.signal(signal.SIGCONT)
            return response.result().status


class CutTest(unittest.TestCase):
    def test_a_cut_download_resumes_from_another_server(self):
        for title, victim in (('server', 'process'), ('node', 'node')):
            with (
                self.subTest(title),
                local_cluster.LocalCluster.open() as cluster,
            ):
                cluster.start_nodes_with_servers(2, 'packs')
                entry = cluster.start_node()
                cluster.wait_for_members(2)
                cluster.publish()
                self._download_and_kill(cluster, entry, victim)

    def _download_and_kill(self, cluster, entry, victim: str) -> None:
        conn = http.client.HTTPConnection(
            local_cluster.HOST, entry.http_port, timeout=20
        )
        self.addCleanup(conn.close)
        host = {'Host': local_cluster.CALLER_HOST}
        conn.request('GET', '/packs?bytes=40000000', headers=host)
        response = conn.getresponse()
        size = len(response.read(1_000_000))
        busy = next(s for s in cluster.servers if s.node.status()['running'])
        process = busy.process if victim == 'process' else busy.node.process
        process.kill()
        while data := response.read(1_000_000):
            size += len(data)
        self.assertEqual(40_000_000, size)
        self.assertEqual(1, entry.counter('answer_resumed'))
