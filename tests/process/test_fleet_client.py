"""Check publishing, status and platform outages with real processes."""

import json
import subprocess
import sys
import threading
import unittest

from bench import local_cluster

INVALID_OBJECTS = local_cluster.OBJECTS_INI.replace(
    'policy = quick', 'policy = quack'
)


class FleetClientTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(local_cluster.LocalCluster.open())
        cls.cluster.start_nodes_with_servers(2)

    def setUp(self):
        self.path = self.cluster.folder / 'objects.ini'
        self.path.write_text(local_cluster.OBJECTS_INI, encoding='utf-8')

    def _run(self, name: str, *args: str) -> subprocess.CompletedProcess:
        address = f'{local_cluster.HOST}:{self.cluster.platform_port}'
        return subprocess.run(
            [sys.executable, '-m', 'jayflow', name]
            + (['--platform', address] if name != 'check' else [])
            + list(args),
            capture_output=True,
            text=True,
            timeout=60,
        )

    def _version(self) -> int:
        return json.loads(self._run('status', '--json').stdout)['version']

    def test_faulty_objects_are_not_published(self):
        before = self._version()
        self.path.write_text(INVALID_OBJECTS, encoding='utf-8')
        for command in ('check', 'publish'):
            done = self._run(command, str(self.path))
            self.assertEqual(2, done.returncode)
            self.assertEqual(3, done.stderr.count("no such object 'quack'"))
        self.assertEqual(before, self._version())

    def test_one_of_two_concurrent_publishers_gets_the_conflict(self):
        before = self._version()
        done = []
        args = ('--based-on', str(before), '--note', 'race', str(self.path))
        publishers = [
            threading.Thread(
                target=lambda: done.append(self._run('publish', *args))
            )
            for _ in range(2)
        ]
        for publisher in publishers:
            publisher.start()
        for publisher in publishers:
            publisher.join()
        codes = sorted(result.returncode for result in done)
        self.assertEqual([0, 3], codes, [result.stderr for result in done])
        loser = max(done, key=lambda result: result.returncode)
        self.assertIn(f'version {before + 1} was published by', loser.stderr)
        self.assertEqual(before + 1, self._version())

    def test_publishes_once_if_a_response_is_lost(self):
        before = self._version()
        self.cluster.set_fault('lost-answer')
        done = self._run('publish', str(self.path))
        self.cluster.set_fault('none')
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual(before + 1, self._version())

    def test_diff_compares_with_the_version_in_force(self):
        self._run('publish', str(self.path))
        done = self._run('diff', str(self.path))
        self.assertEqual(
            (0, 'No difference.\n'), (done.returncode, done.stdout)
        )
        self.path.write_text(
            local_cluster.OBJECTS_INI.replace('tries = 3', 'tries = 2')
            + '[policy unused]\n',
            encoding='utf-8',
        )
        done = self._run('diff', '--json', str(self.path))
        self.assertEqual(1, done.returncode, done.stderr)
        changes = json.loads(done.stdout)['changes']
        self.assertIn(
            ('policy', 'unused', 'added'),
            [(row['kind'], row['name'], row['change']) for row in changes],
        )

    def test_status_waits_for_a_version(self):
        done = self._run('publish', '--json', str(self.path))
        version = str(json.loads(done.stdout)['version'])
        done = self._run('status', '--wait', version)
        self.assertEqual(0, done.returncode)
        self.assertIn(f'version {version} in force, 0 draining', done.stdout)
        late = str(int(version) + 1)
        args = ('--wait', late, '--timeout', '300 ms')
        self.assertEqual(4, self._run('status', *args).returncode)


class OutageTest(unittest.TestCase):
    def test_only_keyed_requests_and_new_nodes_need_the_platform(self):
        with local_cluster.LocalCluster.open() as cluster:
            cluster.start_nodes_with_servers(2, 'lookups,lists')
            version = cluster.nodes[0].status()['version']
            cluster.set_fault('down')
            for node in cluster.nodes:
                self.assertEqual(
                    200,
                    local_cluster.send_request(
                        node.http_port, '/lookup'
                    ).status,
                )
            keyed = local_cluster.send_request(
                cluster.nodes[0].http_port,
                '/lists',
                'POST',
                b'',
                {'Idempotency-Key': 'k', 'jayflow-deadline-ms': '700'},
            )
            self.assertEqual(
                ('not-run', 'key_unclaimed'), (keyed.outcome, keyed.reason)
            )
            unkeyed = local_cluster.send_request(
                cluster.nodes[0].http_port, '/lists', 'POST'
            )
            self.assertEqual(200, unkeyed.status)
            new_node = cluster.start_node()
            response = local_cluster.send_request(
                new_node.http_port, '/lookup'
            )
            self.assertEqual('no_configuration', response.reason)
            cluster.set_fault('none')
            local_cluster.wait_until(
                lambda: new_node.status()['version'] == version
            )
            cluster.wait_for_members(2)
            self.assertEqual(
                200,
                local_cluster.send_request(
                    new_node.http_port, '/lookup'
                ).status,
            )
