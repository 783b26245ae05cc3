"""Lead a move: gather evidence, judge it, write the next share, end the move.

The steward is the proxy that leads a move. Any proxy may become the steward: it creates
a key bound to a short lease. Every write of a move is conditional on that key, so a
proxy that was paused cannot write after another one has taken over.
"""

import asyncio
import collections
import dataclasses
import types

import orjson

from lentilrouter.core import fields
from lentilrouter.datapath import messages
from lentilrouter.moves import evidence, judging
from lentilrouter.proxy import exchange, hops, kvstore, moves, registry

# Time for which an unresponsive target may still run calls that its host can deliver.
SILENT_SECONDS = 6.0
TICK_SECONDS = 0.4  # pause between two decisions on a move
EVIDENCE_SECONDS = 0.35  # timeout of a request for evidence
START_DELAY_SECONDS = (0.0, 0.4)  # random, so that few proxies try to lead at once
JUDGE = "tail"  # name of a judge in ``judging.JUDGES``
SETTLE_SECONDS = 0.9  # time for every proxy to learn of the last share


class Steward:
    """Try to become the steward of each move that was ordered and has not ended.

    ``leading`` maps a service to the task that leads its move.
    """

    __slots__ = ("services", "leading", "wake")

    def __init__(self, services):
        self.services = services
        self.leading = {}
        self.wake = asyncio.Event()

    def consider(self, service):
        """Try to lead the move of a service if it is open and has no steward."""
        if service in self.leading or not self._open(service):
            return
        loop = asyncio.get_running_loop()
        self.leading[service] = loop.create_task(self._lead(service))

    def _open(self, service):
        """Return whether a service has an open order and no steward."""
        if not self.services.registry.entries.known.is_set():
            # Until the moves are read, an order whose move ended long ago looks new.
            return False
        return service not in self.services.registry.stewards and self.has_open_order(
            service
        )

    def has_open_order(self, service):
        """Return whether a service has an order whose move has not ended."""
        entry = self.services.registry.orders.get(service)
        if entry is None:
            return False
        move = self.services.bases.moves.get(service)
        return (
            move is None
            or move.order < entry[1]
            or (move.order == entry[1] and move.state is moves.State.RUNNING)
        )

    async def _lead(self, service):
        """Try to become the steward of a service; lead its move if that succeeds."""
        services = self.services
        try:
            await asyncio.sleep(services.random.uniform(*START_DELAY_SECONDS))
            if not self._open(service) or services.hosting.stopping:
                return
            granted = await services.store.grant(services.settings.store.lease_seconds)
            if not isinstance(granted, kvstore.Granted):
                return
            key = registry.STEWARDS_PREFIX + service
            name = services.settings.proxy.id.encode()
            claimed = await services.store.write(
                {key: 0}, [kvstore.Put(key, name, granted.lease)]
            )
            if isinstance(claimed, kvstore.Written):
                item = kvstore.Item(key, name, claimed.revision, granted.lease)
                services.broadcast(exchange.CATCH_UP_PATH, exchange.encode([item]))
                leader = MoveLeader(services, service, granted.lease, claimed.revision)
                await leader.run()
                await services.store.revoke(granted.lease)
        finally:
            del self.leading[service]

    def tick(self):
        """Consider every order again, as a steward that died leaves its move open."""
        for service in list(self.services.registry.orders):
            self.consider(service)


