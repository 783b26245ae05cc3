"""Create the parts of a proxy, and connect them to each other and to other proxies."""

import asyncio
import dataclasses
import random
import time

import orjson

from lentilrouter.buffering import account
from lentilrouter.core import clock as system_clocks
from lentilrouter.core import containment, event_log
from lentilrouter.crash_records import keeping
from lentilrouter.datapath import messages
from lentilrouter.eligibility import metrics, rules
from lentilrouter.placement import crossing
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
    probing,
    pruning,
    refreshing,
    registry,
    restoring,
    sending,
    stalls,
    state_messages,
    stewarding,
)
from lentilrouter.quotas import admission as quota_admission
from lentilrouter.routing import quarantine
from lentilrouter.workspaces import proving

# TCP user timeout, to detect dead connections; short, as the target is on this host.
TARGET_USER_TIMEOUT_MS = 400
TARGET_REQUEST_SECONDS = 0.4  # timeout; allows for one lost packet
SNAPSHOT_SECONDS = 1.0  # timeout of one message of some 100 KB
# Below the other proxies' limit, so that the other side never closes first.
PEER_IDLE_SECONDS = 30.0
STORE_IDLE_SECONDS = 20.0  # idle connections to the store are closed after this time


class Services:
    """Container of a proxy's parts, by which they find each other.

    ``platform`` provides dialect, adapter, heartbeats and ``open_store``. All clocks
    return seconds: ``clock`` is for intervals while the process runs, ``elapsed`` for
    ages, since it includes the time for which the host was suspended, ``wall`` for the
    time of day.
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
        self.containment = containment.Containment(
            self.log, self.counters.count_unexpected_error
        )
        self.account = account.Account()
        self.counters.follow_account(self.account)
        self.holder = holder.Holder()
        self.directory = directory.Directory()
        self.bases = moves.Bases()
        self.target_client = sending.Client(user_timeout_ms=TARGET_USER_TIMEOUT_MS)
        self.peers = sending.Client(
            idle_limit=PEER_IDLE_SECONDS, on_end=self._count_message
        )
        store_client = sending.Client(
            tcp_keep_alive=True, idle_limit=STORE_IDLE_SECONDS
        )
        self.store = platform.open_store(
            store_client,
            settings.store.address,
            settings.store.timeout_seconds,
            self.counters.count_store_call,
        )
        self.crashes = crashing.Crashes()
        self.crash_keeper = keeping.Keeper(self)
        self.stalls = stalls.StallDetector(clock())
        self.broadcasts = set()
        self.eligibility = rules.Eligibility(self)
        self.counters.registry.register(metrics.Collector(self))
        self.hosting = hosting.Hosting(self)
        self.registry = registry.Registry(self)
        self.state = operator_state.OperatorState(
            self, self.registry.apply_order, self.registry.entries
        )
        self.counters.proof_age.set_function(self.state.proof.age)
        self.pruner = pruning.Pruner(self)
        self.restorer = restoring.Restorer(self)
        self.refresher = refreshing.Refresher(self)
        self.prover = proving.Prover(self)
        self.steward = stewarding.Steward(self)
        self.quotas = quota_admission.Quotas(self)
        promises = settings.promises
        self.forwarder = forwarding.Forwarder(
            self,
            balancing.Balancer(
                settings.proxy.domain, settings.proxy.address, self.random
            ),
            budget.Budget(promises.retry_share, promises.retry_extra),
        )

        self.hosting.domain_load = self.domain_load

    def domain_load(self):
        """Return the mean load of the target's service in the own domain."""
        chooser = self.forwarder.dispatcher.chooser
        return chooser.domain_load(self.settings.target.service, self.clock())

    def _count_message(self, address, request, outcome):
        """Count the bytes of a message to a proxy in another failure domain.

        Calls are counted where their outcome is known.
        """
        target = self.directory.by_host.get(address.rpartition(":")[0])
        cause = crossing.message_cause(request)
        if not target or not cause or target.domain == self.settings.proxy.domain:
            return
        size = crossing.wire_bytes(request)
        if isinstance(outcome, messages.Replied):
            size += crossing.wire_bytes(outcome.response)
        self.counters.count_crossing(cause, size)

    def target_changed(self):
        """Publish the changed state of the local target to the proxies.

        Store it in the directory, and have the entry in the store written.
        """
        target = self.hosting.liveness.target
        entry = dataclasses.replace(target, open=not self.hosting.stopping)
        self.directory.put(entry, self.clock())
        self.registry.dirty.set()

    async def fetch_target(self, targets, host):
        """Return the target that a host's proxy reports.

        ``targets`` is the directory with the proxy's address. Return ``None`` if the
        proxy doesn't respond within ``TARGET_REQUEST_SECONDS``, or if its response is
        not a target on that host.
        """
        request = messages.Request("GET", hops.TARGET_PATH, [(b"host", b"peer")])
        peer = targets.by_host[host].peer
        result = await self.peers.send(peer, request, TARGET_REQUEST_SECONDS)
        if not isinstance(result, messages.Replied):
            return None
        try:
            target = directory.decode(result.response.body)
        except ValueError:
            # The proxy has no target, or another program has its address now.
            return None
        return target if target.host == host else None

    async def responds(self, peer):
        """Return whether the proxy at an address responds to a probe."""
        result = await self.peers.send(peer, probing.PING, TARGET_REQUEST_SECONDS)
        return isinstance(result, messages.Replied)

    async def send_snapshot(self, peer, response):
        """Send all known state to a proxy that has no sheet.

        That proxy may be unable to read the store itself. ``response`` is its response
        to a probe. Do nothing if it has a sheet or this proxy has none.
        """
        sheet = self.holder.sheet
        if sheet is None or response.body != exchange.NO_SHEET:
            return
        headers, body = self.state.snapshot().encode()
        request = messages.Request(
            "POST",
            state_messages.SNAPSHOT_PATH,
            [(b"host", b"peer"), *headers],
            body,
        )
        result = await self.peers.send(peer, request, SNAPSHOT_SECONDS)
        self.log.event("taught", peer=peer, result=type(result).__name__)

    def report_crash(self, request, target):
        """Record a call that was in flight when its target died, and broadcast it."""
        fingerprint = quarantine.fingerprint(request)
        incarnation = f"{target.id} {target.born}"
        if self.note_crash(fingerprint, incarnation):
            if self.crashes.blocked(fingerprint):
                self.crash_keeper.note_blocked(fingerprint)
            self.broadcast(
                exchange.CRASH_PATH, orjson.dumps([fingerprint, incarnation])
            )

    def broadcast(self, path, body):
        """Send a message to all other proxies, without waiting for the result."""
        self._send_in_background(exchange.broadcast(self, path, body))

    def _send_in_background(self, sending):
        """Run a coroutine that sends messages, without waiting for the result."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(sending)
        self.broadcasts.add(task)
        task.add_done_callback(self.broadcasts.discard)

    def announce(self, items):
        """Send encoded items of the proxies' keys to the proxies that others ask.

        The others get them with their next state response.
        """
        targets = self.refresher.sources.announced_to()
        self._send_in_background(
            exchange.send_to(self, targets, exchange.CATCH_UP_PATH, items)
        )

    def note_crash(self, fingerprint, incarnation):
        """Record that a target died with a call in flight.

        ``fingerprint`` identifies the call, ``incarnation`` the target and its start.
        Return whether anything changed.
        """
        changed = self.crashes.note(fingerprint, incarnation, self.clock())
        if changed:
            self.log.event(
                "crash",
                fingerprint=fingerprint,
                target=incarnation,
                refused_now=self.crashes.blocked(fingerprint),
            )
        return changed

    def on_order(self, service):
        """Let the steward consider the move of a service."""
        self.steward.consider(service)
