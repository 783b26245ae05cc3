"""A stand-in for another host's proxy, whose responses a test controls."""

import asyncio

from lentilrouter.core import outcomes
from lentilrouter.datapath import framing, messages
from lentilrouter.proxy import hops

IDLE = hops.Load(0, 0, 6)


class Peer:
    """Stand-in for a target's proxy that confirms and responds after given times.

    It waits ``answer_seconds`` before it responds to a probe, ``place_seconds`` before
    it reserves a slot, ``confirm_seconds`` before it confirms a call, and then
    ``work_seconds`` before it responds to the call.

    With ``refuses`` it refuses calls, with ``shed`` its target rejects them, and with
    ``mute`` it never responds. ``began`` is the number of calls that reached the
    target, ``aborted`` the number of those whose sender closed the connection before
    the response.
    """

    def __init__(self, address):
        self.address = address
        self.confirm_seconds = 0.0
        self.place_seconds = 0.0
        self.work_seconds = 0.2
        self.answer_seconds = 0.0
        self.refuses = False
        self.shed = False
        self.mute = False
        self.began = 0
        self.aborted = 0
        self.serving = set()

    async def start(self, port):
        """Listen on a port."""
        self.server = await asyncio.start_server(self.accept, self.address, port)

    async def close(self):
        """Stop listening, and abort the open connections."""
        self.server.close()
        for task in self.serving:
            task.cancel()
        await asyncio.gather(*self.serving, return_exceptions=True)

    def accept(self, reader, writer):
        self.serving.add(asyncio.ensure_future(self.serve(reader, writer)))

    async def serve(self, reader, writer):
        """Respond to the requests of one connection until it is closed."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.mute:
                    await reader.read()
                    return
                await self.respond(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def respond(self, head, reader, writer):
        """Respond to a probe, a reservation or a call, as its path in ``head`` says."""
        if b"/ping" in head:
            await asyncio.sleep(self.answer_seconds)
            writer.write(framing.encode_response(messages.Response(200, [], b""), True))
            return
        if hops.RESERVE_PATH.encode() in head:
            await asyncio.sleep(self.place_seconds)
            writer.write(self.encode(hops.Reserved("t")))
            return
        if self.refuses or self.shed:
            full = outcomes.NotRun(outcomes.Reason.OVERLOADED, "full")
            writer.write(self.encode(hops.Refused(full, arrived=self.shed)))
            return
        self.began += 1
        await asyncio.sleep(self.confirm_seconds)
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([closed], timeout=self.work_seconds)
        if done:
            self.aborted += 1
            return
        closed.cancel()
        await asyncio.wait([closed])
        response = messages.Response(200, [], b"done")
        writer.write(self.encode(outcomes.Answered(response, "i", 0.1)))

    def encode(self, outcome):
        """Return the bytes of the response with an outcome, from an idle target."""
        return framing.encode_response(hops.encode_outcome(outcome, IDLE), True)
