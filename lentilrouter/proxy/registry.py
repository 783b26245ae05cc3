"""Take in what the proxies wrote to the store, and the operator's orders of moves.

``following`` reads the former, ``entry`` keeps this proxy's own entry there.
"""

import asyncio

from lentilrouter.proxy import directory, entry, following, kvstore, moves

OWN_PREFIX = entry.OWN_PREFIX
TARGETS_PREFIX = entry.TARGETS_PREFIX
MOVES_PREFIX = OWN_PREFIX + "moves/"
BASES_PREFIX = entry.BASES_PREFIX
STEWARDS_PREFIX = OWN_PREFIX + "stewards/"
URGENT_PAUSE_SECONDS = following.URGENT_PAUSE_SECONDS
STARTING_SECONDS = following.STARTING_SECONDS
PROBES_MAX = 2  # in a row without an answer; one may be lost on the way
PROBE_PAUSE_SECONDS = 0.3
STILL_THERE_SECONDS = 1.5  # between questions to a host that lives without an entry


class Registry(following.Follower):
    """Know what the store holds; ``own`` writes this proxy's entry.

    ``services`` gives store, adapter for values, directory, bases, hosting, log, clock,
    random and settings; ``on_order`` is told of each order of a move.
    """

    __slots__ = (
        "orders",
        "stewards",
        "own",
        "asking",
    )

    def __init__(self, services):
        super().__init__(services)
        self.orders = {}
        self.stewards = {}
        self.asking = {}
        self.own = entry.OwnEntry(
            services, self.scanned, self.reachable, self.restart_watch
        )

    @property
    def dirty(self):
        """Return the event that tells of news of the local target."""
        return self.own.dirty

    async def keep_entry(self):
        """Hold a lease and keep this proxy's entry current, for ever."""
        await self.own.keep()

    def entry(self):
        """Return the entry that this proxy should have in the store, or ``None``."""
        return self.own.desired()

    def has_open_order(self):
        """Tell whether a move runs that this proxy may have to lead."""
        return any(self.services.steward.has_open_order(order) for order in self.orders)

    def catch_up(self, items):
        """Take in what another proxy knows; what is held is only replaced by newer."""
        for item in items:
            if item.key.startswith(OWN_PREFIX):
                self.view.apply(item, self.take_own)
        self.services.log.event("caught-up", items=len(items))

    def take_order(self, change):
        """Take in an order of a move, or that it is withdrawn."""
        services, adapter = self.services, self.services.adapter
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

    def take_own(self, change):
        """Take in what the proxies wrote."""
        key = change.key
        try:
            if key.startswith(TARGETS_PREFIX):
                self._take_target(key[len(TARGETS_PREFIX) :], change)
            elif key.startswith(MOVES_PREFIX):
                self._take_move(key[len(MOVES_PREFIX) :], change)
            elif key.startswith(BASES_PREFIX):
                if isinstance(change, kvstore.Item):
                    service = key[len(BASES_PREFIX) :]
                    self.services.bases.base[service] = change.value.decode()
            elif key.startswith(STEWARDS_PREFIX):
                service = key[len(STEWARDS_PREFIX) :]
                if isinstance(change, kvstore.Removed):
                    self.stewards.pop(service, None)
                    self.services.on_order(service)
                else:
                    self.stewards[service] = change.value.decode()
        except ValueError as error:
            self.services.log.event("entry-refused", key=key, reason=str(error))

    def _take_target(self, host, change):
        services = self.services
        now = services.clock()
        if host == services.settings.proxy.address:
            if isinstance(change, kvstore.Removed):
                self.own.note_removed(change.revision)
            elif services.hosting.liveness.target is None:
                services.hosting.restore(directory.decode(change.value))
            return
        if isinstance(change, kvstore.Removed):
            self._ask_whether_gone(host)
            return
        asking = self.asking.pop(host, None)
        if asking is not None:
            asking.cancel()
        target = directory.decode(change.value)
        if target.host != host:
            raise ValueError(f"entry of {target.host}")
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

    def _depart(self, host, cause):
        target = self.services.directory.remove(host)
        if target is not None:
            self.services.log.event("target-gone", host=host, id=target.id, cause=cause)

    def _ask_whether_gone(self, host):
        """Find out whether a host whose entry ended is there all the same.

        Leases run out while the store is away or turns a proxy down; the proxy and its
        target may be well. Only a host that does not answer is dropped.
        """
        if host in self.services.directory.by_host and host not in self.asking:
            loop = asyncio.get_running_loop()
            self.asking[host] = loop.create_task(self._ask(host))

    async def _ask(self, host):
        missed = 0
        while missed < PROBES_MAX and host in self.services.directory.by_host:
            target = await self.services.ask_target(self.services.directory, host)
            if target is None:
                missed += 1
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
                continue
            missed = 0
            if self.services.directory.put(target, self.services.clock()):
                self.services.log.event("target-answers", host=host, id=target.id)
            await asyncio.sleep(STILL_THERE_SECONDS)
        self._depart(host, "entry ended and no answer")
        self.asking.pop(host, None)

    def _take_move(self, service, change):
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
