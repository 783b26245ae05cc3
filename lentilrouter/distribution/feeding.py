"""Read changes from the platform and publish them to the other nodes.

This is the work of a feeder, the node that reads the platform for its failure domain.
"""

import anyio

from lentilrouter.distribution import commit
from lentilrouter.sheet import history
from lentilrouter.store import base

# A change that the first feeder of the domain published meanwhile is not read again.
SECOND_FEEDER_DELAY_SECONDS = 0.5


class Feeder:
    """Reader of the platform that publishes new sheets.

    It watches the tip, which names only the changed parts. The tip is a hint that may
    be late, lost or overwritten by an older one, so the head is polled every few
    seconds for a newer version than ``head_version``. ``delay`` is the time in seconds
    from a new tip until its parts are read.
    """

    __slots__ = ("services", "head_version", "tip_version", "delay")

    def __init__(self, services, delay=0.0):
        self.services = services
        self.head_version = 0
        self.tip_version = 0
        self.delay = delay

    async def work(self, duty):
        """Watch and poll until cancelled.

        ``duty`` is the duty that this node holds; it is not used.
        """
        self.head_version = self.tip_version = 0
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch)
            group.start_soon(self._poll)

    async def check_once(self):
        """Read tip and head once, without waiting for a change."""
        await self._check_tip(0.0)
        await self._check_head()

    async def _watch(self):
        seconds = self.services.settings.platform.watch_seconds
        while True:
            found = await self._check_tip(seconds)
            if isinstance(found, base.Unavailable):
                await anyio.sleep(self._pause())

    async def _poll(self):
        while True:
            await self._check_head()
            await anyio.sleep(self._pause())

    def _pause(self):
        """Return the seconds until the next poll, with jitter of 25 %."""
        seconds = self.services.settings.distribution.poll_seconds
        return seconds * (0.75 + 0.5 * self.services.random.random())

    async def _check_tip(self, seconds):
        """Wait up to ``seconds`` for a new tip and apply it.

        Return the result of the store: ``Found``, ``Unchanged`` or ``Unavailable``.
        """
        store = self.services.store
        found = await store.watch(history.TIP_KEY, self.tip_version, seconds)
        if isinstance(found, base.Found):
            self.tip_version = found.version
            await anyio.sleep(self.delay)
            await self._apply_tip(history.load_tip(found.value))
        return found

    async def _apply_tip(self, tip):
        """Publish the sheet of a tip, or check the head if the tip does not fit."""
        sheet = await self.services.committer.read_tip(tip)
        if sheet is not None:
            self.services.spreader.publish(sheet)
        if self.services.holder.sheet.revision >= tip.revision:
            self.head_version = max(self.head_version, tip.head_version)
        else:
            await self._check_head()

    async def _check_head(self):
        """Publish the sheet of the head if it is newer than the active sheet."""
        store = self.services.store
        found = await store.watch(history.HEAD_KEY, self.head_version, 0.0)
        if not isinstance(found, base.Found):
            return
        head = history.load_head(found.value)
        if head.revision > self.services.holder.sheet.revision:
            current = await self.services.committer.read(found)
            if not isinstance(current, commit.Current):
                return
            self.services.spreader.publish(current.sheet)
        self.head_version = max(self.head_version, found.version)
