"""Follow the store: scan and watch what the operator and the proxies write there.

Two watches run: one on what the operator writes, one on what the proxies write. A view
never goes back: revisions and versions only rise, and a store that is away changes
nothing of what is believed.
"""

import asyncio
import contextlib

from lentilrouter.proxy import entry, vault

# Between reads: changes in quick succession come in one answer, and each is a call to
# the store. The operator's changes are due everywhere in 2 s; that bounds the way of
# two answers and the rest between them. Of its own news each proxy tells the others;
# only a steward lost while a move runs, and proxies that started at the same time, must
# be seen in the store soon.
OPERATOR_PERIOD_SECONDS = 1.1  # from one scan to the next while changes come
OPERATOR_FIRST_PAUSE_SECONDS = 0.4  # after a watch: how slow the link is, is not known
OPERATOR_PAUSE_SECONDS = 0.2  # at least, where a scan takes longer than the rest
PAUSE_SECONDS = 3.0
URGENT_PAUSE_SECONDS = 1.0
STARTING_SECONDS = 6.0  # the time of a lease: then all that lived before is settled


class Follower:
    """Read the store and hand on each change once, by rising revisions."""

    __slots__ = (
        "services",
        "revisions",
        "items",
        "away",
        "scanned",
        "reachable",
        "scan_seconds",
        "waiting",
        "started",
        "ordered",
    )

    def __init__(self, services):
        self.services = services
        self.revisions = {}
        self.items = {}
        self.away = {}
        self.scanned = asyncio.Event()
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.scan_seconds = 0.0
        self.waiting = {}
        self.started = services.clock()
        self.ordered = asyncio.Event()

    def moving(self):
        """Tell whether a move runs that this proxy may have to lead."""
        raise NotImplementedError

    async def follow(self, prefix, take):
        """Scan and watch a prefix for ever; ``take`` gets each item or removal.

        A watch brings every version written since the last one, a scan only the newest.
        So a new sheet is followed by scans until one brings no news.
        """
        first = True
        while True:
            if prefix == entry.OWN_PREFIX:
                # While the store is away only the other watch asks whether it is back.
                await self.reachable.wait()
            scanned = await self._scan(prefix)
            if isinstance(scanned, vault.Away):
                self._lost(prefix, scanned.reason)
                await asyncio.sleep(self.services.random.uniform(*entry.RETRY_SECONDS))
                continue
            self._regained(prefix)
            news = self._take_all(prefix, scanned, take)
            # The first scan settles it, unless it took so long that it may be old.
            settled = first and self.scan_seconds < OPERATOR_PERIOD_SECONDS
            first = False
            if news and not settled and prefix != entry.OWN_PREFIX:
                await self._rest(prefix)
                continue
            await self._watch(prefix, scanned.at, take)

    async def _scan(self, prefix):
        services = self.services
        # An answer after the store seemed away was on its way since then.
        asked = self.away.get(prefix, services.clock())
        scanned = await services.vault.scan(prefix)
        if isinstance(scanned, vault.Scanned):
            self._note_read(prefix, "scan", asked, scanned.items, scanned.waited)
            if prefix != entry.OWN_PREFIX:
                self.scan_seconds = services.clock() - asked
        return scanned

    async def _watch(self, prefix, at, take):
        """Watch until a scan is due: an answer or history is lost, or a new sheet."""
        services = self.services
        while True:
            asked = services.clock()
            result = await self._wait(prefix, at)
            if result is None:
                services.log.event("watch-again", prefix=prefix, after=at)
                if prefix == entry.OWN_PREFIX:
                    continue
                return
            if isinstance(result, vault.Forgotten):
                services.log.event("history-gone", prefix=prefix, after=at)
                return
            if isinstance(result, vault.Away):
                self._lost(prefix, result.reason)
                await asyncio.sleep(services.random.uniform(*entry.RETRY_SECONDS))
                return
            self._note_read(prefix, "watch", asked, result.changes, result.waited)
            for change in result.changes:
                self.take(change, take)
            at = max(at, result.at)
            if not result.changes:
                continue
            keys = {change.key for change in result.changes}
            if services.adapter.CONFIG_KEY in keys:
                await asyncio.sleep(OPERATOR_FIRST_PAUSE_SECONDS)
                return
            await self._rest(prefix)

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

    def watch_again(self):
        """Ask anew what the watches wait for: a silent store may have lost answers."""
        now = asyncio.get_running_loop().time()
        waiting, self.waiting = self.waiting, {}
        for limit in waiting.values():
            limit.reschedule(now)

    def _note_read(self, prefix, call, asked, changes, waited):
        """Log an answer with what the operator wrote, by the legs of its way.

        ``waited`` are the seconds before its first byte, ``seconds`` those until it
        was read whole; the difference was spent on the link.
        """
        services = self.services
        if prefix != services.adapter.OPERATOR_PREFIX or not changes:
            return
        values = [change.value for change in changes if isinstance(change, vault.Item)]
        services.log.event(
            "operator-read",
            call=call,
            waited=round(waited, 3),
            seconds=round(services.clock() - asked, 3),
            newest=max(change.revision for change in changes),
            changes=len(changes),
            bytes=sum(len(value) for value in values),
        )

    async def _rest(self, prefix):
        """Wait before the next read of a prefix; an order ends a long wait."""
        if prefix != entry.OWN_PREFIX:
            left = OPERATOR_PERIOD_SECONDS - self.scan_seconds
            await asyncio.sleep(max(left, OPERATOR_PAUSE_SECONDS))
            return
        if self.services.clock() - self.started < STARTING_SECONDS or self.moving():
            await asyncio.sleep(URGENT_PAUSE_SECONDS)
            return
        self.ordered.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PAUSE_SECONDS):
                await self.ordered.wait()

    def _take_all(self, prefix, scanned, take):
        """Take in a scan; return whether it brought news."""
        news = False
        present = {item.key for item in scanned.items}
        for key in [k for k in self.revisions if k.startswith(prefix)]:
            if key not in present and self.revisions[key] > 0:
                news |= self.take(vault.Removed(key, scanned.at), take)
        for item in scanned.items:
            news |= self.take(item, take)
        if prefix == entry.OWN_PREFIX:
            self.scanned.set()
        return news

    def take(self, change, take):
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
            if prefix == self.services.adapter.OPERATOR_PREFIX:
                self.watch_again()

    def snapshot(self):
        """Return every item known, for a proxy that cannot reach the store."""
        return list(self.items.values())
