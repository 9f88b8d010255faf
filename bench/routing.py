"""Compare routing with simple baselines in virtual time.

Most scenarios slow servers down or make them fail. Each scenario runs
every strategy with the same arrivals, service times and changes. A request
that is not served counts with the deadline as its latency. The strategy
`perfect` sees the true queues and speeds of all servers at no cost and
is the limit to compare with.
"""

from collections.abc import Callable
import itertools
import random
from typing import Any

from bench import simulation
from jayflow.request.decisions import routing

SERVERS = 9
SENDERS = 9
REQUESTS = 9000
WARM_UP_SHARE = 0.1
WORK_GAMMA_SHAPE = 4.0
NOISE_PERIOD_S = 0.005
STRAGGLER_SLOWDOWN = 5.0
STRAGGLERS = 2
NOISE_SLOWDOWN = 3.0
NOISE_SHARE = 0.2
COLD_SLOWDOWN = 4.0
COLD_START_S = 0.3
TARGET_RATIO_TO_BASELINE = 1.0
TARGET_RATIO_TO_PERFECT = 1.3
TARGET_RATIO_STRAGGLERS_TO_RANDOM = 0.5


def _untried(views, tried):
    return [view for view in views if view.member.node not in tried]


def _random(views, tried, now, rng):
    untried = _untried(views, tried)
    return rng.choice(untried) if untried else None


def _round_robin() -> simulation.Selector:
    counter = itertools.count()

    def choose(views, tried, now, rng):
        untried = _untried(views, tried)
        return untried[next(counter) % len(untried)] if untried else None

    return choose


def _least_in_flight(views, tried, now, rng):
    untried = _untried(views, tried)
    if not untried:
        return None
    least = min(view.in_flight for view in untried)
    return rng.choice([view for view in untried if view.in_flight == least])


def _two_choices(views, tried, now, rng):
    untried = _untried(views, tried)
    if len(untried) < 2:
        return untried[0] if untried else None
    return min(rng.sample(untried, 2), key=lambda view: view.in_flight)


def _jayflow(views, tried, now, rng):
    return routing.choose_peer(views, tried, now, rng, False)


def _perfect(servers) -> simulation.Selector:
    by_name = {server.name: server for server in servers}

    def expected_cost(server, now: float) -> float:
        attempts = server.admission.running + server.admission.queued
        excess = max(0, attempts + 1 - server.admission.slots)
        speed = server.slowdown(server, now)
        return speed * (1 + excess / server.admission.slots)

    def choose(views, tried, now, rng):
        untried = [
            view
            for view in _untried(views, tried)
            if not by_name[view.member.node].is_unreachable
            and not by_name[view.member.node].fails_fast
        ]
        if not untried:
            return None
        costs = [
            expected_cost(by_name[view.member.node], now) for view in untried
        ]
        best = min(costs)
        return rng.choice(
            [v for v, cost in zip(untried, costs, strict=True) if cost == best]
        )

    return choose


BASELINES: dict[str, Callable] = {
    'random': lambda servers: _random,
    'round_robin': lambda servers: _round_robin(),
    'least_in_flight': lambda servers: _least_in_flight,
    'two_choices': lambda servers: _two_choices,
}
STRATEGIES = BASELINES | {
    'jayflow': lambda servers: _jayflow,
    'perfect': _perfect,
}


def _calm(servers, rng) -> float:
    return 1.0


def _stragglers(servers, rng) -> float:
    slow = STRAGGLER_SLOWDOWN
    for server in servers[:STRAGGLERS]:
        server.slowdown = lambda server, now: slow
    return (SERVERS - STRAGGLERS + STRAGGLERS / slow) / SERVERS


def _noisy(servers, rng) -> float:
    for server in servers:
        seed = rng.random()

        def noise(server, now, seed=seed):
            period_rng = random.Random(f'{seed}{int(now / NOISE_PERIOD_S)}')
            return NOISE_SLOWDOWN if period_rng.random() < NOISE_SHARE else 1.0

        server.slowdown = noise
    return 1 / (1 + NOISE_SHARE * (NOISE_SLOWDOWN - 1))


def _fail_fast(servers, rng) -> float:
    servers[0].fails_fast = True
    return (SERVERS - 1) / SERVERS


def _unreachable(servers, rng) -> float:
    servers[0].is_unreachable = True
    return (SERVERS - 1) / SERVERS


