"""Generate load from threads and record a history of the requests.

The threads act as callers: they send lookups, saves and downloads, and
retry a save with an idempotency key until it is answered or has been sent
MAX_SENDS_PER_SAVE times. bench.history checks the history.
"""

import http.client
import itertools
import random
import threading
import time

from bench import history as histories
from bench import local_cluster
from jayflow.emulator import sample_backend

MAX_SENDS_PER_SAVE = 3
RESEND_DELAY_S = 0.05
SAVE_BODY = b'{"word": "hola"}'
LOOKUP_RESPONSE_BYTES = (0, 100, 1024, 70_000)
PACK_BYTES = 2_000_000
CALL_TIMEOUT_S = 25.0


class LoadGenerator:
    """Send a mix of lookups, saves and downloads until stopped.

    Each thread waits pause_s on average between two requests. With
    keeps_connections it uses an open connection until the node closes it,
    also while the node stops.
    """

    def __init__(
        self,
        cluster: local_cluster.LocalCluster,
        seed: int,
        threads: int = 10,
        pause_s: float = 0.02,
        is_read_only: bool = False,
        keeps_connections: bool = False,
    ) -> None:
        self._keeps_connections = keeps_connections
        self._local = threading.local()
        self.history = histories.History()
        self._cluster = cluster
        self._pause_s = pause_s
        self._is_read_only = is_read_only
        self._counter = itertools.count()
        self._is_stopped = threading.Event()
        self._in_flight: dict[str, float] = {}
        self._threads = [
            threading.Thread(
                target=self._loop, args=(random.Random(seed + number),)
            )
            for number in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop sending, wait for the threads and collect the server runs."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()
        self.history.runs = [
            histories.Run(server.name, run['at'], run['mark'], run['key'])
            for server in self._cluster.servers
            for run in server.runs()
        ]

    def marks_in_flight(self) -> set[str]:
        """Return the marks of the requests in flight."""
        return set(self._in_flight)

    def _loop(self, rng: random.Random) -> None:
        while not self._is_stopped.is_set():
            choice = rng.random()
            if choice < 0.6 or (self._is_read_only and choice < 0.9):
                self._send(
                    rng, 'GET', '/lookup', rng.choice(LOOKUP_RESPONSE_BYTES)
                )
            elif choice < 0.75:
                self._send(rng, 'POST', '/lists', 100)
            elif choice < 0.9:
                self._save(rng)
            else:
                self._send(rng, 'GET', '/packs', PACK_BYTES)
            time.sleep(rng.expovariate(1 / self._pause_s))
        for conn in self._local.__dict__.values():
            conn.close()

    def _save(self, rng: random.Random) -> None:
        """Send a save; retry it with the same key while it is not answered."""
        key = f'key-{next(self._counter)}'
        for _ in range(MAX_SENDS_PER_SAVE):
            request = self._send(rng, 'POST', '/lists', 100, key)
            if request.caller_outcome is histories.CallerOutcome.ANSWERED:
                return
            time.sleep(RESEND_DELAY_S)

    def _send(
        self,
        rng: random.Random,
        method: str,
        path: str,
        size: int,
        key: str = '',
    ) -> histories.Request:
        mark = f'm{next(self._counter)}'
        query = f'{path}/{key or mark}?mark={mark}&bytes={size}'
        if key:
            # A retry must be the same request as the first attempt. The
            # mark differs, so it is sent only in a header.
            query = f'{path}/{key}?bytes={size}'
        headers = {'x-mark': mark}
        if key:
            headers['Idempotency-Key'] = key
        body = SAVE_BODY if method == 'POST' else None
        sent_at = self._in_flight[mark] = time.time()
        try:
            response = self._exchange(rng, query, method, body, headers)
        except (OSError, http.client.HTTPException) as exc:
            response = None
            reason = type(exc).__name__
        del self._in_flight[mark]
        request_fields = (mark, key, method, sent_at, time.time())
        if response is None:
            request = histories.Request(
                *request_fields,
                caller_outcome=histories.CallerOutcome.CUT,
                reason=reason,
            )
        else:
            request = _request_of(
                request_fields, response, f'{path}/{key}' if key else mark
            )
        self.history.requests.append(request)
        return request

    def _exchange(
        self, rng: random.Random, *request
    ) -> local_cluster.Response:
        """Send a request to a random node and return the response."""
        nodes = [
            node
            for node in self._cluster.nodes
            if node.process.is_running and not node.is_stopping
        ]
        if not self._keeps_connections:
            return local_cluster.send_request(
                rng.choice(nodes).http_port, *request, timeout_s=CALL_TIMEOUT_S
            )
        connections = self._local.__dict__
        ports = {node.http_port for node in nodes} | connections.keys()
        port = rng.choice(sorted(ports))
        conn = connections.pop(port, None) or local_cluster.KeptConnection(
            port, CALL_TIMEOUT_S
        )
        try:
            response = conn.send_request(*request)
        except (OSError, http.client.HTTPException):
            conn.close()
            raise
        if response.headers.get('connection') == 'close':
            conn.close()
        else:
            connections[port] = conn
        return response


def _request_of(
    request_fields, response: local_cluster.Response, content: str
) -> histories.Request:
    size = int(response.headers.get('content-length', 0))
    is_intact = response.body == sample_backend.response_body(content, size)
    if response.outcome != 'answered':
        is_intact = True
    return histories.Request(
        *request_fields,
        caller_outcome=histories.CallerOutcome(response.outcome),
        status=response.status,
        reason=response.reason,
        is_intact=is_intact,
    )
