"""Hold short-lived roles by a lease of the platform.

A holder that was paused past its lease finds out before its next write and stops.
Should a write of it still be under way, it does no harm: heads are written by
compare-and-swap and revisions only rise.
"""

import anyio
import eliot
import orjson

from lentilrouter.core import hashing
from lentilrouter.membership import member
from lentilrouter.store import base

DUTY_PREFIX = "duties/"
RENEWALS_PER_LEASE = 3
STAGGER_SECONDS = 0.4
STAGGER_MAX = 20
SAFETY_SHARE = 0.2


class Duty:
    """Contend for one role and run ``work`` while holding it.

    ``scope`` is the failure domain whose nodes contend, or ``None`` for all. Nodes
    contend in an order that their names decide, so a lost role costs the platform a
    few writes and not one from each node.
    """

    __slots__ = ("services", "name", "scope", "work", "confirmed")

    def __init__(self, services, name, work, scope=None):
        self.services = services
        self.name = name
        self.scope = scope
        self.work = work
        self.confirmed = 0.0

    @property
    def key(self):
        """Return the platform's key of the role."""
        parts = [self.name] if self.scope is None else [self.scope, self.name]
        return DUTY_PREFIX + "/".join(parts)

    @property
    def seconds(self):
        """Return the life of the lease in seconds."""
        return self.services.settings.platform.lease_seconds

    async def run(self):
        """Contend until cancelled."""
        while True:
            await self._wait_for_turn()
            granted = await self._acquire()
            if granted is not None:
                await self._hold(granted.lease)
            await anyio.sleep(
                self.seconds * (0.3 + 0.4 * self.services.random.random())
            )

    def holders(self):
        """Return other usable nodes that claim the role."""
        table = self.services.table
        return [
            entry
            for entry in table.holders(self.name)
            if entry.id != table.self_id and self.scope in (None, entry.domain)
        ]

    async def _wait_for_turn(self):
        while True:
            if not self.holders():
                await anyio.sleep(STAGGER_SECONDS * min(self._rank(), STAGGER_MAX))
                if not self.holders():
                    return
            await anyio.sleep(self.seconds / 4)

    def _rank(self):
        table = self.services.table
        ids = [entry.id for entry in table.alive(self.scope)] + [table.self_id]
        ids.sort(key=lambda id: hashing.hash32(f"{self.name} {id}"))
        return ids.index(table.self_id)

    async def _acquire(self):
        store = self.services.store
        asked = self.services.clock.monotonic()
        granted = await store.grant(self.seconds)
        if not isinstance(granted, base.Granted):
            return None
        value = orjson.dumps(self.services.table.me.as_json())
        written = await store.put(self.key, value, expect=0, lease=granted.lease)
        if isinstance(written, base.Written):
            self.confirmed = asked
            return granted
        await store.revoke(granted.lease)
        if isinstance(written, base.Conflict):
            await self._meet_holder()
        return None

    async def _meet_holder(self):
        """Exchange with a holder this node did not know of.

        Nodes that started apart from the others find them this way.
        """
        found = await self.services.store.get(self.key)
        if isinstance(found, base.Found):
            holder = member.Member.from_json(orjson.loads(found.value))
            if holder.id != self.services.table.self_id:
                await self.services.exchanger.exchange(holder, suspect_on_failure=False)

    def held(self):
        """Tell whether the lease is certainly still in force."""
        age = self.services.clock.monotonic() - self.confirmed
        return age < self.seconds * (1 - SAFETY_SHARE)

    async def _hold(self, lease):
        eliot.log_message("lentilrouter:duty:taken", duty=self.key)
        self._claim(True)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.work, self)
                await self._renew(lease)
                group.cancel_scope.cancel()
        finally:
            self.confirmed = 0.0
            self._claim(False)
            eliot.log_message("lentilrouter:duty:lost", duty=self.key)
            with anyio.CancelScope(shield=True), anyio.move_on_after(0.5):
                await self.services.store.revoke(lease)

    async def _renew(self, lease):
        while self.held():
            await anyio.sleep(self.seconds / RENEWALS_PER_LEASE)
            if not self.held():
                return
            asked = self.services.clock.monotonic()
            outcome = await self.services.store.renew(lease)
            if isinstance(outcome, base.LeaseExpired):
                return
            if isinstance(outcome, base.Granted):
                self.confirmed = asked

    def _claim(self, holds):
        table = self.services.table
        duties = set(table.me.duties) - {self.name}
        if holds:
            duties.add(self.name)
        now = self.services.clock.monotonic()
        table.update_self(now, duties=tuple(sorted(duties)))