class MoveLeader:
    """Lead one move until it ends or the lease expires.

    ``steward_revision`` is the revision of the steward's key, on which every write is
    conditional. ``began`` is the time of the order by ``services.clock``.
    ``evidence_by_target`` maps the id of a target to its latest evidence.
    ``full_since`` is the time since which all traffic goes to the new version, or
    ``None``. ``silent_since`` maps a host whose proxy doesn't respond to the time of
    the first request without a response.
    """

    def __init__(self, services, service, lease, revision):
        self.services = services
        self.service = service
        self.lease = lease
        self.steward_revision = revision
        self.order, self.order_revision, self.began = services.registry.orders[service]
        self.judge = judging.JUDGES.get(JUDGE)(judging.Limits())
        self.evidence_by_target = {}
        self.full_since = None
        self.silent_since = {}

    async def run(self):
        """Decide periodically until the move has ended or the lease has expired."""
        services = self.services
        services.log.event("steward", service=self.service, version=self.order.version)
        lease_seconds = services.settings.store.lease_seconds
        renewed_at = services.clock()
        while True:
            now = services.clock()
            if now - renewed_at > lease_seconds / 3:
                renewed = await services.store.renew(self.lease)
                if isinstance(renewed, kvstore.Granted):
                    renewed_at = now
                elif isinstance(renewed, kvstore.LeaseEnded):
                    services.log.event("steward-lost", service=self.service)
                    return
            if now - renewed_at > lease_seconds:
                services.log.event("steward-lost", service=self.service)
                return
            if await self._step():
                return
            await asyncio.sleep(TICK_SECONDS)

    async def _step(self):
        """Take one decision and write it; return whether the move has ended.

        Return ``False`` also if the base version is unknown or the write failed.
        """
        services = self.services
        base = services.bases.base.get(self.service)
        if base is None:
            return False
        move = services.bases.moves.get(self.service)
        if move is None or move.order != self.order_revision:
            move = moves.Move(
                self.service,
                base,
                self.order.version,
                self.order_revision,
                moves.State.RUNNING,
                0.0,
                0.0,
            )
            if base == self.order.version:
                move.state = moves.State.DONE
                return await self._write(move, "already there")
        if move.state is not moves.State.RUNNING:
            return True
        now = services.clock()
        elapsed = max(now - self.began, move.elapsed)
        if now - self.began < move.elapsed:
            self.began = now - move.elapsed
        total, busy = await self._gather()
        pair = types.SimpleNamespace(old=move.old, new=move.new)
        verdict = self.judge.judge(total, pair, now)
        if services.bases.halted.get(self.service) == self.order_revision:
            verdict = judging.Bad("halted by a steward that was lost")
        if isinstance(verdict, judging.Bad):
            await self._halt(verdict.reason)
            move.state, move.share = moves.State.TAKEN_BACK, 0.0
            move.elapsed, move.reason = elapsed, verdict.reason
            return await self._write(move, verdict.reason)
        ready_versions = services.directory.versions(self.service)
        if move.new not in ready_versions:
            share = 0.0
        else:
            calls = sum(
                tally.calls
                for (version, _), tally in total.tallies.items()
                if version == move.new
            )
            new = [
                target
                for target in services.directory.ready(self.service)
                if target.version == move.new
            ]
            share = moves.planned_share(
                elapsed,
                self.order.seconds,
                calls,
                len(new),
                services.settings.promises.expose_share,
            )
            if isinstance(verdict, judging.Doubtful):
                share = min(share, max(move.share, moves.FIRST_SHARE))
            share = max(share, move.share)
        settled = (
            self.full_since is not None and now - self.full_since >= SETTLE_SECONDS
        )
        if settled and moves.may_finish(
            elapsed, self.order.seconds, move.share, busy.get(move.old, 0)
        ):
            move.state, move.elapsed = moves.State.DONE, elapsed
            return await self._write(move, "all traffic moved")
        if share != move.share or move.elapsed == 0.0:
            move.share, move.elapsed = share, max(elapsed, 0.001)
            await self._write(move, "next share")
        if move.share >= 1.0 and self.full_since is None:
            self.full_since = services.clock()
        return False

    async def _halt(self, reason):
        """Stop calls to the new version at every proxy, before the store is written.

        The store may be unavailable to this proxy or to all. So the halt is broadcast
        to the other proxies, and a later steward rolls the move back at once.
        """
        services = self.services
        if not services.bases.halt(self.service, self.order_revision):
            return
        services.log.event(
            "move-halted", service=self.service, order=self.order_revision, why=reason
        )
        body = orjson.dumps([self.service, self.order_revision])
        await exchange.broadcast(services, exchange.HALT_PATH, body)

    async def _write(self, move, cause):
        """Write a move and broadcast it; return whether this ended the move.

        Return ``False``, without a broadcast, if the store didn't accept the write.
        """
        services = self.services
        key = registry.MOVES_PREFIX + self.service
        entries = services.registry.entries
        steward_key = registry.STEWARDS_PREFIX + self.service
        expected = {
            steward_key: self.steward_revision,
            key: entries.stored_revision(key),
        }
        status_key, status = services.adapter.write_status(
            self.service, move.new, move.state
        )
        puts = [kvstore.Put(key, move.encode()), kvstore.Put(status_key, status)]
        announced = puts[:1]
        if move.state is moves.State.DONE:
            base_key = registry.BASES_PREFIX + self.service
            puts.append(kvstore.Put(base_key, move.new.encode()))
            # The base version comes first: a receiver applies the items in order.
            announced = [puts[-1], *announced]
        result = await services.store.write(expected, puts)
        services.log.event(
            "steward-wrote",
            service=self.service,
            state=move.state,
            share=move.share,
            cause=cause,
            result=type(result).__name__,
        )
        if not isinstance(result, kvstore.Written):
            return False
        services.bases.moves[self.service] = move
        if move.state is moves.State.DONE:
            services.bases.base[self.service] = move.new
        # A watch may report the change up to a second later, which is too late: all
        # proxies have to use the same share sooner.
        items = [kvstore.Item(put.key, put.value, result.revision) for put in announced]
        entries.apply_each(items)
        await exchange.broadcast(
            services, exchange.CATCH_UP_PATH, exchange.encode(items)
        )
        return move.state is not moves.State.RUNNING

    async def _gather(self):
        """Return the summed evidence and a dict of calls in flight by version.

        A target whose proxy doesn't respond adds its last known evidence. If it takes
        calls, it also adds one call in flight for ``SILENT_SECONDS``: nobody knows that
        it has none.
        """
        own = self.services.hosting
        targets = list(self.services.directory.by_service.get(self.service, ()))
        reports = await asyncio.gather(
            *(self._request_report(target) for target in targets)
        )
        busy = collections.Counter()
        for target, report in zip(targets, reports, strict=True):
            if report is not None:
                self.silent_since.pop(target.host, None)
            elif self._may_be_at_work(target):
                busy[target.version] += 1
        if (
            own.liveness.target is not None
            and own.liveness.target.service == self.service
        ):
            reports.append(build_report(own))
        for report in filter(None, reports):
            self.evidence_by_target[report.id] = report.evidence
            busy[report.version] += report.busy
        total = evidence.Evidence()
        for part in self.evidence_by_target.values():
            total.add(part)
        return total, busy

    def _may_be_at_work(self, target):
        """Return whether an unresponsive target may run calls.

        That is one of another host that takes calls, as far as is known, and that has
        been unresponsive for ``SILENT_SECONDS`` at most.
        """
        now = self.services.clock()
        silent_seconds = now - self.silent_since.setdefault(target.host, now)
        own = self.services.settings.proxy.address
        takes_calls = target.host != own and target.ready and target.open
        return takes_calls and silent_seconds <= SILENT_SECONDS

    async def _request_report(self, target):
        """Return the report of a target's proxy, or ``None`` if there is none.

        Return ``None`` for the local target, too.
        """
        services = self.services
        if target.host == services.settings.proxy.address:
            return None
        request = messages.Request(
            "GET", f"{hops.PATH_PREFIX}evidence", [(b"host", b"peer")]
        )
        result = await services.peers.send(target.peer, request, EVIDENCE_SECONDS)
        if not isinstance(result, messages.Replied):
            services.log.request("evidence-missing", target.id, host=target.host)
            return None
        try:
            report = decode_report(result.response.body)
        except ValueError as error:
            services.log.event("evidence-refused", host=target.host, why=str(error))
            return None
        return report if report.id else None


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """A proxy's report to a steward: evidence and load of its local target.

    ``id`` and ``version`` are empty if the proxy has no target. ``busy`` is the number
    of calls that run or wait there.
    """

    id: str
    version: str
    busy: int
    evidence: evidence.Evidence

    def encode(self):
        """Return the body of the message."""
        return orjson.dumps([self.id, self.version, self.busy, self.evidence.as_json()])


def decode_report(body):
    """Return the ``Report`` in a body; raise ``ValueError`` if it is malformed."""
    row = fields.named(("id", "version", "busy", "evidence"), orjson.loads(body))
    return Report(
        row.text("id", empty=True),
        row.text("version", empty=True),
        row.integer("busy"),
        evidence.Evidence.from_json(row.rows("evidence")),
    )


def build_report(hosting):
    """Return the ``Report`` on the local target."""
    target = hosting.liveness.target
    load = hosting.load()
    return Report(
        target.id if target else "",
        target.version if target else "",
        load.running + load.waiting,
        hosting.evidence,
    )
