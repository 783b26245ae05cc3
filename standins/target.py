"""Stand-in for a target beside a proxy, with faults that tests can set."""

import asyncio
import collections
import contextlib
import itertools
import time

import orjson

from lentilrouter.datapath import messages
from lentilrouter.proxy import sending, serving, sheets

COLD_CALLS_MAX = 17  # in a second, of a target that bears 6.5: 6.5 * 1.5 + 8
HEALTH_PATH = "/healthz"
INSTANCE_CALL_PATH = "/v1/rpc?call=instances.{}&of={}"


class PlatformTarget:
    """A target that runs requests in slots and sends heartbeats to a proxy.

    ``fault`` is empty or one of:

    - ``error``: each request runs and gets status 500.
    - ``shed``: each request gets status 503 without being run.
    - ``unsigned``: each request gets status 200 without the target's signature.
    - ``silent``: each request runs, but gets no response.

    A request whose path ends in ``crash`` closes the server. ``heartbeats`` is the
    ``IP:port`` that heartbeats are sent to, ``work_seconds`` the time a request runs,
    and ``padding`` is appended to each response body. Heartbeats announce ``state``.

    After ``turn_cold`` heartbeats and health checks state that it is cold. It crashes
    if it then gets more than ``COLD_CALLS_MAX`` requests in a second; ``cold_peak`` is
    the largest number that it got. Requests that it answers with 421 do not count.

    ``ran`` lists the requests that ran as ``(request id, path, headers, body)``,
    ``peak`` is the largest number that ran at once, and ``cancelled`` counts those that
    were cancelled. ``unbounded_count`` counts the requests received after
    ``serve_unbounded``.
    """

    # Times in milliseconds; each is used once in a process, as start time or in an id.
    start_times = itertools.count(1_779_000_000_000)

    def __init__(
        self,
        address,
        heartbeats,
        service,
        version="v1",
        slots=2,
        work_seconds=0.01,
        padding=b"",
    ):
        self.id = f"i-{next(self.start_times):x}"
        self.address = address
        self.heartbeats = heartbeats
        self.service = service
        self.version = version
        self.slots = slots
        self.work_seconds = work_seconds
        self.padding = padding
        self.started = next(self.start_times)
        self.sequence = 0
        self.state = "ready"
        self.fault = ""
        self.ran = []
        self.running = 0
        self.peak = 0
        self.cancelled = 0
        self.unbounded_count = 0
        self.cold_until = 0.0
        self.cold_calls = collections.deque()
        self.cold_peak = 0
        self.raw_server = None
        self.client = sending.Client()
        self.server = serving.Server(
            self.handle,
            sheets.Limits,
            lambda status: messages.Response(status, [], b""),
            lambda status: None,
        )

    async def start(self):
        """Start serving requests."""
        await self.server.start(self.address)

    def close(self):
        """Simulate a crash: stop listening and close every connection."""
        self.server.close()
        self.client.close()
        if self.raw_server is not None:
            self.raw_server.close()

    async def serve_unbounded(self, start, piece):
        """Replace the server by one whose responses never end.

        Each response is ``start``, with ``%s`` replaced by the request id, and then
        ``piece`` again and again until the caller closes the connection.
        """

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                self.unbounded_count += 1
                id = head.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0]
                writer.write(start.replace(b"%s", id))
                while not writer.is_closing():
                    writer.write(piece)
                    await writer.drain()
            writer.close()

        self.server.close()
        if self.raw_server is not None:
            self.raw_server.close()
        host, _, port = self.address.rpartition(":")
        self.raw_server = await asyncio.start_server(serve, host, int(port))

    async def send_heartbeat(self, **changes):
        """Send one heartbeat and return the status, or 0 if there was no response.

        ``changes`` replace fields of the heartbeat's body.
        """
        self.sequence += 1
        body = {
            "addr": self.address,
            "born": self.started,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": "z1",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self.sequence,
                "cold_left_s": self.cold_seconds(),
            },
        }
        body.update(changes)
        return await self._send("beat", orjson.dumps(body))

    def turn_cold(self, seconds):
        """Be cold for some seconds from now on, as after a start."""
        self.cold_until = time.monotonic() + seconds
        self.cold_calls.clear()

    def cold_seconds(self):
        """Return the seconds for which the target is still cold."""
        return max(0.0, self.cold_until - time.monotonic())

    def count_cold_call(self):
        """Count a request while the target is cold; crash if there are too many."""
        if not self.cold_seconds():
            return
        now = time.monotonic()
        self.cold_calls.append(now)
        while self.cold_calls[0] <= now - 1.0:
            self.cold_calls.popleft()
        self.cold_peak = max(self.cold_peak, len(self.cold_calls))
        if self.cold_peak > COLD_CALLS_MAX:
            self.close()

    async def send_leave(self):
        """Announce that the target leaves; return the status as ``send_heartbeat``."""
        return await self._send("leave", orjson.dumps({"born": self.started}))

    async def _send(self, call, body):
        target = INSTANCE_CALL_PATH.format(call, self.id)
        request = messages.Request("POST", target, [(b"host", b"x")], body)
        result = await self.client.send(self.heartbeats, request, 1.0)
        if isinstance(result, messages.Replied):
            return result.response.status
        return 0

    async def handle(self, request):
        """Run one request in a slot and return the response.

        Without being run, a request for another target gets status 421, and one that
        finds no free slot gets 503.
        """
        if request.path == HEALTH_PATH:
            cold = b"%d" % (1000 * self.cold_seconds())
            headers = [(b"x-instance-id", self.id.encode()), (b"x-cold-ms", cold)]
            return messages.Response(200, headers, b"")
        id = request.header(b"x-request-id") or ""
        echo = [(b"x-request-id", id.encode())]
        if request.header(b"x-expect-instance") != self.id:
            return messages.Response(421, echo, b"")
        self.count_cold_call()
        if self.fault == "shed" or self.running >= self.slots:
            return messages.Response(503, [*echo, (b"x-not-run", b"1")], b"")
        self.running += 1
        self.peak = max(self.peak, self.running)
        self.ran.append((id, request.target, dict(request.headers), request.body))
        try:
            if request.target.endswith("crash"):
                self.server.close()
            await asyncio.sleep(3600 if self.fault == "silent" else self.work_seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        status = 500 if self.fault == "error" else 200
        if self.fault != "unsigned":
            echo.append((b"x-server-stamp", b"stamp"))
        body = b"answer to " + id.encode() + self.padding
        return messages.Response(status, echo, body)
