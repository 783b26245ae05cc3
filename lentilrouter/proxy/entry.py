"""Keep this proxy's own entry in the store."""

import asyncio
import dataclasses

from lentilrouter.proxy import directory, exchange, kvstore, liveness

OWN_PREFIX = "lentilrouter/"  # of all keys that proxies write
TARGETS_PREFIX = OWN_PREFIX + "targets/"
BASES_PREFIX = OWN_PREFIX + "bases/"
RETRY_SECONDS = (0.3, 0.9)  # random, so that proxies don't all retry at the same time
BACKOFF_MAX = 4  # greatest factor of the pause after repeated failures


class OwnEntry:
    """Write the entry of the local target whenever it changes.

    An entry is not bound to a lease: it stays while the store is unavailable, and while
    this process restarts. It is removed by this proxy once its target has left for
    good, or by another proxy if this host is gone (see ``pruning``).

    ``entries`` is the replica of the proxies' keys, ``reachable`` is set while the
    store is available. ``written`` is the entry as last written, or ``None`` if the
    store doesn't have it. ``revision`` is that of its key, 0 if there is no such key:
    each write expects it, so that a write whose response was lost cannot take effect
    after a later one. ``dirty`` is set when the local target or the stored entry has
    changed. ``failures`` counts the failed writes since the last one that succeeded.
    """

    __slots__ = (
        "services",
        "entries",
        "reachable",
        "dirty",
        "written",
        "revision",
        "failures",
    )

    def __init__(self, services, entries, reachable):
        self.services = services
        self.entries = entries
        self.reachable = reachable
        self.dirty = asyncio.Event()
        self.written = None
        self.revision = 0
        self.failures = 0

    @property
    def key(self):
        """Return the key of this proxy's entry."""
        return TARGETS_PREFIX + self.services.settings.proxy.address

    def note_stored(self, value, revision):
        """Record that the store has an entry of this host.

        ``value`` is the encoded entry. Raise ``ValueError`` if it is invalid.
        """
        self.revision = revision
        self.written = _comparable(directory.decode(value))
        self.dirty.set()

    def note_removed(self, revision):
        """Record that this proxy's entry was removed, so that it is written again."""
        self.revision = 0
        if self.written is not None:
            self.services.log.event("own-entry-gone", revision=revision)
            self.written = None
            self.dirty.set()

    def desired(self):
        """Return the entry that this proxy should have in the store, or ``None``.

        ``None`` also means that a stored entry should be removed. As long as no target
        is known for sure, the stored entry stays.
        """
        hosting = self.services.hosting
        target = hosting.liveness.target
        if target is None or (hosting.liveness.assumed and not hosting.stopping):
            return self.written
        if hosting.stopping and hosting.liveness.state is liveness.State.GONE:
            return None
        return _comparable(dataclasses.replace(target, open=not hosting.stopping))

    async def keep(self):
        """Keep this proxy's entry current, forever."""
        await self.entries.known.wait()
        while True:
            self.dirty.clear()
            if self.written == self.desired():
                await self.dirty.wait()
                continue
            await self.reachable.wait()
            if await self.write():
                self.failures = 0
                continue
            self.failures += 1
            pause = self.services.random.uniform(*RETRY_SECONDS)
            await asyncio.sleep(pause * min(self.failures, BACKOFF_MAX))

    async def write(self):
        """Write, or remove, the entry as it should be; return whether that succeeded.

        The result is logged, also that of a failure. A written entry is announced.
        """
        services, entry = self.services, self.desired()
        expected = {self.key: self.revision}
        if entry is None:
            result = await services.store.write(expected, [], [self.key])
        else:
            target = services.hosting.liveness.target
            value = dataclasses.replace(target, open=entry.open).encode()
            put = kvstore.Put(self.key, value)
            result = await services.store.write(expected, [put])
        if isinstance(result, kvstore.Conflict):
            return self._note_conflict(result)
        if not isinstance(result, kvstore.Written):
            services.log.event("entry-not-written", result=str(result))
            return False
        self.written = entry
        if entry is None:
            self.revision = 0
            services.log.event("entry-removed", key=self.key, revision=result.revision)
            self.entries.apply(kvstore.Removed(self.key, result.revision))
            return True
        self.revision = result.revision
        services.log.event(
            "entry-written",
            id=entry.id,
            ready=entry.ready,
            open=entry.open,
            revision=result.revision,
        )
        self._announce(kvstore.Item(self.key, value, result.revision))
        return True

    def _note_conflict(self, conflict):
        """Record what the store has instead of the expected entry; return ``True``.

        It may be an earlier write of this proxy whose response was lost. If it isn't
        the desired entry, it is written again.
        """
        items = [item for item in conflict.items if item.key == self.key]
        self.services.log.event(
            "entry-conflict",
            expected=self.revision,
            found=items[0].revision if items else 0,
        )
        self.revision, self.written = 0, None
        for item in items:
            try:
                self.note_stored(item.value, item.revision)
            except ValueError as error:
                self.services.log.event(
                    "entry-refused", key=item.key, reason=str(error)
                )
            self._announce(item)
        return True

    def _announce(self, item):
        """Record an item of the own key, and announce it to those that others ask."""
        self.entries.apply(item)
        self.services.announce(exchange.encode([item]))


def _comparable(target):
    """Return a target without the fields that change with each heartbeat."""
    return dataclasses.replace(target, sequence=0)
