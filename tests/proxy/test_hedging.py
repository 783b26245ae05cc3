"""Hedged runs of fetches."""

import asyncio
import dataclasses
import unittest

from lentilrouter.proxy import hedging


class RunTests(unittest.IsolatedAsyncioTestCase):
    """Run fetches with given outcomes and durations."""

    def setUp(self):
        self.started = []
        self.cancelled = []

    def fetch(self, name, outcome, seconds=0.0, timeout=0.05, host=None):
        """Return a fetch that ends with an outcome after some seconds."""

        async def run():
            self.started.append(name)
            try:
                await asyncio.sleep(seconds)
            except asyncio.CancelledError:
                self.cancelled.append(name)
                raise
            return outcome

        return hedging.Fetch(run, timeout, name if host is None else host)

    async def test_fresh_state_ends_the_run_before_the_next_fetch(self):
        first = self.fetch("a", hedging.Outcome.FRESH)
        ended = await hedging.run([first, self.fetch("b", hedging.Outcome.FRESH)])
        self.assertEqual(ended, hedging.Result(first, []))
        self.assertEqual(self.started, ["a"])

    # Guards against: an overdue fetch that is cancelled, though the next one brings no
    # response.
    async def test_overdue_fetch_runs_concurrently_with_the_next(self):
        slow = self.fetch("a", hedging.Outcome.FRESH, seconds=0.15)
        none = self.fetch("b", hedging.Outcome.NONE)
        ended = await hedging.run([slow, none])
        self.assertEqual(ended, hedging.Result(slow, [none]))

    async def test_fetch_overdue_when_another_is_fresh_is_missed_and_cancelled(self):
        overdue = self.fetch("a", hedging.Outcome.FRESH, seconds=60.0)
        fresh = self.fetch("b", hedging.Outcome.FRESH)
        ended = await hedging.run([overdue, fresh])
        self.assertEqual(ended, hedging.Result(fresh, [overdue]))
        self.assertEqual(self.cancelled, ["a"])

    # Guards against: a proxy or a store treated as unresponsive, since its request was
    # sent just before another one responded.
    async def test_fetch_not_overdue_when_another_is_fresh_is_not_missed(self):
        late = self.fetch("a", hedging.Outcome.FRESH, seconds=0.1)
        recent = self.fetch("b", hedging.Outcome.FRESH, seconds=60.0, timeout=60.0)
        self.assertEqual(await hedging.run([late, recent]), hedging.Result(late, []))
        self.assertEqual(self.cancelled, ["b"])

    # Guards against: a proxy that is skipped for one request without a response, though
    # it responded to the next.
    async def test_fetch_from_a_host_that_responded_to_another_is_not_missed(self):
        for outcome in (hedging.Outcome.FRESH, hedging.Outcome.STALE):
            late = self.fetch("a", outcome, seconds=0.3, host="h")
            answered = self.fetch("b", outcome, host="h")
            fresh = self.fetch("c", hedging.Outcome.FRESH)
            ended = await hedging.run([late, answered, fresh])
            self.assertEqual(ended.missed, [])

    # Guards against: a fetch that is awaited until the state is too old, or treated as
    # unresponsive because the next one started sooner.
    async def test_hedge_delay_starts_the_next_fetch_and_makes_none_overdue(self):
        slow = self.fetch("a", hedging.Outcome.FRESH, seconds=60.0, timeout=60.0)
        slow = dataclasses.replace(slow, hedge_delay=lambda: -1.0)
        fresh = self.fetch("b", hedging.Outcome.FRESH)
        async with asyncio.timeout(10.0):
            ended = await hedging.run([slow, fresh])
        self.assertEqual(ended, hedging.Result(fresh, []))
        self.assertEqual(self.started, ["a", "b"])

    # Guards against: a proxy that responds with stale state, and is skipped like one
    # that does not respond.
    async def test_run_without_fresh_state_misses_only_fetches_without_a_response(self):
        stale = self.fetch("a", hedging.Outcome.STALE)
        none = self.fetch("b", hedging.Outcome.NONE)
        self.assertEqual(await hedging.run([stale, none]), hedging.Result(None, [none]))

    async def test_cancelled_run_cancels_its_fetches(self):
        pending = self.fetch("a", hedging.Outcome.NONE, seconds=60.0, timeout=60.0)
        task = asyncio.create_task(hedging.run([pending]))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.cancelled, ["a"])
