"""Push changes of the sheet down the relay tree and pull missed ones."""

import anyio
import eliot

from lentilrouter.distribution import peers, relay
from lentilrouter.sheet import history

RELAYED_MAX = 256  # last pairs of revision and span, which are not relayed again


class Spreader:
    """Distributor of new revisions: activates them here and sends them to others.

    ``services`` provides settings, table, holder, peers, metrics and the task group.
    ``relayed`` has the revisions and spans relayed last, ``snapshots`` limits the
    complete sheets served at the same time, ``pulling`` is true while a pull started
    by :meth:`pull_soon` runs.
    """

    __slots__ = ("services", "relayed", "snapshots", "pulling")

    def __init__(self, services):
        self.services = services
        self.relayed = []
        settings = services.settings.distribution
        self.snapshots = anyio.CapacityLimiter(settings.snapshots_at_once)
        self.pulling = False

    def publish(self, sheet):
        """Activate a sheet of the platform and push it to all failure domains.

        Return ``Advanced``, ``Stale``, ``Gap`` or ``Invalid``. Only an activated sheet
        is pushed, by a background task.
        """
        delta = history.delta_between(self.services.holder.sheet, sheet)
        outcome = self._apply(delta)
        if isinstance(outcome, history.Advanced):
            self.services.tasks.start_soon(self._push_everywhere, sheet.revision, delta)
        return outcome

    def _apply(self, delta):
        """Apply a delta and return the result; count and log an invalid one."""
        outcome = self.services.holder.apply(delta)
        if isinstance(outcome, history.Invalid):
            self.services.metrics.refused_sheets.inc()
            eliot.log_message(
                "lentilrouter:sheet:refused",
                revision=outcome.revision,
                why=outcome.reason,
            )
        return outcome

    async def _push_everywhere(self, revision, delta):
        """Push a change to the own domain and to one relay of each other domain."""
        table = self.services.table
        own_domain = table.me.domain
        path = (table.self_id,)
        async with anyio.create_task_group() as group:
            for domain in table.domains():
                ids = [entry.id for entry in table.alive(domain)]
                if domain == own_domain:
                    branches = self._split(ids, revision, path)
                else:
                    branches = relay.split(ids, 1, revision, path)
                for branch in branches:
                    group.start_soon(self._push_branch, delta, branch)

    def _split(self, ids, revision, path):
        fanout = self.services.settings.distribution.fanout
        return relay.split(ids, fanout, revision, path)

    async def _push_branch(self, delta, branch):
        """Send a change and its span to the first member that accepts it."""
        message = {
            "delta": delta.as_json(),
            "span": branch.span.as_json(),
            "from": self.services.table.me.control,
        }
        timeout = self.services.settings.distribution.push_timeout_seconds
        for id in branch.ids:
            entry = self.services.table.members.get(id)
            if entry is None or not entry.usable:
                continue
            reply = await self.services.peers.post(
                entry.control, "/control/changes", message, timeout
            )
            accepted = isinstance(reply, peers.Reply)
            self.services.metrics.pushes.labels("taken" if accepted else "lost").inc()
            if accepted:
                return

    async def receive(self, message):
        """Apply a pushed change and relay it within its span.

        Pull from the sender if revisions are missing. Return the response to the
        sender. Raise ``KeyError``, ``TypeError`` or ``IndexError`` if the message is
        malformed.
        """
        delta = history.Delta.from_json(message["delta"])
        span = relay.Span.from_json(message["span"])
        if isinstance(self._apply(delta), history.Gap):
            await self.pull(message["from"])
        sheet = self.services.holder.sheet
        key = (delta.revision, span.first, span.last)
        if sheet.revision >= delta.revision and key not in self.relayed:
            self.relayed = [*self.relayed[-RELAYED_MAX:], key]
            self.services.tasks.start_soon(self._relay, delta, span)
        return {"revision": sheet.revision}

    async def _relay(self, delta, span):
        """Push a change to the known nodes of the own domain within ``span``."""
        table = self.services.table
        ids = [entry.id for entry in table.alive(table.me.domain)]
        path = (*span.path, table.self_id)
        covered = [id for id in ids if span.covers(id)]
        async with anyio.create_task_group() as group:
            for branch in self._split(covered, delta.revision, path):
                group.start_soon(self._push_branch, delta, branch)

    async def pull(self, address):
        """Request newer revisions from ``address`` and apply them.

        Return whether it responded with a valid change or has nothing newer.
        """
        revision = self.services.holder.sheet.revision
        timeout = self.services.settings.platform.timeout_seconds
        reply = await self.services.peers.get(
            address, "/control/sheet", timeout, since=revision
        )
        if isinstance(reply, peers.NoReply):
            return False
        if reply.body.get("delta") is None:
            return True
        delta = history.Delta.from_json(reply.body["delta"])
        outcome = self._apply(delta)
        return not isinstance(outcome, history.Invalid)

    def pull_soon(self, address):
        """Start a pull unless one is running."""
        if not self.pulling:
            self.pulling = True
            self.services.tasks.start_soon(self._pull_once, address)

    async def _pull_once(self, address):
        try:
            await self.pull(address)
        finally:
            self.pulling = False
