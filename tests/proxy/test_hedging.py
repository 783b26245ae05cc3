"""How steps to become current are tried one after the other."""

import asyncio
import dataclasses
import unittest

from lentilrouter.proxy import hedging


class RoundTests(unittest.IsolatedAsyncioTestCase):
    """Run steps that end as told."""

    def setUp(self):
        self.begun = []
        self.cancelled = []

    def step(self, name, outcome, seconds=0.0, timeout=0.05, host=None):
        """Return a step that ends with an outcome after some seconds."""

        async def run():
            self.begun.append(name)
            try:
                await asyncio.sleep(seconds)
            except asyncio.CancelledError:
                self.cancelled.append(name)
                raise
            return outcome

        return hedging.Fetch(run, timeout, name if host is None else host)

    async def test_fresh_proof_ends_the_round_before_the_next_step(self):
        usual = self.step("a", hedging.Outcome.FRESH)
        ended = await hedging.run([usual, self.step("b", hedging.Outcome.FRESH)])
        self.assertEqual(ended, hedging.Result(usual, []))
        self.assertEqual(self.begun, ["a"])

    # Guards against: a slow way that is given up, and its answer with it, though the
    # next way has none.
    async def test_overdue_step_goes_on_beside_the_next(self):
        slow = self.step("a", hedging.Outcome.FRESH, seconds=0.15)
        none = self.step("b", hedging.Outcome.NONE)
        ended = await hedging.run([slow, none])
        self.assertEqual(ended, hedging.Result(slow, [none]))

    async def test_step_that_is_overdue_as_another_is_fresh_is_missed_and_ends(self):
        silent = self.step("a", hedging.Outcome.FRESH, seconds=60.0)
        fresh = self.step("b", hedging.Outcome.FRESH)
        ended = await hedging.run([silent, fresh])
        self.assertEqual(ended, hedging.Result(fresh, [silent]))
        self.assertEqual(self.cancelled, ["a"])

    # Guards against: a proxy that answers, or the store, that is taken for silent since
    # it was asked a moment before another one answered (issue 16, question 9).
    async def test_step_that_is_not_overdue_as_another_is_fresh_is_not_missed(self):
        late = self.step("a", hedging.Outcome.FRESH, seconds=0.1)
        begun = self.step("b", hedging.Outcome.FRESH, seconds=60.0, timeout=60.0)
        self.assertEqual(await hedging.run([late, begun]), hedging.Result(late, []))
        self.assertEqual(self.cancelled, ["b"])

    # Guards against: a proxy whose second question is answered, and that is passed over
    # for the first one (issue 16, question 9).
    async def test_step_to_a_host_that_answered_another_is_not_missed(self):
        for outcome in (hedging.Outcome.FRESH, hedging.Outcome.STALE):
            late = self.step("a", outcome, seconds=0.3, host="h")
            answered = self.step("b", outcome, host="h")
            fresh = self.step("c", hedging.Outcome.FRESH)
            ended = await hedging.run([late, answered, fresh])
            self.assertEqual(ended.missed, [])

    # Guards against: a way that is waited for though the proof at hand gets too old, or
    # that is taken for silent because it was not (issue 16, question 8).
    async def test_hurried_step_lets_the_next_begin_and_is_not_overdue_for_that(self):
        slow = self.step("a", hedging.Outcome.FRESH, seconds=60.0, timeout=60.0)
        slow = dataclasses.replace(slow, hedge_delay=lambda: -1.0)
        fresh = self.step("b", hedging.Outcome.FRESH)
        async with asyncio.timeout(10.0):
            ended = await hedging.run([slow, fresh])
        self.assertEqual(ended, hedging.Result(fresh, []))
        self.assertEqual(self.begun, ["a", "b"])

    # Guards against: a proxy that answers, though it has no fresh proof, and is passed
    # over like one that does not answer.
    async def test_round_without_a_fresh_proof_names_only_steps_without_an_answer(self):
        old = self.step("a", hedging.Outcome.STALE)
        none = self.step("b", hedging.Outcome.NONE)
        self.assertEqual(await hedging.run([old, none]), hedging.Result(None, [none]))

    async def test_cancelled_round_ends_its_steps(self):
        silent = self.step("a", hedging.Outcome.NONE, seconds=60.0, timeout=60.0)
        task = asyncio.create_task(hedging.run([silent]))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.cancelled, ["a"])
