"""How soon a proxy holds what the operator wrote, on a slow link to the store."""

import asyncio
import random
import time
import types
import unittest

from lentilrouter.core import clock
from lentilrouter.platform import sheets as adapter
from lentilrouter.platform import store
from lentilrouter.proxy import (
    counters,
    directory,
    holder,
    moves,
    operator_state,
    refreshing,
    registry,
    sending,
)
from standins import kvstore
from tests.proxy import doubles

IN_FORCE_SECONDS = 2.0  # the shortest bound that the platform's sites set
AFTER_SILENCE_SECONDS = 4.0  # the platform's bounds start 3 s after the store's return
STEP_SECONDS = 0.05
READ = "operator-read"


class Services:
    """Hold what a registry needs to follow the operator's keys and to keep a lease."""

    def __init__(self, address):
        self.settings = doubles.settings()
        self.clock = time.monotonic
        self.elapsed = clock.elapsed
        self.random = random.Random(7)
        self.adapter = adapter
        self.holder = holder.Holder()
        self.directory = directory.Directory()
        self.bases = moves.Bases()
        self.counters = counters.Counters()
        self.log = types.SimpleNamespace(event=self.note)
        self.lines = []
        liveness = types.SimpleNamespace(target=None)
        self.hosting = types.SimpleNamespace(liveness=liveness, stopping=False)
        self.client = sending.Client()
        timeout = self.settings.store.timeout_seconds
        self.store = store.PlatformStore(self.client, address, timeout)
        self.registry = registry.Registry(self)
        self.state = operator_state.OperatorState(self, self.registry.take_order)
        self.refresher = refreshing.Refresher(self)

    def note(self, kind, /, **fields):
        """Keep a line of the log."""
        self.lines.append((kind, fields))

    def held(self):
        """Return the version in force, 0 for none."""
        return self.holder.sheet.version if self.holder.sheet else 0


class FollowingCase(unittest.IsolatedAsyncioTestCase):
    """Run a registry against the stand-in of the store."""

    async def asyncSetUp(self):
        self.store = kvstore.StoreServer()
        address = f"127.0.0.1:{doubles.free_ports(1)[0]}"
        await self.store.start(address)
        self.version = 0
        self.acknowledged = {}
        self.change()
        self.services = Services(address)

    async def asyncTearDown(self):
        self.following.cancel()
        await asyncio.gather(self.following, return_exceptions=True)
        self.services.client.close()
        self.store.close()

    def change(self):
        """Write the next version of the configuration as the operator does."""
        self.version += 1
        routes = [doubles.route(f"/r{number}/") for number in range(20)]
        self.store.put("op/config", doubles.config(self.version, *routes))
        self.acknowledged[self.version] = time.monotonic()

    def carry_in(self, seconds):
        """Make the link so slow that one configuration takes so long."""
        size = len(self.store.items["op/config"]["value"])
        self.store.bytes_per_second = size / seconds

    async def follow(self):
        """Start to follow the operator's keys, and wait for the first version."""
        self.following = asyncio.create_task(self.services.refresher.follow())
        async with asyncio.timeout(10.0):
            while not self.services.held():
                await asyncio.sleep(STEP_SECONDS)

    async def worst_of_many_changes(self):
        """Write versions in quick succession; return how late one was at most."""
        worst = 0.0
        for _ in range(24):
            self.change()
            for _ in range(3):
                await asyncio.sleep(STEP_SECONDS)
                worst = max(worst, self.lateness())
        while self.lateness():
            await asyncio.sleep(STEP_SECONDS)
            worst = max(worst, self.lateness())
        return worst

    def lateness(self):
        """Return for how long the oldest version not yet in force has been stored."""
        missing = [v for v in self.acknowledged if v > self.services.held()]
        if not missing:
            return 0.0
        return time.monotonic() - self.acknowledged[min(missing)]


