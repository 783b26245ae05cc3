"""Admit calls to the quotas of their workspaces, and report to the allocator.

``ledger`` and ``allocation`` decide; this module sends, receives and waits.
"""

import asyncio
import contextlib
import time

from lentilrouter.datapath import messages as http
from lentilrouter.proxy import hops
from lentilrouter.quotas import (
    allocation,
    electing,
    ledger,
    messages,
    metrics,
    pacing,
)

PATH = hops.PATH_PREFIX + "quotas"
LOOK_SECONDS = 0.25  # between two looks for an allocator while nothing is needed
ANSWER_SECONDS = 0.35  # timeout of a report; allows for one lost packet
RETRY_SHARES = (0.75, 1.25)  # random, so that callers refused together do not return so
# Callers wait at most a third of the time that they have left.
RETRY_LEFT_SHARE = 0.3
RETRY_AFTER_MIN_SECONDS = 0.01


class Quotas:
    """Quotas of all workspaces, as one proxy keeps them.

    ``services`` provides settings, holder, directory, store, peers, log, counters,
    ``elapsed`` and random numbers. ``ledger`` is ``None`` if the settings ask for no
    quotas. ``elector`` keeps the role of the allocator. ``due`` is set if a report may
    be needed earlier than planned, ``answered`` is renewed after each answer.
    ``is_answered`` is whether the last report was answered.
    """

    def __init__(self, services):
        promises = services.settings.promises
        self.services = services
        self.ledger = None
        self.bound = allocation.Bound(
            promises.quota_window_seconds, promises.quota_excess, promises.quota_slack
        )
        if self.bound.window > 0:
            # No two processes of a host may have the same name, whatever its clocks do.
            process = f"{services.random.getrandbits(64):x}-{time.time_ns():x}"
            address = services.settings.proxy.address
            self.ledger = ledger.Ledger(address, process, self.bound.window)
            services.counters.registry.register(metrics.Collector(self.ledger))
        self.elector = electing.Elector(services, self.bound)
        self.pacer = pacing.Pacer()
        self.is_answered = False
        self.due = asyncio.Event()
        self.answered = asyncio.Event()

    def active(self):
        """Return whether the settings and the sheet ask for quotas."""
        sheet = self.services.holder.sheet
        if self.ledger is None or sheet is None:
            return False
        return any(each.per_second > 0 for each in sheet.workspaces.values())

    async def admit(self, workspace):
        """Charge a call; return ``ledger.Granted`` or ``ledger.OverQuota``.

        A call over the quota waits shortly for what the allocator may lend.
        """
        if self.ledger is None or workspace is None or workspace.per_second <= 0:
            return ledger.GRANTED
        if not self._has_entry():
            self.ledger.give_up()
        now = self.services.elapsed()
        result = self.ledger.admit(workspace, now)
        if isinstance(result, ledger.Granted):
            return result
        if self.elector.peer is not None and self.ledger.start_waiting(workspace, now):
            end = now + ledger.WAIT_SECONDS
            result = await self._wait(workspace, result, end)
        if isinstance(result, ledger.OverQuota) and not self.has_answer():
            return self._take_spare(workspace, result)
        return result

    def has_answer(self):
        """Return whether the allocator has answered the last report."""
        return self.elector.peer is not None and self.is_answered

    def _take_spare(self, workspace, result):
        """Return ``Granted`` for a call that needs no allocator, else ``result``."""
        services, now = self.services, self.services.elapsed()
        hosts = len(services.directory.by_host)
        allowance = self.bound.spare(workspace, hosts)
        draw = services.random.random()
        if self.ledger.take_spare(workspace, allowance, now, draw):
            return ledger.Granted(now)
        return result

    def _has_entry(self):
        """Return whether this host has an entry in the store, as far as it knows.

        A new allocator waits only for hosts that have one: no other may hold a share.
        """
        return self.services.registry.own.written is not None

    async def _wait(self, workspace, result, end):
        """Return the result for a call once it is granted, or at the time ``end``."""
        try:
            while isinstance(result, ledger.OverQuota):
                self.due.set()
                async with asyncio.timeout(end - self.services.elapsed()):
                    await self.answered.wait()
                now = self.services.elapsed()
                if now > end:
                    break
                result = self.ledger.admit_waiting(workspace, now)
        except TimeoutError:
            pass
        finally:
            if isinstance(result, ledger.OverQuota):
                self.ledger.stop_waiting(workspace, self.services.elapsed())
        return result

    def refund(self, workspace, charged):
        """Give back the charge of a call that reached no target.

        ``charged`` is the result ``ledger.Granted`` for the call.
        """
        if self.ledger is not None and workspace is not None:
            self.ledger.refund(workspace, charged.at, self.services.elapsed())

    def retry_after(self, over, left):
        """Return the seconds after which a refused caller should return.

        ``left`` is the time that it has left, ``None`` if that is unknown.
        """
        seconds = over.retry_after * self.services.random.uniform(*RETRY_SHARES)
        if left is not None:
            seconds = min(seconds, left * RETRY_LEFT_SHARE)
        return max(RETRY_AFTER_MIN_SECONDS, seconds)

    async def run(self):
        """Report to the allocator, and be it if elected, forever."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.elector.run(self.active))
            while True:
                seconds = self._seconds_to_report()
                if seconds == 0.0:
                    await self._report()
                    continue
                self.due.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(seconds):
                        await self.due.wait()

    def _seconds_to_report(self):
        """Return the time until the next report, or until the next look."""
        if not self.active():
            return LOOK_SECONDS
        self.elector.note_hosts()
        if not self._has_entry():
            self.ledger.give_up()
            return LOOK_SECONDS
        now = self.services.elapsed()
        seconds = self.pacer.seconds(self.ledger, self.elector.term, now)
        return LOOK_SECONDS if seconds is None else seconds

    async def _report(self):
        """Send one report, and apply the answer."""
        peer, term = self.elector.peer, self.elector.term
        now = self.services.elapsed()
        self.pacer.note_sent(now)
        report = self.ledger.report(now)
        grants = await self._ask(peer, report)
        self.is_answered = grants is not None
        if grants is None:
            self.ledger.drop_report(report.serial)
        else:
            self.pacer.told = term
            self.ledger.apply(report.serial, grants, self.services.elapsed())
        self.answered.set()
        self.answered = asyncio.Event()

    async def _ask(self, peer, report):
        """Return the grants for a report, ``None`` if there is no answer."""
        services = self.services
        if peer == self.elector.own:
            return self.elector.answer(report)
        request = http.Request("POST", PATH, [(b"host", b"peer")], report.encode())
        result = await services.peers.send(peer, request, ANSWER_SECONDS)
        if not isinstance(result, http.Replied) or result.response.status != 200:
            services.log.request("quota-unanswered", "", allocator=peer)
            return None
        try:
            return messages.decode_grants(result.response.body)
        except ValueError as error:
            services.log.event("quota-refused", allocator=peer, why=str(error))
            return None

    def handle_report(self, body):
        """Return the response to another proxy's report; 503 if it can't be granted.

        Raise ``ValueError`` if the report is malformed.
        """
        grants = self.elector.answer(messages.decode_report(body))
        if grants is None:
            return http.Response(503, [], b"")
        return http.Response(200, http.JSON_TYPE, messages.encode_grants(grants))
