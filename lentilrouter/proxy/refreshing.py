"""Keep current what the operator wrote: read the store, or ask a proxy that does.

Each round has steps, the usual one first. The store is the last step of all.
"""

import asyncio

from lentilrouter.datapath import messages
from lentilrouter.proxy import entry, hedging, kvstore, sources, state_messages

WATCH_SECONDS = 0.8  # a reader's watch: no answer for longer shows a silent store
NEWS_WATCH_SECONDS = 0.25  # after news, whose answer proves nothing past its question
HOLD_SECONDS = 0.85  # a question waits for what the next watch brings
LATE_SECONDS = 0.25  # beyond that time; an answer has some hundred bytes
OVERDUE_SECONDS = WATCH_SECONDS + LATE_SECONDS
URGENT_SECONDS = 0.3  # for the answer to a question that is not held
SCAN_SECONDS = 0.5  # for the store's answer, before proxies are asked again beside it
ANSWER_SECONDS = 1.0  # after which a question is given up
FRESH_SECONDS = 1.5  # two watches, the first ended by news, over slow ways
OWN_SCAN_SECONDS = 1.75  # age of the proof at which no other proxy is waited for
SLOW_READ_SECONDS = 0.25  # of the link; versions that come faster would pile up
PAUSE_SECONDS = 0.2  # between scans while changes come
STORE_REST_SECONDS = 3.0  # at most between scans of a proxy that asks others
READER_REST_SECONDS = 0.8  # of a reader that the store refuses, while others reach it


