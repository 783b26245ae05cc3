"""Elect the allocator of quotas by a key bound to a lease in the store."""

import asyncio

import xxhash

from lentilrouter.core import fields
from lentilrouter.proxy import entry, exchange, kvstore
from lentilrouter.quotas import allocation

KEY = entry.OWN_PREFIX + "allocator"
CANDIDATES = 4  # proxies that try to become the allocator in the same interval
# Between two such groups: a write of the store that is slow, and its broadcast.
GROUP_SECONDS = 1.0
CHECK_SECONDS = 0.25  # between two looks for an allocator that is missing
# The clocks of the store and this host differ, and an answer takes time to be sent.
LEASE_MARGIN_SECONDS = 0.2
RENEW_SHARE = 1 / 3  # of a lease, after which it is renewed


class Elector:
    """Try to become the allocator while there is none.

    ``own`` and ``peer`` are the addresses of this proxy and of the allocator, ``None``
    if none is known. ``allocator`` is the ``allocation.Allocator`` of this proxy while
    it has the role, which is proved until the time ``valid_until``. ``term`` is the
    revision of the allocator's key and ``lease`` its lease, 0 if that is not known.
    ``seen`` maps the hosts of the last seconds to the time at which they were last in
    the directory.
    """

    __slots__ = (
        "services",
        "bound",
        "own",
        "peer",
        "term",
        "lease",
        "seen",
        "allocator",
        "valid_until",
    )

    def __init__(self, services, bound):
        self.services = services
        self.bound = bound
        proxy = services.settings.proxy
        self.own = f"{proxy.address}:{proxy.peer_port}"
        self.peer = self.term = None
        self.lease = 0
        self.seen = {}
        self.allocator = None
        self.valid_until = 0.0

    def apply(self, change):
        """Apply a change of the allocator's key; raise ``ValueError`` if invalid."""
        previous = self.peer
        self.peer = self.term = None
        if isinstance(change, kvstore.Item):
            self.peer = fields.address(change.value.decode(), "allocator")
            self.term, self.lease = change.revision, change.lease
        if self.peer != previous:
            self.services.log.event("quota-allocator", peer=self.peer)

    def answer(self, report):
        """Return the grants for a report, ``None`` if this proxy can't grant now."""
        services = self.services
        now = services.elapsed()
        sheet = services.holder.sheet
        if self.allocator is None or sheet is None or now >= self.valid_until:
            return None
        known, opened = self._known(), self.allocator.opened
        grants = self.allocator.answer(report, sheet.workspaces, known, now)
        if self.allocator.opened and not opened:
            self._note_opened()
        return grants

    def _known(self):
        """Return the hosts that have an entry now."""
        services = self.services
        return {services.settings.proxy.address, *services.directory.by_host}

    def _open(self):
        """Let the allocator raise shares as soon as it may."""
        if self.allocator.open(self._known(), self.services.elapsed()):
            self._note_opened()

    def _note_opened(self):
        hosts = len(self.allocator.processes)
        self.services.log.event("quota-opened", hosts=hosts)

    def note_hosts(self):
        """Note the hosts of the directory, and forget those that left long ago.

        A host keeps its share for a term after its entry is gone, and the allocator may
        have learned late that it was, so a new one has to wait for its report.
        """
        services = self.services
        now = services.elapsed()
        self.seen.update(dict.fromkeys(self._known(), now))
        kept = now - self.bound.window - services.settings.promises.in_force_seconds
        self.seen = {host: at for host, at in self.seen.items() if at >= kept}

    async def run(self, active):
        """Try to become the allocator whenever there is none, forever.

        ``active`` returns whether there are quotas: without any, no store is called.
        """
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            await self._end_earlier_term()
            if not self._is_missing(active):
                continue
            await asyncio.sleep(self._delay_seconds())
            if self._is_missing(active):
                await self._try_to_lead(active)

    async def _end_earlier_term(self):
        """End the lease of an earlier process of this host, which was the allocator.

        Otherwise no other proxy could take its place before the lease expires.
        """
        if self.peer != self.own or self.allocator is not None or not self.lease:
            return
        lease, self.lease = self.lease, 0
        if isinstance(await self.services.store.revoke(lease), kvstore.LeaseEnded):
            self.services.log.event("quota-allocator-ended", lease=lease)
            if self.peer == self.own:
                self.peer = self.term = None

    def _is_missing(self, active):
        """Return whether an allocator is needed, and none is known."""
        known = self.services.registry.entries.known.is_set()
        stopping = self.services.hosting.stopping
        return self.peer is None and known and not stopping and active()

    def _delay_seconds(self):
        """Return the time to wait, by the position of this proxy among all.

        So few proxies call the store to become the allocator, however many there are.
        Hosts with fast links come first: the reports of all hosts arrive at one.
        """
        proxy, known = self.services.settings.proxy, self.services.directory.by_host
        links = {host: target.link_mbps for host, target in known.items()}
        links[proxy.address] = proxy.link_mbps
        own = _order(proxy.address, proxy.link_mbps)
        position = sum(_order(host, link) < own for host, link in links.items())
        group = position // CANDIDATES
        return (group + self.services.random.random()) * GROUP_SECONDS

    async def _try_to_lead(self, active):
        """Write the key; allocate until the lease is lost if that succeeds."""
        services = self.services
        asked_at = services.elapsed()
        granted = await services.store.grant(services.settings.store.lease_seconds)
        if not isinstance(granted, kvstore.Granted):
            return
        put = kvstore.Put(KEY, self.own.encode(), granted.lease)
        written = await services.store.write({KEY: 0}, [put])
        if isinstance(written, kvstore.Conflict):
            services.registry.entries.apply_each(written.items)
        if not isinstance(written, kvstore.Written):
            await services.store.revoke(granted.lease)
            return
        item = kvstore.Item(KEY, put.value, written.revision, granted.lease)
        services.registry.entries.apply(item)
        services.broadcast(exchange.CATCH_UP_PATH, exchange.encode([item]))
        now = services.elapsed()
        self.valid_until = asked_at + granted.seconds - LEASE_MARGIN_SECONDS
        self.note_hosts()
        opens_at = now + self.bound.window
        self.allocator = allocation.Allocator(self.bound, opens_at, self.seen)
        try:
            await self._keep(granted, active)
        finally:
            self.allocator = None
            services.log.event("quota-allocator-lost")
        await services.store.revoke(granted.lease)

    async def _keep(self, granted, active):
        """Renew the lease until it is lost, or the role is no longer needed."""
        services = self.services
        while active() and not services.hosting.stopping:
            await asyncio.sleep(granted.seconds * RENEW_SHARE)
            asked_at = services.elapsed()
            if asked_at >= self.valid_until:
                return
            # Hosts that need nothing report only once, perhaps too early.
            self._open()
            renewed = await services.store.renew(granted.lease)
            if isinstance(renewed, kvstore.LeaseEnded):
                return
            if isinstance(renewed, kvstore.Granted):
                self.valid_until = asked_at + renewed.seconds - LEASE_MARGIN_SECONDS


def _order(host, link_mbps):
    """Return the sort key of a host among those that may become the allocator."""
    return -link_mbps, xxhash.xxh64_intdigest(host.encode())
