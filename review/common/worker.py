"""Stand-in of an application worker: it runs requests and sends heartbeats."""

import asyncio
import contextlib
import itertools
import json
import time

from common import caller, http

HEALTH_PATH = "/healthz"
BEAT_SECONDS = 1.5
POISON = "/poison"  # a path that ends so crashes the worker that runs the request
DOWN_SECONDS = 3.0  # after a crash
LONG = "/long"  # a path that ends so has a long run
NUMBERS = itertools.count(1)


class Worker:
    """A sound worker with some slots and a short queue.

    ``runs`` lists each run as a dict of the request id, the caller, the time of its
    begin and how it ended.
    """

    def __init__(self, address, control, service, zone, slots=6, work_seconds=0.02):
        self.id = f"i-{next(NUMBERS):08x}"
        self.address = address
        self.control = control
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_seconds = work_seconds
        self.long_seconds = work_seconds
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.server = http.Server(self._handle)
        self.beating = None
        self.returning = None

    async def start(self):
        """Listen, and begin to send heartbeats."""
        await self.server.start(self.address)
        self.beating = asyncio.ensure_future(self._beat_forever())

    def close(self):
        """End at once."""
        for task in (self.beating, self.returning):
            if task is not None:
                task.cancel()
        self.server.close()

    def crash(self):
        """End at once, and start again some seconds later as a new incarnation."""
        self.beating.cancel()
        self.server.close()
        self.returning = asyncio.ensure_future(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(DOWN_SECONDS)
        self.id = f"i-{next(NUMBERS):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = asyncio.Semaphore(self.slot_count)
        self.server = http.Server(self._handle)
        await self.start()

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "addr": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slot_count,
            },
            "status": {"state": "ready", "seq": self.sequence, "cold_left_s": 0},
        }
        target = f"/v1/rpc?call=instances.beat&of={self.id}"
        headers = {"Host": self.control, "Content-Type": "application/json"}
        data = http.encode(
            f"POST {target} HTTP/1.1", headers, json.dumps(body).encode()
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                answer = await caller.exchange(self.control, data)
                return answer is not None and answer.status == 200
        return False

    async def _handle(self, request):
        method, target = request.start[:2]
        if target == HEALTH_PATH:
            return 200, {"X-Instance-Id": self.id, **self._load()}, b""
        id = request.headers.get("x-request-id")
        if id is None:
            return 400, {"X-Not-Run": "1"}, b""
        echo = {"X-Request-Id": id}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {**echo, "X-Instance-Id": self.id}, b""
        async with self.slots:
            run = {
                "id": id,
                "caller": request.headers.get("x-caller"),
                "at": time.monotonic(),
                "bytes": len(request.body),
                "ended": "broken off",
            }
            self.runs.append(run)
            if target.endswith(POISON):
                run["ended"] = "crashed"
                asyncio.get_running_loop().call_soon(self.crash)
            long = target.endswith(LONG)
            await asyncio.sleep(self.long_seconds if long else self.work_seconds)
            run["ended"] = "200"
        signed = {**echo, "X-Server-Stamp": f"{self.id}.{id}", **self._load()}
        return 200, signed, f"answer to {id}".encode()

    def _load(self):
        running = self.slot_count - self.slots._value
        return {"X-Instance-Load": f"{running},0,{self.slot_count}"}
