"""What a proxy tells others of its own entry, and how long it rests between watches."""

import asyncio
import types
import unittest

from lentilrouter.proxy import (
    directory,
    exchange,
    following,
    kvstore,
    moves,
    registry,
    stewarding,
)
from tests.proxy import doubles

ENTRY = directory.Target("i", "ledger", "v1", "z1", "127.0.0.1", "p", 6, True, 1)


class Services:
    """Hold what a registry needs; the store takes every write."""

    def __init__(self):
        self.now = 100.0
        self.clock = lambda: self.now
        self.settings = doubles.settings()
        self.told = []
        self.broadcast = lambda path, body: self.told.append((path, body))
        self.log = types.SimpleNamespace(event=lambda *args, **fields: None)
        self.bases = moves.Bases()
        self.bases.base["ledger"] = "v1"
        self.hosting = types.SimpleNamespace(
            liveness=types.SimpleNamespace(target=ENTRY), stopping=False
        )

        async def write(expected, puts):
            return kvstore.Written(31)

        self.store = types.SimpleNamespace(write=write)
        self.registry = registry.Registry(self)
        self.steward = stewarding.Steward(self)


class TellTests(unittest.IsolatedAsyncioTestCase):
    """News of a target must not wait for the other proxies' next watch."""

    async def test_entry_that_was_written_is_told_with_its_revision(self):
        services = Services()
        self.assertTrue(await services.registry.own.write(ENTRY))
        ((path, body),) = services.told
        self.assertEqual(path, exchange.CATCH_UP_PATH)
        (item,) = exchange.decode(body)
        self.assertEqual(item.key, "lentilrouter/targets/127.0.0.1")
        self.assertEqual(item.revision, 31)
        self.assertEqual(directory.decode(item.value), ENTRY)


class RestTests(unittest.IsolatedAsyncioTestCase):
    """Rest long between watches, but not while a steward may be lost."""

    def setUp(self):
        self.services = Services()
        self.book = self.services.registry
        self.services.now += registry.STARTING_SECONDS + 1
        self.slept = []

    async def rest(self):
        real, patched = asyncio.sleep, following.asyncio.sleep

        async def sleep(seconds):
            self.slept.append(seconds)
            await real(0)

        following.asyncio.sleep = sleep
        try:
            await self.book._pause()
        finally:
            following.asyncio.sleep = patched

    async def test_rest_is_short_while_a_move_runs_and_after_a_start(self):
        self.book.orders["ledger"] = (moves.Order("ledger", "v2", 9.0), 5, 0.0)
        await self.rest()
        self.book.orders.clear()
        self.services.now = self.book.started
        await self.rest()
        self.assertEqual(self.slept, [registry.URGENT_PAUSE_SECONDS] * 2)

    async def test_order_ends_a_long_rest(self):
        resting = asyncio.create_task(self.rest())
        await asyncio.sleep(0.02)
        self.assertFalse(resting.done())
        self.book.order_received.set()
        await asyncio.wait_for(resting, 1.0)
        self.assertEqual(self.slept, [])
