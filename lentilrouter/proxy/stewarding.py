"""Lead a move: gather evidence, judge it, write the next share, end it.

Any proxy may lead. A key under a short lease names the one that does, and every write
of a move depends on that key, so a proxy that was paused cannot write after another
took over.
"""

import asyncio
import types

import orjson

from lentilrouter.datapath import messages
from lentilrouter.moves import evidence, judging
from lentilrouter.proxy import exchange, hops, kvstore, moves, registry

LEASE_SECONDS = 2.0  # a dead steward is replaced well within the time of a roll-back
TICK_SECONDS = 0.4
ASK_SECONDS = 0.35
START_SECONDS = (0.0, 0.4)  # random, so that few proxies try to lead at the same time
JUDGE = "tail"
SETTLE_SECONDS = 0.9  # for every proxy to hear of the last share


class Steward:
    """Try to lead each move that was ordered and is not ended."""

    __slots__ = ("services", "leading", "wake")

    def __init__(self, services):
        self.services = services
        self.leading = {}
        self.wake = asyncio.Event()

    def consider(self, service):
        """Look again at the move of a service."""
        if service in self.leading or not self._open(service):
            return
        loop = asyncio.get_running_loop()
        self.leading[service] = loop.create_task(self._lead(service))

    def _open(self, service):
        if not self.services.registry.scanned.is_set():
            # An order without its move looks new, though it may have ended long ago.
            return False
        return service not in self.services.registry.stewards and self.has_open_order(
            service
        )

    def has_open_order(self, service):
        """Tell whether an order for a service has not ended yet."""
        found = self.services.registry.orders.get(service)
        if found is None:
            return False
        move = self.services.bases.moves.get(service)
        return (
            move is None
            or move.order < found[1]
            or (move.order == found[1] and move.state is moves.State.RUNNING)
        )

    async def _lead(self, service):
        services = self.services
        try:
            await asyncio.sleep(services.random.uniform(*START_SECONDS))
            if not self._open(service) or services.hosting.stopping:
                return
            granted = await services.store.grant(LEASE_SECONDS)
            if not isinstance(granted, kvstore.Granted):
                return
            key = registry.STEWARDS_PREFIX + service
            name = services.settings.proxy.id.encode()
            won = await services.store.write(
                {key: 0}, [kvstore.Put(key, name, granted.lease)]
            )
            if isinstance(won, kvstore.Written):
                item = kvstore.Item(key, name, won.revision, granted.lease)
                services.broadcast(exchange.CATCH_UP_PATH, exchange.encode([item]))
                lead = MoveLeader(services, service, granted.lease, won.revision)
                await lead.run()
                await services.store.revoke(granted.lease)
        finally:
            del self.leading[service]

    def tick(self):
        """Look again at every order; a steward that died leaves its move open."""
        for service in list(self.services.registry.orders):
            self.consider(service)


