"""Measure tail latency and extra work by the limit on hedges, virtual time.

Every limit runs with the same arrivals, work and changes of servers, and
with the routing, hedging, admission and budget code of the product.
Latencies are in ms; a request that is not served counts with the deadline.
Extra work is the slot time of attempts other than the one whose response
the caller got, in 100 of the slot time of those.
"""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from bench import hedging_senders as senders_module
from bench import hedging_servers as servers_module
from bench import routing as routing_bench
from bench import simulation

SERVERS = 9
SENDERS = 9
REQUESTS = 20_000
WARM_UP_SHARE = 0.1
WORK_GAMMA_SHAPE = 4.0
SLOW_PERIOD_S = 0.5
MEAN_SLOW_INTERVAL_S = 4.0
REPORT_INTERVAL_S = 1.0
OUTAGE_BEGIN_S = 5.0
OUTAGE_S = 5.0
OUTAGE_SERVERS = 3
# Shares of hedges in requests; None is a node without hedge-share.
LIMITS = (0.0, 0.02, 0.05, 0.1, None)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Describe the load as a share of the capacity, and what goes wrong."""

    load: float
    tail_by_attempt: bool = False
    tail_by_request: bool = False
    slow_periods: bool = False
    false_load: bool = False
    outage: bool = False


SCENARIOS = {
    'calm': Scenario(0.5),
    'tail_by_attempt': Scenario(0.5, tail_by_attempt=True),
    'tail_by_request': Scenario(0.5, tail_by_request=True),
    'slow_half_seconds': Scenario(0.5, slow_periods=True),
    'slow_busy': Scenario(0.7, slow_periods=True),
    'full': Scenario(1.1, tail_by_attempt=True),
    'false_load': Scenario(0.5, tail_by_attempt=True, false_load=True),
    'outage': Scenario(0.5, tail_by_attempt=True, outage=True),
}


@dataclasses.dataclass
class Totals:
    """Sum up the requests, hedges and slot time of one run."""

    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    requests: int = 0
    hedges: int = 0
    useful_s: float = 0.0
    extra_s: float = 0.0


class Simulation:
    """Simulate all senders and servers of one scenario under one limit."""

    def __init__(self, title: str, limit: float | None, seed: int) -> None:
        self.scenario = SCENARIOS[title]
        self.limit = limit
        self.seed = f'{seed}{title}'
        self.clock = simulation.VirtualClock()
        self.totals = Totals()
        self.attempts = 0
        self.servers = [
            servers_module.Server(f's{number}', self.clock)
            for number in range(SERVERS)
        ]
        self.senders = [
            senders_module.Sender(self, number) for number in range(SENDERS)
        ]

    def run(self) -> Totals:
        """Run all requests and return the totals."""
        rng = random.Random(self.seed)
        capacity = SERVERS * simulation.SLOTS / self._mean_work_s()
        rate = self.scenario.load * capacity
        self._disturb(rng, REQUESTS / rate)
        when = 0.0
        for number in range(REQUESTS):
            when += rng.expovariate(rate)
            work_s = rng.gammavariate(
                WORK_GAMMA_SHAPE, senders_module.MEAN_WORK_S / WORK_GAMMA_SHAPE
            )
            sender = rng.choice(self.senders)
            self.clock.call_at(
                when, self._send_callback(sender, work_s, number)
            )
        self.clock.run()
        self.totals.latencies_ms.sort()
        return self.totals

    def record_latency(self, number: int, latency_s: float) -> None:
        """Record the latency of a request, unless it warms the views up."""
        if number >= REQUESTS * WARM_UP_SHARE:
            self.totals.latencies_ms.append(latency_s * 1000)

    def _send_callback(self, sender, work_s, number) -> Callable[[], None]:
        return lambda: sender.send(work_s, number)

    def _mean_work_s(self) -> float:
        scenario = self.scenario
        if scenario.tail_by_attempt or scenario.tail_by_request:
            return senders_module.MEAN_WORK_S * (
                1
                + senders_module.TAIL_SHARE * (senders_module.TAIL_FACTOR - 1)
            )
        return senders_module.MEAN_WORK_S

    def _disturb(self, rng: random.Random, duration_s: float) -> None:
        for server in self.servers:
            when = 0.0
            while self.scenario.slow_periods and when < duration_s:
                begin = when + rng.expovariate(1 / MEAN_SLOW_INTERVAL_S)
                when = begin + SLOW_PERIOD_S
                server.slow_periods.append(
                    servers_module.SlowPeriod(
                        begin, when, senders_module.TAIL_FACTOR
                    )
                )
                self.clock.call_at(begin, self._report_callback(server))
                self.clock.call_at(when, self._report_callback(server))
            when = rng.random() * REPORT_INTERVAL_S
            while when < duration_s:
                self.clock.call_at(when, self._report_callback(server))
                when += REPORT_INTERVAL_S
        if self.scenario.false_load:
            self.servers[0].reports_false_load = True
            self.servers[0].slow_periods = [
                servers_module.SlowPeriod(
                    0.0, 2 * duration_s + 60, senders_module.TAIL_FACTOR
                )
            ]
        if self.scenario.outage:
            for server in self.servers[:OUTAGE_SERVERS]:
                server.unreachable_from = OUTAGE_BEGIN_S
                server.unreachable_until = OUTAGE_BEGIN_S + OUTAGE_S

    def _report_callback(self, server) -> Callable[[], None]:
        """Return a function that sends a server's load to all senders."""

        def arrive(load) -> None:
            for sender in self.senders:
                view = sender.views[server.name]
                view.record_load(load, self.clock.now)

        def report() -> None:
            load = server.load()
            if not server.is_unreachable():
                self.clock.call_later(
                    simulation.HOP_LATENCY_S, lambda: arrive(load)
                )

        return report


def run(seed: int) -> dict[str, Any]:
    """Return one row for each scenario and limit."""
    figures: dict[str, Any] = {
        'scenario limit in 100': (
            'p50, p99, p99.9 (ms), extra work in 100, hedges in 100'
        )
    }
    for title in SCENARIOS:
        for limit in LIMITS:
            totals = Simulation(title, limit, seed).run()
            shown = 'unset' if limit is None else f'{limit * 100:g}'
            row = [
                routing_bench.percentile(totals.latencies_ms, share)
                for share in (0.5, 0.99, 0.999)
            ]
            row.append(
                round(100 * totals.extra_s / max(1e-9, totals.useful_s), 2)
            )
            row.append(round(100 * totals.hedges / totals.requests, 2))
            figures[f'{title} {shown}'] = row
    return figures
