"""Follow the keys that the proxies write to the store.

A proxy scans these keys once, when it starts. After that only the proxies that read the
store watch them; the others get the changes with the operator's state (``refreshing``).
While the store is unavailable, the known state stays as it is.
"""

import asyncio
import contextlib

from lentilrouter.proxy import entry, kvstore, replicas

# Pauses between reads, so that changes in quick succession come in one response: each
# read is a call to the store. Proxies broadcast their own changes; only the failure of
# a steward (the proxy that leads a move) during a move must be seen in the store soon.
PAUSE_SECONDS = 2.0
URGENT_PAUSE_SECONDS = 0.5
# Longest time that a proxy of a new system looks for others before it reads the store
# as one that is alone: time for their first heartbeats and entries.
FIRST_START_SECONDS = 4.0
FIRST_START_PAUSE_SECONDS = (0.6, 1.2)  # random, between two scans meanwhile
EPOCH_BITS = 48  # of a random number that no two processes share


class Follower:
    """Read the proxies' own keys and apply each change once, by rising revisions.

    ``entries`` is the replica of these keys. ``reachable`` is set while the operator's
    keys can be read from the store, by this proxy or by those that it asks.
    ``settled`` is set once this proxy knows others, or has looked for them: before,
    every proxy would read the store. ``watch_timeout`` is the timeout of the watch that
    runs, ``None`` without one. ``started`` is the time of the start,
    ``unavailable_since`` the time since which the store is unavailable, both by
    ``clock``. ``order_received`` is set when an order of a move arrives, and ends the
    pause between reads.
    """

    __slots__ = (
        "services",
        "entries",
        "unavailable_since",
        "reachable",
        "settled",
        "watch_timeout",
        "started",
        "order_received",
    )

    def __init__(self, services):
        self.services = services
        epoch = services.random.getrandbits(EPOCH_BITS) + 1
        self.entries = replicas.Replica(self.apply_proxy_key, epoch)
        self.unavailable_since = None
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.settled = asyncio.Event()
        self.watch_timeout = None
        self.started = services.clock()
        self.order_received = asyncio.Event()

    def has_open_order(self):
        """Return whether a move is ordered that this proxy may have to lead."""
        raise NotImplementedError

    def apply_proxy_key(self, change):
        """Apply a change of a key that a proxy wrote."""
        raise NotImplementedError

    async def write_bases(self):
        """Store the base version of each service that has none."""
        raise NotImplementedError

    async def follow(self):
        """Scan the proxies' keys, and watch them while this proxy reads the store.

        Run until cancelled.
        """
        await self._read_first()
        self.settled.set()
        reading = self.services.refresher.sources.reading
        while True:
            await reading.wait()
            # While the store is unavailable, only the refresher retries it.
            await self.reachable.wait()
            await self._watch()

    async def _read_first(self):
        """Scan until the keys are known, and in a new system until others are.

        They may also become known by a snapshot that another proxy sends.
        """
        first_start = self.services.settings.proxy.first_start == "yes"
        while not self.entries.known.is_set():
            await self._until_known(self.reachable.wait())
            await self._until_known(self._scan(stale=first_start))
        while first_start and not self._knows_others():
            if self.services.clock() - self.started > FIRST_START_SECONDS:
                return
            pause = self.services.random.uniform(*FIRST_START_PAUSE_SECONDS)
            await asyncio.sleep(pause)
            await self._scan(stale=True)

    async def _until_known(self, waiting):
        """Wait for a coroutine, but only until the keys are known.

        A store that does not respond must not delay what follows once another proxy
        has sent a snapshot: others may ask this proxy for its state.
        """
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(waiting),
            loop.create_task(self.entries.known.wait()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _knows_others(self):
        """Return whether a proxy on another host of the same domain is known."""
        proxy = self.services.settings.proxy
        return any(
            target.domain == proxy.domain and target.host != proxy.address
            for target in self.services.directory.by_host.values()
        )

    async def _scan(self, stale=False):
        """Read all keys; with ``stale``, as they were seconds ago at most."""
        scanned = await self.services.store.scan(entry.OWN_PREFIX, stale)
        if isinstance(scanned, kvstore.Away):
            await self._note_unavailable(scanned.reason)
            return
        self._note_available()
        self.entries.apply_scan(scanned)

    async def _watch(self):
        """Watch the keys once; pause after changes, or if the store is unavailable."""
        result = await self._watch_once()
        if result is None:
            return
        if isinstance(result, kvstore.Away):
            await self._note_unavailable(result.reason)
            return
        if isinstance(result, kvstore.HistoryGone):
            self.services.log.event(
                "history-gone", prefix=entry.OWN_PREFIX, after=self.entries.at
            )
            await self._scan()
            return
        self._note_available()
        self.entries.apply_watch(result)
        await self.write_bases()
        if result.changes:
            await self._pause()

    async def _watch_once(self):
        """Return the result of one watch, ``None`` if it has to be sent again."""
        seconds = self.services.settings.store.watch_seconds
        try:
            async with asyncio.timeout(None) as self.watch_timeout:
                return await self.services.store.watch(
                    entry.OWN_PREFIX, self.entries.at, seconds
                )
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
        if self.has_open_order():
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
