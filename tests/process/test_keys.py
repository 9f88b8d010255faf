"""Check saves that are sent again, and marks between layers of nodes."""

import concurrent.futures
import json
import time
import unittest

from bench import stack as stacks

SAVE = b'{"word": "hola"}'


class KeysTest(unittest.TestCase):
    def setUp(self):
        self.stack = self.enterContext(stacks.Stack.open())
        self.stack.start_pairs(3, 'lookups,lists')

    def _save(self, node, key='k', body=SAVE, path='/lists/maria'):
        return stacks.call(
            node.http, path, 'POST', body, {'Idempotency-Key': key}
        )

    def _runs(self, key='k') -> int:
        return sum(
            run['key'] == key
            for server in self.stack.servers
            for run in server.runs()
        )

    def test_resends(self):
        one, two, three = self.stack.nodes
        first = self._save(one)
        again = self._save(two)
        self.assertEqual(first.body, again.body)
        self.assertEqual('1', again.headers['jayflow-replayed'])
        other = self._save(three, body=b'other')
        self.assertEqual((422, 'key_mismatch'), (other.status, other.reason))
        one.process.kill()
        lost = self._save(two)
        self.assertEqual(
            ('unknown', 'key_outcome_unknown'), (lost.outcome, lost.reason)
        )
        self.assertEqual(1, self._runs())

    def test_many_at_the_same_moment(self):
        slow = '/lists/maria?ms=200'
        with concurrent.futures.ThreadPoolExecutor(9) as pool:
            answers = list(
                pool.map(
                    lambda n: self._save(self.stack.nodes[n % 3], path=slow),
                    range(9),
                )
            )
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(1, len({answer.body for answer in answers}))
        self.assertEqual(1, self._runs())

    def test_the_server_dies_in_the_run(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(
                self._save,
                self.stack.nodes[0],
                path='/lists/maria?ms=1500',
            )
            stacks.wait_until(lambda: self._runs() == 1)
            for server in self.stack.servers:
                if server.runs():
                    server.process.kill()
            self.assertEqual('unknown', fut.result().outcome)
        again = self._save(self.stack.nodes[1], path='/lists/maria?ms=1500')
        self.assertEqual('unknown', again.outcome)
        self.assertEqual(1, self._runs())

    def test_a_save_that_did_not_run_may_run_later(self):
        for server in self.stack.servers:
            server.process.kill()
        refused = self._save(self.stack.nodes[0])
        self.assertEqual('not-run', refused.outcome)
        server = self.stack.servers[0]
        self.stack.restart_server(server)
        stacks.wait_until(lambda: server.node.status()['services'] != [])
        stacks.wait_until(
            lambda: self._save(self.stack.nodes[1]).status == 200, 5
        )
        self.assertEqual(1, self._runs())


class LayersTest(unittest.TestCase):
    def test_tries_do_not_multiply_and_deadlines_go_on(self):
        with stacks.Stack.open() as stack:
            stack.start_pairs(2, 'lookups')
            node = stack.nodes[0]
            tried = stacks.call(node.http, '/lookup?status=503&tried=1')
            self.assertEqual(503, tried.status)
            self.assertEqual(1, node.counter('attempt'))
            stacks.call(node.http, '/lookup?status=503')
            self.assertEqual(3, node.counter('attempt'))
            headers = {'jayflow-deadline-ms': '900'}
            answer = stacks.call(node.http, '/lookup', headers=headers)
            left_ms = int(answer.headers['x-deadline-ms'])
            self.assertTrue(500 < left_ms < 900, left_ms)


class ForcedStopTest(unittest.TestCase):
    def test_a_second_signal_ends_it_and_says_what_was_cut(self):
        with stacks.Stack.open() as stack:
            stack.start_pairs(1)
            node = stack.nodes[0]
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                path = '/lookup?ms=5000'
                headers = {'jayflow-deadline-ms': '6000'}
                fut = pool.submit(
                    stacks.call, node.http, path, headers=headers
                )
                stacks.wait_until(lambda: node.status()['running'] == 1)
                node.process.signal(stacks.signal.SIGTERM)
                time.sleep(0.3)
                self.assertTrue(node.process.is_running)
                node.process.signal(stacks.signal.SIGTERM)
                self.assertEqual(0, node.process.wait(3))
                told = fut.result()
                self.assertEqual(
                    ('unknown', 'node_stopping'), (told.outcome, told.reason)
                )
            rows = node.process.log.read_text().splitlines()
            found = [json.loads(row) for row in rows if 'forced' in row]
            self.assertGreaterEqual(found[0]['cut'], 1)
