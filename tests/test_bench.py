"""Run every experiment of the bench for a moment.

Two experiments had ended in a time-out for weeks before anyone noticed:
they waited for members without a server, and created pools with missing
arguments. Nothing is asserted about the figures.
"""

import contextlib
import importlib
import unittest
from unittest import mock

import bench.__main__ as bench_main

# Constants that shorten each experiment, by the module that defines them.
SHORTENED = {
    'claims': {'claims': {'ROUND_S': 0.1, 'CLAIM_RATES_PER_S': (50,)}},
    'fleet': {
        'fleet': {
            'FLEET_SIZES': (2, 3),
            'SETTLE_S': 0.1,
            'MEASURE_DURATION_S': 0.2,
            'CHURN_EVENTS': 2,
        }
    },
    'hedging': {'hedging': {'REQUESTS': 90}},
    'hop': {
        'hop': {
            'ROUNDS': 1,
            'SEQUENTIAL_CALLS': 5,
            'RATE_ROUND_S': 0.1,
            'WARM_UP_CALLS': 2,
        }
    },
    'measuring': {
        'measuring': {'PHASE_S': 0.2, 'FRONTIER_SCENARIOS': ('calm_0.95',)},
        'routing': {'REQUESTS': 90},
    },
    'outcomes': {'outcomes': {'FAULTS_DURATION_S': 0.1}},
    'overload': {
        'overload': {
            'OVERLOAD_S': 0.1,
            'RECOVERY_S': 0.1,
            'OUTAGE_S': 0.1,
            'NEIGHBOUR_S': 0.1,
        }
    },
    'routing': {'routing': {'REQUESTS': 90}},
    'sizes': {
        'sizes': {
            'MEMBER_COUNT': 60,
            'ATTEMPT_COUNT': 100,
            'CLAIM_COUNT': 10,
        }
    },
    'soak': {'soak': {'PLANNED_DURATION_S': 0.1, 'FAULTS_DURATION_S': 0.1}},
    'transfer': {
        'transfer': {
            'PACK_BYTES': 2_000_000,
            'ROUND_COUNT': 1,
            'ROUND_DURATION_S': 0.2,
        }
    },
}


class ExperimentTest(unittest.TestCase):
    def test_every_experiment_runs(self):
        self.assertEqual(set(SHORTENED), set(bench_main.EXPERIMENTS))
        for name, constants_by_module in SHORTENED.items():
            with self.subTest(name), contextlib.ExitStack() as patches:
                for module_name, constants in constants_by_module.items():
                    module = importlib.import_module(f'bench.{module_name}')
                    patches.enter_context(
                        mock.patch.multiple(module, **constants)
                    )
                experiment = importlib.import_module(f'bench.{name}')
                self.assertTrue(experiment.run(1))