class SlowLinkTests(FollowingCase):
    """A whole configuration takes a third of a second or more to reach the proxy."""

    # Guards against: a proxy that reads every version of a quick succession, falls
    # behind on a slow link and acts on an older one for seconds (issue 13, CONFIG).
    async def test_quick_succession_of_versions_is_in_force_in_time(self):
        self.carry_in(0.33)
        await self.follow()
        self.assertLess(await self.worst_of_many_changes(), IN_FORCE_SECONDS)

    # Guards against: a pause after an answer that took longer than the time-out, as if
    # the store were away, and a whole rest after it (issue 13; 2.4 s seen on a day).
    async def test_answers_slower_than_the_time_out_follow_without_a_pause(self):
        await self.follow()
        seconds = self.services.settings.store.timeout_seconds * 1.2
        self.carry_in(seconds)
        worst = await self.worst_of_many_changes()
        self.assertLess(worst, 2 * seconds + refreshing.SCAN_PAUSE_SECONDS + 0.3)

    # Guards against: a configuration that takes longer than one time-out on its way and
    # is cut and asked for again for ever, though its bytes were coming (issue 13).
    async def test_answer_slower_than_the_time_out_is_read_in_the_end(self):
        await self.follow()
        self.following.cancel()
        self.change()
        self.carry_in(self.services.settings.store.timeout_seconds * 1.4)
        self.following = asyncio.create_task(self.services.refresher.follow())
        async with asyncio.timeout(10.0):
            while self.lateness():
                await asyncio.sleep(STEP_SECONDS)

    # Guards against: versions written while a slow first scan was on its way, each of
    # which a watch then brings (issue 13; 1.1 MB in one answer seen after a start).
    async def test_versions_written_during_a_slow_first_scan_are_not_all_read(self):
        self.carry_in(1.5)
        following_it = asyncio.create_task(self.follow())
        for _ in range(4):
            await asyncio.sleep(0.3)
            self.change()
        await following_it
        while self.lateness():
            await asyncio.sleep(STEP_SECONDS)
        reads = [fields for kind, fields in self.services.lines if kind == READ]
        self.assertEqual({fields["changes"] for fields in reads}, {1})


class LegTests(FollowingCase):
    """The log tells where a version's time went."""

    # Guards against: a late version whose log line does not tell whether the store or
    # the link made it late (issue 16).
    async def test_line_of_a_read_has_the_wait_and_the_revision(self):
        self.carry_in(0.3)
        await self.follow()
        line = next(fields for kind, fields in self.services.lines if kind == READ)
        self.assertEqual(line["newest"], self.store.items["op/config"]["rev"])
        # The stand-in sends the answer whole, after its time on the link.
        self.assertGreaterEqual(line["waited"], 0.3)
        self.assertLessEqual(line["waited"], line["seconds"])


class SilentStoreTests(FollowingCase):
    """The store takes calls and answers none, then is back."""

    # Guards against: a watch whose answer was lost while the store was silent and that
    # is waited for to its end, long after the store answers other calls (issue 13).
    async def test_watch_that_waited_through_a_silence_is_asked_again(self):
        await self.follow()
        book = self.services.registry
        book.scanned.set()
        keeping = asyncio.create_task(book.keep_entry())
        self.addCleanup(keeping.cancel)
        await asyncio.sleep(0.5)
        self.store.fault = "silent"
        await asyncio.sleep(0.5)
        self.change()
        self.change()
        await asyncio.sleep(4.0)
        self.store.fault = ""
        async with asyncio.timeout(AFTER_SILENCE_SECONDS):
            while self.lateness():
                await asyncio.sleep(STEP_SECONDS)
        # On a slow link one version must come, not each that was written meanwhile.
        reads = [fields for kind, fields in self.services.lines if kind == READ]
        self.assertEqual({fields["changes"] for fields in reads}, {1})

    # Guards against: the watch of the proxies' keys alone hangs, because the other read
    # met the silence first and no renewal was sent in it (issue 13).
    async def test_other_watch_is_asked_again_once_a_scan_finds_the_store_back(self):
        await self.follow()
        book = self.services.registry
        own = asyncio.create_task(book.follow())
        self.addCleanup(own.cancel)
        await asyncio.sleep(0.3)
        self.change()
        await asyncio.sleep(0.3)
        self.store.fault = "silent"
        self.store.put("lentilrouter/bases/ledger", b"v2")
        await asyncio.sleep(3.0)
        self.store.fault = ""
        async with asyncio.timeout(AFTER_SILENCE_SECONDS):
            while self.services.bases.base.get("ledger") != "v2":
                await asyncio.sleep(STEP_SECONDS)

    # Guards against: a proxy that ends because two signs of the store's return come in
    # one turn of the loop, and the wait of a watch is ended twice.
    async def test_two_signs_of_the_return_end_a_wait_once(self):
        await self.follow()
        book = self.services.registry
        own = asyncio.create_task(book.follow())
        self.addCleanup(own.cancel)
        while not book.watch_timeout:
            await asyncio.sleep(STEP_SECONDS)
        loop = asyncio.get_running_loop()
        failures = []
        loop.set_exception_handler(lambda _, context: failures.append(context))
        book.restart_watch()
        loop.call_soon(book.restart_watch)
        loop.call_soon(loop.call_soon, book.restart_watch)
        await asyncio.sleep(0.5)
        self.assertEqual(failures, [])
        self.assertFalse(own.done())
        self.assertFalse(self.following.done())