class MoveLeader:
    """Lead one move until it ends or the lease is lost."""

    def __init__(self, services, service, lease, revision):
        self.services = services
        self.service = service
        self.lease = lease
        self.steward_revision = revision
        self.order, self.order_revision, self.seen = services.registry.orders[service]
        self.judge = judging.JUDGES.get(JUDGE)(judging.Limits())
        self.counts = {}
        self.full_since = None

    async def run(self):
        """Tick until the move is done or taken back, or the lease is lost."""
        services = self.services
        services.log.event("steward", service=self.service, version=self.order.version)
        renewed_at = services.clock()
        while True:
            now = services.clock()
            if now - renewed_at > LEASE_SECONDS / 3:
                renewed = await services.store.renew(self.lease)
                if isinstance(renewed, kvstore.Granted):
                    renewed_at = now
                elif isinstance(renewed, kvstore.LeaseEnded):
                    services.log.event("steward-lost", service=self.service)
                    return
            if now - renewed_at > LEASE_SECONDS:
                services.log.event("steward-lost", service=self.service)
                return
            if await self._step():
                return
            await asyncio.sleep(TICK_SECONDS)

    async def _step(self):
        """Take one decision; return whether the move has ended."""
        services = self.services
        base = services.bases.base.get(self.service)
        if base is None:
            return False
        held = services.bases.moves.get(self.service)
        if held is None or held.order != self.order_revision:
            held = moves.Move(
                self.service,
                base,
                self.order.version,
                self.order_revision,
                moves.State.RUNNING,
                0.0,
                0.0,
            )
            if base == self.order.version:
                held.state = moves.State.DONE
                return await self._write(held, "already there")
        if held.state is not moves.State.RUNNING:
            return True
        now = services.clock()
        elapsed = max(now - self.seen, held.elapsed)
        if now - self.seen < held.elapsed:
            self.seen = now - held.elapsed
        total, busy = await self._gather()
        pair = types.SimpleNamespace(old=held.old, new=held.new)
        verdict = self.judge.judge(total, pair, now)
        if services.bases.halted.get(self.service) == self.order_revision:
            verdict = judging.Bad("halted by a steward that was lost")
        if isinstance(verdict, judging.Bad):
            await self._halt(verdict.reason)
            held.state, held.share = moves.State.TAKEN_BACK, 0.0
            held.elapsed, held.reason = elapsed, verdict.reason
            return await self._write(held, verdict.reason)
        known = services.directory.versions(self.service)
        if held.new not in known:
            share = 0.0
        else:
            calls = sum(
                tally.calls
                for (version, _), tally in total.tallies.items()
                if version == held.new
            )
            new = [
                target
                for target in services.directory.ready(self.service)
                if target.version == held.new
            ]
            share = moves.planned_share(
                elapsed,
                self.order.seconds,
                calls,
                len(new),
                services.settings.promises.expose_share,
            )
            if isinstance(verdict, judging.Doubtful):
                share = min(share, max(held.share, moves.FIRST_SHARE))
            share = max(share, held.share)
        settled = (
            self.full_since is not None and now - self.full_since >= SETTLE_SECONDS
        )
        if settled and moves.may_finish(
            elapsed, self.order.seconds, held.share, busy.get(held.old, 0)
        ):
            held.state, held.elapsed = moves.State.DONE, elapsed
            return await self._write(held, "all traffic moved")
        if share != held.share or held.elapsed == 0.0:
            held.share, held.elapsed = share, max(elapsed, 0.001)
            await self._write(held, "next share")
        if held.share >= 1.0 and self.full_since is None:
            self.full_since = services.clock()
        return False

    async def _halt(self, reason):
        """Let no proxy send the new version calls, before the store says so.

        The store may be away for this proxy, or for all; the others are told directly
        and a later steward takes the move back at once.
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
        """Write a move; return whether it has ended by that."""
        services = self.services
        key = registry.MOVES_PREFIX + self.service
        held = services.registry.view.revisions.get(key, 0)
        steward_key = registry.STEWARDS_PREFIX + self.service
        expected = {steward_key: self.steward_revision, key: max(0, held)}
        status_key, status = services.adapter.write_status(
            self.service, move.new, move.state
        )
        puts = [kvstore.Put(key, move.encode()), kvstore.Put(status_key, status)]
        told = puts[:1]
        if move.state is moves.State.DONE:
            base_key = registry.BASES_PREFIX + self.service
            puts.append(kvstore.Put(base_key, move.new.encode()))
            told = [puts[-1], *told]  # first where traffic is, then that it has moved
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
        services.registry.view.revisions[key] = result.revision
        services.bases.moves[self.service] = move
        if move.state is moves.State.DONE:
            services.bases.base[self.service] = move.new
        # A watch brings the news up to a second later; a share must be exact sooner.
        items = [kvstore.Item(put.key, put.value, result.revision) for put in told]
        await exchange.broadcast(
            services, exchange.CATCH_UP_PATH, exchange.encode(items)
        )
        return move.state is not moves.State.RUNNING

    async def _gather(self):
        """Return all evidence and how many calls each version has at work."""
        services = self.services
        targets = list(services.directory.by_service.get(self.service, ()))
        answers = await asyncio.gather(*(self._ask(target) for target in targets))
        own = services.hosting
        if (
            own.liveness.target is not None
            and own.liveness.target.service == self.service
        ):
            answers.append(answer(own))
        busy = {}
        for found in answers:
            if found is None:
                continue
            self.counts[found["id"]] = evidence.Evidence.from_json(found["evidence"])
            version = found["version"]
            busy[version] = busy.get(version, 0) + found["busy"]
        total = evidence.Evidence()
        for part in self.counts.values():
            total.add(part)
        return total, busy

    async def _ask(self, target):
        services = self.services
        if target.host == services.settings.proxy.address:
            return None
        request = messages.Request(
            "GET", f"{hops.PATH_PREFIX}evidence", [(b"host", b"peer")]
        )
        result = await services.peers.send(target.peer, request, ASK_SECONDS)
        if not isinstance(result, messages.Replied):
            services.log.request("evidence-missing", target.id, host=target.host)
            return None
        try:
            found = orjson.loads(result.response.body)
            return found if found["id"] else None
        except (ValueError, KeyError, TypeError) as error:
            services.log.event("evidence-refused", host=target.host, why=str(error))
            return None


def answer(hosting):
    """Return what a proxy tells a steward about its target."""
    target = hosting.liveness.target
    load = hosting.load()
    return {
        "id": target.id if target else "",
        "version": target.version if target else "",
        "busy": load.running + load.waiting,
        "evidence": hosting.evidence.as_json(),
    }
