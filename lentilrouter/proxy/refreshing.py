"""Keep the operator's state current: read the store, or ask a proxy that does.

The operator's state is the sheet and the orders of moves. Each refresh runs several
fetches with hedging, the usual one first; a scan of the store is the last resort.
"""

import asyncio
import math

from lentilrouter.datapath import messages
from lentilrouter.proxy import (
    entry,
    hedging,
    kvstore,
    sources,
    state_messages,
    timing,
)

# Time allowed beyond a watch or a long poll; the response has some hundred bytes.
RESPONSE_MARGIN_SECONDS = 0.25
# Time allowed for the response to a state request without a long poll.
IMMEDIATE_OVERDUE_SECONDS = 0.3
# Time allowed for a scan of the store, before proxies are asked again in parallel.
SCAN_OVERDUE_SECONDS = 0.5
# Time beyond its long poll after which a state request is cancelled.
RESPONSE_TIMEOUT_SECONDS = 1.0
# Transfer time above which the link is slow: versions that come faster would queue up.
SLOW_READ_SECONDS = 0.25
SCAN_PAUSE_SECONDS = 0.2  # between scans while changes come
# Time after its start in which a proxy that does not lead asks others only.
START_SECONDS = 1.0
START_PAUSE_SECONDS = (0.05, 0.15)  # random, between two attempts of a starting proxy
# Longest pause between scans of the store by a proxy that asks other proxies.
STORE_PAUSE_MAX_SECONDS = 3.0
# Pause of a reader between reads of a store that responds only to other proxies.
READER_PAUSE_SECONDS = 0.8


