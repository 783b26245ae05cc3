"""Stand in for a worker: slots, cold start, failures, crashes and a load report.

Paths below ``/_worker`` steer it: ``POST /_worker/behave`` sets fields of
:class:`Behaviour`, ``GET /_worker/stats`` reports runs, ``POST /_worker/drain``
announces that it leaves. A request with the header ``x-crash`` ends the process while
it runs; ``x-sleep-ms`` makes it take longer; ``x-cut`` sends half an answer.
"""

import collections
import contextlib
import dataclasses
import os
import random

import anyio
import httpx
import orjson

from lentilrouter.conf import loader
from lentilrouter.datapath import framing, messages, serving

CRASH_EXIT_CODE = 70
ANNOUNCE_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Say how calls fare; ``route`` limits failures and slowness to a path prefix."""

    fail_share: float = 0.0
    slow_ms: float = 0.0
    route: str = "/"
    only_above_running: int = 0
    reported_load: float | None = None


@dataclasses.dataclass(slots=True)
class Options:
    """Hold what a worker is told when it starts."""

    id: str
    service: str
    version: str
    node: str
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 6
    connections: int = 130
    cold_ms: int = 0
    work_ms: float = 2.0
    seed: int = 1


class Worker:
    """Answer calls and announce itself to the node on its host."""

    def __init__(self, options):
        self.options = options
        self.behaviour = Behaviour()
        self.random = random.Random(options.seed)
        self.runs = collections.Counter()
        self.calls = 0
        self.running = 0
        self.peak = 0
        self.draining = False
        self.server = None

    async def run(self, started=None):
        """Serve until cancelled; set the event ``started`` when listening."""
        await anyio.sleep(self.options.cold_ms / 1000)
        settings = loader.default_settings("worker")
        self.server = serving.Server(
            self.serve, _refuse, lambda request: True, settings
        )
        async with anyio.create_task_group() as tasks:
            await self.server.start(self.options.address, self.options.port, tasks)
            socket = self.server.listener.sockets[0]
            self.options.port = socket.getsockname()[1]
            if started is not None:
                started.set()
            await self.announce()

    async def announce(self):
        """Announce the target as a heartbeat, for ever."""
        url = f"http://{self.options.node}/targets"
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as client:
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    await client.post(url, json=self.announcement())
                await anyio.sleep(ANNOUNCE_SECONDS)

    def announcement(self):
        """Return what the node is told."""
        options = self.options
        load = self.behaviour.reported_load
        return {
            "id": options.id,
            "service": options.service,
            "version": options.version,
            "address": f"{options.address}:{options.port}",
            "slots": options.slots,
            "connections": options.connections,
            "draining": self.draining,
            "load": self.running / options.slots if load is None else load,
        }

    async def serve(self, request):
        """Answer one request."""
        if request.path.startswith("/_worker/"):
            return self.steer(request)
        self.calls += 1
        self.runs[request.header(b"x-request-id") or ""] += 1
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            return await self.work(request)
        finally:
            self.running -= 1

    async def work(self, request):
        """Run a call as the behaviour and its headers say."""
        behaviour = self.behaviour
        await anyio.sleep(self.options.work_ms / 1000)
        if request.header(b"x-crash"):
            os._exit(CRASH_EXIT_CODE)
        sleep_ms = request.header(b"x-sleep-ms")
        if sleep_ms:
            await anyio.sleep(int(sleep_ms) / 1000)
        affected = request.path.startswith(behaviour.route)
        affected &= self.running > behaviour.only_above_running
        if affected and behaviour.slow_ms:
            await anyio.sleep(behaviour.slow_ms / 1000)
        if affected and self.random.random() < behaviour.fail_share:
            return _json(500, {"error": "failed", "worker": self.options.id})
        answer = {
            "service": self.options.service,
            "version": self.options.version,
            "worker": self.options.id,
            "path": request.path,
            "echo": request.header(b"x-echo"),
            "body_bytes": len(request.body),
        }
        return self._cut(answer) if request.header(b"x-cut") else _json(200, answer)

    def _cut(self, answer):
        """Send half an answer and close every connection of this worker."""
        body = orjson.dumps(answer)
        half = framing.encode_response(messages.Response(200, [], body), True)[:-10]
        for connection in list(self.server.connections):
            if connection.running:
                connection.transport.write(half)
                connection.transport.close()
        return _json(200, answer)

    def steer(self, request):
        """Answer a request that steers the stand-in."""
        if request.path == "/_worker/behave":
            for name, value in orjson.loads(request.body).items():
                setattr(self.behaviour, name, value)
        elif request.path == "/_worker/drain":
            self.draining = True
        return _json(
            200,
            {
                "calls": self.calls,
                "peak": self.peak,
                "running": self.running,
                "runs": dict(self.runs),
                "connections": len(self.server.connections),
            },
        )


def _json(status, document):
    headers = [(b"content-type", b"application/json")]
    return messages.Response(status, headers, orjson.dumps(document))


def _refuse(status):
    return _json(status, {"error": "refused"})


async def serve(options):
    """Run a worker until SIGTERM ends the process."""
    await Worker(options).run()
