"""Know what the operator wrote, how current that is, and tell other proxies.

What is known comes from the store, or from a proxy that has it from there. The proof of
being current has an age: the time since the store had nothing else.
"""

import asyncio
import contextlib
import math

from lentilrouter.proxy import deltas, kvstore, state_messages, views

HOLD_MAX_SECONDS = 5.0  # for a question, whatever it asks


class OperatorState:
    """Hold the operator's keys, and the sheet that they lead to.

    ``at`` is the revision of the store up to which nothing is missing,
    ``removals_since`` the one before which removals are not known, and ``fresh_at`` the
    time by the clock ``elapsed`` at which the store had nothing else. ``take_order``
    gets each change of an order. ``store_unreachable`` tells that the store answers
    others, but not this proxy.
    """

    __slots__ = (
        "services",
        "take_order",
        "view",
        "at",
        "removals_since",
        "newest",
        "fresh_at",
        "full_sheet_needed",
        "store_unreachable",
        "changed",
        "closed",
    )

    def __init__(self, services, take_order):
        self.services = services
        self.take_order = take_order
        self.view = views.View()
        self.at = 0
        self.removals_since = 0
        self.newest = 0
        self.fresh_at = -math.inf
        self.full_sheet_needed = False
        self.store_unreachable = False
        self.changed = asyncio.Event()
        self.closed = False

    def age(self):
        """Return the seconds since the store proved that there was nothing else."""
        return self.services.elapsed() - self.fresh_at

    def version(self):
        """Return the version of the sheet in force, 0 for none."""
        sheet = self.services.holder.sheet
        return sheet.version if sheet is not None else 0

    def apply_scan(self, scanned, asked):
        """Take in a scan of the store asked at a time; return whether it was news."""
        news = self.view.apply_all(scanned.items, scanned.at, self._take)
        self.removals_since = self.removals_since or scanned.at
        self._mark_fresh(scanned.at, asked, news)
        return news

    def apply_changes(self, changed, asked, seconds):
        """Take in the answer to a watch of so many seconds; return whether it was news.

        Without a change the store had nothing else until the watch ended; one that was
        cut sooner may have ended at any time since the question.
        """
        news = self.view.apply_each(changed.changes, self._take)
        whole = not changed.changes and self.services.elapsed() >= asked + seconds
        self._mark_fresh(changed.at, asked + seconds if whole else asked, news)
        return news

    def apply_response(self, answer, asked):
        """Take in another proxy's answer to a question asked at a time, if any.

        Return whether all of it could be taken.
        """
        if not self._take_delta(answer):
            return False
        if answer.complete:
            # The sheet came as a delta; its key is there as long as there is a sheet.
            key = self.services.adapter.CONFIG_KEY
            sheet = [kvstore.Item(key, b"", self.view.known(key))]
            news = self.view.apply_all([*answer.items, *sheet], answer.at, self._take)
        else:
            changes = [*answer.items, *answer.removed]
            news = self.view.apply_each(changes, self._take)
        moment = -math.inf if asked is None else asked + answer.held - answer.age
        self.removals_since = self.removals_since or answer.at
        self._mark_fresh(answer.at, moment, news or answer.delta is not None)
        return True

    def _take_delta(self, answer):
        """Bring the sheet of an answer into force; return ``False`` if it is unfit."""
        services, began = self.services, self.services.clock()
        delta = state_messages.read_delta(answer)
        if delta is None or delta.version <= self.version():
            return True
        sheet = deltas.apply(services.holder.sheet, delta)
        if isinstance(sheet, deltas.Unfit):
            services.log.event(
                "sheet-unfit", version=delta.version, reason=sheet.reason
            )
            self.full_sheet_needed = True
            return False
        self.full_sheet_needed = False
        key = services.adapter.CONFIG_KEY
        self.view.revisions[key] = max(self.view.known(key), answer.revision)
        self.newest = max(self.newest, answer.revision)
        self._activate(sheet, answer.revision, began, "proxy")
        return True

    def _take(self, change):
        """Take in one change that is news."""
        self.newest = max(self.newest, change.revision)
        adapter = self.services.adapter
        if change.key != adapter.CONFIG_KEY:
            self.take_order(change)
            return
        # The sheet is kept as what it means; its bytes would be held twice.
        self.view.items.pop(change.key, None)
        if isinstance(change, kvstore.Item):
            self._take_config(change)

    def _take_config(self, item):
        services, began = self.services, self.services.clock()
        held = services.holder.sheet
        sheet = services.adapter.read_sheet(item.value, held)
        if isinstance(sheet, services.adapter.Unreadable):
            services.log.event(
                "sheet-refused", revision=item.revision, reason=sheet.reason
            )
        elif held is not None and sheet.version <= held.version:
            services.log.event(
                "sheet-ignored", version=sheet.version, held=held.version
            )
        else:
            self._activate(sheet, item.revision, began, "store")

    def _activate(self, sheet, revision, began, source):
        services = self.services
        services.holder.put(sheet)
        services.counters.set_sheet_version(sheet.version)
        services.log.event(
            "sheet",
            version=sheet.version,
            revision=revision,
            source=source,
            routes=len(sheet.routes),
            parse_seconds=round(services.clock() - began, 4),
        )

    def _mark_fresh(self, at, moment, news):
        """Note up to where nothing is missing, and answer those who wait for that."""
        self.at = max(self.at, at)
        newer = moment > self.fresh_at
        if newer:
            self.fresh_at = moment
        if newer or news:
            self._wake()

    def _wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def note_store_unreachable(self, store_unreachable):
        """Note whether the store answers others, but not this proxy.

        Those that wait for an answer from here are told at once when that begins.
        """
        begins = store_unreachable and not self.store_unreachable
        self.store_unreachable = store_unreachable
        if begins:
            self._wake()

    def build_request(self, hold):
        """Return the question for what this proxy lacks."""
        version = 0 if self.full_sheet_needed else self.version()
        return state_messages.StateRequest(self.at, version, hold)

    async def answer(self, question):
        """Return the ``StateResponse`` to a question, ``None`` if there is none."""
        began = self.services.elapsed()
        if not self.closed and not self._has_news(question):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(question.hold, HOLD_MAX_SECONDS)):
                    await self.changed.wait()
        if self.closed or not self.at:
            return None
        return self._answer(question, self.services.elapsed() - began)

    def _has_news(self, question):
        return self.newest > question.at or self.version() > question.version

    def _answer(self, question, held):
        items = list(self.view.items.values())
        complete = question.at < self.removals_since
        if not complete:
            items = [item for item in items if item.revision > question.at]
        return state_messages.StateResponse(
            self.at,
            held,
            min(self.age(), 1e9),
            complete,
            items,
            [] if complete else self.view.removed_since(question.at),
            self.view.known(self.services.adapter.CONFIG_KEY),
            self.store_unreachable,
            self.services.holder.delta_since(question.version),
        )

    def snapshot(self):
        """Return the ``StateResponse`` that carries all that is known."""
        return self._answer(state_messages.StateRequest(0, 0, 0.0), 0.0)

    def close(self):
        """Answer nobody any more: this process ends."""
        self.closed = True
        self._wake()
