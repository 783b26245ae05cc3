"""Shutdown of a proxy, as callers and other proxies see it."""

import asyncio
import json
import signal
import time
import unittest

from lentilrouter.datapath import messages
from lentilrouter.proxy import serving, sheets
from tests.proxy import doubles

GET = "GET {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\n\r\n"


class Caller:
    """Caller with one connection, on which it sends requests and reads responses."""

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

    async def response(self):
        """Return the next response; raise ``IncompleteReadError`` if there is none."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        pairs = [line.split(": ", 1) for line in lines if line]
        headers = [(name.encode(), value.encode()) for name, value in pairs]
        size = int(dict(pairs)["content-length"])
        body = await self.reader.readexactly(size)
        return messages.Response(int(first.split()[1]), headers, body)


class ServerTests(unittest.IsolatedAsyncioTestCase):
    """Drain one server while requests run."""

    async def asyncSetUp(self):
        self.run_seconds = {"/slow": 0.2, "/fast": 0.01}
        self.ran = []
        self.server = serving.Server(self.handle, sheets.Limits, None, None)
        (port,) = doubles.free_ports(1)
        await self.server.start(f"127.0.0.1:{port}")
        self.addCleanup(self.server.close)
        self.caller = await Caller.connect(f"127.0.0.1:{port}")
        self.addCleanup(self.caller.writer.close)

    async def handle(self, request):
        self.ran.append(request.target)
        await asyncio.sleep(self.run_seconds[request.target])
        return messages.Response(200, [], request.target.encode())

    async def next_response(self):
        response = await asyncio.wait_for(self.caller.response(), 2)
        return response.body.decode(), response.header(b"connection") == "close"

    async def test_only_the_last_response_closes_the_connection(self):
        # Regression: responses to pipelined requests followed one that closed the
        # connection, so callers dropped them and retried requests that had run.
        self.caller.send("/slow")
        self.caller.send("/fast")
        await asyncio.sleep(0.05)
        self.server.draining = True
        self.caller.send("/fast")
        self.assertEqual(await self.next_response(), ("/slow", False))
        self.assertEqual(await self.next_response(), ("/fast", False))
        self.assertEqual(await self.next_response(), ("/fast", True))
        self.assertEqual(await self.caller.reader.read(), b"")

    async def test_request_after_the_closing_response_does_not_run(self):
        self.server.draining = True
        self.caller.send("/fast")
        self.assertEqual(await self.next_response(), ("/fast", True))
        self.caller.send("/slow")
        await asyncio.sleep(0.05)
        self.assertEqual(self.ran, ["/fast"])


class ProxyTests(unittest.IsolatedAsyncioTestCase):
    """Stop the proxy of the first machine of a mesh."""

    async def start(self, count=1, **options):
        self.mesh = doubles.Mesh()
        self.addCleanup(self.mesh.close)
        route = doubles.route(timeout_s=9.0, goal_s=9.0, attempts=1)
        self.mesh.store.put("op/config", doubles.config(7, route))
        await self.mesh.start(count, **options)
        self.machine = self.mesh.machines[0]
        self.target = self.machine.target
        heartbeats = asyncio.create_task(self.send_heartbeats())
        self.addCleanup(heartbeats.cancel)

    async def send_heartbeats(self):
        while True:
            for machine in self.mesh.machines:
                await machine.target.send_heartbeat()
            await asyncio.sleep(1.0)

    async def caller(self):
        caller = await Caller.connect(self.machine.callers)
        self.addCleanup(caller.writer.close)
        return caller

    async def stop_and_wait(self, seconds):
        self.stopped_at = time.monotonic()
        self.machine.kill(signal.SIGTERM)
        await asyncio.sleep(seconds)

    def ran(self):
        return [row[0] for m in self.mesh.machines for row in m.target.ran]

    async def test_late_call_on_an_idle_connection_gets_a_refusal(self):
        # Regression: a call that came 4 s after SIGTERM was in flight when the process
        # ended, and its connection closed without a response.
        await self.start(2, work_seconds=4.9)
        first, idle = await self.caller(), await self.caller()
        first.send("/read/1", "first")
        await asyncio.sleep(0.1)
        await self.stop_and_wait(4.0)
        for machine in self.mesh.machines:
            machine.target.work_seconds = 3.0
        idle.send("/read/2", "late")
        response = await idle.response()
        self.assertEqual(response.status, 503)
        self.assertEqual(response.header(b"connection"), "close")
        self.assertGreater(float(response.header(b"retry-after")), 0)
        self.assertEqual((await first.response()).status, 200)
        self.assertEqual(self.ran(), ["first"])

    async def test_body_that_is_incomplete_at_sigterm_is_accepted(self):
        # Regression: the process ended 2.3 s after SIGTERM although half of a body had
        # come. It happened on connections of callers and of other proxies.
        await self.start(2)
        caller = await self.caller()
        head = "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 1\r\n"
        caller.writer.write(f"{head}Content-Length: 4\r\n\r\nab".encode())
        await self.stop_and_wait(2.6)
        caller.writer.write(b"cd")
        self.assertEqual((await caller.response()).status, 200)

    async def test_queued_call_gets_a_refusal(self):
        # Regression: a call that waited for a slot at SIGTERM still waited when the
        # process ended, and its connection closed without a response.
        await self.start(work_seconds=8.0, slots=1)
        first, second = await self.caller(), await self.caller()
        first.send("/read/1", "first")
        await asyncio.sleep(0.1)
        second.send("/read/2", "second")
        await asyncio.sleep(0.1)
        await self.stop_and_wait(0)
        response = await second.response()
        self.assertEqual(response.status, 503)
        self.assertLess(time.monotonic() - self.stopped_at, 4.0)
        self.assertEqual(self.ran(), ["first"])

    async def test_call_in_flight_at_the_end_gets_a_gateway_timeout(self):
        # Regression: the connection of a call in flight at the end of the grace time
        # closed without a response.
        await self.start(work_seconds=8.0)
        caller = await self.caller()
        caller.send("/read/1")
        await asyncio.sleep(0.1)
        await self.stop_and_wait(0)
        response = await caller.response()
        self.assertEqual(response.status, 504)
        self.assertEqual(response.header(b"connection"), "close")
        self.assertGreater(time.monotonic() - self.stopped_at, 5.0)
        self.assertEqual(await asyncio.to_thread(self.machine.process.wait, 5), 0)

    async def test_response_to_a_slow_reader_is_delivered_completely(self):
        # Regression: the process ended with its last call, and a response that a slow
        # caller had not read yet was cut off.
        await self.start(padding=b"x" * 12_000_000)
        caller = await self.caller()
        caller.send("/read/1")
        await asyncio.sleep(0.5)
        await self.stop_and_wait(3.0)
        response = await caller.response()
        self.assertEqual(len(response.body), 12_000_000 + len(b"answer to 1"))
        self.assertEqual(await asyncio.to_thread(self.machine.process.wait, 5), 0)

    async def test_second_sigterm_does_not_kill_the_process(self):
        # Regression: a SIGTERM during shutdown killed the process (status -15).
        await self.start()
        await self.stop_and_wait(0)
        process = self.machine.process
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.001)
        self.assertEqual(process.returncode, 0)

    async def test_process_exits_right_after_its_last_log_line(self):
        # Regression: the interpreter took 0.2 to 0.5 s to finalize, and some processes
        # were killed at the end of their grace time although all calls had ended.
        await self.start(3)
        for machine in self.mesh.machines:
            machine.kill(signal.SIGTERM)
        waits = [asyncio.to_thread(m.process.wait, 9) for m in self.mesh.machines]
        ends = [asyncio.create_task(self.ended(wait)) for wait in waits]
        delays = []
        for machine, end in zip(self.mesh.machines, ends, strict=True):
            ended, lines = await end, [json.loads(line) for line in machine.lines()]
            self.assertEqual(lines[-1]["event"], "stop")
            delays.append(ended - lines[-1]["at"])
        self.assertLess(min(delays), 0.1)

    async def ended(self, wait):
        await wait
        return time.time()

    async def test_responses_to_other_proxies_close_their_connections(self):
        # Regression: other proxies kept connections to a stopping proxy, and calls that
        # they sent as it ended counted as possibly run.
        await self.start(work_seconds=4.0)
        caller = await self.caller()
        caller.send("/read/1")
        await asyncio.sleep(0.1)
        peer = await Caller.connect(f"{self.machine.ip}:{self.mesh.peer_port}")
        self.addCleanup(peer.writer.close)
        await self.stop_and_wait(2.5)
        peer.send("/lentilrouter/ping")
        await peer.reader.readuntil(b"\r\n\r\n")  # the confirmation
        response = await peer.response()
        self.assertEqual(response.header(b"connection"), "close")
