"""The end of a proxy, as callers and other proxies see it."""

import asyncio
import unittest

from lentilrouter.datapath import messages
from lentilrouter.proxy import serving, sheets
from tests.proxy import doubles

GET = "GET {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\n\r\n"


class Caller:
    """Send requests on one connection and read the answers as they come."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address):
        """Return a caller with a connection to ``IP:port``."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port)))

    def send(self, path, id="1"):
        """Send a request without waiting."""
        self.writer.write(GET.format(path, id).encode())

    async def answer(self):
        """Return the next whole answer; raise if the connection ends before it."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        pairs = [line.split(": ", 1) for line in lines if line]
        headers = [(name.encode(), value.encode()) for name, value in pairs]
        size = int(dict(pairs)["content-length"])
        body = await self.reader.readexactly(size)
        return messages.Response(int(first.split()[1]), headers, body)


class ServerTests(unittest.IsolatedAsyncioTestCase):
    """Stop one server while requests are under way."""

    async def asyncSetUp(self):
        self.work = {"/slow": 0.2, "/fast": 0.01}
        self.ran = []
        self.server = serving.Server(self.handle, sheets.Limits, None, None)
        (port,) = doubles.free_ports(1)
        await self.server.start(f"127.0.0.1:{port}")
        self.addCleanup(self.server.close)
        self.caller = await Caller.connect(f"127.0.0.1:{port}")
        self.addCleanup(self.caller.writer.close)

    async def handle(self, request):
        self.ran.append(request.target)
        await asyncio.sleep(self.work[request.target])
        return messages.Response(200, [], request.target.encode())

    async def closes(self):
        answer = await asyncio.wait_for(self.caller.answer(), 2)
        return answer.body.decode(), answer.header(b"connection") == "close"

    async def test_only_the_last_answer_closes_the_connection(self):
        # Answers to pipelined requests came behind one that closed the connection:
        # callers dropped them and sent requests again that had run.
        self.caller.send("/slow")
        self.caller.send("/fast")
        await asyncio.sleep(0.05)
        self.server.draining = True
        self.caller.send("/fast")
        self.assertEqual(await self.closes(), ("/slow", False))
        self.assertEqual(await self.closes(), ("/fast", False))
        self.assertEqual(await self.closes(), ("/fast", True))
        self.assertEqual(await self.caller.reader.read(), b"")

    async def test_request_behind_the_closing_answer_does_not_run(self):
        self.server.draining = True
        self.caller.send("/fast")
        self.assertEqual(await self.closes(), ("/fast", True))
        self.caller.send("/slow")
        await asyncio.sleep(0.05)
        self.assertEqual(self.ran, ["/fast"])
