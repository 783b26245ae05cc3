"""Try ways to become current, one after the other, until one brings a fresh proof.

A step that has not brought one when its patience ends is not given up: the next goes on
beside it, and the first that brings a fresh proof ends the round. With ``hedge_delay``
the next goes on sooner, though the step is not overdue yet.
"""

import asyncio
import dataclasses
import enum


class Outcome(enum.Enum):
    """Tell what a way to become current led to.

    ``STALE`` is an answer without a fresh proof, ``NONE`` no answer.
    """

    FRESH = "fresh"
    STALE = "old"
    NONE = "none"


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """Hold one way to become current: ``run`` returns an ``Outcome``.

    ``timeout`` are the seconds after which it is overdue and the next way is tried
    beside it; ``host`` is the one that is asked, empty for the store. ``hedge_delay``
    returns the seconds after which the next way is tried in any case.
    """

    run: object
    timeout: float
    host: str = ""
    hedge_delay: object = None

    def wait_seconds(self):
        """Return the seconds before the next way is tried."""
        if self.hedge_delay is None:
            return self.timeout
        return min(self.timeout, max(0.0, self.hedge_delay()))


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Carry the step that brought a fresh proof, if any.

    ``missed`` are the steps without an answer: none came, or not in time. One whose
    patience had not ended as another step was fresh is not among them, nor is one to a
    host that answered another step.
    """

    fresh: Fetch | None
    missed: list


async def run(steps):
    """Run steps until one brings a fresh proof or all have ended; return ``Result``."""
    at_work = Fetches()
    try:
        for step in steps:
            end = at_work.begin(step)
            fresh = await at_work.first_fresh(end)
            if fresh is not None:
                break
        else:
            fresh = await at_work.first_fresh(None)
        return Result(fresh, at_work.missed())
    finally:
        await at_work.cancel()


class Fetches:
    """Hold the steps at work, when each is overdue, and what became of the others."""

    __slots__ = ("loop", "running", "overdue", "failed", "answered")

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.running = {}
        self.overdue = {}
        self.failed = []
        self.answered = set()

    def begin(self, step):
        """Start a step; return the time at which the next way is tried."""
        task = asyncio.create_task(step.run())
        began = self.loop.time()
        self.running[task] = step
        self.overdue[task] = began + step.timeout
        return began + step.wait_seconds()

    async def first_fresh(self, end):
        """Return the first step with a fresh proof.

        Return ``None`` if all have ended, or at a time if one is given.
        """
        while self.running:
            left = None if end is None else end - self.loop.time()
            if left is not None and left <= 0:
                return None
            done, _ = await asyncio.wait(
                self.running, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                step = self.running.pop(task)
                if self._ended(step, task.result()):
                    return step
        return None

    def _ended(self, step, outcome):
        """Note how a step ended; return whether its proof is fresh."""
        if outcome is Outcome.NONE:
            self.failed.append(step)
        else:
            self.answered.add(step.host)
        return outcome is Outcome.FRESH

    def missed(self):
        """Return the steps without an answer from hosts that answered none."""
        now = self.loop.time()
        silent = [
            step
            for task, step in self.running.items()
            if not task.done() and self.overdue[task] <= now
        ]
        steps = [*self.failed, *silent]
        return [step for step in steps if step.host not in self.answered]

    async def cancel(self):
        """End the steps at work."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
