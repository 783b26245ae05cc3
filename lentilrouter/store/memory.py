"""Store back end: keys in the memory of this process.

It serves a node that runs alone, and tests.
"""

import dataclasses
import itertools

import anyio

from lentilrouter.core import clock
from lentilrouter.store import base


@dataclasses.dataclass(slots=True)
class Entry:
    """A value with its version; the key is removed when its lease ends."""

    value: bytes
    version: int
    lease: str | None = None


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease: its duration, and its end in seconds of the monotonic clock."""

    ttl_seconds: float
    expires_at: float


class Keys:
    """Keys and leases in memory, and the operations on them.

    The memory back end and the stand-in for the platform both use it. All keys take
    versions from one counter, so a key created again never repeats an old version.
    """

    __slots__ = ("clock", "entries", "leases", "counter", "lease_ids")

    def __init__(self, time):
        self.clock = time
        self.entries = {}
        self.leases = {}
        self.counter = itertools.count(1)
        self.lease_ids = itertools.count(1)

    def expire(self):
        """Remove expired leases and their keys."""
        now = self.clock.monotonic()
        for lease in [id for id, item in self.leases.items() if item.expires_at <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether the lease existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.entries.items() if item.lease == lease]:
            del self.entries[key]
        return True

    def get(self, key):
        """Return ``Found`` or ``Missing``."""
        self.expire()
        entry = self.entries.get(key)
        if entry is None:
            return base.Missing()
        return base.Found(entry.value, entry.version)

    def scan(self, prefix):
        """Return ``Found`` by key for all keys with ``prefix``."""
        self.expire()
        return {
            key: base.Found(entry.value, entry.version)
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        }

    def put(self, key, value, expect=None, lease=None):
        """Write a key; return ``Written``, ``Conflict`` or ``LeaseExpired``."""
        self.expire()
        entry = self.entries.get(key)
        version = 0 if entry is None else entry.version
        if expect is not None and expect != version:
            return base.Conflict(version)
        if lease is not None and lease not in self.leases:
            return base.LeaseExpired()
        self.entries[key] = Entry(value, next(self.counter), lease)
        return base.Written(self.entries[key].version)

    def delete(self, key):
        """Remove a key; return ``Written`` or ``Missing``."""
        self.expire()
        if self.entries.pop(key, None) is None:
            return base.Missing()
        return base.Written(next(self.counter))

    def grant(self, seconds):
        """Create a lease of ``seconds`` and return ``Granted``."""
        lease = f"lease-{next(self.lease_ids)}"
        self.leases[lease] = Lease(seconds, self.clock.monotonic() + seconds)
        return base.Granted(lease)

    def renew(self, lease):
        """Renew a lease for its duration; return ``Granted`` or ``LeaseExpired``."""
        self.expire()
        item = self.leases.get(lease)
        if item is None:
            return base.LeaseExpired()
        item.expires_at = self.clock.monotonic() + item.ttl_seconds
        return base.Granted(lease)


POLL_SECONDS = 0.02  # between two reads of a watched key


@base.BACKENDS.register("memory")
class MemoryStore(base.Store):
    """Store whose keys are in the memory of this process."""

    __slots__ = ("keys",)

    def __init__(self, settings, keys=None):
        self.keys = keys or Keys(clock.SystemClock())

    async def get(self, key):
        """Read a key; return ``Found`` or ``Missing``."""
        return self.keys.get(key)

    async def scan(self, prefix):
        """Return ``Found`` by key for all keys with ``prefix``."""
        return self.keys.scan(prefix)

    async def put(self, key, value, expect=None, lease=None):
        """Write a key; return ``Written``, ``Conflict`` or ``LeaseExpired``."""
        return self.keys.put(key, value, expect, lease)

    async def delete(self, key):
        """Remove a key; return ``Written`` or ``Missing``."""
        return self.keys.delete(key)

    async def watch(self, key, after, seconds):
        """Poll up to ``seconds`` until the key has a version above ``after``.

        Return ``Found`` or ``Unchanged``.
        """
        with anyio.move_on_after(seconds):
            while True:
                found = self.keys.get(key)
                if isinstance(found, base.Found) and found.version > after:
                    return found
                await anyio.sleep(POLL_SECONDS)
        return base.Unchanged()

    async def grant(self, seconds):
        """Return ``Granted`` for a lease of ``seconds``."""
        return self.keys.grant(seconds)

    async def renew(self, lease):
        """Renew a lease; return ``Granted`` or ``LeaseExpired``."""
        return self.keys.renew(lease)

    async def revoke(self, lease):
        """End a lease and remove its keys; return ``Written`` or ``LeaseExpired``."""
        return base.Written(0) if self.keys.end_lease(lease) else base.LeaseExpired()
