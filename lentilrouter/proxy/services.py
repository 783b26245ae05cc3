"""Build the parts of a proxy and let them reach each other and the other proxies."""

import asyncio
import dataclasses
import random
import time

import orjson

from lentilrouter.core import clock as system_clocks
from lentilrouter.core import event_log
from lentilrouter.datapath import messages
from lentilrouter.proxy import (
    balancing,
    budget,
    counters,
    crashing,
    directory,
    exchange,
    forwarding,
    holder,
    hops,
    hosting,
    moves,
    operator_state,
    refreshing,
    registry,
    sending,
    state_messages,
    stewarding,
)
from lentilrouter.routing import quarantine

TARGET_USER_TIMEOUT_MS = 400  # the target is on the same host; finds silent connections
ASK_SECONDS = 0.4  # for one question to another proxy, a lost packet included
SNAPSHOT_SECONDS = 1.0  # for one message of some 100 KB
PEER_IDLE_SECONDS = 30.0  # below the other side's limit, so that it never closes first
STORE_RETRY_IDLE_SECONDS = 20.0


class Services:
    """Hold the parts of a proxy that others reach by name.

    ``clock`` is for intervals in which the process runs, ``elapsed`` for ages.
    """

    def __init__(
        self,
        settings,
        platform,
        clock=time.monotonic,
        wall=time.time,
        elapsed=system_clocks.elapsed,
    ):
        self.settings = settings
        self.dialect = platform.dialect
        self.adapter = platform.adapter
        self.heartbeats = platform.heartbeats
        self.clock = clock
        self.elapsed = elapsed
        self.random = random.Random(f"{settings.proxy.id} {wall()}")
        self.log = event_log.EventLog(1, settings.proxy.id, clock, wall)
        self.counters = counters.Counters()
        self.holder = holder.Holder()
        self.directory = directory.Directory()
        self.bases = moves.Bases()
        self.target_client = sending.Client(user_timeout_ms=TARGET_USER_TIMEOUT_MS)
        self.peers = sending.Client(idle_limit=PEER_IDLE_SECONDS)
        store_client = sending.Client(
            tcp_keep_alive=True, idle_limit=STORE_RETRY_IDLE_SECONDS
        )
        self.store = platform.open_store(
            store_client, settings.store.address, settings.store.timeout_seconds
        )
        self.crashes = crashing.Crashes()
        self.broadcasts = set()
        self.hosting = hosting.Hosting(self)
        self.registry = registry.Registry(self)
        self.state = operator_state.OperatorState(self, self.registry.take_order)
        self.refresher = refreshing.Refresher(self)
        self.steward = stewarding.Steward(self)
        promises = settings.promises
        self.forwarder = forwarding.Forwarder(
            self,
            balancing.Balancer(
                settings.proxy.domain, settings.proxy.address, self.random
            ),
            budget.Budget(promises.retry_share, promises.retry_extra),
        )

    def target_changed(self):
        """Make news of the local target known here and to the other proxies."""
        target = self.hosting.liveness.target
        entry = dataclasses.replace(target, open=not self.hosting.stopping)
        self.directory.put(entry, self.clock())
        self.registry.dirty.set()

    async def ask_target(self, known, host):
        """Return the target that a host's proxy says it has, ``None`` for none."""
        request = messages.Request("GET", hops.TARGET_PATH, [(b"host", b"peer")])
        peer = known.by_host[host].peer
        result = await self.peers.send(peer, request, ASK_SECONDS)
        if not isinstance(result, messages.Replied):
            return None
        try:
            target = directory.decode(result.response.body)
        except ValueError:
            # The proxy has no target, or is something else by now: no target there.
            return None
        return target if target.host == host else None

    async def send_snapshot(self, peer, answer):
        """Tell a proxy that lacks a sheet, and cannot read the store, what is known."""
        held = self.holder.sheet
        if held is None or answer.body != exchange.NO_SHEET:
            return
        headers, body = self.state.snapshot().encode()
        await self._teach(peer, state_messages.SNAPSHOT_PATH, headers, body)
        items = exchange.encode(self.registry.snapshot())
        await self._teach(peer, exchange.CATCH_UP_PATH, messages.JSON_TYPE, items)

    async def _teach(self, peer, path, headers, body):
        request = messages.Request("POST", path, [(b"host", b"peer"), *headers], body)
        result = await self.peers.send(peer, request, SNAPSHOT_SECONDS)
        self.log.event("taught", peer=peer, path=path, result=type(result).__name__)

    def crashed(self, request, target):
        """Note a call in flight as its target died, and tell the other proxies."""
        fingerprint = quarantine.fingerprint(request)
        incarnation = f"{target.id} {target.born}"
        if self.note_crash(fingerprint, incarnation):
            self.broadcast(
                exchange.CRASH_PATH, orjson.dumps([fingerprint, incarnation])
            )

    def broadcast(self, path, body):
        """Send news to all other proxies without waiting for it."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(exchange.broadcast(self, path, body))
        self.broadcasts.add(task)
        task.add_done_callback(self.broadcasts.discard)

    def note_crash(self, fingerprint, incarnation):
        """Note that a target died with a call in flight; return if that is news."""
        news = self.crashes.note(fingerprint, incarnation, self.clock())
        if news:
            self.log.event(
                "crash",
                fingerprint=fingerprint,
                target=incarnation,
                refused_now=self.crashes.blocked(fingerprint),
            )
        return news

    def on_order(self, service):
        """Let the steward look at a move."""
        self.steward.consider(service)
