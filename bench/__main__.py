"""Run one experiment; with --json its last line is one JSON object."""

import argparse
import importlib
import json
import sys

EXPERIMENTS = {
    'outcomes': 'broken promises under a table of faults',
    'claims': 'grouped claims of idempotency keys against the platform',
    'transfer': 'downloads with slow readers, and lookups beside them',
    'routing': 'latency of routing against baselines, virtual time',
    'overload': 'goodput, tries and neighbours, virtual time',
    'fleet': 'cost of a node as the fleet grows',
    'measuring': 'bytes over a link in a rush, against its budgets',
    'sizes': 'bytes of state per service, member, attempt and key',
    'hop': 'latency that two nodes add to a call',
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
