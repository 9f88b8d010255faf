"""Measure overload, recovery, a slow neighbour and a throttled server.

Virtual time, the product's own decisions, fake servers. Goodput counts
requests served within the deadline as a share of the capacity.
"""

from collections.abc import Callable
import random
from typing import Any

from bench import fakes
from bench import routing as experiment
from jayflow.request import routing

SERVERS = 9
SENDERS = 9
DEMAND = 2.0
OVERLOAD_S = 1.0
RECOVERY_S = 1.0
OUTAGE_S = 0.5
NEIGHBOUR_S = 1.0
NEIGHBOUR_SLOWDOWN = 20.0
THROTTLED_SHARE = 0.2
RETRY_AFTER_S = 0.5
TARGET_GOODPUT = 0.9
TARGET_TRIES = 1.1
TARGET_NEIGHBOUR = 1.1
SLOW = 'catalogue'


class Scene:
    """Hold fake servers and senders and count how requests end."""

    def __init__(self, seed: str, services: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = fakes.Clock()
        self.servers = [
            fakes.FakeServer(f's{number}', self.clock, services=services)
            for number in range(SERVERS)
        ]
        self.senders = [
            fakes.Sender(
                self.clock,
                self.servers,
                lambda views, tried, now, rng: routing.choose(
                    views, tried, now, rng, False
                ),
                random.Random(f'{seed}{number}'),
            )
            for number in range(SENDERS)
        ]
        self.ends: list[tuple[float, float, bool, str]] = []

    @property
    def capacity(self) -> float:
        """Return the requests per second that all servers can serve."""
        return SERVERS * fakes.SLOTS / fakes.SERVICE_S

    @property
    def tries(self) -> int:
        """Return the attempts of all senders so far."""
        return sum(sender.tries for sender in self.senders)

    def load(
        self,
        begin: float,
        end: float,
        rate: float,
        service: str = fakes.SERVICE,
        slowdown: float = 1.0,
        rank: int = 0,
    ) -> int:
        """Schedule requests and return how many."""
        when, count = begin, 0
        while (when := when + self.rng.expovariate(rate)) < end:
            shape = experiment.WORK_SHAPE
            mean_s = fakes.SERVICE_S * slowdown / shape
            work_s = self.rng.gammavariate(shape, mean_s)
            sender = self.rng.choice(self.senders)
            self.clock.at(
                when, self._sending(sender, work_s, when, service, rank)
            )
            count += 1
        return count

    def served(self, service: str = fakes.SERVICE) -> list[float]:
        """Return the sorted latencies in ms of served requests."""
        return sorted(
            latency_s * 1000
            for _, latency_s, is_served, each in self.ends
            if is_served and each == service
        )

    def _sending(self, sender, work_s, when, service, rank):
        def note(latency_s: float, is_served: bool) -> None:
            self.ends.append((when, latency_s, is_served, service))

        return lambda: sender.send(work_s, note, service, rank)


def _overload(seed: int) -> dict[str, Any]:
    """Demand twice the capacity, then half of it."""
    scene = Scene(f'{seed}overload')
    offered = scene.load(0.0, OVERLOAD_S, DEMAND * scene.capacity)
    tries: list[int] = []
    scene.clock.at(OVERLOAD_S, lambda: tries.append(scene.tries))
    end = OVERLOAD_S + RECOVERY_S
    later = scene.load(OVERLOAD_S, end, 0.5 * scene.capacity)
    scene.clock.run()
    during = [each for each in scene.ends if each[0] < OVERLOAD_S]
    after = [each for each in scene.ends if each[0] >= OVERLOAD_S]
    good = sum(is_served for _, _, is_served, _ in during)
    refused = sorted(each[1] * 1000 for each in during if not each[2])
    return {
        'goodput_share': round(good / OVERLOAD_S / scene.capacity, 3),
        'overload_tries_per_request': round(tries[0] / offered, 3),
        'overload_p99_ms': experiment.percentile(
            sorted(each[1] * 1000 for each in during if each[2]), 0.99
        ),
        'refusal_p99_ms': experiment.percentile(refused, 0.99),
        'recovery_tries_per_request': round(
            (scene.tries - tries[0]) / later, 3
        ),
        'recovery_failed': sum(not each[2] for each in after),
    }


def _outage(seed: int) -> dict[str, Any]:
    """Fail all servers fast for a while at 0.8 of the capacity."""
    scene = Scene(f'{seed}outage')

    def set_failing(is_failing: bool) -> Callable[[], None]:
        def act() -> None:
            for server in scene.servers:
                server.is_failing = is_failing

        return act

    rate = 0.8 * scene.capacity
    first = scene.load(0.0, OUTAGE_S, rate)
    tries: list[int] = []
    scene.clock.at(0.0, set_failing(True))
    scene.clock.at(OUTAGE_S, set_failing(False))
    scene.clock.at(OUTAGE_S, lambda: tries.append(scene.tries))
    second = scene.load(OUTAGE_S, OUTAGE_S + RECOVERY_S, rate)
    scene.clock.run()
    after = [each for each in scene.ends if each[0] >= OUTAGE_S]
    return {
        'outage_tries_per_request': round(tries[0] / first, 3),
        'after_outage_tries_per_request': round(
            (scene.tries - tries[0]) / second, 3
        ),
        'after_outage_failed': sum(not each[2] for each in after),
    }


def _neighbour(seed: int) -> dict[str, Any]:
    """Slow one of two services on the same servers twenty times."""
    p99 = {}
    for name, slowdown in (('calm', 1.0), ('slow', NEIGHBOUR_SLOWDOWN)):
        scene = Scene(f'{seed}neighbour', services=2)
        rate = 0.15 * scene.capacity
        scene.load(0.0, NEIGHBOUR_S, rate, SLOW, slowdown, rank=1)
        scene.load(0.0, NEIGHBOUR_S, rate)
        scene.clock.run()
        p99[name] = experiment.percentile(scene.served(), 0.99)
        lost = sum(
            not is_served
            for _, _, is_served, service in scene.ends
            if service == fakes.SERVICE
        )
        p99[f'{name}_lost'] = lost
    return {
        'neighbour_p99_ms': [p99['calm'], p99['slow']],
        'neighbour_lost': [p99['calm_lost'], p99['slow_lost']],
        'neighbour_p99_ratio': round(p99['slow'] / p99['calm'], 3),
    }


def _throttled(seed: int) -> dict[str, Any]:
    """Throttle one server; honour its Retry-After or not."""
    figures = {}
    for name, wait_s in (('ignored', 0.0), ('honoured', RETRY_AFTER_S)):
        scene = Scene(f'{seed}throttled')
        server = scene.servers[0]
        server.is_failing = True
        server.retry_after_s = wait_s
        rate = 0.7 * scene.capacity * (SERVERS - 1) / SERVERS
        offered = scene.load(0.0, 1.0, rate)
        scene.clock.run()
        figures[f'retry_after_{name}'] = {
            'p99_ms': experiment.percentile(scene.served(), 0.99),
            'tries_per_request': round(scene.tries / offered, 4),
            'failed': sum(not each[2] for each in scene.ends),
        }
    return figures


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run."""
    figures = (
        _overload(seed) | _outage(seed) | _neighbour(seed) | _throttled(seed)
    )
    figures['tries_per_request'] = max(
        value
        for name, value in figures.items()
        if name.endswith('tries_per_request')
    )
    figures['targets'] = [TARGET_GOODPUT, TARGET_TRIES, TARGET_NEIGHBOUR]
    return figures
