"""Exchange membership, revision and rumors with one other node each interval."""

import anyio

from lentilrouter.distribution import peers
from lentilrouter.membership import member, probing

HELPERS = 2
SYNC_SECONDS = 10.0
SYNC_ENTRIES = 200
CRASHES_PER_EXCHANGE = 8
JITTER = 0.2
EAGER_FANOUT = 3
EAGER_BURST = 8.0
EAGER_PER_SECOND = 0.5
EAGER_GATHER_SECONDS = 0.02


class Exchanger:
    """Run the exchanges of one node.

    ``services`` gives settings, clock, random, table, holder, peers, spreader,
    quarantine and the moves taken back.
    """

    __slots__ = (
        "services",
        "prober",
        "last_sync",
        "wake",
        "urgent",
        "tokens",
        "refilled",
    )

    def __init__(self, services):
        self.services = services
        self.prober = probing.Prober(services.table, services.random)
        self.last_sync = 0.0
        self.wake = anyio.Event()
        self.urgent = False
        self.tokens = EAGER_BURST
        self.refilled = services.clock.monotonic()
        services.table.listener = self.notify

    async def run(self):
        """Exchange until cancelled: each interval, and at once when there is news."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_steadily)
            group.start_soon(self._run_eagerly)

    async def _run_steadily(self):
        interval = self.services.settings.membership.interval_seconds
        while True:
            jitter = 1 + JITTER * (2 * self.services.random.random() - 1)
            await anyio.sleep(interval * jitter * self.prober.pause_share())
            self.services.table.expire(self.services.clock.monotonic())
            entry = self.prober.next()
            if entry is not None:
                await self.exchange(entry)

    async def _run_eagerly(self):
        """Pass news on at once to a few random nodes, within a budget."""
        while True:
            await self.wake.wait()
            await anyio.sleep(EAGER_GATHER_SECONDS)
            self.wake = anyio.Event()
            urgent, self.urgent = self.urgent, False
            if not urgent and not self._take_token():
                continue
            async with anyio.create_task_group() as group:
                for entry in self.prober.audience(EAGER_FANOUT):
                    group.start_soon(self.exchange, entry, False)

    def notify(self, urgent=False):
        """Note that there is news to pass on; urgent news goes beyond the budget."""
        self.urgent |= urgent
        self.wake.set()

    def _take_token(self):
        now = self.services.clock.monotonic()
        earned = EAGER_PER_SECOND * (now - self.refilled)
        self.tokens = min(EAGER_BURST, self.tokens + earned)
        self.refilled = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    async def exchange(self, entry, suspecting=True):
        """Exchange with a node; suspect it if nobody gets an answer from it.

        Without ``suspecting`` a lost exchange has no consequence.
        """
        timeout = self.services.settings.membership.timeout_seconds
        message = self.message(about=entry.id)
        reply = await self.services.peers.post(
            entry.control, "/control/exchange", message, timeout
        )
        if isinstance(reply, peers.Reply):
            self.services.metrics.exchanges.labels("answered").inc()
            self.take(reply.body)
            await self._sync_if_needed(entry, reply.body)
            return
        self.services.metrics.exchanges.labels("lost").inc()
        if suspecting and not await self._others_reach(entry, timeout):
            now = self.services.clock.monotonic()
            if self.services.table.suspect(entry.id, now):
                self.prober.note_suspect(entry.id)

    async def _others_reach(self, entry, timeout):
        reached = []

        async def ask(helper):
            message = {"address": entry.control}
            reply = await self.services.peers.post(
                helper.control, "/control/probe", message, 2 * timeout
            )
            if isinstance(reply, peers.Reply) and reply.body.get("reached"):
                reached.append(helper.id)

        async with anyio.create_task_group() as group:
            for helper in self.prober.helpers(entry, HELPERS):
                group.start_soon(ask, helper)
        return bool(reached)

    def message(self, about=None):
        """Return what this node tells in an exchange."""
        services = self.services
        table = services.table
        limit = services.settings.membership.updates_per_exchange
        updates = table.updates(limit, about)
        sends = table.sends_per_rumor()
        return {
            "me": table.me.as_json(),
            "revision": services.holder.sheet.revision,
            "digest": table.digest(),
            "updates": [e.as_json() for e in updates if e.id != table.self_id],
            "taken_back": list(services.taken_back.items()),
            "crashes": services.quarantine.take_pending(CRASHES_PER_EXCHANGE, sends),
        }

    def take(self, message):
        """Take in what another node told."""
        services = self.services
        now = services.clock.monotonic()
        sender = member.Member.from_json(message["me"])
        services.table.merge(sender, now)
        for item in message["updates"]:
            services.table.merge(member.Member.from_json(item), now)
        for move_id, reason in message["taken_back"]:
            services.take_back(move_id, reason)
        for fingerprint, blocked in message["crashes"]:
            if services.quarantine.note(fingerprint, blocked, now):
                self.notify(urgent=True)
        if message["revision"] > services.holder.sheet.revision:
            services.spreader.pull_soon(sender.control)

    async def _sync_if_needed(self, entry, message):
        table = self.services.table
        now = self.services.clock.monotonic()
        settled = not table.rumors and now - self.last_sync >= SYNC_SECONDS
        if message["digest"] == table.digest() or not settled:
            return
        self.last_sync = now
        question = {"buckets": table.bucket_digests()}
        timeout = self.services.settings.membership.timeout_seconds
        reply = await self.services.peers.post(
            entry.control, "/control/sync", question, timeout
        )
        if isinstance(reply, peers.Reply):
            for item in reply.body["members"]:
                table.merge(member.Member.from_json(item), now)
