"""Store the operator's state and how fresh it is, and send it to other proxies.

The state comes from the store, or from a proxy that has it from there. Its age is the
time since the store was last known to have nothing newer.
"""

import asyncio
import contextlib
import math

from lentilrouter.proxy import deltas, kvstore, replicas, state_messages
from lentilrouter.workspaces import access, proof

# Time for which changes of the proxies' keys are collected before they are passed on.
ENTRY_DELAY_SECONDS = 0.1
# Share of ``revocation_seconds`` by which a proof of the sheet must be newer to end the
# long polls. Two readers prove it at different times; one proof of two is passed on.
PROOF_STEP_SHARE = 0.15
HOLD_MAX_SECONDS = 5.0  # of a long poll, whatever the request asks for


class OperatorState:
    """The operator's keys, and the sheet read from them.

    ``replica`` has the operator's keys, ``entries`` is the replica of the proxies' keys
    that is sent with them. ``urgent`` is the count of the last change of these that
    cannot wait, ``waking`` the timer for changes that can, if it runs. ``fresh_at`` is
    the time by the clock ``elapsed`` at which the store had nothing newer, ``proof``
    what proves the active sheet to be the store's. ``sheet_revision`` is the newest
    revision of the sheet's key that the active sheet stands for, 0 if unknown.
    ``full_sheet_needed`` is true if the last delta could not be applied.
    ``store_unreachable`` is true if the store responds to other
    proxies, but not to this one. ``changed`` is the event that ends the long polls; it
    is replaced each time it is set. ``apply_order`` is called with each change of a key
    other than the sheet's. ``stopping`` is true once the process stops.
    """

    __slots__ = (
        "services",
        "apply_order",
        "entries",
        "replica",
        "urgent",
        "waking",
        "fresh_at",
        "proof",
        "sheet_revision",
        "full_sheet_needed",
        "store_unreachable",
        "changed",
        "stopping",
    )

    def __init__(self, services, apply_order, entries):
        self.services = services
        self.apply_order = apply_order
        self.entries = entries
        self.replica = replicas.Replica(self._apply_change)
        self.urgent = 0
        self.waking = None
        self.fresh_at = -math.inf
        self.proof = proof.Proof(services.elapsed)
        self.sheet_revision = 0
        self.full_sheet_needed = False
        self.store_unreachable = False
        self.changed = asyncio.Event()
        self.stopping = False

    def age(self):
        """Return the seconds since the store was last known to have nothing newer."""
        return self.services.elapsed() - self.fresh_at

    def version(self):
        """Return the version of the active sheet, 0 for none."""
        sheet = self.services.holder.sheet
        return sheet.version if sheet is not None else 0

    def apply_scan(self, scanned, requested_at):
        """Apply a scan of the store; return whether it changed anything.

        ``requested_at`` is the time of its request by the clock ``elapsed``.
        """
        changed = self.replica.apply_scan(scanned)
        key = self.services.adapter.CONFIG_KEY
        for item in scanned.items:
            if item.key == key:
                self.note_proof(requested_at, item.revision)
        self._mark_fresh(requested_at, changed)
        return changed

    def note_proof(self, requested_at, revision):
        """Record that a linearizable read found the sheet's key at a revision.

        ``requested_at`` is the time of its request by the clock ``elapsed``. The read
        proves nothing if the active sheet does not stand for that revision, which may
        have an unreadable sheet.
        """
        if revision <= self.sheet_revision:
            self._mark_proved(requested_at)

    def apply_conflict(self, conflict, requested_at):
        """Apply the sheet in a ``Conflict`` of a write that expected another revision.

        ``requested_at`` is the time of its request by the clock ``elapsed``. Return
        ``False`` if it has no sheet.
        """
        key = self.services.adapter.CONFIG_KEY
        found = [item for item in conflict.items if item.key == key]
        for item in found:
            changed = self.replica.apply(item)
            self.note_proof(requested_at, item.revision)
            self._mark_fresh(-math.inf, changed)
        return bool(found)

    def _mark_proved(self, at):
        """Record a proof of the sheet as of a time by the clock ``elapsed``.

        Wake the long polls if other proxies need it and it is newer by some time.
        """
        self.proof.note(at)
        promises = self.services.settings.promises
        if access.requires_proof(promises) and self.proof.take_news(
            PROOF_STEP_SHARE * promises.revocation_seconds
        ):
            self._wake()

    def apply_changes(self, result, requested_at, seconds):
        """Apply the result of a watch; return whether it changed anything.

        ``requested_at`` is the time of its request by the clock ``elapsed``,
        ``seconds`` the duration requested. Without a change, the store had nothing
        newer until the watch ended. A watch that was cut short may have ended at any
        time since its request.
        """
        changed = self.replica.apply_watch(result)
        ran_full = (
            not result.changes and self.services.elapsed() >= requested_at + seconds
        )
        self._mark_fresh(requested_at + seconds if ran_full else requested_at, changed)
        return changed

    def apply_response(self, response, requested_at):
        """Apply the ``StateResponse`` of another proxy.

        ``requested_at`` is the time of the request by the clock ``elapsed``, ``None``
        if this proxy sent none. Return ``False``, and apply nothing, if the delta of
        the sheet cannot be applied; raise ``ValueError`` if the delta is malformed.
        """
        if not self._apply_delta(response):
            return False
        # The sheet is sent as a delta, not as an item; its key must not be marked as
        # removed.
        key = self.services.adapter.CONFIG_KEY
        sheet = kvstore.Item(key, b"", self.replica.last_revision(key))
        changed = self.replica.apply_update(response.operator, kept=[sheet])
        self.entries.apply_update(response.entries)
        fresh_at = (
            -math.inf
            if requested_at is None
            else requested_at + response.delay - response.age
        )
        if requested_at is not None and self.version() >= response.proved_version:
            self._mark_proved(requested_at + response.delay - response.proof_age)
        self._mark_fresh(fresh_at, changed or response.delta is not None)
        return True

    def _apply_delta(self, response):
        """Activate the sheet of a response, if newer.

        Return ``False`` if its delta cannot be applied; raise ``ValueError`` if the
        delta is malformed.
        """
        services, began = self.services, self.services.clock()
        delta = state_messages.read_delta(response)
        if delta is None or delta.version <= self.version():
            return True
        sheet = deltas.apply(services.holder.sheet, delta)
        if isinstance(sheet, deltas.Inapplicable):
            services.log.event(
                "sheet-unfit", version=delta.version, reason=sheet.reason
            )
            self.full_sheet_needed = True
            return False
        self.full_sheet_needed = False
        key = services.adapter.CONFIG_KEY
        revision = max(self.replica.last_revision(key), response.revision)
        self.replica.revisions[key] = revision
        self.replica.newest = max(self.replica.newest, response.revision)
        self._activate(sheet, response.revision, began, "proxy")
        return True

    def _apply_change(self, change):
        """Apply one change that is newer than what is known of its key."""
        adapter = self.services.adapter
        if change.key != adapter.CONFIG_KEY:
            self.apply_order(change)
            return
        # The sheet is stored decoded; storing its bytes too would double the memory.
        self.replica.items.pop(change.key, None)
        if isinstance(change, kvstore.Item):
            self._apply_config(change)

    def _apply_config(self, item):
        """Activate the sheet in an item, unless it is unreadable or not newer."""
        services, began = self.services, self.services.clock()
        current = services.holder.sheet
        sheet = services.adapter.read_sheet(item.value, current)
        if isinstance(sheet, services.adapter.Unreadable):
            services.log.event(
                "sheet-refused", revision=item.revision, reason=sheet.reason
            )
        elif current is not None and sheet.version <= current.version:
            # The active sheet stays in force, also for this revision.
            self.sheet_revision = max(self.sheet_revision, item.revision)
            services.log.event(
                "sheet-ignored", version=sheet.version, held=current.version
            )
        else:
            self._activate(sheet, item.revision, began, "store")

    def _activate(self, sheet, revision, began, source):
        """Make a sheet the active one, and log it.

        ``began`` is the time by ``clock`` at which decoding it began.
        """
        services = self.services
        services.holder.put(sheet)
        self.sheet_revision = revision
        services.counters.set_sheet_version(sheet.version)
        services.log.event(
            "sheet",
            version=sheet.version,
            revision=revision,
            source=source,
            routes=len(sheet.routes),
            parse_seconds=round(services.clock() - began, 4),
        )

    def _mark_fresh(self, fresh_at, changed):
        """Record that the store had nothing newer at a time by the clock ``elapsed``.

        Wake the long polls if the state is fresher or ``changed`` is true.
        """
        newer = fresh_at > self.fresh_at
        if newer:
            self.fresh_at = fresh_at
        if newer or changed:
            self._wake()

    def _wake(self):
        """Wake the long polls that wait for a change."""
        if self.waking is not None:
            self.waking.cancel()
            self.waking = None
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def note_entry_change(self, urgent):
        """End the long polls, since one of the proxies' keys has changed.

        Unless the change is ``urgent``, that is done a little later, together with the
        changes that come until then.
        """
        if urgent:
            self.urgent = self.entries.count
            self._wake()
        elif self.waking is None:
            loop = asyncio.get_running_loop()
            self.waking = loop.call_later(ENTRY_DELAY_SECONDS, self._wake)

    def note_store_unreachable(self, store_unreachable):
        """Record whether the store responds to other proxies, but not to this one.

        When that begins, wake the long polls, so that waiting proxies know at once.
        """
        begins = store_unreachable and not self.store_unreachable
        self.store_unreachable = store_unreachable
        if begins:
            self._wake()

    def build_request(self, hold, mark=(0, 0)):
        """Return the ``StateRequest`` for what this proxy lacks.

        ``hold`` is the duration of its long poll in seconds, ``mark`` that of the last
        update of the proxies' keys from the proxy that is asked.
        """
        version = 0 if self.full_sheet_needed else self.version()
        return state_messages.StateRequest(
            self.services.settings.proxy.address,
            self.replica.at,
            version,
            self.entries.at,
            hold,
            mark,
        )

    async def respond(self, request):
        """Return the ``StateResponse`` to a request, after its long poll.

        Return ``None`` if this proxy has no state yet or is stopping.
        """
        began = self.services.elapsed()
        if not self.stopping and not self._has_changes(request):
            if self.entries.has_news(request.mark):
                self.note_entry_change(urgent=False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(request.hold, HOLD_MAX_SECONDS)):
                    await self.changed.wait()
        if self.stopping or not self.replica.at:
            return None
        return self._build_response(request, self.services.elapsed() - began)

    def _has_changes(self, request):
        """Return whether there are changes that the requesting proxy lacks."""
        return (
            self.replica.newest > request.at
            or self.version() > request.version
            or (self.entries.has_news(request.mark) and self.urgent > request.mark[1])
            or self.entries.at > request.entries_at == 0
        )

    def _build_response(self, request, delay):
        """Return the ``StateResponse`` to a request.

        ``delay`` is the time in seconds for which the response was delayed.
        """
        return state_messages.StateResponse(
            delay,
            min(self.age(), 1e9),
            self.replica.build_update(request.at),
            self.entries.build_update(request.entries_at, request.mark),
            self.sheet_revision,
            self.store_unreachable,
            self.services.holder.delta_since(request.version),
            proof.rounded_up(self.proof.age()),
            self.version(),
        )

    def snapshot(self):
        """Return a ``StateResponse`` with the complete state."""
        everything = state_messages.StateRequest("", 0, 0, 0, 0.0)
        return self._build_response(everything, 0.0)

    def stop_responding(self):
        """Refuse all further requests, and end the long polls: the process stops."""
        self.stopping = True
        self._wake()
