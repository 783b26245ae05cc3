"""Keep this proxy's view of the store current; ``entry`` keeps its own entry there.

Two watches run: one on what the operator writes, one on what the proxies write. A view
never goes back: revisions and versions only rise, and a store that is away changes
nothing of what is believed.
"""

import asyncio
import contextlib

from lentilrouter.proxy import directory, entry, moves, vault

OWN_PREFIX = entry.OWN_PREFIX
TARGETS_PREFIX = entry.TARGETS_PREFIX
MOVES_PREFIX = OWN_PREFIX + "moves/"
BASES_PREFIX = entry.BASES_PREFIX
STEWARDS_PREFIX = OWN_PREFIX + "stewards/"
# Between reads: changes in quick succession come in one answer, and each is a call to
# the store. The operator's changes are due everywhere in 2 s; that bounds the way of
# two answers and the rest between them. Of its own news each proxy tells the others;
# only a steward lost while a move runs, and proxies that started at the same time, must
# be seen in the store soon.
OPERATOR_PERIOD_SECONDS = 1.1  # from one scan to the next while changes come
OPERATOR_PAUSE_SECONDS = 0.2  # at least, where a scan takes longer than the rest
PAUSE_SECONDS = 3.0
URGENT_PAUSE_SECONDS = 1.0
STARTING_SECONDS = 6.0  # the time of a lease: then all that lived before is settled
RETRY_SECONDS = entry.RETRY_SECONDS
QUESTIONS = 2  # in a row without an answer; one may be lost on the way
ASK_AGAIN_SECONDS = 0.3
STILL_THERE_SECONDS = 1.5  # between questions to a host that lives without an entry


class Holder:
    """Hold the sheet in force; ``None`` until one is known."""

    __slots__ = ("sheet",)

    def __init__(self):
        self.sheet = None


