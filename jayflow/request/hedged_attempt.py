"""Run an attempt and, if wanted, a second one (a hedge) in parallel."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from jayflow.request import attempt as attempts
from jayflow.request.decisions import routing
from jayflow.request import outcome
from jayflow.request import response

Result = attempts.Result

HEDGE_CHECK_INTERVAL_S = 0.03


async def run_hedged(
    view: routing.PeerView,
    run_attempt: Callable[[routing.PeerView], Awaitable[Result]],
    choose_hedge: Callable[[], routing.PeerView | None],
    is_good: Callable[[Result], bool],
) -> Result:
    """Return the first good result, else the most informative failure.

    While the first attempt runs, choose_hedge is called at short intervals
    and returns the server of the second attempt, or None. The attempt whose
    result isn't returned is cancelled. Of two failures, one that may have run
    is returned rather than one that did not run.
    """
    first = asyncio.ensure_future(run_attempt(view))
    hedge: asyncio.Future | None = None
    chosen: Result | None = None
    try:
        while hedge is None and not first.done():
            await asyncio.wait((first,), timeout=HEDGE_CHECK_INTERVAL_S)
            if not first.done() and (hedge_view := choose_hedge()) is not None:
                hedge = asyncio.ensure_future(run_attempt(hedge_view))
        if hedge is None:
            chosen = first.result()
        else:
            chosen = await _first_good(first, hedge, is_good)
        return chosen
    finally:
        await _discard([a for a in (first, hedge) if a is not None], chosen)


async def _first_good(
    first: asyncio.Future,
    hedge: asyncio.Future,
    is_good: Callable[[Result], bool],
) -> Result:
    # Both can end in the same iteration of the event loop.
    await asyncio.wait((first, hedge), return_when=asyncio.FIRST_COMPLETED)
    for attempt in (first, hedge):
        if attempt.done() and is_good(attempt.result()):
            return attempt.result()
    results = [await first, await hedge]

    def sort_key(result: Result) -> tuple[bool, bool]:
        return not is_good(result), _did_not_run(result)

    return min(results, key=sort_key)


def _did_not_run(result: Result) -> bool:
    """Return whether a failure says that the request did not run."""
    if isinstance(result, response.Response):
        return result.was_shed_by_server
    return isinstance(result, outcome.NotRun)


async def _discard(
    attempts_run: list[asyncio.Future], chosen: Result | None
) -> None:
    """Cancel the attempts that run; close responses that weren't chosen."""
    running = [attempt for attempt in attempts_run if not attempt.done()]
    for attempt in running:
        attempt.cancel()
    for attempt in attempts_run:
        if not attempt.done() or attempt.cancelled() or attempt.exception():
            continue
        result = attempt.result()
        if isinstance(result, response.Response) and result is not chosen:
            result.close()
    if running:
        # Unlike awaiting an attempt, this raises only if the caller is
        # cancelled.
        await asyncio.wait(running)
