"""Stand in for a target beside a proxy, with the faults a target can have."""

import asyncio
import contextlib
import itertools

import orjson

from lentilrouter.datapath import messages
from lentilrouter.proxy import sending, serving, sheets

BEAT_PATH = "/v1/rpc?call=instances.{}&of={}"


class PlatformTarget:
    """Run requests in slots, send heartbeats, and misbehave when told.

    ``fault`` is one of ``error`` (500), ``shed`` (503, not run), ``unsigned`` (200
    without proof) and ``silent``, or empty. A request for a path that ends in ``crash``
    takes the target down. ``ran`` holds what was run: request id, path, headers and
    body. ``padding`` makes answers longer, ``unbounded`` counts requests answered after
    ``answer_unbounded``.
    """

    born = itertools.count(1_779_000_000_000)

    def __init__(
        self,
        address,
        heartbeats,
        service,
        version="v1",
        slots=2,
        work=0.01,
        padding=b"",
    ):
        self.id = f"i-{next(self.born):x}"
        self.address = address
        self.heartbeats = heartbeats
        self.service = service
        self.version = version
        self.slots = slots
        self.work = work
        self.padding = padding
        self.started = next(self.born)
        self.sequence = 0
        self.state = "ready"
        self.fault = ""
        self.ran = []
        self.running = 0
        self.peak = 0
        self.cancelled = 0
        self.unbounded = 0
        self.raw = None
        self.client = sending.Client()
        self.server = serving.Server(
            self.answer,
            sheets.Limits,
            lambda status: messages.Response(status, [], b""),
            lambda status: None,
        )

    async def start(self):
        """Start to serve requests."""
        await self.server.start(self.address)

    def close(self):
        """Crash: cut every connection and stop to listen."""
        self.server.close()
        self.client.close()
        if self.raw is not None:
            self.raw.close()

    async def answer_unbounded(self, start, piece):
        """Answer each request with ``start``, then ``piece`` until the caller closes.

        In ``start``, ``%s`` stands for the id of the request.
        """

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                self.unbounded += 1
                id = head.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0]
                writer.write(start.replace(b"%s", id))
                while not writer.is_closing():
                    writer.write(piece)
                    await writer.drain()
            writer.close()

        self.server.close()
        if self.raw is not None:
            self.raw.close()
        host, _, port = self.address.rpartition(":")
        self.raw = await asyncio.start_server(serve, host, int(port))

    async def beat(self, **changes):
        """Send one heartbeat and return its status, 0 for none."""
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
                "cold_left_s": 0,
            },
        }
        body.update(changes)
        return await self._say("beat", orjson.dumps(body))

    async def leave(self):
        """Say that the target leaves and return the status."""
        return await self._say("leave", orjson.dumps({"born": self.started}))

    async def _say(self, word, body):
        target = BEAT_PATH.format(word, self.id)
        request = messages.Request("POST", target, [(b"host", b"x")], body)
        result = await self.client.send(self.heartbeats, request, 1.0)
        if isinstance(result, messages.Replied):
            return result.response.status
        return 0

    async def answer(self, request):
        """Run one request."""
        id = request.header(b"x-request-id") or ""
        echo = [(b"x-request-id", id.encode())]
        if request.header(b"x-expect-instance") != self.id:
            return messages.Response(421, echo, b"")
        if self.fault == "shed" or self.running >= self.slots:
            return messages.Response(503, [*echo, (b"x-not-run", b"1")], b"")
        self.running += 1
        self.peak = max(self.peak, self.running)
        self.ran.append((id, request.target, dict(request.headers), request.body))
        try:
            if request.target.endswith("crash"):
                self.server.close()
            await asyncio.sleep(3600 if self.fault == "silent" else self.work)
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
