"""Follow the keys that the proxies write to the store: scan, then watch.

While the store is unavailable, the known state stays as it is.
"""

import asyncio
import contextlib

from lentilrouter.proxy import entry, kvstore, views

# Pauses between reads, so that changes in quick succession come in one response: each
# read is a call to the store. Proxies broadcast their own changes; only the failure of
# a steward (the proxy that leads a move) during a move, and proxies that started at the
# same time, must be seen in the store soon.
PAUSE_SECONDS = 3.0
URGENT_PAUSE_SECONDS = 1.0
# Time after the start for which the short pause applies: one lease, after which the
# leases of processes that ran before are renewed or have expired.
STARTING_SECONDS = 6.0


class Follower:
    """Read the proxies' own keys and apply each change once, by rising revisions.

    ``scanned`` is set after the first scan, ``reachable`` while the operator's keys can
    be read from the store, by this proxy or by those that it asks. ``watch_timeout`` is
    the timeout of the watch that runs, ``None`` without one. ``started`` is the time of
    the start, ``unavailable_since`` the time since which the store is unavailable, both
    by ``clock``. ``order_received`` is set when an order of a move arrives, and ends
    the pause between reads.
    """

    __slots__ = (
        "services",
        "view",
        "unavailable_since",
        "scanned",
        "reachable",
        "watch_timeout",
        "started",
        "order_received",
    )

    def __init__(self, services):
        self.services = services
        self.view = views.View()
        self.unavailable_since = None
        self.scanned = asyncio.Event()
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.watch_timeout = None
        self.started = services.clock()
        self.order_received = asyncio.Event()

    def has_open_order(self):
        """Return whether a move is ordered that this proxy may have to lead."""
        raise NotImplementedError

    def apply_proxy_key(self, change):
        """Apply a change of a key that a proxy wrote."""
        raise NotImplementedError

    async def follow(self):
        """Scan and watch the proxies' keys until cancelled."""
        while True:
            # While the store is unavailable, only the refresher retries it.
            await self.reachable.wait()
            scanned = await self.services.store.scan(entry.OWN_PREFIX)
            if isinstance(scanned, kvstore.Away):
                await self._note_unavailable(scanned.reason)
                continue
            self._note_available()
            self.view.apply_all(scanned.items, scanned.at, self.apply_proxy_key)
            self.scanned.set()
            await self._watch(scanned.at)

    async def _watch(self, at):
        """Watch until the store is unavailable or no longer has the changes.

        A scan is due then.
        """
        services = self.services
        while True:
            result = await self._watch_once(at)
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
                self.view.apply(change, self.apply_proxy_key)
            at = max(at, result.at)
            if result.changes:
                await self._pause()

    async def _watch_once(self, at):
        """Return the result of one watch, ``None`` if it has to be sent again."""
        seconds = self.services.settings.store.watch_seconds
        try:
            async with asyncio.timeout(None) as self.watch_timeout:
                return await self.services.store.watch(entry.OWN_PREFIX, at, seconds)
        except TimeoutError:
            return None
        finally:
            self.watch_timeout = None

    def restart_watch(self):
        """End the watch that runs, if any, so that it is sent again.

        A store that did not respond for a while may have lost the response to it.
        """
        timeout, self.watch_timeout = self.watch_timeout, None
        if timeout is not None:
            timeout.reschedule(asyncio.get_running_loop().time())

    async def _pause(self):
        """Wait before the next read; an order of a move ends a long wait."""
        if (
            self.services.clock() - self.started < STARTING_SECONDS
            or self.has_open_order()
        ):
            await asyncio.sleep(URGENT_PAUSE_SECONDS)
            return
        self.order_received.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_SECONDS):
                await self.order_received.wait()

    async def _note_unavailable(self, reason):
        """Log that the store became unavailable; pause before a retry in any case."""
        services = self.services
        if self.unavailable_since is None:
            self.unavailable_since = services.clock()
            services.log.event("store-lost", prefix=entry.OWN_PREFIX, reason=reason)
        await asyncio.sleep(services.random.uniform(*entry.RETRY_SECONDS))

    def _note_available(self):
        """Log that the store is available again, if it was unavailable."""
        since, self.unavailable_since = self.unavailable_since, None
        if since is not None:
            seconds = round(self.services.clock() - since, 2)
            self.services.log.event(
                "store-regained", prefix=entry.OWN_PREFIX, seconds=seconds
            )

    def snapshot(self):
        """Return all known items, for a proxy that cannot reach the store."""
        return list(self.view.items.values())
