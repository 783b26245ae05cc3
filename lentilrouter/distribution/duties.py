"""Assign duties, roles that one node has at a time, by leader election.

The holder of a duty has a lease of the platform and renews it. A holder that was paused
until its lease expired notices this before its next write and stops. A write that is
still in flight then does no harm, because the head of the sheet is written by
compare-and-swap and revisions only rise.
"""

import anyio
import eliot
import orjson

from lentilrouter.core import hashing
from lentilrouter.membership import member
from lentilrouter.store import base

DUTY_PREFIX = "duties/"
RENEWALS_PER_LEASE = 3  # in the duration of a lease
STAGGER_SECONDS = 0.4  # delay of a contender for each rank
STAGGERED_RANKS_MAX = 20  # higher ranks wait as long as this one
SAFETY_SHARE = 0.2  # fraction of the lease's duration that is not relied on


class Duty:
    """One duty, for which this node contends.

    ``work`` is a coroutine function that runs while this node holds the duty; it takes
    the duty and is cancelled when the duty is lost. ``scope`` is the failure domain
    whose nodes contend, or ``None`` for all. Nodes contend in an order that their ids
    decide, so a duty without a holder costs the platform a few writes instead of one
    from each node. ``confirmed_at`` is the time in monotonic seconds when the last
    granted lease or renewal was requested.
    """

    __slots__ = ("services", "name", "scope", "work", "confirmed_at")

    def __init__(self, services, name, work, scope=None):
        self.services = services
        self.name = name
        self.scope = scope
        self.work = work
        self.confirmed_at = 0.0

    @property
    def key(self):
        """Return the key of the duty in the platform's key-value service."""
        parts = [self.name] if self.scope is None else [self.scope, self.name]
        return DUTY_PREFIX + "/".join(parts)

    @property
    def lease_seconds(self):
        """Return the duration of a lease that is not renewed, in seconds."""
        return self.services.settings.platform.lease_seconds

    async def run(self):
        """Contend for the duty, and work while holding it, until cancelled."""
        while True:
            await self._wait_for_turn()
            granted = await self._acquire()
            if granted is not None:
                await self._work_while_held(granted.lease)
            await anyio.sleep(
                self.lease_seconds * (0.3 + 0.4 * self.services.random.random())
            )

    def holders(self):
        """Return the other usable nodes of the scope that announce the duty."""
        table = self.services.table
        return [
            entry
            for entry in table.holders(self.name)
            if entry.id != table.self_id and self.scope in (None, entry.domain)
        ]

    async def _wait_for_turn(self):
        """Wait until no holder is known and the nodes of lower rank had time to try."""
        while True:
            if not self.holders():
                await anyio.sleep(
                    STAGGER_SECONDS * min(self._rank(), STAGGERED_RANKS_MAX)
                )
                if not self.holders():
                    return
            await anyio.sleep(self.lease_seconds / 4)

    def _rank(self):
        """Return the position of this node among the contenders, from 0.

        The order follows from a hash of node id and duty, so all nodes that know the
        same contenders compute the same order.
        """
        table = self.services.table
        ids = [entry.id for entry in table.alive(self.scope)] + [table.self_id]
        ids.sort(key=lambda id: hashing.hash32(f"{self.name} {id}"))
        return ids.index(table.self_id)

    async def _acquire(self):
        """Try to get the duty; return ``Granted`` with the lease, or ``None``."""
        store = self.services.store
        requested_at = self.services.clock.monotonic()
        granted = await store.grant(self.lease_seconds)
        if not isinstance(granted, base.Granted):
            return None
        value = orjson.dumps(self.services.table.me.as_json())
        written = await store.put(self.key, value, expect=0, lease=granted.lease)
        if isinstance(written, base.Written):
            self.confirmed_at = requested_at
            return granted
        await store.revoke(granted.lease)
        if isinstance(written, base.Conflict):
            await self._exchange_with_holder()
        return None

    async def _exchange_with_holder(self):
        """Start a membership exchange with a holder that this node did not know.

        Nodes that started without contact to the others find them this way.
        """
        found = await self.services.store.get(self.key)
        if isinstance(found, base.Found):
            holder = member.Member.from_json(orjson.loads(found.value))
            if holder.id != self.services.table.self_id:
                await self.services.exchanger.exchange(holder, suspect_on_failure=False)

    def held(self):
        """Return whether the lease has certainly not expired.

        The age of the lease counts from the request, and a part of its duration is left
        as a safety margin.
        """
        age = self.services.clock.monotonic() - self.confirmed_at
        return age < self.lease_seconds * (1 - SAFETY_SHARE)

    async def _work_while_held(self, lease):
        """Run ``work`` while the lease is renewed; then revoke the lease."""
        eliot.log_message("lentilrouter:duty:taken", duty=self.key)
        self._announce(True)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.work, self)
                await self._renew(lease)
                group.cancel_scope.cancel()
        finally:
            self.confirmed_at = 0.0
            self._announce(False)
            eliot.log_message("lentilrouter:duty:lost", duty=self.key)
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                await self.services.store.revoke(lease)

    async def _renew(self, lease):
        """Renew the lease; return when it has expired or may expire soon."""
        while self.held():
            await anyio.sleep(self.lease_seconds / RENEWALS_PER_LEASE)
            if not self.held():
                return
            requested_at = self.services.clock.monotonic()
            outcome = await self.services.store.renew(lease)
            if isinstance(outcome, base.LeaseExpired):
                return
            if isinstance(outcome, base.Granted):
                self.confirmed_at = requested_at

    def _announce(self, held):
        """Add the duty to this node's entry of the member table, or remove it."""
        table = self.services.table
        duties = set(table.me.duties) - {self.name}
        if held:
            duties.add(self.name)
        now = self.services.clock.monotonic()
        table.update_self(now, duties=tuple(sorted(duties)))
