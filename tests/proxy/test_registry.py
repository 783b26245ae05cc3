"""Broadcasts of a proxy's own entry, and pauses between reads of the store."""

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
    """The services that a registry needs; the store accepts every write.

    ``broadcasts`` lists the messages to other proxies, as path and body.
    """

    def __init__(self):
        self.now = 100.0
        self.clock = lambda: self.now
        self.settings = doubles.settings()
        self.broadcasts = []
        self.broadcast = lambda path, body: self.broadcasts.append((path, body))
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


class BroadcastTests(unittest.IsolatedAsyncioTestCase):
    """A changed entry must reach the other proxies before their next watch."""

    async def test_written_entry_is_broadcast_with_its_revision(self):
        services = Services()
        self.assertTrue(await services.registry.own.write(ENTRY))
        ((path, body),) = services.broadcasts
        self.assertEqual(path, exchange.CATCH_UP_PATH)
        (item,) = exchange.decode(body)
        self.assertEqual(item.key, "lentilrouter/targets/127.0.0.1")
        self.assertEqual(item.revision, 31)
        self.assertEqual(directory.decode(item.value), ENTRY)


class PauseTests(unittest.IsolatedAsyncioTestCase):
    """Pauses between reads are long, except while a steward may have died."""

    def setUp(self):
        self.services = Services()
        self.registry = self.services.registry
        self.services.now += registry.STARTING_SECONDS + 1
        self.slept = []

    async def pause(self):
        """Run the pause of the registry; record the times it sleeps in ``slept``."""
        real, patched = asyncio.sleep, following.asyncio.sleep

        async def sleep(seconds):
            self.slept.append(seconds)
            await real(0)

        following.asyncio.sleep = sleep
        try:
            await self.registry._pause()
        finally:
            following.asyncio.sleep = patched

    async def test_pause_is_short_while_a_move_runs_and_after_a_start(self):
        self.registry.orders["ledger"] = (moves.Order("ledger", "v2", 9.0), 5, 0.0)
        await self.pause()
        self.registry.orders.clear()
        self.services.now = self.registry.started
        await self.pause()
        self.assertEqual(self.slept, [registry.URGENT_PAUSE_SECONDS] * 2)

    async def test_order_ends_a_long_pause(self):
        pausing = asyncio.create_task(self.pause())
        await asyncio.sleep(0.02)
        self.assertFalse(pausing.done())
        self.registry.order_received.set()
        await asyncio.wait_for(pausing, 1.0)
        self.assertEqual(self.slept, [])
