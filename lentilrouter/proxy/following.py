"""Follow what the proxies write to the store: scan, then watch.

A store that is away changes nothing of what is believed.
"""

import asyncio
import contextlib

from lentilrouter.proxy import entry, kvstore, views

# Between reads: changes in quick succession come in one answer, and each is a call to
# the store. Of its own news each proxy tells the others; only a steward lost while a
# move runs, and proxies that started at the same time, must be seen in the store soon.
PAUSE_SECONDS = 3.0
URGENT_PAUSE_SECONDS = 1.0
STARTING_SECONDS = 6.0  # the time of a lease: then all that lived before is settled


class Follower:
    """Read the proxies' own keys and hand on each change once, by rising revisions.

    ``reachable`` is set while the store answers those who read the operator's keys.
    """

    __slots__ = (
        "services",
        "view",
        "unavailable_since",
        "scanned",
        "reachable",
        "waiting",
        "started",
        "ordered",
    )

    def __init__(self, services):
        self.services = services
        self.view = views.View()
        self.unavailable_since = None
        self.scanned = asyncio.Event()
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.waiting = None
        self.started = services.clock()
        self.ordered = asyncio.Event()

    def moving(self):
        """Tell whether a move runs that this proxy may have to lead."""
        raise NotImplementedError

    def take_own(self, change):
        """Take in what the proxies wrote."""
        raise NotImplementedError

    async def follow(self):
        """Scan and watch the proxies' keys for ever."""
        while True:
            # While the store is away only one loop asks whether it is back.
            await self.reachable.wait()
            scanned = await self.services.store.scan(entry.OWN_PREFIX)
            if isinstance(scanned, kvstore.Away):
                await self._note_unavailable(scanned.reason)
                continue
            self._note_available()
            self.view.apply_all(scanned.items, scanned.at, self.take_own)
            self.scanned.set()
            await self._watch(scanned.at)

    async def _watch(self, at):
        """Watch until a scan is due: an answer or history is lost."""
        services = self.services
        while True:
            result = await self._wait(at)
            if result is None:
                services.log.event("watch-again", prefix=entry.OWN_PREFIX, after=at)
                continue
            if isinstance(result, kvstore.HistoryGone):
                services.log.event("history-gone", prefix=entry.OWN_PREFIX, after=at)
                return
            if isinstance(result, kvstore.Away):
                await self._note_unavailable(result.reason)
                return
            for change in result.changes:
                self.view.apply(change, self.take_own)
            at = max(at, result.at)
            if result.changes:
                await self._rest()

    async def _wait(self, at):
        """Watch once; return ``None`` if the answer may have been lost."""
        seconds = self.services.settings.store.watch_seconds
        try:
            async with asyncio.timeout(None) as self.waiting:
                return await self.services.store.watch(entry.OWN_PREFIX, at, seconds)
        except TimeoutError:
            return None
        finally:
            self.waiting = None

    def watch_again(self):
        """Ask anew what the watch waits for: a silent store may have lost answers."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.reschedule(asyncio.get_running_loop().time())

    async def _rest(self):
        """Wait before the next read; an order ends a long wait."""
        if self.services.clock() - self.started < STARTING_SECONDS or self.moving():
            await asyncio.sleep(URGENT_PAUSE_SECONDS)
            return
        self.ordered.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_SECONDS):
                await self.ordered.wait()

    async def _note_unavailable(self, reason):
        services = self.services
        if self.unavailable_since is None:
            self.unavailable_since = services.clock()
            services.log.event("store-lost", prefix=entry.OWN_PREFIX, reason=reason)
        await asyncio.sleep(services.random.uniform(*entry.RETRY_SECONDS))

    def _note_available(self):
        since, self.unavailable_since = self.unavailable_since, None
        if since is not None:
            seconds = round(self.services.clock() - since, 2)
            self.services.log.event(
                "store-regained", prefix=entry.OWN_PREFIX, seconds=seconds
            )

    def snapshot(self):
        """Return every item known, for a proxy that cannot reach the store."""
        return list(self.view.items.values())
