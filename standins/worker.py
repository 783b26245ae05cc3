"""Stand-in for a worker, a target beside a node, with a cold start and failures.

Paths below ``/_worker`` control it: ``POST /_worker/behave`` sets fields of
:class:`Behaviour`, ``POST /_worker/drain`` makes it announce that it drains, and each
path, such as ``GET /_worker/stats``, returns counts of calls.

Headers of a call: ``x-crash`` ends the process while the call runs, ``x-sleep-ms``
makes it take that many milliseconds longer, and ``x-cut`` truncates the response.
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
ANNOUNCE_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Failures and delays of calls, and the load that is reported.

    - ``fail_share``: fraction of calls that get status 500.
    - ``slow_ms``: delay of a call in milliseconds.
    - ``route``: path prefix of the calls that fail or are delayed.
    - ``only_above_running``: calls fail or are delayed only while more than this
      number of calls run.
    - ``reported_load``: load to announce instead of the true fraction of used slots.
    """

    fail_share: float = 0.0
    slow_ms: float = 0.0
    route: str = "/"
    only_above_running: int = 0
    reported_load: float | None = None


@dataclasses.dataclass(slots=True)
class Options:
    """Options of a worker.

    ``node`` is the control ``IP:port`` of the node on its host, ``port`` 0 takes a
    free port, ``slots`` and ``connections`` are the numbers of concurrent calls and of
    connections that it announces, ``cold_ms`` is the time before it listens, and
    ``work_ms`` the time a call takes. ``seed`` determines which calls fail.
    """

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
    """A worker that serves calls and sends heartbeats to the node on its host.

    ``calls`` is the number of calls received and ``runs`` that by request id,
    ``running`` the number that run now and ``peak`` the largest that ran at once.
    """

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
        """Serve until cancelled; set the event ``started`` once the worker listens."""
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
        """Send heartbeats until cancelled; HTTP errors are ignored."""
        url = f"http://{self.options.node}/targets"
        async with httpx.AsyncClient(trust_env=False, timeout=2.0) as client:
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    await client.post(url, json=self.announcement())
                await anyio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    def announcement(self):
        """Return the body of a heartbeat."""
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
        """Return the response to one request, be it a call or a control request."""
        if request.path.startswith("/_worker/"):
            return self.handle_control(request)
        self.calls += 1
        self.runs[request.header(b"x-request-id") or ""] += 1
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            return await self.work(request)
        finally:
            self.running -= 1

    async def work(self, request):
        """Run a call as set by ``behaviour`` and the headers; return the response."""
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
        result = {
            "service": self.options.service,
            "version": self.options.version,
            "worker": self.options.id,
            "path": request.path,
            "echo": request.header(b"x-echo"),
            "body_bytes": len(request.body),
        }
        return (
            self._truncate(result) if request.header(b"x-cut") else _json(200, result)
        )

    def _truncate(self, result):
        """Send a truncated response on every connection with a running call.

        The response lacks its last 10 bytes; then the connection is closed.
        """
        body = orjson.dumps(result)
        partial = framing.encode_response(messages.Response(200, [], body), True)[:-10]
        for connection in list(self.server.connections):
            if connection.running:
                connection.transport.write(partial)
                connection.transport.close()
        return _json(200, result)

    def handle_control(self, request):
        """Handle a control request and return the counts of calls."""
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