class Refresher:
    """Follow the operator's keys for ever.

    ``services`` gives store, adapter, state, directory, peers, registry, settings,
    clock, random and log. ``sources`` knows whom to ask; ``source`` is what the last
    fresh proof came from, the store or a proxy. ``scan_due`` tells that a watch would
    bring too much, ``misses`` counts scans without an answer since the last fresh
    proof, and the store is not asked before ``rest_until`` if others can be.
    """

    __slots__ = (
        "services",
        "state",
        "sources",
        "source",
        "watch_seconds",
        "scan_due",
        "unavailable_since",
        "misses",
        "rest_until",
    )

    def __init__(self, services):
        self.services = services
        self.state = services.state
        self.sources = sources.Sources(services)
        self.source = ""
        self.watch_seconds = WATCH_SECONDS
        self.scan_due = True
        self.unavailable_since = None
        self.misses = 0
        self.rest_until = 0.0

    async def follow(self):
        """Go from round to round; rest after one that brought no fresh proof."""
        while True:
            if not await self._refresh():
                await asyncio.sleep(self.services.random.uniform(*entry.RETRY_SECONDS))

    async def _refresh(self):
        """Try one way after the other; return whether the proof is fresh."""
        self.sources.choose()
        retries = [self._in_background(target) for target in self.sources.take_due()]
        ended = await hedging.run([*retries, *self._steps()])
        for step in ended.missed:
            if step.host:
                self.sources.skip(step.host)
        if ended.fresh is not None:
            self._settle(ended)
        elif self.sources.place.reads:
            # Nobody reaches the store: it may be back for this proxy first.
            self.rest_until = 0.0
        return ended.fresh is not None

    def _settle(self, ended):
        """Note what was the way to a fresh proof."""
        step, reads = ended.fresh, self.sources.place.reads
        if step.host and any(not missed.host for missed in ended.missed):
            self.sources.note_own_store(True)
        self.misses = 0
        if not (step.host and reads):
            self.rest_until = 0.0
        source = "proxy" if step.host else "store"
        if source != self.source:
            self.source = source
            self.services.log.event(
                "state-source", source=source, host=step.host, reads=reads
            )

    def _steps(self):
        now, place = self.services.clock(), self.sources.place
        # While the store is silent to this proxy, others may hear from it again.
        again = [self._asking(target, HOLD_SECONDS) for target in place.sources]
        scan = hedging.Fetch(self._scan, SCAN_SECONDS)
        if place.reads and not (place.sources and now < self.rest_until):
            scans = bool(place.sources) and not self.scan_due
            hedge_delay = self._until_own_scan if scans else None
            steps = [
                hedging.Fetch(
                    self._read_store, OVERDUE_SECONDS, hedge_delay=hedge_delay
                )
            ]
            steps += [
                self._asking(target, 0.0, hedge_delay) for target in place.sources
            ]
            steps += [scan] if scans else []
            return [*steps, *again]
        scans = now >= self.rest_until
        hedge_delay = self._until_own_scan if scans else None
        first, *rest = self.sources.in_turn()
        steps = [self._asking(first, HOLD_SECONDS, hedge_delay)]
        steps += [self._asking(target, 0.0, hedge_delay) for target in rest]
        return [*steps, scan, *again] if scans else steps

    def _until_own_scan(self):
        return OWN_SCAN_SECONDS - self.state.age()

    def _asking(self, target, hold, hedge_delay=None):
        async def run():
            return await self._ask(target, hold)

        timeout = hold + LATE_SECONDS if hold else URGENT_SECONDS
        return hedging.Fetch(run, timeout, target.host, hedge_delay)

    def _in_background(self, target):
        """Return a step that asks a proxy and that nothing waits for."""
        return self._asking(target, 0.0, lambda: 0.0)

    async def _ask(self, target, hold):
        """Ask a proxy; return an ``Outcome``."""
        services, asked = self.services, self.services.elapsed()
        request = messages.Request(
            "POST",
            state_messages.STATE_PATH,
            [(b"host", b"peer"), *messages.JSON_TYPE],
            self.state.build_request(hold).encode(),
        )
        result = await services.peers.send(target.peer, request, hold + ANSWER_SECONDS)
        if not isinstance(result, messages.Replied) or result.response.status != 200:
            detail = getattr(result, "detail", "no answer to give")
            services.log.event("source-lost", host=target.host, reason=detail)
            return hedging.Outcome.NONE
        try:
            answer = state_messages.decode_response(result.response)
            taken = self.state.apply_response(answer, asked)
        except ValueError as error:
            services.log.event("source-lost", host=target.host, reason=str(error))
            return hedging.Outcome.NONE
        self.sources.note(target.host, answer.store_unreachable)
        if taken and self._judge() is hedging.Outcome.FRESH:
            self._note_available()
            return hedging.Outcome.FRESH
        if taken:
            age = round(min(self.state.age(), 1e9), 2)
            services.log.event("source-old", host=target.host, age=age)
        return hedging.Outcome.STALE

    def _judge(self):
        fresh = self.state.age() <= FRESH_SECONDS
        return hedging.Outcome.FRESH if fresh else hedging.Outcome.STALE

    async def _read_store(self):
        """Watch, or scan where a watch would bring more than one version."""
        if self.scan_due:
            return await self._scan()
        services, asked = self.services, self.services.elapsed()
        prefix = services.adapter.OPERATOR_PREFIX
        watch_seconds = self.watch_seconds
        result = await services.store.watch(prefix, self.state.at, watch_seconds)
        if not isinstance(result, kvstore.Changed):
            self.scan_due = True
            if isinstance(result, kvstore.HistoryGone):
                services.log.event("history-gone", prefix=prefix, after=self.state.at)
                return await self._scan()
            self._note_unavailable(result.reason)
            return hedging.Outcome.NONE
        self._note_read("watch", asked, result.changes, result.waited)
        self.state.apply_changes(result, asked, watch_seconds)
        self.watch_seconds = NEWS_WATCH_SECONDS if result.changes else WATCH_SECONDS
        seconds = services.elapsed() - asked
        slow = seconds - result.waited > SLOW_READ_SECONDS or seconds > OVERDUE_SECONDS
        # Over a slow link a watch falls behind: it brings every version, a scan one.
        self.scan_due = len(result.changes) > 1 or (bool(result.changes) and slow)
        self._answered()
        return self._judge()

    async def _scan(self):
        """Read all of the operator's keys; return an ``Outcome``.

        However long it took, there is nothing fresher to be had.
        """
        services = self.services
        result = await services.store.scan(services.adapter.OPERATOR_PREFIX)
        if isinstance(result, kvstore.Away):
            self._note_unavailable(result.reason)
            return hedging.Outcome.NONE
        asked = services.elapsed() - result.age
        self._note_read("scan", asked, result.items, result.waited)
        news = self.state.apply_scan(result, asked)
        self._answered()
        self.scan_due = news and services.elapsed() - asked > SLOW_READ_SECONDS
        if self.scan_due and self.sources.place.reads:
            await asyncio.sleep(PAUSE_SECONDS)
        return hedging.Outcome.FRESH

    def _note_unavailable(self, reason):
        """Note that the store did not answer."""
        services = self.services
        if self.unavailable_since is None:
            self.unavailable_since = services.clock()
            prefix = services.adapter.OPERATOR_PREFIX
            services.log.event("store-lost", prefix=prefix, reason=reason)
        services.registry.reachable.clear()
        rest = READER_REST_SECONDS
        if not self.sources.place.reads:
            # Its sources answer and try the store themselves: many need not.
            self.misses += 1
            rest = min(STORE_REST_SECONDS, entry.RETRY_SECONDS[0] * 2**self.misses)
        self.rest_until = services.clock() + rest

    def _answered(self):
        """Note that the store answered this proxy."""
        self.sources.note_own_store(False)
        self._note_available()

    def _note_available(self):
        services = self.services
        services.registry.reachable.set()
        since, self.unavailable_since = self.unavailable_since, None
        if since is not None:
            seconds = round(services.clock() - since, 2)
            prefix = services.adapter.OPERATOR_PREFIX
            services.log.event("store-regained", prefix=prefix, seconds=seconds)
            services.registry.watch_again()

    def _note_read(self, call, asked, changes, waited):
        """Log an answer with what the operator wrote, by the legs of its way.

        ``waited`` are the seconds before its first byte, ``seconds`` those until it
        was read whole; the difference was spent on the link.
        """
        if not changes:
            return
        values = [
            change.value for change in changes if isinstance(change, kvstore.Item)
        ]
        self.services.log.event(
            "operator-read",
            call=call,
            waited=round(waited, 3),
            seconds=round(self.services.elapsed() - asked, 3),
            newest=max(change.revision for change in changes),
            changes=len(changes),
            bytes=sum(len(value) for value in values),
        )
