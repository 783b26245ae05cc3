"""A stand-in for another host's proxy, which answers calls as a test says."""

import asyncio

from lentilrouter.core import outcomes
from lentilrouter.datapath import framing, messages
from lentilrouter.proxy import hops

IDLE = hops.Load(0, 0, 6)


class Peer:
    """Stand in for a target's proxy that confirms and answers after some time.

    ``refuses`` makes it refuse calls, ``shed`` makes its target reject them, ``mute``
    keep silent for good. ``began`` counts calls that reached its target, ``broken_off``
    those whose sender left before the answer.
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
        self.broken_off = 0
        self.serving = set()

    async def start(self, port):
        """Start to listen."""
        self.server = await asyncio.start_server(self.accept, self.address, port)

    async def close(self):
        """Stop to listen and end what is served."""
        self.server.close()
        for task in self.serving:
            task.cancel()
        await asyncio.gather(*self.serving, return_exceptions=True)

    def accept(self, reader, writer):
        self.serving.add(asyncio.ensure_future(self.serve(reader, writer)))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.mute:
                    await reader.read()
                    return
                await self.answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def answer(self, head, reader, writer):
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
        left = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([left], timeout=self.work_seconds)
        if done:
            self.broken_off += 1
            return
        left.cancel()
        await asyncio.wait([left])
        response = messages.Response(200, [], b"done")
        writer.write(self.encode(outcomes.Answered(response, "i", 0.1)))

    def encode(self, outcome):
        return framing.encode_response(hops.encode_outcome(outcome, IDLE), True)
