"""Check that a crashing request is recognised when it comes again.

Its query was once part of what it was recognised by, so that it crashed three
more servers with each new query.
"""

import unittest

import msgspec

from jayflow.connection import messages
from jayflow import metrics as metrics_module
from jayflow.platform import headers as platform_headers
from jayflow.request import crash_tracker
from jayflow.request.decisions import quarantine
from jayflow.version import objects
from tests.request import test_executor

MAX_CRASHES = 3
BODY = b'b' * (messages.MAX_PART_BYTES + 1)
FIRST = {
    'target': b'/gallery/7?page=1',
    'headers': [(b'host', b'x.example'), (b'jayflow-caller-service', b'shop')],
    'body': BODY,
    'fingerprint': b'first',
}
QUARANTINED = quarantine.QuarantineState.QUARANTINED
FREE = quarantine.QuarantineState.FREE
# Title, what the later request has otherwise than the first, and its state.
CASES = [
    ('the same', {'fingerprint': b'first'}, QUARANTINED),
    ('another query', {'target': b'/gallery/7?page=2'}, QUARANTINED),
    ('no query', {'target': b'/gallery/7'}, QUARANTINED),
    ('another method', {'method': 'HEAD'}, QUARANTINED),
    ('a route to another service', {'service': 'packs'}, QUARANTINED),
    ('a longer first part of its body', {'body': BODY + b'b'}, QUARANTINED),
    ('another path', {'target': b'/gallery/8?page=1'}, FREE),
    ('another body', {'body': b'c'}, FREE),
    (
        'another caller',
        {
            'headers': [
                (b'host', b'x.example'),
                (b'jayflow-caller-service', b'vault'),
            ]
        },
        FREE,
    ),
    (
        'another host',
        {
            'headers': [
                (b'host', b'y.example'),
                (b'jayflow-caller-service', b'shop'),
            ]
        },
        FREE,
    ),
]


def start(**changes) -> messages.Start:
    """Return the first request with changes and, by default, a new digest."""
    values = FIRST | {'fingerprint': b'later'} | changes
    return test_executor.start(1, **values)


class CrashingVariantsTest(unittest.IsolatedAsyncioTestCase):
    def _tracker(self, max_crashes: int | None) -> crash_tracker.CrashTracker:
        return crash_tracker.CrashTracker(
            metrics_module.Metrics(),
            lambda: 0.0,
            max_crashes,
            platform_headers.DIALECT,
        )

    async def _crash(self, tracker, req: messages.Start) -> None:
        # As if each crash were that of another node.
        tracker._reported = None
        await tracker.report_crash(
            objects.ServiceName(req.service),
            frozenset({tracker.fingerprints_of(req)}),
            is_exclusive=False,
        )

    async def test_a_variant_of_a_crashing_request_is_quarantined(self):
        tracker = self._tracker(MAX_CRASHES)
        for _ in range(MAX_CRASHES):
            await self._crash(tracker, start(fingerprint=b'first'))
        for title, changes, expected in CASES:
            with self.subTest(title):
                digests = tracker.fingerprints_of(start(**changes))
                self.assertIs(expected, tracker.state_of(digests))

    async def test_crashes_of_variants_add_up(self):
        tracker = self._tracker(MAX_CRASHES)
        for page in range(MAX_CRASHES):
            req = start(
                target=b'/gallery/7?page=%d' % page,
                fingerprint=b'%d' % page,
            )
            self.assertIsNot(
                QUARANTINED, tracker.state_of(tracker.fingerprints_of(req))
            )
            await self._crash(tracker, req)
        digests = tracker.fingerprints_of(start(fingerprint=b'new'))
        self.assertIs(QUARANTINED, tracker.state_of(digests))

    async def test_a_variant_that_ends_well_clears_only_the_common_count(self):
        tracker = self._tracker(MAX_CRASHES)
        culprit = start(fingerprint=b'first')
        for _ in range(MAX_CRASHES):
            await self._crash(tracker, culprit)
            harmless = start(target=b'/gallery/7?page=2')
            await tracker.report_cleared(tracker.fingerprints_of(harmless))
        self.assertIs(
            FREE, tracker.state_of(tracker.fingerprints_of(harmless))
        )
        self.assertIs(
            QUARANTINED, tracker.state_of(tracker.fingerprints_of(culprit))
        )

    async def test_a_suspect_that_runs_alone_has_one_fingerprint(self):
        req = msgspec.structs.replace(start(), fingerprint=b'f')
        self.assertEqual((b'f',), self._tracker(None).fingerprints_of(req))

    def test_a_long_body_is_the_same_however_much_of_it_has_arrived(self):
        digests = {
            quarantine.fingerprint('shop', 'POST', b'/', BODY + rest)
            for rest in (b'', b'x', b'xyz')
        }
        self.assertEqual(1, len(digests))
