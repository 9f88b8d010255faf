"""Check which calls to the platform confirm the configuration version.

A call that failed, or that counted from its answer, would let a node run by a
version that was replaced long ago.
"""

import random
from unittest import mock

import anyio

from jayflow.connection import messages
from jayflow.connection import platform as api
from jayflow import metrics as metrics_module
from jayflow.process import config_age
from jayflow.process import member_directory
from jayflow.process import platform_objects
from jayflow.process import platform_pauses
from jayflow.process import platform_watcher as platform_watchers
from jayflow.version import objects
from jayflow.version import snapshot
from tests import virtual_time

KEY = snapshot.MANIFEST_KEY
CALL_S = 0.25
NEVER_S = 1e6


def entry(value: bytes, key: str = KEY) -> api.Entry:
    return api.Entry(key, value, api.Revision(1))


def put(value: bytes, key: str = KEY) -> api.Change:
    return api.Change(api.ChangeKind.PUT, entry(value, key))


def listing(*values: bytes, era: int = 0) -> api.Listing:
    entries = [entry(value) for value in values]
    return api.Listing(entries, api.Revision(1), api.Era(era))


def batch(*changes: api.Change, era: int = 0, unreadable=0) -> api.Changes:
    return api.Changes(
        list(changes), api.Revision(1), api.Era(era), unreadable
    )


def decode(value: bytes) -> snapshot.Version:
    """Return a version whose encoding is its number."""
    return snapshot.Version(int(value), objects.ObjectSet())


FAILURE = api.UnavailableError('down')
DELETION = api.Change(api.ChangeKind.DELETE, entry(b''))
# Answers to successive calls, each CALL_S after its call; then the versions
# confirmed and the number of the call, from 0, at whose sending they were the
# newest.
CASES = [
    ('a list', [listing(b'3')], [(3, 0)]),
    ('a list without a version', [listing()], [(None, 0)]),
    ('a malformed version', [listing(b'x')], [(None, 0)]),
    ('watches', [listing(b'3'), batch(), batch()], [(3, 0), (3, 1), (3, 2)]),
    (
        'a watch with a change does not, the next one does',
        [listing(b'3'), batch(put(b'4')), batch()],
        [(3, 0), (4, 2)],
    ),
    (
        'a watch with a malformed version, and those after it',
        [listing(b'3'), batch(put(b'x')), batch()],
        [(3, 0), (None, 2)],
    ),
    (
        'a watch in which the version was deleted',
        [listing(b'3'), batch(DELETION), batch()],
        [(3, 0), (None, 2)],
    ),
    (
        'a watch with a change that can not be read, then a list',
        [listing(b'3'), batch(unreadable=1), listing()],
        [(3, 0), (None, 2)],
    ),
    (
        'a failed call',
        [listing(b'3'), FAILURE, listing(b'3')],
        [(3, 0), (3, 2)],
    ),
    (
        'a watch in another era, then a list with a lower version',
        [listing(b'3'), batch(era=1), listing(b'2', era=1)],
        [(3, 0), (2, 2)],
    ),
]


class ScriptedPlatform:
    """Give the answers of a case in turn, then none."""

    def __init__(self, answers: list) -> None:
        self.called_at: list[float] = []
        self._answers = answers

    async def list(self, prefix):
        return await self._answer(api.Listing)

    async def watch(self, prefix, after, wait_s):
        return await self._answer(api.Changes)

    async def get(self, key):
        return await self._answer(api.Entry | None)

    async def _answer(self, answer_type):
        self.called_at.append(anyio.current_time())
        if len(self.called_at) > len(self._answers):
            await anyio.sleep(NEVER_S)
        await anyio.sleep(CALL_S)
        answer = self._answers[len(self.called_at) - 1]
        if isinstance(answer, Exception):
            raise answer
        if not isinstance(answer, answer_type):
            raise AssertionError(f'unexpected call for {answer_type}')
        return answer


class ConfirmationTest(virtual_time.VirtualTimeTestCase):
    def setUp(self):
        self.metrics = metrics_module.Metrics()
        self.directory = member_directory.MemberDirectory(
            messages.NodeId('n1'), objects.DataCentreName('dc')
        )
        self.active_version = member_directory.ActiveVersion(
            self.metrics, lambda version: None
        )

    def test_a_call_confirms_what_it_saw_at_its_sending(self):
        for title, answers, expected in CASES:
            with self.subTest(title):
                self.setUp()
                platform = ScriptedPlatform(answers)
                confirmed = self.run_virtual(
                    lambda loop, fake=platform: self._watch(loop, fake)
                )
                sent_at = platform.called_at
                self.assertEqual(
                    [(version, sent_at[call]) for version, call in expected],
                    confirmed,
                )

    async def _watch(self, loop, platform) -> list[tuple[int | None, float]]:
        """Return the confirmations that a watcher reports."""
        watcher = platform_watchers.PlatformWatcher(
            platform,
            self.directory,
            self.active_version,
            self.metrics,
            random.Random(1),
            KEY,
            decode,
            platform_pauses.jittered_pause(random.Random(1), 0.0),
        )
        confirmed = []
        watcher.on_confirmed = lambda version, sent_at: confirmed.append(
            (version, sent_at)
        )
        with mock.patch('jayflow.process.boot_clock.now', loop.time):
            with anyio.move_on_after(10.0):
                await watcher.run()
        return confirmed

    def test_a_read_returns_the_version_that_the_platform_holds(self):
        cases = [
            ('present', entry(b'3'), 3),
            ('absent', None, None),
            ('malformed', entry(b'x'), None),
        ]
        for title, answer, expected in cases:
            with self.subTest(title):
                self.setUp()
                platform = ScriptedPlatform([answer])
                read = config_age.version_reader(
                    platform,
                    platform_objects.PlatformObjects(
                        platform,
                        self.directory,
                        self.active_version,
                        self.metrics,
                        decode,
                    ),
                )
                stored = self.run_virtual(lambda loop, read=read: read())
                self.assertEqual(expected, stored)
                number = self.active_version.current.number
                self.assertEqual(expected or snapshot.NO_VERSION, number)
