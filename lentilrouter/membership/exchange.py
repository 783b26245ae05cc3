"""Exchange membership, sheet revision and rumors with one other node each interval."""

import anyio

from lentilrouter.distribution import peers
from lentilrouter.membership import member, probing

HELPERS = 2  # nodes that probe a node on behalf of this one
SYNC_INTERVAL_SECONDS = 10.0
SYNC_ENTRIES_MAX = 200  # in one response
CRASHES_PER_EXCHANGE = 8  # quarantine records in one message
JITTER_SHARE = 0.2  # of the interval, up or down
EAGER_FANOUT = 3  # nodes in one eager exchange
EAGER_BURST = 8.0  # eager exchanges; size of the token bucket
EAGER_PER_SECOND = 0.5
EAGER_BATCH_SECONDS = 0.02  # changes within this time are sent together


class Exchanger:
    """The exchanges of one node with others.

    ``services`` provides settings, clock, random, table, holder, peers, spreader,
    metrics, quarantine and the moves that were rolled back. ``tokens`` is the budget of
    eager exchanges, which send changes at once.
    """

    __slots__ = (
        "services",
        "prober",
        "last_sync",
        "wake",
        "urgent",
        "tokens",
        "refilled_at",
    )

    def __init__(self, services):
        self.services = services
        self.prober = probing.Prober(services.table, services.random)
        self.last_sync = 0.0
        self.wake = anyio.Event()
        self.urgent = False
        self.tokens = EAGER_BURST
        self.refilled_at = services.clock.monotonic()
        services.table.listener = self.notify

    async def run(self):
        """Exchange until cancelled: each interval, and at once after a change."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_periodically)
            group.start_soon(self._run_eagerly)

    async def _run_periodically(self):
        interval = self.services.settings.membership.interval_seconds
        while True:
            jitter = 1 + JITTER_SHARE * (2 * self.services.random.random() - 1)
            await anyio.sleep(interval * jitter * self.prober.pause_share())
            self.services.table.expire(self.services.clock.monotonic())
            entry = self.prober.next()
            if entry is not None:
                await self.exchange(entry)

    async def _run_eagerly(self):
        """Send changes at once to a few random nodes, within a budget."""
        while True:
            await self.wake.wait()
            await anyio.sleep(EAGER_BATCH_SECONDS)
            self.wake = anyio.Event()
            urgent, self.urgent = self.urgent, False
            if not urgent and not self._take_token():
                continue
            async with anyio.create_task_group() as group:
                for entry in self.prober.eager_peers(EAGER_FANOUT):
                    group.start_soon(self.exchange, entry, False)

    def notify(self, urgent=False):
        """Request an eager exchange; an ``urgent`` one may exceed the budget."""
        self.urgent |= urgent
        self.wake.set()

    def _take_token(self):
        now = self.services.clock.monotonic()
        earned = EAGER_PER_SECOND * (now - self.refilled_at)
        self.tokens = min(EAGER_BURST, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    async def exchange(self, entry, suspect_on_failure=True):
        """Exchange with a node; suspect it if it does not respond.

        The node is not suspected if it responds to one of a few other nodes. If
        ``suspect_on_failure`` is false, a failed exchange has no consequence.
        """
        timeout = self.services.settings.membership.timeout_seconds
        message = self.build_message(receiver=entry.id)
        reply = await self.services.peers.post(
            entry.control, "/control/exchange", message, timeout
        )
        if isinstance(reply, peers.Reply):
            self.services.metrics.exchanges.labels("answered").inc()
            self.apply(reply.body)
            await self._sync_if_needed(entry, reply.body)
            return
        self.services.metrics.exchanges.labels("lost").inc()
        if suspect_on_failure and not await self._reachable_by_others(entry, timeout):
            now = self.services.clock.monotonic()
            if self.services.table.suspect(entry.id, now):
                self.prober.note_suspect(entry.id)

    async def _reachable_by_others(self, entry, timeout):
        """Return whether any of a few other nodes gets a response from a node."""
        reached = []

        async def probe(helper):
            message = {"address": entry.control}
            reply = await self.services.peers.post(
                helper.control, "/control/probe", message, 2 * timeout
            )
            if isinstance(reply, peers.Reply) and reply.body.get("reached"):
                reached.append(helper.id)

        async with anyio.create_task_group() as group:
            for helper in self.prober.helpers(entry, HELPERS):
                group.start_soon(probe, helper)
        return bool(reached)

    def build_message(self, receiver=None):
        """Return the message of an exchange.

        ``receiver`` is the id of the node it is for; see ``Table.updates``.
        """
        services = self.services
        table = services.table
        limit = services.settings.membership.updates_per_exchange
        updates = table.updates(limit, receiver)
        sends = table.sends_per_rumor()
        return {
            "me": table.me.as_json(),
            "revision": services.holder.sheet.revision,
            "digest": table.digest(),
            "updates": [e.as_json() for e in updates if e.id != table.self_id],
            "taken_back": list(services.rolled_back.items()),
            "crashes": services.quarantine.take_pending(CRASHES_PER_EXCHANGE, sends),
        }

    def apply(self, message):
        """Apply the message that another node sent in an exchange."""
        services = self.services
        now = services.clock.monotonic()
        sender = member.Member.from_json(message["me"])
        services.table.merge(sender, now)
        for item in message["updates"]:
            services.table.merge(member.Member.from_json(item), now)
        for move_id, reason in message["taken_back"]:
            services.roll_back(move_id, reason)
        for fingerprint, blocked in message["crashes"]:
            if services.quarantine.note(fingerprint, blocked, now):
                self.notify(urgent=True)
        if message["revision"] > services.holder.sheet.revision:
            services.spreader.pull_soon(sender.control)

    async def _sync_if_needed(self, entry, message):
        """Fetch entries that differ, if tables differ though no update is left to send.

        This is done once in ``SYNC_INTERVAL_SECONDS`` at most.
        """
        table = self.services.table
        now = self.services.clock.monotonic()
        settled = not table.rumors and now - self.last_sync >= SYNC_INTERVAL_SECONDS
        if message["digest"] == table.digest() or not settled:
            return
        self.last_sync = now
        request = {"buckets": table.bucket_digests()}
        timeout = self.services.settings.membership.timeout_seconds
        reply = await self.services.peers.post(
            entry.control, "/control/sync", request, timeout
        )
        if isinstance(reply, peers.Reply):
            for item in reply.body["members"]:
                table.merge(member.Member.from_json(item), now)
