"""Keep this proxy's own entry in the store, bound to a lease."""

import asyncio
import dataclasses

from lentilrouter.proxy import exchange, kvstore

OWN_PREFIX = "lentilrouter/"
TARGETS_PREFIX = OWN_PREFIX + "targets/"
BASES_PREFIX = OWN_PREFIX + "bases/"
RETRY_SECONDS = (0.3, 0.9)  # random, so that proxies don't return to the store at once
RENEWALS = 3  # renewals in the time of one lease


class OwnEntry:
    """Write what the local target is, and renew the lease that keeps it there.

    ``scanned`` is set once the proxies' keys are known, ``reachable`` while the store
    answers; ``on_return`` is called when it answers again after it did not.
    """

    __slots__ = (
        "services",
        "scanned",
        "reachable",
        "on_return",
        "store_failed",
        "lease",
        "lease_until",
        "dirty",
        "written",
    )

    def __init__(self, services, scanned, reachable, on_return):
        self.services = services
        self.scanned = scanned
        self.reachable = reachable
        self.on_return = on_return
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
        """Note that the store has this proxy's entry no more."""
        if self.written is not None:
            self.services.log.event("own-entry-gone", revision=revision)
            self.written = None
            self.dirty.set()

    async def keep(self):
        """Hold a lease and keep this proxy's entry current, for ever."""
        await self.scanned.wait()
        while True:
            await self.reachable.wait()
            pause = await self._keep_once()
            self.dirty.clear()
            if self.written != self.desired() and pause > 0 and not self._waiting():
                continue
            try:
                async with asyncio.timeout(pause):
                    await self.dirty.wait()
            except TimeoutError:
                continue

    def _waiting(self):
        return self.lease == 0 or self.services.clock() > self.lease_until

    def desired(self):
        """Return the entry that this proxy should have in the store, or ``None``."""
        target = self.services.hosting.liveness.target
        if target is None:
            return None
        is_open = not self.services.hosting.stopping
        return dataclasses.replace(target, sequence=0, open=is_open)

    async def _keep_once(self):
        """Renew or obtain the lease, write what changed; return when to look again."""
        services = self.services
        store = services.settings.store
        retry = services.random.uniform(*RETRY_SECONDS)
        now = services.clock()
        if self.lease and now >= self.lease_until - store.lease_seconds * (
            1 - 1 / RENEWALS
        ):
            renewed = self._note_store_result(await services.store.renew(self.lease))
            if isinstance(renewed, kvstore.Granted):
                self.lease_until = now + renewed.seconds
            elif isinstance(renewed, kvstore.LeaseEnded):
                services.log.event("lease-ended", lease=self.lease)
                self.lease, self.written = 0, None
            else:
                return retry
        if not self.lease:
            granted = self._note_store_result(
                await services.store.grant(store.lease_seconds)
            )
            if not isinstance(granted, kvstore.Granted):
                return retry
            self.lease = granted.lease
            self.lease_until = now + granted.seconds
        entry = self.desired()
        if entry is not None and entry != self.written:
            if not await self.write(entry):
                return retry
            self.written = entry
        return store.lease_seconds / RENEWALS

    def _note_store_result(self, result):
        """Note whether the store answered, and pass its answer on."""
        if isinstance(result, kvstore.Away):
            self.store_failed = True
        elif self.store_failed:
            self.store_failed = False
            self.on_return()
        return result

    async def write(self, entry):
        """Write the entry, and tell the other proxies; return whether it is there."""
        services = self.services
        target = services.hosting.liveness.target
        value = dataclasses.replace(target, open=entry.open)
        puts = [kvstore.Put(self.key, value.encode(), self.lease)]
        expected = {}
        if entry.service not in services.bases.base:
            # The first target of a service states the version traffic is at.
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