class Registry:
    """Follow the store; ``own`` writes this proxy's entry.

    ``services`` gives vault, adapter for values, holder, directory, bases, hosting,
    log, clock, random and settings; ``on_order`` is told of each order of a move.
    """

    __slots__ = (
        "services",
        "orders",
        "stewards",
        "own",
        "revisions",
        "away",
        "asking",
        "scanned",
        "items",
        "reachable",
        "scan_seconds",
        "waiting",
        "started",
        "ordered",
    )

    def __init__(self, services):
        self.services = services
        self.orders = {}
        self.stewards = {}
        self.revisions = {}
        self.away = {}
        self.asking = {}
        self.scanned = asyncio.Event()
        self.items = {}
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.scan_seconds = 0.0
        self.waiting = {}
        self.started = services.clock()
        self.ordered = asyncio.Event()
        self.own = entry.OwnEntry(
            services, self.scanned, self.reachable, self._watch_again
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
        return self.own.wanted()

    async def follow(self, prefix, take):
        """Scan and watch a prefix for ever; ``take`` gets each item or removal.

        A watch brings every version written since the last one, a scan only the newest.
        So a new sheet is followed by scans until one brings no news.
        """
        first = True
        while True:
            if prefix == OWN_PREFIX:
                # While the store is away only the other watch asks whether it is back.
                await self.reachable.wait()
            scanned = await self._scan(prefix)
            if isinstance(scanned, vault.Away):
                self._lost(prefix, scanned.reason)
                await asyncio.sleep(self.services.random.uniform(*RETRY_SECONDS))
                continue
            self._regained(prefix)
            news = self._take_all(prefix, scanned, take)
            if news and not first and prefix != OWN_PREFIX:
                await self._rest(prefix)
                continue
            first = False
            await self._watch(prefix, scanned.at, take)

    async def _scan(self, prefix):
        services = self.services
        asked = services.clock()
        scanned = await services.vault.scan(prefix)
        if isinstance(scanned, vault.Scanned):
            self._note_read(prefix, "scan", asked, scanned.items)
            if prefix != OWN_PREFIX:
                self.scan_seconds = services.clock() - asked
        return scanned

    async def _watch(self, prefix, at, take):
        """Watch until a scan is due: no answer, no history, or a new sheet."""
        services = self.services
        while True:
            asked = services.clock()
            result = await self._wait(prefix, at)
            if result is None:
                services.log.event("watch-again", prefix=prefix, after=at)
                continue
            if isinstance(result, vault.Forgotten):
                services.log.event("history-gone", prefix=prefix, after=at)
                return
            if isinstance(result, vault.Away):
                self._lost(prefix, result.reason)
                await asyncio.sleep(services.random.uniform(*RETRY_SECONDS))
                return
            self._note_read(prefix, "watch", asked, result.changes)
            for change in result.changes:
                self._take(change, take)
            at = max(at, result.at)
            if not result.changes:
                continue
            await self._rest(prefix)
            keys = {change.key for change in result.changes}
            if services.adapter.CONFIG_KEY in keys:
                return

    async def _wait(self, prefix, at):
        """Watch once; return ``None`` if the answer may have been lost."""
        seconds = self.services.settings.store.watch_seconds
        try:
            async with asyncio.timeout(None) as limit:
                self.waiting[prefix] = limit
                return await self.services.vault.watch(prefix, at, seconds)
        except TimeoutError:
            return None
        finally:
            self.waiting.pop(prefix, None)

    def _watch_again(self):
        """Ask anew what the watches wait for: a silent store may have lost answers."""
        now = asyncio.get_running_loop().time()
        for limit in self.waiting.values():
            limit.reschedule(now)

    def _note_read(self, prefix, call, asked, changes):
        """Log an answer with what the operator wrote; ``seconds`` include the wait."""
        services = self.services
        if prefix != services.adapter.OPERATOR_PREFIX or not changes:
            return
        values = [change.value for change in changes if isinstance(change, vault.Item)]
        services.log.event(
            "operator-read",
            call=call,
            seconds=round(services.clock() - asked, 3),
            changes=len(changes),
            bytes=sum(len(value) for value in values),
        )

    async def _rest(self, prefix):
        """Wait before the next read of a prefix; an order ends a long wait."""
        if prefix != OWN_PREFIX:
            left = OPERATOR_PERIOD_SECONDS - self.scan_seconds
            await asyncio.sleep(max(left, OPERATOR_PAUSE_SECONDS))
            return
        if self.services.clock() - self.started < STARTING_SECONDS or self._moving():
            await asyncio.sleep(URGENT_PAUSE_SECONDS)
            return
        self.ordered.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_SECONDS):
                await self.ordered.wait()

    def _moving(self):
        return any(self.services.steward.concerns(order) for order in self.orders)

    def _take_all(self, prefix, scanned, take):
        """Take in a scan; return whether it brought news."""
        news = False
        present = {item.key for item in scanned.items}
        for key in [k for k in self.revisions if k.startswith(prefix)]:
            if key not in present and self.revisions[key] > 0:
                news |= self._take(vault.Removed(key, scanned.at), take)
        for item in scanned.items:
            news |= self._take(item, take)
        if prefix == OWN_PREFIX:
            self.scanned.set()
        return news

    def _take(self, change, take):
        """Take in a change if it is news, and return whether it is."""
        known = abs(self.revisions.get(change.key, 0))
        if change.revision <= known:
            return False
        removed = isinstance(change, vault.Removed)
        self.revisions[change.key] = -change.revision if removed else change.revision
        if removed:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change
        take(change)
        return True

    def _lost(self, prefix, reason):
        if prefix not in self.away:
            self.away[prefix] = self.services.clock()
            self.services.log.event("store-lost", prefix=prefix, reason=reason)
        if prefix == self.services.adapter.OPERATOR_PREFIX:
            self.reachable.clear()

    def _regained(self, prefix):
        since = self.away.pop(prefix, None)
        if prefix == self.services.adapter.OPERATOR_PREFIX:
            self.reachable.set()
        if since is not None:
            seconds = round(self.services.clock() - since, 2)
            self.services.log.event("store-regained", prefix=prefix, seconds=seconds)

    def snapshot(self):
        """Return every item known, for a proxy that cannot reach the store."""
        return list(self.items.values())

    def catch_up(self, items):
        """Take in what another proxy knows; what is held is only replaced by newer."""
        operator = self.services.adapter.OPERATOR_PREFIX
        for item in items:
            own = item.key.startswith(OWN_PREFIX)
            if own or item.key.startswith(operator):
                self._take(item, self.take_own if own else self.take_operator)
        self.services.log.event("caught-up", items=len(items))

    def take_operator(self, change):
        """Take in what the operator wrote."""
        services, adapter = self.services, self.services.adapter
        if change.key == adapter.CONFIG_KEY and isinstance(change, vault.Item):
            self._take_sheet(change)
        elif change.key.startswith(adapter.ORDER_PREFIX):
            service = change.key[len(adapter.ORDER_PREFIX) :]
            if isinstance(change, vault.Removed):
                self.orders.pop(service, None)
                return
            order = adapter.read_order(change.value)
            if not isinstance(order, moves.Order) or order.service != service:
                services.log.event("order-refused", key=change.key, why=str(order))
                return
            self.orders[service] = (order, change.revision, services.clock())
            self.ordered.set()
            services.log.event(
                "order",
                service=service,
                version=order.version,
                seconds=order.seconds,
                revision=change.revision,
            )
            services.on_order(service)

    def _take_sheet(self, change):
        services = self.services
        began = services.clock()
        sheet = services.adapter.read_sheet(change.value)
        if isinstance(sheet, services.adapter.Unreadable):
            services.log.event(
                "sheet-refused", revision=change.revision, reason=sheet.reason
            )
            return
        held = services.holder.sheet
        if held is not None and sheet.version <= held.version:
            services.log.event(
                "sheet-ignored", version=sheet.version, held=held.version
            )
            return
        services.holder.sheet = sheet
        services.counters.sheet(sheet.version)
        services.log.event(
            "sheet",
            version=sheet.version,
            revision=change.revision,
            routes=len(sheet.routes),
            parse_seconds=round(services.clock() - began, 4),
        )

    def take_own(self, change):
        """Take in what the proxies wrote."""
        key = change.key
        try:
            if key.startswith(TARGETS_PREFIX):
                self._take_target(key[len(TARGETS_PREFIX) :], change)
            elif key.startswith(MOVES_PREFIX):
                self._take_move(key[len(MOVES_PREFIX) :], change)
            elif key.startswith(BASES_PREFIX):
                if isinstance(change, vault.Item):
                    service = key[len(BASES_PREFIX) :]
                    self.services.bases.base[service] = change.value.decode()
            elif key.startswith(STEWARDS_PREFIX):
                service = key[len(STEWARDS_PREFIX) :]
                if isinstance(change, vault.Removed):
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
            if isinstance(change, vault.Removed):
                self.own.gone(change.revision)
            elif services.hosting.belief.target is None:
                services.hosting.restore(directory.decode(change.value))
            return
        if isinstance(change, vault.Removed):
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
        while missed < QUESTIONS and host in self.services.directory.by_host:
            target = await self.services.ask_target(self.services.directory, host)
            if target is None:
                missed += 1
                await asyncio.sleep(ASK_AGAIN_SECONDS)
                continue
            missed = 0
            if self.services.directory.put(target, self.services.clock()):
                self.services.log.event("target-answers", host=host, id=target.id)
            await asyncio.sleep(STILL_THERE_SECONDS)
        self._depart(host, "entry ended and no answer")
        self.asking.pop(host, None)

    def _take_move(self, service, change):
        services = self.services
        if isinstance(change, vault.Removed):
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
