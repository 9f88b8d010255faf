"""Check import rules and the completeness of OPERATIONS.md.

Layers are ordered by the lifetime of their values, the longest first.
"""

import ast
import pathlib
import subprocess
import sys
import unittest

from jayflow import metrics as metrics_module
from jayflow.process import settings
from jayflow.request.decisions import hedge_budget
from jayflow.request.decisions import retry
from jayflow.request import outcome
from jayflow.version import objects

ROOT = pathlib.Path(__file__).parents[1]
LAYERS = ('version', 'connection', 'request', 'process')
PLATFORM_WORDS = (
    'jayflow-server-signature',
    'jayflow-not-executed',
    'jayflow-server-load',
    'server-limit',
    'server-leaving',
    'jayflow-expected-instance',
    'jayflow-caller-service',
    'jayflow-request-id',
    'instances.heartbeat',
    'instances.deregister',
    'traffic_split',
    'path_prefix',
    'cold_remaining_s',
    'jayflow-cold-ms',
    'cold_per_s',
    'max_attempts',
    'store_revision',
    'allow_stale',
    'non_idempotent',
    'fleetbench',
)
OPERATIONS_PAGE = (ROOT / 'docs' / 'OPERATIONS.md').read_text(encoding='utf-8')


def _imported_layers(path: pathlib.Path) -> set[str]:
    """Return the layers that a module imports from."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    names = [
        node.module
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module
    ]
    return {
        parts[1]
        for name in names
        if (parts := name.split('.'))[0] == 'jayflow' and len(parts) > 1
    }


class StructureTest(unittest.TestCase):
    def test_a_layer_imports_only_itself_and_longer_lived_layers(self):
        for index, layer in enumerate(LAYERS):
            allowed = set(LAYERS[: index + 1])
            for path in (ROOT / 'jayflow' / layer).rglob('*.py'):
                with self.subTest(path=path.name):
                    self.assertLessEqual(_imported_layers(path), allowed)

    def test_platform_terms_stay_in_the_adapter_and_the_emulator(self):
        allowed = {'platform', 'emulator'}
        for path in (ROOT / 'jayflow').rglob('*.py'):
            if allowed & set(path.relative_to(ROOT / 'jayflow').parts[:-1]):
                continue
            text = path.read_text(encoding='utf-8')
            misplaced = [
                word
                for word in PLATFORM_WORDS
                if word in text or word.title() in text
            ]
            with self.subTest(path=path.name):
                self.assertEqual([], misplaced)

    def test_the_adapter_imports_no_clock_event_loop_or_randomness(self):
        # The adapter only translates. Waiting, retrying and random choice are
        # decisions of the node.
        for path in (ROOT / 'jayflow' / 'platform').glob('*.py'):
            tree = ast.parse(path.read_text(encoding='utf-8'))
            names = {
                name.name.split('.')[0]
                for node in ast.walk(tree)
                if isinstance(node, ast.Import)
                for name in node.names
            }
            with self.subTest(path=path.name):
                self.assertFalse(
                    names & {'time', 'random', 'asyncio', 'anyio'}
                )

    def test_decisions_import_no_clock_event_loop_or_socket(self):
        # A decision that reads a clock or does I/O can't be replayed.
        for path in (ROOT / 'jayflow' / 'request' / 'decisions').glob('*.py'):
            tree = ast.parse(path.read_text(encoding='utf-8'))
            names = {
                name.name
                for node in ast.walk(tree)
                if isinstance(node, ast.Import)
                for name in node.names
            }
            with self.subTest(path=path.name):
                self.assertFalse(
                    names & {'time', 'asyncio', 'anyio', 'socket', 'zmq'}
                )

    def test_a_node_imports_no_other_command(self):
        code = 'import jayflow.cli, jayflow.commands.serve, sys; '
        code += 'print(*[n for n in sys.modules if n.startswith("jayflow")])'
        imported = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        self.assertIn('jayflow.process.node', imported)
        for module in ('emulator', 'commands.operate', 'commands.stand_in'):
            self.assertNotIn(f'jayflow.{module}', imported)

    def test_the_operators_page_names_every_counter(self):
        names = [f'refused.{reason.value}' for reason in outcome.Reason]
        names += [f'retried.{reason.value}' for reason in retry.RetryReason]
        names += [f'hedge.{event.value}' for event in hedge_budget.HedgeEvent]
        names += [event.value for event in metrics_module.Event]
        missing = [
            name for name in names if f'`{name}`' not in OPERATIONS_PAGE
        ]
        self.assertEqual([], missing)

    def test_the_operators_page_names_every_setting_and_object_key(self):
        fields = [
            setting
            for section in settings.FIELDS.values()
            for setting in section
        ]
        for kind in objects.OBJECT_TYPES.values():
            fields += kind.FIELDS
        missing = [
            field.key
            for field in fields
            if f'`{field.key}`' not in OPERATIONS_PAGE
        ]
        self.assertEqual([], missing)
