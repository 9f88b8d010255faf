"""Play callers on threads: they send, re-send saves and keep a history."""

import http.client
import itertools
import random
import threading
import time

from bench import history as histories
from bench import stack as stacks
from jayflow.emulator import backend

RESENDS = 3
RESEND_PAUSE_S = 0.05
SAVE_BODY = b'{"word": "hola"}'
SIZES = (0, 100, 1024, 70_000)
PACK_BYTES = 2_000_000
CALL_TIMEOUT_S = 25.0


class Callers:
    """Send a mix of lookups, saves and downloads until stopped."""

    def __init__(
        self,
        stack: stacks.Stack,
        seed: int,
        threads: int = 10,
        pause_s: float = 0.02,
        is_only_reads: bool = False,
    ) -> None:
        self.history = histories.History()
        self._stack = stack
        self._pause_s = pause_s
        self._is_only_reads = is_only_reads
        self._counter = itertools.count()
        self._is_stopped = threading.Event()
        self._open: dict[str, float] = {}
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
        """Stop sending, wait for the ends and collect the runs."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()
        self.history.runs = [
            histories.Run(server.name, run['at'], run['mark'], run['key'])
            for server in self._stack.servers
            for run in server.runs()
        ]

    def in_flight(self) -> set[str]:
        """Return the marks of the sends that have not ended."""
        return set(self._open)

    def _loop(self, rng: random.Random) -> None:
        while not self._is_stopped.is_set():
            choice = rng.random()
            if choice < 0.6 or (self._is_only_reads and choice < 0.9):
                self._send(rng, 'GET', '/lookup', rng.choice(SIZES))
            elif choice < 0.75:
                self._send(rng, 'POST', '/lists', 100)
            elif choice < 0.9:
                self._save(rng)
            else:
                self._send(rng, 'GET', '/packs', PACK_BYTES)
            time.sleep(rng.expovariate(1 / self._pause_s))

    def _save(self, rng: random.Random) -> None:
        """Send a save, and again while its end is not known."""
        key = f'key-{next(self._counter)}'
        for _ in range(RESENDS):
            send = self._send(rng, 'POST', '/lists', 100, key)
            if send.told is histories.Told.ANSWERED:
                return
            time.sleep(RESEND_PAUSE_S)

    def _send(
        self,
        rng: random.Random,
        method: str,
        path: str,
        size: int,
        key: str = '',
    ) -> histories.Send:
        mark = f'm{next(self._counter)}'
        query = f'{path}/{key or mark}?mark={mark}&bytes={size}'
        if key:
            # A re-send is the same request: the mark goes by a header.
            query = f'{path}/{key}?bytes={size}'
        headers = {'x-mark': mark}
        if key:
            headers['Idempotency-Key'] = key
        nodes = [
            node
            for node in self._stack.nodes
            if node.process.is_running and not node.is_leaving
        ]
        body = SAVE_BODY if method == 'POST' else None
        begun = self._open[mark] = time.time()
        try:
            answer = stacks.call(
                rng.choice(nodes).http,
                query,
                method,
                body,
                headers,
                timeout_s=CALL_TIMEOUT_S,
            )
        except (OSError, http.client.HTTPException) as exc:
            answer = None
            reason = type(exc).__name__
        del self._open[mark]
        common = (mark, key, method, begun, time.time())
        if answer is None:
            send = histories.Send(
                *common, told=histories.Told.CUT, reason=reason
            )
        else:
            send = _told(common, answer, f'{path}/{key}' if key else mark)
        self.history.sends.append(send)
        return send


def _told(common, answer: stacks.Answer, content: str) -> histories.Send:
    size = int(answer.headers.get('content-length', 0))
    is_whole = answer.body == backend.content(content, size)
    if answer.outcome != 'answered':
        is_whole = True
    return histories.Send(
        *common,
        told=histories.Told(answer.outcome),
        status=answer.status,
        reason=answer.reason,
        is_whole=is_whole,
    )