def _cold(servers, rng) -> float:
    def cold(server, now):
        warm = min(1.0, now / COLD_START_S)
        return COLD_SLOWDOWN - (COLD_SLOWDOWN - 1) * warm

    servers[0].slowdown = cold
    return (SERVERS - 1 + 1 / COLD_SLOWDOWN) / SERVERS


# Each scenario has a function that sets up the servers and returns the share
# of the capacity that is left, and the load as a share of that capacity.
SCENARIOS: dict[str, tuple[Callable, float]] = {
    'calm_0.5': (_calm, 0.5),
    'calm_0.8': (_calm, 0.8),
    'calm_0.95': (_calm, 0.95),
    'stragglers_0.8': (_stragglers, 0.8),
    'noisy_0.8': (_noisy, 0.8),
    'fail_fast_0.8': (_fail_fast, 0.8),
    'gone_0.8': (_unreachable, 0.8),
    'cold_0.8': (_cold, 0.8),
}


def run_strategy(
    scenario: str, strategy: str, seed: int, report_share: float = 1.0
) -> list[float]:
    """Return the sorted latencies in ms of a strategy in a scenario.

    report_share is the share of the responses with a load report.
    """
    apply_scenario, load = SCENARIOS[scenario]
    rng = random.Random(f'{seed}{scenario}')
    clock = simulation.VirtualClock()
    servers = [
        simulation.FakeServer(f's{number}', clock) for number in range(SERVERS)
    ]
    capacity = apply_scenario(servers, rng)
    rate = (
        load
        * capacity
        * SERVERS
        * simulation.SLOTS
        / simulation.MEAN_SERVICE_S
    )
    choose = STRATEGIES[strategy](servers)
    senders = [
        simulation.Sender(
            clock,
            servers,
            choose,
            random.Random(f'{seed}{number}'),
            report_share,
        )
        for number in range(SENDERS)
    ]
    latencies_ms: list[float] = []

    def recorder(number: int) -> Callable[[float, bool], None]:
        def record(latency_s: float, is_served: bool) -> None:
            if number >= REQUESTS * WARM_UP_SHARE:
                counted_s = latency_s if is_served else simulation.DEADLINE_S
                latencies_ms.append(counted_s * 1000)

        return record

    when = 0.0
    for number in range(REQUESTS):
        when += rng.expovariate(rate)
        work_s = rng.gammavariate(
            WORK_GAMMA_SHAPE, simulation.MEAN_SERVICE_S / WORK_GAMMA_SHAPE
        )
        sender = rng.choice(senders)
        clock.call_at(when, _sender_callback(sender, work_s, recorder(number)))
    clock.run()
    return sorted(latencies_ms)


def _sender_callback(sender, work_s, on_done):
    return lambda: sender.send(work_s, on_done)


def percentile(latencies_ms: list[float], share: float) -> float:
    """Return a percentile (as a share of 1) of sorted latencies."""
    return round(
        latencies_ms[
            min(len(latencies_ms) - 1, int(len(latencies_ms) * share))
        ],
        2,
    )


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one run; latencies in ms."""
    figures: dict[str, Any] = {}
    baseline_ratios, perfect_ratios = [], []
    for scenario in SCENARIOS:
        p99 = {}
        for strategy in STRATEGIES:
            latencies_ms = run_strategy(scenario, strategy, seed)
            row = [
                percentile(latencies_ms, share) for share in (0.5, 0.99, 0.999)
            ]
            figures[f'{scenario} {strategy}'] = row
            p99[strategy] = row[1]
        baseline_ratios.append(
            p99['jayflow'] / min(p99[baseline] for baseline in BASELINES)
        )
        perfect_ratios.append(p99['jayflow'] / p99['perfect'])
        figures[f'{scenario} ratios'] = [
            round(baseline_ratios[-1], 3),
            round(perfect_ratios[-1], 3),
        ]
        if scenario.startswith('stragglers'):
            figures['stragglers_to_random'] = round(
                p99['jayflow'] / p99['random'], 3
            )
    figures['worst_ratio_to_best_baseline'] = round(max(baseline_ratios), 3)
    figures['worst_ratio_to_perfect'] = round(max(perfect_ratios), 3)
    figures['targets'] = [
        TARGET_RATIO_TO_BASELINE,
        TARGET_RATIO_TO_PERFECT,
        TARGET_RATIO_STRAGGLERS_TO_RANDOM,
    ]
    return figures
