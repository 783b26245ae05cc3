"""Run fetches of the operator's state with hedging, until one brings fresh state.

A fetch that has not ended when its timeout is over is not cancelled: the next one runs
concurrently, and the first that brings fresh state ends the run. With ``hedge_delay``
the next fetch starts sooner, though the fetch before it is not overdue yet.
"""

import asyncio
import dataclasses
import enum


class Outcome(enum.Enum):
    """Outcome of a fetch.

    ``STALE`` is a response without fresh state, ``NONE`` no response.
    """

    FRESH = "fresh"
    STALE = "old"
    NONE = "none"


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """One way to refresh the operator's state.

    ``run`` is a coroutine function that returns an ``Outcome``. ``timeout`` is the time
    in seconds after which the fetch is overdue and the next one starts concurrently.
    ``host`` is the host whose proxy is asked, empty for the store. ``hedge_delay``
    returns the seconds after which the next fetch starts in any case.
    """

    run: object
    timeout: float
    host: str = ""
    hedge_delay: object = None

    def wait_seconds(self):
        """Return the seconds until the next fetch starts."""
        if self.hedge_delay is None:
            return self.timeout
        return min(self.timeout, max(0.0, self.hedge_delay()))


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """The fetch that brought fresh state, if any, and those without a response.

    ``missed`` are the fetches that failed or were overdue when the run ended. A fetch
    from a host that responded to another fetch is not among them.
    """

    fresh: Fetch | None
    missed: list


async def run(fetches):
    """Run fetches until one brings fresh state or all have ended; return ``Result``."""
    started = Fetches()
    try:
        for fetch in fetches:
            end = started.start(fetch)
            fresh = await started.first_fresh(end)
            if fresh is not None:
                break
        else:
            fresh = await started.first_fresh(None)
        return Result(fresh, started.missed())
    finally:
        await started.cancel()


class Fetches:
    """The fetches of one run that were started.

    ``running`` maps tasks to fetches, ``overdue_at`` tasks to the time by the event
    loop's clock from which they are overdue. ``failed`` are the fetches without a
    response, ``responded`` the hosts that responded.
    """

    __slots__ = ("loop", "running", "overdue_at", "failed", "responded")

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.running = {}
        self.overdue_at = {}
        self.failed = []
        self.responded = set()

    def start(self, fetch):
        """Start a fetch; return the time at which the next one is to start."""
        task = asyncio.create_task(fetch.run())
        began = self.loop.time()
        self.running[task] = fetch
        self.overdue_at[task] = began + fetch.timeout
        return began + fetch.wait_seconds()

    async def first_fresh(self, end):
        """Wait for a fetch that brings fresh state, and return it.

        Return ``None`` if all fetches have ended, or at the time ``end`` unless that is
        ``None``.
        """
        while self.running:
            left = None if end is None else end - self.loop.time()
            if left is not None and left <= 0:
                return None
            done, _ = await asyncio.wait(
                self.running, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                fetch = self.running.pop(task)
                if self._record(fetch, task.result()):
                    return fetch
        return None

    def _record(self, fetch, outcome):
        """Record the outcome of a fetch; return whether it brought fresh state."""
        if outcome is Outcome.NONE:
            self.failed.append(fetch)
        else:
            self.responded.add(fetch.host)
        return outcome is Outcome.FRESH

    def missed(self):
        """Return the failed and overdue fetches from hosts that responded to none."""
        now = self.loop.time()
        overdue = [
            fetch
            for task, fetch in self.running.items()
            if not task.done() and self.overdue_at[task] <= now
        ]
        fetches = [*self.failed, *overdue]
        return [fetch for fetch in fetches if fetch.host not in self.responded]

    async def cancel(self):
        """Cancel the running fetches, and wait until they have ended."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)
