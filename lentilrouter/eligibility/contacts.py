"""Ask for the operator's orders as soon as another proxy is reached after a cut."""

import asyncio


class Contacts:
    """Requests for the orders after a cut.

    ``services`` provides settings, sheet holder, state, refresher and ``elapsed``.
    ``returning`` decides on the calls meanwhile. ``task`` is the last request, ``None``
    before the first.
    """

    __slots__ = ("services", "returning", "task")

    def __init__(self, services, returning):
        self.services = services
        self.returning = returning
        self.task = None

    def note(self, target):
        """Ask the proxy of a target, which responds again, if the state is too old."""
        services = self.services
        bound = services.settings.promises.evacuation_seconds
        if not bound or services.holder.sheet is None or services.state.age() <= bound:
            return
        if target.domain != services.settings.proxy.domain:
            self.returning.note_contact(services.elapsed())
        if self.task is None or self.task.done():
            loop = asyncio.get_running_loop()
            asked = services.refresher.request_state(target, 0.0)
            self.task = loop.create_task(asked)
