"""Run hosts, callers and a random series of stops, restarts and changes."""

import asyncio
import collections
import random
import signal

from lentilrouter.datapath import messages
from standins import target
from tests.failures.soak import callers, linked, records, relay
from tests.proxy import doubles

CALLERS_PER_HOST = 4
SLOTS = 8
SERVICES = ("ledger", "depot")
BEAT_SECONDS = 1.0
POLL_SECONDS = 0.02
AWAY_SECONDS = (0.5, 4.0)  # of the store
STORE_FAULTS = ("busy", "silent")
LOG_SECONDS = 0.5  # until the proxies have written their lines
SLOWEST_SECONDS = 0.22  # one way over a slow link; two ways stay below 0.6 s
MOVES = (
    "stop",
    "stop",
    "stop several",
    "again",
    "reload",
    "change",
    "link",
    "link",
    "store",
)


class WorkingTarget(target.PlatformTarget):
    """Work as long as the path says, no longer than until the deadline."""

    book = None

    async def answer(self, request):
        """Run one request and record it."""
        id = request.header(b"x-request-id") or ""
        echo = [(b"x-request-id", id.encode())]
        if request.header(b"x-expect-instance") != self.id:
            return messages.Response(421, echo, b"")
        if self.running >= self.slots:
            return messages.Response(503, [*echo, (b"x-not-run", b"1")], b"")
        loop = asyncio.get_running_loop()
        run = records.Run(self.address.partition(":")[0], loop.time())
        self.book.runs.setdefault(id, []).append(run)
        work = float(request.target.rpartition("/")[2])
        allowed = int(request.header(b"x-deadline-ms")) / 1000
        self.running += 1
        try:
            await asyncio.sleep(min(work, allowed))
            run.answered = True
        finally:
            self.running -= 1
            run.ended = loop.time()
        echo.append((b"x-server-stamp", b"stamp"))
        status = 200 if work <= allowed else 504
        return messages.Response(status, echo, b"answer to " + id.encode())


class Host(doubles.Machine):
    """Run a proxy behind a relay, beside a target that outlives it."""

    module = "tests.failures.soak.linked"
    target_kind = WorkingTarget

    def __init__(self, store, peer_port, relay_port, book, **options):
        super().__init__(store, peer_port, **options)
        self.target.book = book
        self.relay = relay.Relay(self.ip, relay_port, peer_port)
        self.stopping = False

    def environment(self):
        """Name the ports between which the relays stand."""
        ports = f"{self.peer_port} {self.relay.relay_port}"
        return {**super().environment(), linked.VARIABLE: ports}

    def close(self):
        """End relay, process and target."""
        self.relay.close()
        super().close()


class World(doubles.Mesh):
    """Hold everything of one run; all that is random comes from ``seed``."""

    def __init__(self, seed):
        super().__init__()
        self.seed = seed
        self.random = random.Random(seed)
        self.book = records.Records()
        (self.relay_port,) = doubles.free_ports(1)
        self.version = 1
        self.done = collections.Counter()
        self.tasks = set()

    def build(self, **options):
        """Return a host that is not started yet."""
        return Host(self.address, self.peer_port, self.relay_port, self.book, **options)

    async def run(self, seconds, hosts):
        """Start all, let the series run for a time, and return what was seen."""
        self._change()
        await self.start(0)
        for number in range(hosts):
            # Few hosts have the second service: often no other one is left.
            await self.add(service=SERVICES[number % 3 == 1], slots=SLOTS)
        for host in self.machines:
            await self.until_ready(host)
        for host in self.machines:
            await host.relay.open()
            self._spawn(self._beat(host))
        calling = [
            self._caller(number, host)
            for number, host in enumerate(self.machines * CALLERS_PER_HOST)
        ]
        ends = [self._spawn(caller.run()) for caller in calling]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            self._move(self.random.choice(MOVES))
        for caller in calling:
            caller.over = True
        await asyncio.wait(ends)
        self.book.close()
        await asyncio.sleep(LOG_SECONDS)
        return self.book

    def logged(self):
        """Return what the proxies logged of the requests that went wrong."""
        marks = [f'"id":"{id}"' for id in self.book.blamed]
        lines = [line for host in self.machines for line in host.lines()]
        found = [line for line in lines if any(mark in line for mark in marks)]
        return sorted(found)  # each begins with its time

    def _caller(self, number, host):
        own = random.Random(f"{self.seed} {number}")
        return callers.Caller(number, host, self.book, own)

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        """Report a failure of the soak itself as a fault, not as silence."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.book.faults.append(f"the soak itself failed: {task.exception()!r}")

    def _move(self, move):
        host = self.random.choice(self.machines)
        several = self.random.sample(self.machines, max(1, len(self.machines) // 3))
        pause = self.random.choice((0.0, 0.1, 1.0))
        self.done[move] += 1
        if move == "stop":
            self._stop(host, pause)
        elif move == "stop several":
            for each in several:
                self._stop(each, pause)
        elif move == "again":
            self._signal(host, signal.SIGTERM, host.stopping and host.relay.is_open)
        elif move == "reload":
            self._signal(host, signal.SIGHUP, host.relay.is_open)
        elif move == "change":
            self._change()
        elif move == "store":
            self.store.fault = self.random.choice(STORE_FAULTS)
            loop = asyncio.get_running_loop()
            loop.call_later(self.random.uniform(*AWAY_SECONDS), self._store_back)
        else:
            slow = self.random.random() < 0.7
            host.relay.delay = slow * self.random.uniform(0.0, SLOWEST_SECONDS)

    def _store_back(self):
        self.store.fault = ""

    def _signal(self, host, number, allowed):
        if allowed and host.process.poll() is None:
            host.kill(number)

    def _change(self):
        """Let the operator change a time limit that no caller of ours reaches."""
        self.version += 1
        limit = 3.0 + self.version % 2
        routes = [
            doubles.route(timeout_s=limit),
            doubles.route("/pay/", "unsafe", timeout_s=limit),
            doubles.route("/long/", timeout_s=limit + 6.0, goal_s=3.0),
            doubles.route("/stock/", service=SERVICES[1], timeout_s=limit),
        ]
        config = doubles.config(self.version, *routes, services=SERVICES)
        self.store.put("op/config", config)

    def _stop(self, host, pause):
        if not host.stopping:
            host.stopping = True
            self._spawn(self._restart(host, pause))

    async def _restart(self, host, pause):
        """Send SIGTERM, wait for the end of the process, and start the next one."""
        loop = asyncio.get_running_loop()
        stops = self.book.stops.setdefault(host.ip, [])
        stops.append(loop.time())
        host.kill(signal.SIGTERM)
        killing = loop.call_later(records.GRACE_SECONDS, host.kill)
        while host.process.poll() is None:
            await asyncio.sleep(POLL_SECONDS)
        killing.cancel()
        host.relay.shut()
        if host.process.returncode != 0:
            self.book.faults.append(
                f"{host.ip} ended with {host.process.returncode}, {len(stops)}. stop, "
                f"{loop.time() - stops[-1]:.2f} s after SIGTERM: {host.lines()[-4:]}"
            )
        await asyncio.sleep(pause)
        host.start()
        await self.until_ready(host)
        await host.relay.open()
        host.stopping = False

    async def _beat(self, host):
        while True:
            await host.target.send_heartbeat()
            await asyncio.sleep(BEAT_SECONDS)

    def close(self):
        """End everything that was started."""
        for task in list(self.tasks):
            task.cancel()
        super().close()
