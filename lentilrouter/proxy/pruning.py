"""Remove the entries of hosts that are gone from the store.

A proxy that others ask for state hears from them several times in a few seconds. It
probes those that it does not hear from, and removes the entry of one whose host does
not respond. If that host is alive after all, its proxy writes the entry again.
"""

import asyncio

from lentilrouter.proxy import entry, kvstore, readers

CHECK_SECONDS = 2.0  # between two checks
SILENT_SECONDS = 6.0  # without a request, after which a host is probed
PROBES_MAX = 3  # in a row without a response by a host that is gone
PROBE_PAUSE_SECONDS = 0.5
PROBED_AT_ONCE = 8  # hosts; a whole failure domain may be gone


class Pruner:
    """Pruner of the entries of the hosts that ask this proxy for state.

    ``services`` provides refresher, directory, registry, store, settings, clock, log
    and ``responds``. ``heard_at`` maps a host to the time at which its proxy last
    responded or sent a request, or since which it is known.
    """

    __slots__ = ("services", "heard_at")

    def __init__(self, services):
        self.services = services
        self.heard_at = {}

    def note_request(self, host):
        """Record that the proxy of a host sent a request."""
        self.heard_at[host] = self.services.clock()

    async def run(self):
        """Check periodically, forever."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            await self.check()

    async def check(self):
        """Probe the hosts that are silent, and remove the entries of those gone."""
        now = self.services.clock()
        hosts = self._asking()
        self.heard_at = {host: self.heard_at.get(host, now) for host in hosts}
        silent = [host for host in hosts if now - self.heard_at[host] > SILENT_SECONDS]
        silent.sort(key=self.heard_at.get)
        probed = silent[:PROBED_AT_ONCE]
        gone = await asyncio.gather(*(self._is_gone(host) for host in probed))
        for host, is_gone in zip(probed, gone, strict=True):
            if is_gone and await self._reaches_others(host):
                await self._remove(host)

    def _asking(self):
        """Return the known hosts whose proxies may ask this one, none but for leaders.

        A host whose entry is not in the store is not among them.
        """
        services = self.services
        sources = services.refresher.sources
        if not sources.role.leads:
            return set()
        proxy = services.settings.proxy
        known = services.directory.by_host
        tree = readers.Tree(
            [target for target in known.values() if target.host not in sources.skipped]
        )
        # Hosts that this proxy would ask itself, but that did not respond, count too.
        asking = tree.asking(proxy.address, proxy.domain) | sources.skipped.keys()
        items = services.registry.entries.items
        return {host for host in asking if entry.TARGETS_PREFIX + host in items}

    async def _is_gone(self, host):
        """Return whether a host does not respond to ``PROBES_MAX`` probes."""
        services = self.services
        for _ in range(PROBES_MAX):
            if host not in services.directory.by_host:
                return False
            if await services.responds(services.directory.by_host[host].peer):
                self.note_request(host)
                return False
            await asyncio.sleep(PROBE_PAUSE_SECONDS)
        return True

    async def _reaches_others(self, host):
        """Return whether a host other than this one and ``host`` responds.

        Also return ``True`` if no others are known. A proxy that reaches nobody may be
        cut off itself.
        """
        services = self.services
        own = services.settings.proxy.address
        others = [
            target
            for target in services.directory.by_host.values()
            if target.host not in (own, host)
        ]
        others.sort(key=lambda target: -self.heard_at.get(target.host, 0.0))
        for target in others[:PROBES_MAX]:
            if await services.responds(target.peer):
                return True
        return not others

    async def _remove(self, host):
        """Remove the entry of a host, unless it was written again meanwhile."""
        services = self.services
        entries = services.registry.entries
        key = entry.TARGETS_PREFIX + host
        expected = {key: entries.stored_revision(key)}
        result = await services.store.write(expected, [], [key])
        services.log.event(
            "entry-pruned",
            host=host,
            silent=round(services.clock() - self.heard_at.get(host, 0.0), 1),
            result=type(result).__name__,
        )
        if isinstance(result, kvstore.Written):
            entries.apply(kvstore.Removed(key, result.revision))
        elif isinstance(result, kvstore.Conflict):
            entries.apply_each(result.items)
