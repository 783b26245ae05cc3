"""How a page of the store is read when its call is slow, lost or broken."""

import asyncio
import unittest

from lentilrouter.datapath import messages
from lentilrouter.platform import store
from lentilrouter.proxy import kvstore

PAGE = messages.Replied(
    messages.Response(200, [], b'{"items":[],"has_more":false,"at":7}')
)


class Client:
    """Give each call a future that the test ends."""

    def __init__(self):
        self.calls = []

    async def send(self, address, request, seconds):
        """Wait for what the test makes of the call."""
        self.calls.append(asyncio.get_running_loop().create_future())
        return await self.calls[-1]


class PageTests(unittest.IsolatedAsyncioTestCase):
    """Scan with a time-out of 50 ms."""

    def setUp(self):
        self.client = Client()
        self.store = store.PlatformStore(self.client, "127.0.0.1:1", 0.05)

    # Guards against: a scan that fails at once, its own call unheard, since a call that
    # was kept from the scan before has broken meanwhile.
    async def test_kept_call_that_broke_does_not_fail_the_next_scan(self):
        self.assertIsInstance(await self.store.scan("op/"), kvstore.Away)
        self.client.calls[0].set_result(messages.Broken("reset", False))
        await asyncio.sleep(0.01)
        scan = asyncio.create_task(self.store.scan("op/"))
        await asyncio.sleep(0.01)
        self.client.calls[-1].set_result(PAGE)
        self.assertEqual(await scan, kvstore.Scanned([], 7))

    async def test_kept_call_that_ends_meanwhile_is_the_answer(self):
        self.assertIsInstance(await self.store.scan("op/"), kvstore.Away)
        self.client.calls[0].set_result(PAGE)
        await asyncio.sleep(0.01)
        self.assertEqual(await self.store.scan("op/"), kvstore.Scanned([], 7))
        self.assertEqual(len(self.client.calls), 2)

    # Guards against: a page that came long before a scan, taken for its answer (issue
    # 16: 22 s seen on a host that was cut off and then asked other proxies).
    async def test_kept_call_that_ended_long_ago_is_not_the_answer(self):
        self.assertIsInstance(await self.store.scan("op/"), kvstore.Away)
        self.client.calls[0].set_result(PAGE)
        await asyncio.sleep(0.1)
        scan = asyncio.create_task(self.store.scan("op/"))
        await asyncio.sleep(0.01)
        self.assertFalse(scan.done())
        self.client.calls[-1].set_result(PAGE)
        self.assertEqual(await scan, kvstore.Scanned([], 7))
