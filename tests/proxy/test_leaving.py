"""Test a request whose caller left before it was sent completely."""

import asyncio
import socket
import unittest

from lentilrouter.datapath import messages
from lentilrouter.proxy import sending
from tests.proxy import doubles

BODY = b"a" * 60_000  # bytes of an upload
RECEIVE_BUFFER_BYTES = 4096  # accepted by the kernel before the receiver reads
SEND_SECONDS = 0.2  # for the kernel to accept all data of the request
READ_BYTES = 65536


class LeavingTests(unittest.IsolatedAsyncioTestCase):
    """Send an upload to a host that reads it late, as over a slow link."""

    async def asyncSetUp(self):
        (port,) = doubles.free_ports(1)
        self.address = f"127.0.0.1:{port}"
        self.listener = socket.create_server(("127.0.0.1", port))
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.client = sending.Client()
        self.addCleanup(self.client.close)

    async def read_all(self, connection):
        """Return the bytes received until the connection ends or is reset."""
        loop = asyncio.get_running_loop()
        received = b""
        try:
            while data := await loop.sock_recv(connection, READ_BYTES):
                received += data
        except ConnectionResetError:
            pass
        return received

    # Guards against: an upload reaches a target long after its caller left, since the
    # kernel still sends the data in its buffer.
    async def test_request_of_a_caller_that_left_does_not_arrive_whole(self):
        request = messages.Request("POST", "/", [(b"host", b"a")], BODY)
        call = asyncio.create_task(self.client.send(self.address, request, 5.0))
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self.listener)
        self.addCleanup(connection.close)
        await asyncio.sleep(SEND_SECONDS)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        async with asyncio.timeout(5.0):
            received = await self.read_all(connection)
        self.assertLess(len(received), len(BODY))
