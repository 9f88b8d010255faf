"""Run one experiment and print its figures.

With --json the last line of the output is one JSON object."""

import argparse
import importlib
import json
import sys

EXPERIMENTS = {
    'outcomes': 'violated guarantees under injected faults',
    'claims': 'batched claims of idempotency keys on the platform',
    'transfer': 'downloads with slow readers, and concurrent lookups',
    'routing': 'routing latency against baselines, virtual time',
    'hedging': 'tail latency by the limit on hedges, virtual time',
    'overload': 'goodput, retries and noisy neighbours, virtual time',
    'fleet': 'cost of a node as the fleet grows',
    'measuring': 'bytes over a link in a surge, against its budgets',
    'soak': 'planned stops and faults in overlapping series',
    'sizes': 'size of the state per service, member, attempt and key',
    'hop': 'latency that two nodes add to a request',
}


def main() -> int:
    """Run the experiment that the command line names."""
    parser = argparse.ArgumentParser(prog='python -m bench')
    parser.add_argument('name', choices=sorted(EXPERIMENTS))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args()
    print(f'{args.name}: {EXPERIMENTS[args.name]}, seed {args.seed}')
    experiment = importlib.import_module(f'bench.{args.name}')
    figures = experiment.run(args.seed)
    for name, value in figures.items():
        print(f'{name:>28}  {value}')
    if args.json:
        print(json.dumps({'name': args.name, 'seed': args.seed, **figures}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