class Refresher:
    """Keep the operator's state of this proxy current.

    ``services`` provides store, adapter, state, directory, peers, registry, settings,
    clocks, random and log. ``timing`` has the times that follow from the settings.
    ``sources`` chooses the proxies to ask, ``marks`` has the mark of the last update of
    the proxies' keys from each of their hosts. ``source`` is where the last fresh state
    came from: "store" or "proxy", empty before the first.
    ``watch_seconds`` is the duration of the next watch. ``scan_due`` is true if the
    next read of the store must be a scan, since a watch would bring too much.
    ``unavailable_since`` is the time by ``clock`` since which the store is unavailable,
    ``failed_scans`` counts scans without a response since the state was last fresh.
    Until ``store_paused_until`` the store is not read if other proxies can be asked.
    """

    __slots__ = (
        "services",
        "timing",
        "state",
        "sources",
        "marks",
        "source",
        "watch_seconds",
        "scan_due",
        "unavailable_since",
        "failed_scans",
        "store_paused_until",
    )

    def __init__(self, services):
        self.services = services
        self.timing = timing.Timing(services.settings.promises.in_force_seconds)
        self.state = services.state
        self.sources = sources.Sources(services)
        self.marks = {}
        self.source = ""
        self.watch_seconds = self.timing.watch
        self.scan_due = True
        self.unavailable_since = None
        self.failed_scans = 0
        self.store_paused_until = 0.0

    async def follow(self):
        """Refresh until cancelled; pause after a refresh without fresh state."""
        await self.services.registry.settled.wait()
        self.sources.choose()
        if self._is_starting() and not self.sources.role.leads:
            # Of proxies that start together, only those that lead read the store.
            self.store_paused_until = self.services.clock() + START_SECONDS
        while True:
            if not await self._refresh():
                starting = self._is_starting()
                pause = START_PAUSE_SECONDS if starting else entry.RETRY_SECONDS
                await asyncio.sleep(self.services.random.uniform(*pause))

    async def _refresh(self):
        """Run fetches until one brings fresh state; return whether one did."""
        self.sources.choose()
        retries = [self._in_background(target) for target in self.sources.take_due()]
        result = await hedging.run([*retries, *self._fetches()])
        for fetch in result.missed:
            if fetch.host:
                self.sources.skip(fetch.host)
        if result.fresh is not None:
            self._note_fresh(result)
        elif self.sources.role.reads:
            # No proxy reaches the store; this one may be the first that does again.
            self.store_paused_until = 0.0
        return result.fresh is not None

    def _note_fresh(self, result):
        """Record which fetch brought fresh state, and log a change of the source."""
        fetch, reads = result.fresh, self.sources.role.reads
        if fetch.host and any(not missed.host for missed in result.missed):
            self.sources.note_own_store(True)
        self.failed_scans = 0
        if not (fetch.host and reads):
            self.store_paused_until = 0.0
        source = "proxy" if fetch.host else "store"
        if source != self.source:
            self.source = source
            self.services.log.event(
                "state-source", source=source, host=fetch.host, reads=reads
            )

    def _fetches(self):
        """Return the fetches of one refresh, in the order in which they start."""
        now, role = self.services.clock(), self.sources.role
        # While the store does not respond to this proxy, it may respond to others.
        hold = self.timing.hold
        retries = [self._fetch_from(target, hold) for target in role.sources]
        scan = hedging.Fetch(self._scan, SCAN_OVERDUE_SECONDS)
        if role.reads and not (role.sources and now < self.store_paused_until):
            with_scan = bool(role.sources) and not self.scan_due
            hedge_delay = self._own_scan_delay if with_scan else None
            fetches = [
                hedging.Fetch(
                    self._read_store, self._watch_overdue(), hedge_delay=hedge_delay
                )
            ]
            fetches += [
                self._fetch_from(target, 0.0, hedge_delay) for target in role.sources
            ]
            fetches += [scan] if with_scan else []
            return [*fetches, *retries]
        with_scan = now >= self.store_paused_until
        hedge_delay = self._own_scan_delay if with_scan else None
        first, *rest = self.sources.rotated()
        first_delay = self._second_source_delay if rest else hedge_delay
        fetches = [self._fetch_from(first, hold, first_delay)]
        fetches += [self._fetch_from(target, 0.0, hedge_delay) for target in rest]
        return [*fetches, scan, *retries] if with_scan else fetches

    def _own_scan_delay(self):
        """Return the seconds until this proxy scans the store itself."""
        role, times = self.sources.role, self.timing
        early = role.leads and not role.reads
        return self._until(times.leader_scan_age if early else times.own_scan_age)

    def _second_source_delay(self):
        """Return the seconds until a second proxy is asked."""
        return self._until(self.timing.second_source_age)

    def _until(self, age):
        """Return the seconds until the state reaches an age, unless it is refreshed.

        A proxy that has no state yet gives others time to respond, unless it leads.
        """
        if self._is_starting():
            return 0.0 if self.sources.role.leads else SCAN_OVERDUE_SECONDS
        return age - self.state.age()

    def _is_starting(self):
        """Return whether this proxy has never known the state to be fresh."""
        return math.isinf(self.state.age())

    def _watch_overdue(self):
        """Return the seconds after which a watch of the store is overdue."""
        return self.timing.watch + RESPONSE_MARGIN_SECONDS

    def _fetch_from(self, target, hold, hedge_delay=None):
        """Return a ``Fetch`` that sends a state request to another proxy.

        ``hold`` is the duration of its long poll in seconds, 0 for none.
        """

        async def run():
            return await self.request_state(target, hold)

        timeout = hold + RESPONSE_MARGIN_SECONDS if hold else IMMEDIATE_OVERDUE_SECONDS
        return hedging.Fetch(run, timeout, target.host, hedge_delay)

    def _in_background(self, target):
        """Return a ``Fetch`` from another proxy that no other fetch waits for."""
        return self._fetch_from(target, 0.0, lambda: 0.0)

    async def request_state(self, target, hold):
        """Send a state request to another proxy and apply its response.

        Return the ``Outcome`` of the fetch.
        """
        services, requested_at = self.services, self.services.elapsed()
        mark = self.marks.get(target.host, (0, 0))
        request = messages.Request(
            "POST",
            state_messages.STATE_PATH,
            [(b"host", b"peer"), *messages.JSON_TYPE],
            self.state.build_request(hold, mark).encode(),
        )
        result = await services.peers.send(
            target.peer, request, hold + RESPONSE_TIMEOUT_SECONDS
        )
        if not isinstance(result, messages.Replied) or result.response.status != 200:
            if isinstance(result, messages.Replied) and self._is_starting():
                # The other proxy may have started at the same time.
                return hedging.Outcome.STALE
            detail = getattr(result, "detail", "response status is not 200")
            services.log.event("source-lost", host=target.host, reason=detail)
            return hedging.Outcome.NONE
        try:
            response = state_messages.decode_response(result.response)
            applied = self.state.apply_response(response, requested_at)
        except ValueError as error:
            services.log.event("source-lost", host=target.host, reason=str(error))
            return hedging.Outcome.NONE
        if applied:
            self.marks[target.host] = response.entries.mark
        self.sources.note_response(target.host, response.store_unreachable)
        if applied and self._outcome() is hedging.Outcome.FRESH:
            self._note_available()
            return hedging.Outcome.FRESH
        if applied:
            age = round(min(self.state.age(), 1e9), 2)
            services.log.event("source-old", host=target.host, age=age)
        return hedging.Outcome.STALE

    def _outcome(self):
        """Return ``FRESH`` or ``STALE``, by the age of the state."""
        fresh = self.state.age() <= self.timing.fresh
        return hedging.Outcome.FRESH if fresh else hedging.Outcome.STALE

    async def _read_store(self):
        """Watch the operator's keys, or scan them if a scan is due.

        Return the ``Outcome`` of the fetch.
        """
        if self.scan_due:
            return await self._scan()
        services, requested_at = self.services, self.services.elapsed()
        prefix = services.adapter.OPERATOR_PREFIX
        watch_seconds = self.watch_seconds
        at = self.state.replica.at
        result = await services.store.watch(prefix, at, watch_seconds)
        if not isinstance(result, kvstore.Changed):
            self.scan_due = True
            if isinstance(result, kvstore.HistoryGone):
                services.log.event("history-gone", prefix=prefix, after=at)
                return await self._scan()
            self._note_unavailable(result.reason)
            return hedging.Outcome.NONE
        self._log_read("watch", requested_at, result.changes, result.waited)
        self.state.apply_changes(result, requested_at, watch_seconds)
        seconds = services.elapsed() - requested_at
        slow = (
            seconds - result.waited > SLOW_READ_SECONDS
            or seconds > self._watch_overdue()
        )
        # On a slow link watches fall behind: they bring every version, a scan only one.
        self.scan_due = len(result.changes) > 1 or (bool(result.changes) and slow)
        self._note_store_response()
        self.watch_seconds = (
            self.timing.watch_after_change if result.changes else self.timing.watch
        )
        return self._outcome()

    async def _scan(self):
        """Read all of the operator's keys from the store.

        Return ``FRESH`` however long the scan took, since no fresher state can be had,
        or ``NONE`` if the store did not respond.
        """
        services = self.services
        result = await services.store.scan(services.adapter.OPERATOR_PREFIX)
        if isinstance(result, kvstore.Away):
            self._note_unavailable(result.reason)
            return hedging.Outcome.NONE
        requested_at = services.elapsed() - result.age
        self._log_read("scan", requested_at, result.items, result.waited)
        changed = self.state.apply_scan(result, requested_at)
        self._note_store_response()
        self.scan_due = (
            changed and services.elapsed() - requested_at > SLOW_READ_SECONDS
        )
        if self.scan_due and self.sources.role.reads:
            await asyncio.sleep(SCAN_PAUSE_SECONDS)
        return hedging.Outcome.FRESH

    def _note_unavailable(self, reason):
        """Record that the store did not respond, and pause reads of it."""
        services = self.services
        if self.unavailable_since is None:
            self.unavailable_since = services.clock()
            prefix = services.adapter.OPERATOR_PREFIX
            services.log.event("store-lost", prefix=prefix, reason=reason)
        services.registry.reachable.clear()
        pause = READER_PAUSE_SECONDS
        if not self.sources.role.reads:
            # The proxies that this one asks retry the store themselves, so this one
            # retries it more rarely with each failed scan.
            self.failed_scans += 1
            pause = min(
                STORE_PAUSE_MAX_SECONDS, entry.RETRY_SECONDS[0] * 2**self.failed_scans
            )
        self.store_paused_until = services.clock() + pause

    def _note_store_response(self):
        """Record that the store responded to this proxy."""
        self.sources.note_own_store(False)
        self._note_available()

    def _note_available(self):
        """Record that the store responds, to this proxy or to others."""
        services = self.services
        services.registry.reachable.set()
        since, self.unavailable_since = self.unavailable_since, None
        if since is not None:
            seconds = round(services.clock() - since, 2)
            prefix = services.adapter.OPERATOR_PREFIX
            services.log.event("store-regained", prefix=prefix, seconds=seconds)
            services.registry.restart_watch()

    def _log_read(self, call, requested_at, changes, waited):
        """Log a response of the store that has items or removals.

        ``waited`` is the time in seconds until its first byte, ``seconds`` in the log
        line the time until it was read completely; the difference is the transfer time.
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
            seconds=round(self.services.elapsed() - requested_at, 3),
            newest=max(change.revision for change in changes),
            changes=len(changes),
            bytes=sum(len(value) for value in values),
        )
