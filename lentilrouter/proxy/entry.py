"""Keep this proxy's own entry in the store, bound to a lease."""

import asyncio
import dataclasses

from lentilrouter.proxy import exchange, kvstore

OWN_PREFIX = "lentilrouter/"  # of all keys that proxies write
TARGETS_PREFIX = OWN_PREFIX + "targets/"
BASES_PREFIX = OWN_PREFIX + "bases/"
RETRY_SECONDS = (0.3, 0.9)  # random, so that proxies don't all retry at the same time
RENEWALS_PER_LEASE = 3  # renewals in the time of one lease


class OwnEntry:
    """Write the entry of the local target, and renew the lease that keeps it stored.

    ``scanned`` is set once the proxies' keys are known, ``reachable`` while the store
    is available; ``on_available`` is called when it is available again. ``written`` is
    the entry as last written, or ``None`` if the store doesn't have it. ``lease`` is 0
    if there is none, ``lease_until`` the time by ``clock`` at which it expires.
    ``dirty`` is set when the local target has changed or the entry was removed.
    """

    __slots__ = (
        "services",
        "scanned",
        "reachable",
        "on_available",
        "store_failed",
        "lease",
        "lease_until",
        "dirty",
        "written",
    )

    def __init__(self, services, scanned, reachable, on_available):
        self.services = services
        self.scanned = scanned
        self.reachable = reachable
        self.on_available = on_available
        self.store_failed = False
        self.lease = 0
        self.lease_until = 0.0
        self.dirty = asyncio.Event()
        self.written = None

    @property
    def key(self):
        """Return the key of this proxy's entry."""
        return TARGETS_PREFIX + self.services.settings.proxy.address

    def note_removed(self, revision):
        """Record that this proxy's entry was removed, so that it is written again."""
        if self.written is not None:
            self.services.log.event("own-entry-gone", revision=revision)
            self.written = None
            self.dirty.set()

    async def keep(self):
        """Keep a lease and this proxy's entry current, forever."""
        await self.scanned.wait()
        while True:
            await self.reachable.wait()
            pause = await self._keep_once()
            self.dirty.clear()
            if self.written != self.desired() and pause > 0 and not self._lacks_lease():
                continue
            try:
                async with asyncio.timeout(pause):
                    await self.dirty.wait()
            except TimeoutError:
                continue

    def _lacks_lease(self):
        """Return whether there is no lease or it has expired."""
        return self.lease == 0 or self.services.clock() > self.lease_until

    def desired(self):
        """Return the entry that this proxy should have in the store, or ``None``."""
        target = self.services.hosting.liveness.target
        if target is None:
            return None
        is_open = not self.services.hosting.stopping
        return dataclasses.replace(target, sequence=0, open=is_open)

    async def _keep_once(self):
        """Renew or obtain the lease, and write the entry if it has changed.

        Return the seconds until the next call, unless the entry changes earlier.
        """
        services = self.services
        store = services.settings.store
        retry_seconds = services.random.uniform(*RETRY_SECONDS)
        now = services.clock()
        if self.lease and now >= self.lease_until - store.lease_seconds * (
            1 - 1 / RENEWALS_PER_LEASE
        ):
            renewed = self._note_store_result(await services.store.renew(self.lease))
            if isinstance(renewed, kvstore.Granted):
                self.lease_until = now + renewed.seconds
            elif isinstance(renewed, kvstore.LeaseEnded):
                services.log.event("lease-ended", lease=self.lease)
                self.lease, self.written = 0, None
            else:
                return retry_seconds
        if not self.lease:
            granted = self._note_store_result(
                await services.store.grant(store.lease_seconds)
            )
            if not isinstance(granted, kvstore.Granted):
                return retry_seconds
            self.lease = granted.lease
            self.lease_until = now + granted.seconds
        entry = self.desired()
        if entry is not None and entry != self.written:
            if not await self.write(entry):
                return retry_seconds
            self.written = entry
        return store.lease_seconds / RENEWALS_PER_LEASE

    def _note_store_result(self, result):
        """Record whether the store was available; return the result unchanged."""
        if isinstance(result, kvstore.Away):
            self.store_failed = True
        elif self.store_failed:
            self.store_failed = False
            self.on_available()
        return result

    async def write(self, entry):
        """Write and broadcast the entry; return whether the store accepted it.

        Log the result, also that of a failure.
        """
        services = self.services
        target = services.hosting.liveness.target
        value = dataclasses.replace(target, open=entry.open)
        puts = [kvstore.Put(self.key, value.encode(), self.lease)]
        expected = {}
        if entry.service not in services.bases.base:
            # The version of a service's first target becomes its base version.
            key = BASES_PREFIX + entry.service
            expected = {key: 0}
            puts.append(kvstore.Put(key, entry.version.encode()))
        result = await services.store.write(expected, puts)
        if isinstance(result, kvstore.Conflict):
            result = await services.store.write({}, puts[:1])
        if isinstance(result, kvstore.LeaseEnded):
            self.lease = 0
        if isinstance(result, kvstore.Written):
            services.log.event(
                "entry-written",
                id=entry.id,
                ready=entry.ready,
                open=entry.open,
                revision=result.revision,
            )
            item = kvstore.Item(self.key, puts[0].value, result.revision, self.lease)
            services.broadcast(exchange.CATCH_UP_PATH, exchange.encode([item]))
            return True
        services.log.event("entry-not-written", result=str(result))
        return False
