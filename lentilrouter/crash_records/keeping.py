"""Keep the records of blocked calls across restarts of proxies.

A call that three targets died of is blocked. The proxy that saw the third death writes
a key to the store, so that every proxy knows it, also one that starts later. Records
of fewer deaths are not stored: a starting proxy asks others for them. A target that
dies with several calls in flight thus causes no write, and a caller can cause at most
one write for three targets that die.
"""

import asyncio
import contextlib

from lentilrouter.crash_records import messages as record_messages
from lentilrouter.datapath import messages
from lentilrouter.proxy import entry, kvstore

PREFIX = entry.OWN_PREFIX + "crashes/"
STORED_MAX = 256  # keys; the oldest one makes room for a new one
ASKED_MAX = 2  # proxies that a starting proxy asks for their records
ASK_SECONDS = 1.0  # timeout of such a request
CHECK_SECONDS = 5.0  # between checks for blocked calls without a key, and expired keys
RETRY_SECONDS = (0.5, 1.5)  # random, after a write that failed


class Keeper:
    """Keep records in the store, and fetch those of other proxies after the start.

    ``services`` provides crashes, registry, refresher, store, peers, settings, clock,
    random, log and ``announce``. ``unstored`` has the fingerprints of calls that this
    proxy found to be blocked and has not stored yet, ``changed`` is set when one is
    added.
    """

    __slots__ = ("services", "unstored", "changed")

    def __init__(self, services):
        self.services = services
        self.unstored = {}
        self.changed = asyncio.Event()

    def note_blocked(self, fingerprint):
        """Have the record of a blocked call stored."""
        self.unstored[fingerprint] = True
        self.changed.set()

    def records(self):
        """Return all records of this proxy, as messages."""
        now = self.services.clock()
        return [
            record_messages.Record(
                fingerprint,
                tuple(sorted(record.targets))[: record_messages.TARGETS_MAX],
                max(0.0, now - record.seen),
            )
            for fingerprint, record in self.services.crashes.records.items()
        ]

    def apply(self, fingerprint, change):
        """Apply a change of a stored record; raise ``ValueError`` if it is malformed.

        A removed one stays in memory until it expires there.
        """
        if isinstance(change, kvstore.Item):
            targets = record_messages.decode_stored(change.value)
            self.services.crashes.merge(fingerprint, targets, self.services.clock())

    async def run(self):
        """Fetch records once, then store new ones and remove expired ones, forever."""
        await self.services.registry.entries.known.wait()
        await self._fetch()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await self.changed.wait()
            self.changed.clear()
            await self._store_all()
            await self._remove_expired()

    async def _fetch(self):
        """Get the records of a few other proxies."""
        targets = self.services.refresher.sources.announced_to()[:ASKED_MAX]
        await asyncio.gather(*(self._fetch_from(target) for target in targets))

    async def _fetch_from(self, target):
        services = self.services
        request = messages.Request(
            "GET", record_messages.RECORDS_PATH, [(b"host", b"peer")]
        )
        result = await services.peers.send(target.peer, request, ASK_SECONDS)
        if not isinstance(result, messages.Replied) or result.response.status != 200:
            return
        now = services.clock()
        try:
            records = record_messages.decode(result.response.body)
        except ValueError as error:
            services.log.event(
                "crash-records-refused", host=target.host, reason=str(error)
            )
            return
        for record in records:
            services.crashes.merge(record.fingerprint, record.targets, now - record.age)
        services.log.event("crash-records", host=target.host, count=len(records))

    async def _store_all(self):
        """Store the records of blocked calls that the store lacks.

        Readers also store those that other proxies reported: the proxy that found a
        call to be blocked may have ended before its write.
        """
        services = self.services
        if services.refresher.sources.role.reads:
            for fingerprint in services.crashes.records:
                if services.crashes.blocked(fingerprint):
                    self.unstored[fingerprint] = True
        items = services.registry.entries.items
        for fingerprint in list(self.unstored):
            blocked = services.crashes.blocked(fingerprint)
            if blocked and PREFIX + fingerprint not in items:
                await services.registry.reachable.wait()
                if not await self._store(fingerprint):
                    pause = services.random.uniform(*RETRY_SECONDS)
                    await asyncio.sleep(pause)
                    self.changed.set()
                    return
            self.unstored.pop(fingerprint, None)

    async def _store(self, fingerprint):
        """Write one record; return whether the store has it now."""
        services, entries = self.services, self.services.registry.entries
        key = PREFIX + fingerprint
        value = record_messages.encode_stored(
            services.crashes.records[fingerprint].targets
        )
        removed = self._oldest_keys()
        result = await services.store.write(
            {key: 0}, [kvstore.Put(key, value)], removed
        )
        services.log.event(
            "crash-record-written",
            fingerprint=fingerprint,
            result=type(result).__name__,
        )
        if isinstance(result, kvstore.Written):
            for each in removed:
                entries.apply(kvstore.Removed(each, result.revision))
            entries.apply(kvstore.Item(key, value, result.revision))
            return True
        if isinstance(result, kvstore.Conflict):
            entries.apply_each(result.items)
            return True
        return False

    def _oldest_keys(self):
        """Return the keys to remove so that a new one fits."""
        items = self.services.registry.entries.items
        stored = [item for key, item in items.items() if key.startswith(PREFIX)]
        surplus = len(stored) - STORED_MAX + 1
        stored.sort(key=lambda item: item.revision)
        return [item.key for item in stored[: max(0, surplus)]]

    async def _remove_expired(self):
        """Remove the keys of calls that this proxy no longer has a record of.

        Only a proxy that reads the store does so.
        """
        services, entries = self.services, self.services.registry.entries
        if not services.refresher.sources.role.reads:
            return
        for key in [key for key in entries.items if key.startswith(PREFIX)]:
            if key[len(PREFIX) :] in services.crashes.records:
                continue
            result = await services.store.write({}, [], [key])
            if not isinstance(result, kvstore.Written):
                return
            entries.apply(kvstore.Removed(key, result.revision))
            services.log.event("crash-record-removed", key=key)
