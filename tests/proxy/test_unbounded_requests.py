"""Test that requests that never end are refused within limits of memory."""

import asyncio
import unittest

from lentilrouter.datapath import messages
from lentilrouter.proxy import receiving, serving, sheets
from tests.proxy import doubles

KIB = 1024
MIB = 1024 * 1024
SENT_BYTES = 8 * MIB  # sent by a caller unless the connection is closed before
PIECE = b"a" * (16 * KIB)
LIMITS = sheets.Limits(header_bytes=8 * KIB, body_bytes=100 * KIB)
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "blank lines": (b"", b"\r\n" * (8 * KIB), 431),
    "target": (b"GET /", PIECE, 431),
    "header name": (b"GET / HTTP/1.1\r\n", PIECE, 431),
    "header value": (b"GET / HTTP/1.1\r\nX: ", PIECE, 431),
    "spaces before a value": (b"GET / HTTP/1.1\r\nX:", b" " * (16 * KIB), 431),
    "list of headers": (b"GET / HTTP/1.1\r\n", b"X: y\r\n" * 2700, 431),
    "chunk size": (POST, b"0" * (16 * KIB), 413),
    "chunk extension": (POST + b"1;", PIECE, 413),
    "extensions of many chunks": (POST, b"1;%s\r\na\r\n" % PIECE, 413),
    "trailer value": (POST + b"0\r\nX: ", PIECE, 413),
    "list of trailers": (POST + b"0\r\n", b"X: y\r\n" * 2700, 431),
    "body": (POST, b"4000\r\n%s\r\n" % PIECE, 413),
}


class Caller:
    """A caller, whose bytes a test feeds to a connection of a server."""

    def __init__(self):
        self.seen = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        server = serving.Server(
            self.handle,
            lambda: LIMITS,
            lambda status: messages.Response(status, [], b""),
            lambda status: None,
        )
        server.loop = asyncio.get_running_loop()
        self.connection = receiving.ServerConnection(server)
        self.transport = doubles.Transport()
        self.connection.connection_made(self.transport)
        self.fed = 0

    async def handle(self, request):
        self.seen.append(request)
        await self.may_respond.wait()
        return messages.Response(200, [], request.target.encode())

    async def feed(self, data):
        """Feed bytes as one read, unless the connection was closed."""
        if not self.transport.closed:
            self.connection.data_received(data)
            self.fed += len(data)
        await asyncio.sleep(0)

    async def feed_on(self, piece, total=SENT_BYTES):
        """Feed a piece again and again until the connection is closed."""
        while self.fed < total and not self.transport.closed:
            await self.feed(piece)

    def buffered_headers(self):
        """Return the number of buffered headers of the incomplete request."""
        return len(self.connection.message.headers)


class RequestTests(unittest.IsolatedAsyncioTestCase):
    """Feed a request that never ends to one connection of a server."""

    # Guards against memory and a connection taken up by a head or by chunk framing that
    # never ends: the parser does not report an incomplete name, so nothing counts it.
    async def test_unbounded_request_is_refused(self):
        for name, (start, piece, status) in REQUESTS.items():
            with self.subTest(name):
                caller = Caller()
                await caller.feed(start)
                await caller.feed_on(piece)
                self.assertTrue(caller.transport.closed)
                self.assertLessEqual(caller.fed, 256 * KIB)
                self.assertTrue(
                    caller.transport.data.startswith(b"HTTP/1.1 %d" % status)
                )
                self.assertEqual(caller.seen, [])

    # Guards against a refused request that is still read, without end, while an earlier
    # request of the same connection is in flight.
    async def test_nothing_is_read_after_a_refused_request(self):
        for name in ("header value", "list of headers"):
            with self.subTest(name):
                start, piece, _ = REQUESTS[name]
                caller = Caller()
                caller.may_respond.clear()
                await caller.feed(GET % 1)
                await caller.feed(start)
                await caller.feed_on(piece, MIB)
                self.assertLess(caller.buffered_headers(), 20 * KIB)
                caller.may_respond.set()
                await asyncio.sleep(0.01)
                self.assertTrue(caller.transport.closed)
                responses = caller.transport.data.split(b"HTTP/1.1 ")[1:]
                self.assertEqual([line[:3] for line in responses], [b"200", b"431"])

    # Guards against one large read that is parsed to its end although its request was
    # refused.
    async def test_large_read_is_not_parsed_after_a_refusal(self):
        caller = Caller()
        await caller.feed(b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * (40 * KIB))
        self.assertLess(caller.buffered_headers(), 20 * KIB)
        self.assertTrue(caller.transport.closed)

    # Guards against limits that refuse requests which callers may send.
    async def test_requests_within_the_limits_run(self):
        head = b"POST / HTTP/1.1\r\nX: %s\r\n" % (b"y" * (8 * KIB - 10))
        body = b"Content-Length: %d\r\n\r\n" % LIMITS.body_bytes
        cases = {
            "large head": head + b"\r\n",
            "large body": POST[:17] + body + b"a" * LIMITS.body_bytes,
            "chunks of one byte": POST + b"1\r\na\r\n" * 20000 + b"0\r\n\r\n",
            "pipeline": b"".join(GET % number for number in range(500)),
        }
        for name, data in cases.items():
            for size in (1 if name == "large head" else 100, 16 * KIB, len(data)):
                with self.subTest(name, size=size):
                    caller = Caller()
                    for start in range(0, len(data), size):
                        await caller.feed(data[start : start + size])
                    await asyncio.sleep(0.01)
                    expected = 500 if name == "pipeline" else 1
                    self.assertEqual(len(caller.seen), expected)
                    response_count = caller.transport.data.count(b"HTTP/1.1 200")
                    self.assertEqual(response_count, expected)
