"""Check whether the local target has turned cold, by a health check."""

import asyncio
import collections

from lentilrouter.eligibility import suspicion


class ColdCheck:
    """Check of the target of ``hosting``, which has the services.

    ``suspicion`` decides when. ``task`` runs the last check, ``None`` before the first.
    ``counts`` counts the checks by cause.
    """

    __slots__ = ("hosting", "suspicion", "task", "counts")

    def __init__(self, hosting):
        self.hosting = hosting
        self.suspicion = suspicion.Suspicion()
        self.task = None
        self.counts = collections.Counter()

    def tick(self):
        """Check the target if its heartbeat is late; call this several times a beat."""
        if not self._applies():
            return
        hosting, services = self.hosting, self.hosting.services
        beat = services.settings.target.beat_seconds
        now, last = services.clock(), hosting.liveness.last_heartbeat_at
        if self.suspicion.is_late(last, beat, now):
            self._start(suspicion.Cause.LATE_HEARTBEAT)

    def note_call(self, kind, seconds):
        """Record the time of an answered call; check the target if calls are slow."""
        usual = self.hosting.gate.means.get(kind)
        if not usual or not self._applies():
            return
        if self.suspicion.is_slow(seconds, usual, self.hosting.services.clock()):
            self._start(suspicion.Cause.SLOW_CALLS)

    def _applies(self):
        """Return whether the rate of a cold target would be limited, but is not yet."""
        hosting, services = self.hosting, self.hosting.services
        target = hosting.liveness.target
        if target is None or not target.ready:
            return False
        if not services.eligibility.cold_rate(target.service):
            return False
        return not hosting.pace.is_limited(services.clock())

    def _start(self, cause):
        """Check the target in the background, unless a check runs."""
        if self.task is None or self.task.done():
            self.counts[cause] += 1
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self._check(self.hosting.liveness.target))

    async def _check(self, target):
        """Limit the rate of a target whose health check states that it is cold."""
        health = await self.hosting.services.restorer.check_health(target.service)
        current = self.hosting.liveness.target
        replaced = (current.id, current.born) != (target.id, target.born)
        if health is None or replaced or health.id != target.id:
            return
        if health.cold_seconds:
            self.hosting.note_cold(health.cold_seconds)
