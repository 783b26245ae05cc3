"""Check how a page of the store is read when its request is slow, lost or broken."""

import asyncio
import unittest

from lentilrouter.datapath import messages
from lentilrouter.platform import store
from lentilrouter.proxy import kvstore

PAGE = messages.Replied(
    messages.Response(200, [], b'{"items":[],"has_more":false,"at":7}')
)


class Client:
    """Double of a client: each request waits for a future that the test completes."""

    def __init__(self):
        self.calls = []

    async def send(self, address, request, seconds):
        """Return the result that the test sets for the request."""
        self.calls.append(asyncio.get_running_loop().create_future())
        return await self.calls[-1]


class PageTests(unittest.IsolatedAsyncioTestCase):
    """Scans with a timeout of 50 ms, of which the first one times out."""

    def setUp(self):
        self.client = Client()
        self.store = store.PlatformStore(self.client, "127.0.0.1:1", 0.05)

    # Guards against a scan that fails without waiting for its own request, because the
    # request left unfinished by the scan before broke in the meantime.
    async def test_broken_unfinished_request_does_not_fail_the_next_scan(self):
        self.assertIsInstance(await self.store.scan("op/"), kvstore.Away)
        self.client.calls[0].set_result(messages.Broken("reset", False))
        await asyncio.sleep(0.01)
        scan = asyncio.create_task(self.store.scan("op/"))
        await asyncio.sleep(0.01)
        self.client.calls[-1].set_result(PAGE)
        self.assertEqual(await scan, kvstore.Scanned([], 7))

    # A response that arrives between two scans is not requested again.
    async def test_reply_to_an_unfinished_request_is_used_by_the_next_scan(self):
        self.assertIsInstance(await self.store.scan("op/"), kvstore.Away)
        self.client.calls[0].set_result(PAGE)
        await asyncio.sleep(0.01)
        self.assertEqual(await self.store.scan("op/"), kvstore.Scanned([], 7))
        self.assertEqual(len(self.client.calls), 2)

    # Guards against a page that arrived long before a scan being used as its response.
    # It was 22 s old on a host that was cut off and requested state from other proxies.
    async def test_old_reply_to_an_unfinished_request_is_not_used(self):
        self.assertIsInstance(await self.store.scan("op/"), kvstore.Away)
        self.client.calls[0].set_result(PAGE)
        await asyncio.sleep(0.1)
        scan = asyncio.create_task(self.store.scan("op/"))
        await asyncio.sleep(0.01)
        self.assertFalse(scan.done())
        self.client.calls[-1].set_result(PAGE)
        self.assertEqual(await scan, kvstore.Scanned([], 7))
