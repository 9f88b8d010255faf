"""Test which of two attempts' results a hedged attempt returns."""

import asyncio
import itertools
import unittest

from jayflow.request import hedged_attempt
from jayflow.request import outcome
from jayflow.request import response as responses


class _Response(responses.Response):
    """Stand in for a server's response of which only the status counts."""

    def __init__(self, is_shed):
        self.status = 503
        self.headers = (
            [(responses.OUTCOME_HEADER, b'not-run')] if is_shed else []
        )

    def close(self):
        """Do nothing, as nothing is received."""


GOOD = 'good'
SHED = _Response(is_shed=True)
FAILED = _Response(is_shed=False)
NOT_RUN = outcome.NotRun(
    outcome.Reason.REVOKED, outcome.Evidence.REVOKED_BEFORE_START
)
UNKNOWN = outcome.Unknown(outcome.Reason.DEADLINE)
# Preferred results first: a good one, then Unknown, since that attempt may
# have run, then NotRun.
PREFERENCE = [GOOD, UNKNOWN, NOT_RUN]
# Of each pair of failures, the first must be returned: its attempt may have
# run, so that a request with both may not be reported as not run.
FAILURES = [
    (UNKNOWN, SHED),
    (FAILED, SHED),
    (FAILED, NOT_RUN),
]
# When the second attempt ends, relative to the first, and how long the first
# and the second attempt wait, in seconds.
ENDS_S = [('first', 0.02, 0.0), ('together', 0.0, 0.0), ('last', 0.0, 0.01)]


class HedgedAttemptTest(unittest.TestCase):
    def test_the_preferred_result_is_returned(self):
        pairs = itertools.product(PREFERENCE, PREFERENCE)
        for (first, second), (second_ends, *waits_s) in itertools.product(
            pairs, ENDS_S
        ):
            with self.subTest(
                first=first, second=second, second_ends=second_ends
            ):
                result = asyncio.run(self._run_hedged(first, second, *waits_s))
                preferred = min((first, second), key=PREFERENCE.index)
                self.assertEqual(preferred, result)

    def test_a_response_of_a_server_that_shed_hides_no_attempt(self):
        for failures, (second_ends, *waits_s) in itertools.product(
            FAILURES, ENDS_S
        ):
            for pair in itertools.permutations(failures):
                with self.subTest(pair=pair, second_ends=second_ends):
                    result = asyncio.run(self._run_hedged(*pair, *waits_s))
                    self.assertIs(failures[0], result)

    async def _run_hedged(self, first, second, first_waits_s, second_waits_s):
        second_started = asyncio.Event()

        async def attempt(view):
            if view == 'first':
                await second_started.wait()
                await asyncio.sleep(first_waits_s)
                return first
            second_started.set()
            if second_waits_s:
                await asyncio.sleep(second_waits_s)
            return second

        return await hedged_attempt.run_hedged(
            'first', attempt, lambda: 'second', lambda result: result == GOOD
        )

    async def _cancel_while_the_loser_ends(self):
        second_started = asyncio.Event()
        is_cleaning_up = asyncio.Event()

        async def attempt(view):
            if view == 'second':
                second_started.set()
                await asyncio.sleep(0)
                return GOOD
            await second_started.wait()
            try:
                await asyncio.sleep(10)
            finally:
                is_cleaning_up.set()
                await asyncio.sleep(0)

        task = asyncio.ensure_future(
            hedged_attempt.run_hedged(
                'first', attempt, lambda: 'second', lambda result: True
            )
        )
        await is_cleaning_up.wait()
        task.cancel()
        await asyncio.wait((task,))
        return task.cancelled()

    def test_a_caller_that_leaves_while_the_loser_ends_is_not_ignored(self):
        # The cancellation of the caller was taken for that of the loser.
        self.assertTrue(asyncio.run(self._cancel_while_the_loser_ends()))

    def test_both_attempts_are_cancelled_before_either_is_waited_for(self):
        cancelled = []

        async def attempt(view):
            try:
                await asyncio.sleep(10)
            finally:
                cancelled.append((view, len(cancelled)))
                if view == 'first':
                    # Stays until the other one is cancelled, too.
                    while len(cancelled) < 2:
                        await asyncio.sleep(0)

        async def run_and_cancel():
            task = asyncio.ensure_future(
                hedged_attempt.run_hedged(
                    'first', attempt, lambda: 'second', lambda result: True
                )
            )
            await asyncio.sleep(0.05)
            task.cancel()
            await asyncio.wait((task,), timeout=1)

        asyncio.run(run_and_cancel())
        self.assertEqual({('first', 0), ('second', 1)}, set(cancelled))
