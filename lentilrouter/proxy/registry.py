"""Apply the proxies' own entries in the store, and the operator's orders of moves.

``following`` reads the entries, ``entry`` keeps this proxy's own entry current, and
``pruning`` removes those of hosts that are gone.
"""

import asyncio

from lentilrouter.core import fields
from lentilrouter.crash_records import keeping
from lentilrouter.proxy import directory, entry, following, kvstore, moves
from lentilrouter.quotas import electing

OWN_PREFIX = entry.OWN_PREFIX
TARGETS_PREFIX = entry.TARGETS_PREFIX
MOVES_PREFIX = OWN_PREFIX + "moves/"
BASES_PREFIX = entry.BASES_PREFIX
STEWARDS_PREFIX = OWN_PREFIX + "stewards/"
URGENT_PAUSE_SECONDS = following.URGENT_PAUSE_SECONDS
# Probes in a row without a response after which a host's target is removed; a single
# one may be lost.
PROBES_MAX = 2
PROBE_PAUSE_SECONDS = 0.3  # after a probe without a response
REPROBE_SECONDS = 1.5  # between probes of a host that responds but has no entry


class Registry(following.Follower):
    """Apply changes of the proxies' keys in the store.

    ``services`` provides store, adapter for values, directory, bases, eligibility,
    hosting, log, clock, random and settings; its ``on_order`` is called with the
    service of each order or change of a move. ``orders`` maps a service to its order,
    the order's revision and the time at which it was read; ``stewards`` maps a service
    to the id of the proxy that leads its move; ``probes`` maps a host to the task that
    probes it. ``own`` writes this proxy's entry.
    """

    __slots__ = (
        "orders",
        "stewards",
        "own",
        "probes",
    )

    def __init__(self, services):
        super().__init__(services)
        self.orders = {}
        self.stewards = {}
        self.probes = {}
        self.own = entry.OwnEntry(services, self.entries, self.reachable)

    @property
    def dirty(self):
        """Return the event to set when the local target has changed."""
        return self.own.dirty

    async def keep_entry(self):
        """Keep this proxy's entry current, forever."""
        await self.own.keep()

    def entry(self):
        """Return the entry that this proxy should have in the store, or ``None``."""
        return self.own.desired()

    def has_open_order(self):
        """Return whether an order is open whose move this proxy may have to lead."""
        return any(self.services.steward.has_open_order(order) for order in self.orders)

    def catch_up(self, items):
        """Apply items that another proxy sent, if newer than the known ones."""
        for item in items:
            if item.key.startswith(OWN_PREFIX):
                self.entries.apply(item)
        self.services.log.event("caught-up", items=len(items))

    async def write_bases(self):
        """Store the base version of each service that has none.

        That is the version of the target that started first. Other proxies may do the
        same; only the first write takes effect.
        """
        services = self.services
        for service, targets in list(services.directory.by_service.items()):
            if service in services.bases.base:
                continue
            key = BASES_PREFIX + service
            version = min(targets, key=lambda target: target.born).version
            put = kvstore.Put(key, version.encode())
            result = await services.store.write({key: 0}, [put])
            if isinstance(result, kvstore.Written):
                self.entries.apply(kvstore.Item(key, version.encode(), result.revision))
            elif isinstance(result, kvstore.Conflict):
                self.entries.apply_each(result.items)
            services.log.event(
                "base-written",
                service=service,
                version=version,
                result=type(result).__name__,
            )

    def apply_order(self, change):
        """Apply an order of a move or an evacuation, or its removal.

        An invalid one is logged and ignored, a change of another key only ignored.
        """
        services, adapter = self.services, self.services.adapter
        if change.key.startswith(adapter.EVACUATION_PREFIX):
            services.eligibility.apply_order(change)
            return
        if not change.key.startswith(adapter.ORDER_PREFIX):
            return
        service = change.key[len(adapter.ORDER_PREFIX) :]
        if isinstance(change, kvstore.Removed):
            self.orders.pop(service, None)
            return
        order = adapter.read_order(change.value)
        if not isinstance(order, moves.Order) or order.service != service:
            services.log.event("order-refused", key=change.key, why=str(order))
            return
        self.orders[service] = (order, change.revision, services.clock())
        self.order_received.set()
        services.log.event(
            "order",
            service=service,
            version=order.version,
            seconds=order.seconds,
            revision=change.revision,
        )
        services.on_order(service)

    def apply_proxy_key(self, change):
        """Apply a change of a key that a proxy wrote; log and ignore an invalid one."""
        key = change.key
        urgent = not key.startswith(TARGETS_PREFIX)
        self.services.state.note_entry_change(urgent)
        try:
            if key.startswith(TARGETS_PREFIX):
                self._apply_target(key[len(TARGETS_PREFIX) :], change)
            elif key.startswith(MOVES_PREFIX):
                self._apply_move(key[len(MOVES_PREFIX) :], change)
            elif key.startswith(BASES_PREFIX):
                if isinstance(change, kvstore.Item):
                    service = key[len(BASES_PREFIX) :]
                    version = fields.text(change.value.decode(), "version")
                    self.services.bases.base[service] = version
            elif key.startswith(keeping.PREFIX):
                self.services.crash_keeper.apply(key[len(keeping.PREFIX) :], change)
            elif key.startswith(STEWARDS_PREFIX):
                service = key[len(STEWARDS_PREFIX) :]
                if isinstance(change, kvstore.Removed):
                    self.stewards.pop(service, None)
                    self.services.on_order(service)
                else:
                    name = fields.text(change.value.decode(), "steward")
                    self.stewards[service] = name
            elif key == electing.KEY:
                self.services.quotas.elector.apply(change)
        except ValueError as error:
            self.services.log.event("entry-refused", key=key, reason=str(error))

    def _apply_target(self, host, change):
        """Apply a change of a host's entry; raise ``ValueError`` if it is invalid.

        This proxy's own entry restores the local target after a restart. A removed
        entry of another host starts a probe of that host, unless its target had left.
        """
        services = self.services
        now = services.clock()
        if host == services.settings.proxy.address:
            if isinstance(change, kvstore.Removed):
                self.own.note_removed(change.revision)
                return
            self.own.note_stored(change.value, change.revision)
            services.restorer.restore(directory.decode(change.value))
            return
        if isinstance(change, kvstore.Removed):
            target = services.directory.by_host.get(host)
            if target is not None and not target.ready:
                self._remove_target(host, "entry removed after its target left")
            else:
                self._start_probing(host)
            return
        probe = self.probes.pop(host, None)
        if probe is not None:
            probe.cancel()
        target = directory.decode(change.value)
        if target.host != host:
            raise ValueError(f"entry is for another host: {target.host}")
        if services.directory.put(target, now):
            services.log.event(
                "target-known",
                host=host,
                id=target.id,
                service=target.service,
                version=target.version,
                ready=target.ready,
                revision=change.revision,
            )

    def _remove_target(self, host, cause):
        """Remove the target of a host, if it is known, and log it."""
        target = self.services.directory.remove(host)
        if target is not None:
            self.services.log.event("target-gone", host=host, id=target.id, cause=cause)

    def _start_probing(self, host):
        """Start to probe a host whose entry was removed from the store.

        The proxy that removed the entry may have been cut off from that host, which may
        be alive. So the target is removed only once its host doesn't respond to probes.
        """
        if host in self.services.directory.by_host and host not in self.probes:
            loop = asyncio.get_running_loop()
            self.probes[host] = loop.create_task(self._probe(host))

    async def _probe(self, host):
        """Probe a host until it is no longer known or doesn't respond; remove it."""
        missed = 0
        try:
            while missed < PROBES_MAX and host in self.services.directory.by_host:
                target = await self.services.fetch_target(self.services.directory, host)
                if target is None:
                    missed += 1
                    await asyncio.sleep(PROBE_PAUSE_SECONDS)
                    continue
                missed = 0
                if self.services.directory.put(target, self.services.clock()):
                    self.services.log.event("target-answers", host=host, id=target.id)
                await asyncio.sleep(REPROBE_SECONDS)
            self._remove_target(host, "entry removed and host does not respond")
        finally:
            if self.probes.get(host) is asyncio.current_task():
                del self.probes[host]

    def _apply_move(self, service, change):
        """Apply a change of a move; raise ``ValueError`` if it is invalid."""
        services = self.services
        if isinstance(change, kvstore.Removed):
            services.bases.moves.pop(service, None)
            return
        move = moves.decode(change.value)
        services.bases.moves[service] = move
        services.log.event(
            "move",
            service=service,
            old=move.old,
            new=move.new,
            state=move.state,
            share=move.share,
            reason=move.reason,
            revision=change.revision,
        )
        services.on_order(service)
