"""Check whether the target on this host is dead, and end the calls that it has."""

import asyncio

CONNECT_SECONDS = 0.3  # the target is on this host, but its accept queue may be full


class SilenceCheck:
    """Check of a target that has not accepted a connection.

    It may only have a full accept queue. It is dead if it accepts none again and
    answers no call meanwhile. ``hosting`` tracks the target and has the services.
    ``task`` runs the last check, ``None`` before the first.
    """

    __slots__ = ("hosting", "task")

    def __init__(self, hosting):
        self.hosting = hosting
        self.task = None

    def start(self, target):
        """Check a target in the background, unless a check runs."""
        if self.task is None or self.task.done():
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self._check(target))

    async def _check(self, target):
        """Abort the calls in flight that may run twice, if a target is dead.

        They would otherwise wait until their deadlines.
        """
        hosting, services = self.hosting, self.hosting.services
        began = services.clock()
        address = services.settings.target.address
        failure = await services.target_client.probe(address, CONNECT_SECONDS)
        current = hosting.liveness.target
        replaced = (current.id, current.born) != (target.id, target.born)
        if failure is None or replaced or hosting.answered_at >= began:
            return
        hosting.mark_unresponsive(target, failure.detail)
        aborted = services.target_client.abort(address, "target does not respond")
        services.log.event("target-dead", id=target.id, aborted=aborted)
