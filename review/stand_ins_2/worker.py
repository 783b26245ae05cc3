"""Stand-in of a worker, as PROTOCOL.md describes it; a process of its own.

Usage: ``worker.py OPTIONS``, with a JSON object of ``id``, ``addr``, ``control``,
``service``, ``version``, ``zone``, ``slots``, ``queue``, ``log`` and ``extra``. It
writes a line of JSON to the file ``log`` for each request that arrives, runs, ends or
is dropped. A request whose path has a part ``wN`` runs for N ms. With the option
``truncates`` N, it breaks off each Nth of its answers to requests that ran. A path with
a part ``kN`` gets an answer of N kB.

If the file ``extra`` exists, the worker is faulty: it sends a second copy of some
answers, late, at the point where the next response is expected. It does so with answers
to requests without an id, and with at most one in 50 of all its answers.
"""

import asyncio
import json
import pathlib
import re
import sys
import time

import http1

BEAT_SECONDS = 1.5
EXTRA_EVERY = 50  # answers for each one that is sent twice


class Worker:
    """A worker with slots and a short queue."""

    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.slots = asyncio.Semaphore(options["slots"])
        self.running = self.waiting = self.sequence = 0
        self.answers = self.extras = self.ran = 0
        self.born = int(time.time() * 1000)
        self.log = pathlib.Path(options["log"])

    def note(self, event, id, **more):
        """Write a line to the log."""
        line = {"t": time.time(), "event": event, "id": id, "worker": self.id, **more}
        with self.log.open("a") as log:
            log.write(json.dumps(line) + "\n")

    def load(self):
        """Return the value of ``X-Instance-Load``."""
        return f"{self.running},{self.waiting},{self.options['slots']}"

    async def handle(self, request):
        """Return the response to a request, and what follows it late."""
        response = await self.respond(request)
        self.answers += 1
        spoiled = (
            not request.headers.get("x-request-id")
            and pathlib.Path(self.options["extra"]).exists()
            and (self.extras + 1) * EXTRA_EVERY <= self.answers
        )
        if not spoiled:
            return response
        self.extras += 1
        self.note("extra", "", status=response[0], answers=self.answers)
        return (*response, http1.encode(*response))

    async def respond(self, request):
        """Return status, headers and body of the response to a request."""
        load = ("X-Instance-Load", self.load())
        if request.target == "/healthz":
            return 200, [("X-Instance-Id", self.id), load], b""
        id = request.headers.get("x-request-id", "")
        echo = [("X-Request-Id", id), load] if id else [load]
        not_run = [*echo, ("X-Not-Run", "1")]
        if not id:
            return 400, not_run, b""
        expected = request.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            return 421, not_run, b""
        self.note(
            "arrived",
            id,
            path=request.target,
            deadline_ms=request.headers.get("x-deadline-ms"),
            caller=request.headers.get("x-caller"),
        )
        if self.running >= self.options["slots"] and (
            self.waiting >= self.options["queue"]
        ):
            return 503, not_run, b""
        limit = float(request.headers.get("x-deadline-ms", 60000)) / 1000
        state = "queued"
        try:
            async with asyncio.timeout(limit):
                self.waiting += 1
                try:
                    await self.slots.acquire()
                finally:
                    self.waiting -= 1
                self.running += 1
                state = "running"
                try:
                    self.note("runs", id, path=request.target)
                    found = re.search(r"/w(\d+)", request.target)
                    await asyncio.sleep(int(found.group(1)) / 1000 if found else 0.02)
                finally:
                    self.running -= 1
                    self.slots.release()
        except TimeoutError:
            self.note("expired", id, state=state)
            if state == "queued":
                return 503, not_run, b""
            return 504, [*echo, ("X-Server-Stamp", f"stamp-{id}")], b""
        except asyncio.CancelledError:
            self.note("dropped", id, state=state)
            raise
        self.ran += 1
        every = self.options.get("truncates", 0)
        truncated = bool(every) and self.ran % every == 0
        self.note("done", id, truncated=truncated)
        body = f"answer of {self.id} to {id}".encode()
        if found := re.search(r"/k(\d+)", request.target):
            body = body.ljust(int(found.group(1)) * 1000, b".")
        headers = [*echo, ("X-Server-Stamp", f"stamp-{id}")]
        if truncated:
            return 0, [], http1.encode(200, headers, body)[: -len(body) // 2]
        return 200, headers, body

    async def beat(self):
        """Send heartbeats forever."""
        options = self.options
        while True:
            self.sequence += 1
            body = {
                "addr": options["addr"],
                "born": self.born,
                "info": {
                    "service": options["service"],
                    "version": options["version"],
                    "zone": options["zone"],
                    "slots": options["slots"],
                },
                "status": {"state": "ready", "seq": self.sequence, "cold_left_s": 0},
            }
            target = f"/v1/rpc?call=instances.beat&of={self.id}"
            data = json.dumps(body).encode()
            response = await http1.request(
                options["control"], "POST", target, body=data, seconds=1.0
            )
            heard = response is not None and response.status == 200
            await asyncio.sleep(BEAT_SECONDS if heard else 0.2)


async def main(options):
    """Serve and send heartbeats until killed."""
    worker = Worker(options)
    await http1.serve(options["addr"], worker.handle)
    await worker.beat()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
