"""Measure overload, recovery, a slow neighbour and a throttled server.

The experiment simulates servers in virtual time and runs the routing,
retry and admission code of the product. Goodput is the rate of requests
served within the deadline as a share of the capacity.
"""

from collections.abc import Callable
import random
from typing import Any

from bench import routing as routing_bench
from bench import simulation as simulations
from jayflow.request.decisions import routing

SERVERS = 9
SENDERS = 9
DEMAND_TO_CAPACITY = 2.0
OVERLOAD_S = 1.0
RECOVERY_S = 1.0
OUTAGE_S = 0.5
NEIGHBOUR_S = 1.0
NEIGHBOUR_SLOWDOWN = 20.0
THROTTLED_SHARE = 0.2
RETRY_AFTER_S = 0.5
TARGET_GOODPUT_SHARE = 0.9
TARGET_TRIES_PER_REQUEST = 1.1
TARGET_NEIGHBOUR_P99_RATIO = 1.1
SLOW_SERVICE = 'catalogue'


class Simulation:
    """Simulate servers and senders and record how each request ended.

    Each result is the send time, the latency in seconds, whether the
    request was served, and its service.
    """

    def __init__(self, seed: str, services: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = simulations.VirtualClock()
        self.servers = [
            simulations.FakeServer(f's{number}', self.clock, services=services)
            for number in range(SERVERS)
        ]
        self.senders = [
            simulations.Sender(
                self.clock,
                self.servers,
                lambda views, tried, now, rng: routing.choose_peer(
                    views, tried, now, rng, False
                ),
                random.Random(f'{seed}{number}'),
            )
            for number in range(SENDERS)
        ]
        self.results: list[tuple[float, float, bool, str]] = []

    @property
    def capacity(self) -> float:
        """Return the requests per second that all servers can serve."""
        return SERVERS * simulations.SLOTS / simulations.MEAN_SERVICE_S

    @property
    def tries(self) -> int:
        """Return the attempts of all senders so far."""
        return sum(sender.tries for sender in self.senders)

    def schedule_load(
        self,
        begin: float,
        end: float,
        rate: float,
        service: str = simulations.SERVICE,
        slowdown: float = 1.0,
        rank: int = 0,
    ) -> int:
        """Schedule requests at a mean rate and return their number.

        The slowdown is the factor on the mean service time.
        """
        when, count = begin, 0
        while (when := when + self.rng.expovariate(rate)) < end:
            shape = routing_bench.WORK_GAMMA_SHAPE
            mean_s = simulations.MEAN_SERVICE_S * slowdown / shape
            work_s = self.rng.gammavariate(shape, mean_s)
            sender = self.rng.choice(self.senders)
            self.clock.call_at(
                when,
                self._sender_callback(sender, work_s, when, service, rank),
            )
            count += 1
        return count

    def served_latencies_ms(
        self, service: str = simulations.SERVICE
    ) -> list[float]:
        """Return the sorted latencies in ms of the served requests."""
        return sorted(
            latency_s * 1000
            for _, latency_s, is_served, result_service in self.results
            if is_served and result_service == service
        )

    def _sender_callback(self, sender, work_s, when, service, rank):
        def record(latency_s: float, is_served: bool) -> None:
            self.results.append((when, latency_s, is_served, service))

        return lambda: sender.send(work_s, record, service, rank)


def _overload(seed: int) -> dict[str, Any]:
    """Send twice the capacity, then half of it."""
    simulation = Simulation(f'{seed}overload')
    overload_offered = simulation.schedule_load(
        0.0, OVERLOAD_S, DEMAND_TO_CAPACITY * simulation.capacity
    )
    tries: list[int] = []
    simulation.clock.call_at(
        OVERLOAD_S, lambda: tries.append(simulation.tries)
    )
    end = OVERLOAD_S + RECOVERY_S
    recovery_offered = simulation.schedule_load(
        OVERLOAD_S, end, 0.5 * simulation.capacity
    )
    simulation.clock.run()
    during = [
        result for result in simulation.results if result[0] < OVERLOAD_S
    ]
    after = [
        result for result in simulation.results if result[0] >= OVERLOAD_S
    ]
    served_count = sum(is_served for _, _, is_served, _ in during)
    refused_ms = sorted(result[1] * 1000 for result in during if not result[2])
    return {
        'goodput_share': round(
            served_count / OVERLOAD_S / simulation.capacity, 3
        ),
        'overload_tries_per_request': round(tries[0] / overload_offered, 3),
        'overload_p99_ms': routing_bench.percentile(
            sorted(result[1] * 1000 for result in during if result[2]), 0.99
        ),
        'refusal_p99_ms': routing_bench.percentile(refused_ms, 0.99),
        'recovery_tries_per_request': round(
            (simulation.tries - tries[0]) / recovery_offered, 3
        ),
        'recovery_failed': sum(not result[2] for result in after),
    }


def _outage(seed: int) -> dict[str, Any]:
    """Let all servers fail fast for a while at 0.8 of the capacity."""
    simulation = Simulation(f'{seed}outage')

    def set_failing(fails_fast: bool) -> Callable[[], None]:
        def callback() -> None:
            for server in simulation.servers:
                server.fails_fast = fails_fast

        return callback

    rate = 0.8 * simulation.capacity
    outage_offered = simulation.schedule_load(0.0, OUTAGE_S, rate)
    tries: list[int] = []
    simulation.clock.call_at(0.0, set_failing(True))
    simulation.clock.call_at(OUTAGE_S, set_failing(False))
    simulation.clock.call_at(OUTAGE_S, lambda: tries.append(simulation.tries))
    recovery_offered = simulation.schedule_load(
        OUTAGE_S, OUTAGE_S + RECOVERY_S, rate
    )
    simulation.clock.run()
    after = [result for result in simulation.results if result[0] >= OUTAGE_S]
    return {
        'outage_tries_per_request': round(tries[0] / outage_offered, 3),
        'after_outage_tries_per_request': round(
            (simulation.tries - tries[0]) / recovery_offered, 3
        ),
        'after_outage_failed': sum(not result[2] for result in after),
    }


def _neighbour(seed: int) -> dict[str, Any]:
    """Slow one of two services on the same servers by a factor of 20."""
    measured = {}
    for name, slowdown in (('calm', 1.0), ('slow', NEIGHBOUR_SLOWDOWN)):
        simulation = Simulation(f'{seed}neighbour', services=2)
        rate = 0.15 * simulation.capacity
        simulation.schedule_load(
            0.0, NEIGHBOUR_S, rate, SLOW_SERVICE, slowdown, rank=1
        )
        simulation.schedule_load(0.0, NEIGHBOUR_S, rate)
        simulation.clock.run()
        measured[name] = routing_bench.percentile(
            simulation.served_latencies_ms(), 0.99
        )
        lost = sum(
            not is_served
            for _, _, is_served, service in simulation.results
            if service == simulations.SERVICE
        )
        measured[f'{name}_lost'] = lost
    return {
        'neighbour_p99_ms': [measured['calm'], measured['slow']],
        'neighbour_lost': [measured['calm_lost'], measured['slow_lost']],
        'neighbour_p99_ratio': round(measured['slow'] / measured['calm'], 3),
    }


def _throttled(seed: int) -> dict[str, Any]:
    """Throttle one server, and ignore or honour its Retry-After."""
    figures = {}
    for name, wait_s in (('ignored', 0.0), ('honoured', RETRY_AFTER_S)):
        simulation = Simulation(f'{seed}throttled')
        server = simulation.servers[0]
        server.fails_fast = True
        server.retry_after_s = wait_s
        rate = 0.7 * simulation.capacity * (SERVERS - 1) / SERVERS
        offered = simulation.schedule_load(0.0, 1.0, rate)
        simulation.clock.run()
        figures[f'retry_after_{name}'] = {
            'p99_ms': routing_bench.percentile(
                simulation.served_latencies_ms(), 0.99
            ),
            'tries_per_request': round(simulation.tries / offered, 4),
            'failed': sum(not result[2] for result in simulation.results),
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
    figures['targets'] = [
        TARGET_GOODPUT_SHARE,
        TARGET_TRIES_PER_REQUEST,
        TARGET_NEIGHBOUR_P99_RATIO,
    ]
    return figures
