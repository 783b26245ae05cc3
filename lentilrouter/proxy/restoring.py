"""Restore the target on this host from its stored entry after a restart of the proxy.

The entry may be of a target that has ended meanwhile, as after a loss of power. A
target that is stored as ready therefore gets calls only once a health check has shown
its id. If that is another one, a target has started in its place: it is taken to be of
the same version, unless a move runs. The next heartbeat makes that unnecessary.
"""

import asyncio
import dataclasses

from lentilrouter.datapath import messages

HEALTHY_STATUS = 200
CHECK_SECONDS = 0.3  # timeout of a health check
CHECK_PAUSE_SECONDS = 0.1  # between attempts
# Time after which a target that has not shown its id counts as unresponsive.
GIVE_UP_SECONDS = 6.0
COLD_DIGITS = 8  # a longer time for which a target is cold is malformed


@dataclasses.dataclass(slots=True, frozen=True)
class Health:
    """Response of a target to a health check.

    ``id`` is empty if it takes no calls. ``cold_seconds`` is how long it is still cold,
    ``None`` if that is not stated.
    """

    id: str
    cold_seconds: float | None = None


class Restorer:
    """Restorer of the local target from its entry in the store.

    ``services`` provides hosting, bases, the sheet holder, dialect, target client,
    settings, clock and log. ``task`` checks the target, ``None`` if there was nothing
    to check.
    """

    __slots__ = ("services", "task")

    def __init__(self, services):
        self.services = services
        self.task = None

    def restore(self, target):
        """Restore a target unless one is known, at once if it takes no calls.

        The target of another host, which had this address before, is not restored.
        """
        if self.services.hosting.liveness.target is not None:
            return
        own = self.services.settings
        if (target.proxy, target.service) != (own.proxy.id, own.target.service):
            self.services.log.event("entry-of-another-host", name=target.proxy)
            return
        if not target.ready:
            self.services.hosting.restore(target)
        elif self.task is None:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self._check_and_restore(target))

    async def _check_and_restore(self, target):
        """Check the id of a target until it is known, then restore the target."""
        services = self.services
        end = services.clock() + GIVE_UP_SECONDS
        health = None
        while health is None and services.clock() < end:
            if services.hosting.liveness.target is not None:
                return
            health = await self.check_health(target.service)
            if health is None:
                await asyncio.sleep(CHECK_PAUSE_SECONDS)
        if services.hosting.liveness.target is not None:
            return
        found = health.id if health is not None else None
        cold = health.cold_seconds if health is not None else None
        services.log.event("target-checked", expected=target.id, found=found)
        if found and found != target.id and self._is_version_certain(target):
            services.hosting.restore(target, running_id=found, cold_seconds=cold)
        else:
            responsive = found == target.id
            services.hosting.restore(target, responsive, cold_seconds=cold)

    def _is_version_certain(self, target):
        """Return whether all targets of a service run the version of ``target``."""
        bases = self.services.bases
        return (
            bases.current(target.service) is None
            and bases.base.get(target.service) == target.version
        )

    async def check_health(self, service):
        """Return the ``Health`` of the target on this host.

        Return ``None`` if it is unknown: without a sheet, or if the health check has no
        response in time, shows no id, or is refused because the target is full.
        """
        services = self.services
        sheet = services.holder.sheet
        known = sheet.services.get(service) if sheet is not None else None
        if known is None or not known.health_path:
            return None
        address = services.settings.target.address
        request = messages.Request("GET", known.health_path, [(b"host", b"target")])
        result = await services.target_client.send(address, request, CHECK_SECONDS)
        if not isinstance(result, messages.Replied):
            return None
        response = result.response
        if response.header(services.dialect.NOT_RUN) is not None:
            return None
        if response.status != HEALTHY_STATUS:
            return Health("")
        id = response.header(services.dialect.TARGET_ID)
        if id is None:
            return None
        return Health(id, _cold_seconds(response.header(services.dialect.COLD_MS)))


def _cold_seconds(text):
    """Return the seconds in a ``COLD_MS``, ``None`` if missing or malformed."""
    if not (text and text.isascii() and text.isdigit() and len(text) < COLD_DIGITS):
        return None
    return int(text) / 1000
