"""Try ways to become current, one after the other, until one brings a fresh proof.

A step that has not brought one when its patience ends is not given up: the next goes on
beside it, and the first that brings a fresh proof ends the round. With ``hurry`` the
next goes on sooner, though the step is not overdue yet.
"""

import asyncio
import dataclasses
import enum


class Outcome(enum.Enum):
    """Tell what a way to become current led to.

    ``OLD`` is an answer without a fresh proof, ``NONE`` no answer.
    """

    FRESH = "fresh"
    OLD = "old"
    NONE = "none"


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Hold one way to become current: ``run`` returns an ``Outcome``.

    ``patience`` are the seconds after which it is overdue and the next way is tried
    beside it; ``host`` is the one that is asked, empty for the store. ``hurry`` returns
    the seconds after which the next way is tried in any case.
    """

    run: object
    patience: float
    host: str = ""
    hurry: object = None

    def wait_seconds(self):
        """Return the seconds before the next way is tried."""
        if self.hurry is None:
            return self.patience
        return min(self.patience, max(0.0, self.hurry()))


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """Carry the step that brought a fresh proof, if any.

    ``missed`` are the steps without an answer: none came, or not in time. One whose
    patience had not ended as another step was fresh is not among them.
    """

    fresh: Step | None
    missed: list


async def run(steps):
    """Run steps until one brings a fresh proof or all have ended; return ``Ended``."""
    loop = asyncio.get_running_loop()
    running, overdue, missed = {}, {}, []
    try:
        for step in steps:
            task = asyncio.create_task(step.run())
            began = loop.time()
            running[task], overdue[task] = step, began + step.patience
            end = began + step.wait_seconds()
            fresh = await _first_fresh(running, missed, end)
            if fresh is not None:
                break
        else:
            fresh = await _first_fresh(running, missed, None)
        now = loop.time()
        silent = [
            step
            for task, step in running.items()
            if not task.done() and overdue[task] <= now
        ]
        return Ended(fresh, [*missed, *silent])
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


async def _first_fresh(running, missed, end):
    """Return the first step with a fresh proof, ``None`` if all end or time is up."""
    loop = asyncio.get_running_loop()
    while running:
        left = None if end is None else end - loop.time()
        if left is not None and left <= 0:
            return None
        done, _ = await asyncio.wait(
            running, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            step = running.pop(task)
            outcome = task.result()
            if outcome is Outcome.FRESH:
                return step
            if outcome is Outcome.NONE:
                missed.append(step)
    return None
