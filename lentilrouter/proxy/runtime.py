"""Run the proxy beside one target: listeners, views of the store, duties, shutdown."""

import asyncio
import os
import signal
import traceback

import anyio

from lentilrouter.conf import defaults, loader
from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.proxy import (
    dispatching,
    forwarding,
    liveness,
    peering,
    services,
    serving,
    sheets,
)

TICK_SECONDS = 0.25
IDLE_POLL_SECONDS = 0.02
LAST_BYTES_SECONDS = 0.1  # for the answers given as the process ends
READY_OUT_SECONDS = 2.3  # two questions a second apart without a 200, and the way
HAND_OVER_SECONDS = 0.8  # before that, other proxies hear that calls go elsewhere
LAST_CALLS_SECONDS = 3.0  # after SIGTERM; a later call might not end in time
EXIT_MARGIN_SECONDS = 0.5  # of the grace, for closing connections
PEER_LIMITS = sheets.Limits(header_bytes=1024 * 1024, idle_seconds=60.0)
# A heartbeat, question or request for metrics takes some hundred bytes.
SMALL_LIMITS = sheets.Limits(body_bytes=64 * 1024, idle_seconds=60.0)


class Proxy:
    """Run one proxy until it is told to stop."""

    def __init__(self, settings, platform, settings_path=""):
        self.settings = settings
        self.settings_path = settings_path
        self.services = services.Services(settings, platform)
        self.stopping = anyio.Event()

        def limits():
            sheet = self.services.holder.sheet
            return sheet.limits if sheet is not None else sheets.Limits()

        def server(handler, limits=lambda: SMALL_LIMITS, confirm=False):
            return serving.Server(
                handler, limits, _unread, self.services.counters.not_read, confirm
            )

        self.callers = server(self.services.forwarder.handle, limits)
        answerer = peering.PeerHandler(self.services)
        self.peers = server(answerer.handle, lambda: PEER_LIMITS, confirm=True)
        self.readiness = server(self._answer_ready)
        self.heartbeats = server(self._answer_beat)
        self.metrics = server(self._answer_metrics)

    @property
    def servers(self):
        """Return every server of the proxy."""
        return (
            self.callers,
            self.peers,
            self.readiness,
            self.heartbeats,
            self.metrics,
        )

    async def run(self):
        """Start, serve until SIGTERM, then finish what is in flight."""
        services, proxy = self.services, self.settings.proxy
        services.log.event("start", service=self.settings.target.service)
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._failed)
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.callers.start(proxy.callers)
        await self.peers.start(f"{proxy.address}:{proxy.peer_port}")
        await self.readiness.start(proxy.ready)
        await self.heartbeats.start(proxy.heartbeats)
        await self.metrics.start(f"{proxy.address}:{proxy.metrics_port}")
        book = services.registry
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(services.refresher.follow)
            tasks.start_soon(book.follow)
            tasks.start_soon(book.keep_entry)
            tasks.start_soon(self._tick)
            await self.stopping.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # The loop would hand them back to the system, and one more kills.
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        for each in self.servers:
            each.close()
        services.log.event("crossed", bytes=services.counters.crossed_by_route())
        services.log.event("stop", active=self.callers.active + self.peers.active)
        services.log.flush()

    def _failed(self, loop, context):
        """Log a failure of the code itself; the request it belonged to is lost."""
        error = context.get("exception")
        trace = traceback.format_exception(error)[-3:] if error else []
        self.services.log.event(
            "code-failed", message=context["message"], error=repr(error), trace=trace
        )

    async def _tick(self):
        services = self.services
        swept = 0.0
        while True:
            now = services.clock()
            services.log.flush()
            services.hosting.check_heartbeats()
            if now - swept >= serving.SWEEP_SECONDS:
                swept = now
                services.steward.tick()
                services.target_client.close_idle()
                services.peers.close_idle()
                services.crashes.expire(now)
                services.forwarder.balancer.forget(services.directory.by_host)
                for each in self.servers:
                    each.sweep(now)
            await anyio.sleep(TICK_SECONDS)

    async def _drain(self):
        """Take no more work, wait until what is in flight has ended."""
        services = self.services
        began = services.clock()
        services.log.event("stopping", active=self.callers.active + self.peers.active)
        self.callers.draining = True
        # Who asks this proxy for the sheet asks another one from now on.
        services.state.close()
        grace = self.settings.promises.grace_seconds
        end = began + max(0.0, grace - EXIT_MARGIN_SECONDS)
        out = min(READY_OUT_SECONDS, grace / 2)
        # The target may live on beside the next process: it works until shortly
        # before the end, so that its slots are missing as briefly as possible.
        await anyio.sleep(max(0.0, out - HAND_OVER_SECONDS))
        services.hosting.stop()
        # Who still sends here opens connections, and learns from a refused one that
        # the process has ended; on a kept one a call would count as possibly run.
        self.peers.draining = True
        await anyio.sleep(min(out, HAND_OVER_SECONDS))
        self.callers.listener.close()
        await self._idle(min(began + LAST_CALLS_SECONDS, end), receiving=True)
        self.callers.handler = self._refuse_late
        # What waits for a slot here has time to go elsewhere; what has one goes on.
        services.hosting.gate.close(outcomes.Reason.DRAINING)
        await self._idle(end)
        self.callers.abort_requests(self._give_up)
        self.callers.close()
        self.peers.close()
        await self._idle(max(end, services.clock() + LAST_BYTES_SECONDS))

    async def _idle(self, until, receiving=False):
        """Wait until all answers have left, at the longest until a time.

        With ``receiving`` also until each request that has begun to arrive is whole.
        """
        servers = (self.callers, self.peers)
        while self.services.clock() < until:
            busy = any(each.busy for each in servers)
            if not busy and not (receiving and any(each.receiving for each in servers)):
                return
            await anyio.sleep(IDLE_POLL_SECONDS)

    def _give_up(self, request):
        """Answer a call that has not ended when this process must."""
        services = self.services
        id = request.header(services.dialect.REQUEST_ID) or ""
        seconds = round(services.clock() - request.arrived, 4)
        status = dispatching.DEADLINE_STATUS
        services.log.request(
            "failed", id, status=status, detail="process ends", seconds=seconds
        )
        return messages.Response(status, [], b"the call may have run\n")

    async def _refuse_late(self, request):
        """Refuse a call that might not end before this process does."""
        services = self.services
        seconds = services.random.uniform(*forwarding.RETRY_AFTER_UNKNOWN_SECONDS)
        id = request.header(services.dialect.REQUEST_ID) or ""
        services.counters.refused("stopping")
        services.log.request("refused", id, reason="stopping", retry_after=seconds)
        headers = [(b"retry-after", b"%.3f" % seconds)]
        return messages.Response(503, headers, b"not run\n")

    def reload(self):
        """Read the settings again; what cannot change while running is said."""
        loaded = loader.load(self.settings_path, defaults.ProxySettings)
        if isinstance(loaded, loader.Rejected):
            problems = [str(problem) for problem in loaded.problems]
            self.services.log.event("reload-refused", problems=problems)
            return
        fresh = loaded.settings
        fixed = fresh.proxy != self.settings.proxy or fresh.target != (
            self.settings.target
        )
        self.services.log.event("reload", needs_restart=fixed)
        if not fixed:
            self.settings = self.services.settings = fresh
            self.services.hosting.liveness.settings = fresh

    async def _answer_ready(self, request):
        services = self.services
        ready = services.holder.sheet is not None and not self.stopping.is_set()
        if request.path != services.dialect.READY_PATH:
            return messages.Response(404, [], b"")
        return messages.Response(200 if ready else 503, [], b"")

    async def _answer_beat(self, request):
        services = self.services
        said = services.heartbeats.read(request)
        if isinstance(said, liveness.Heartbeat):
            services.hosting.handle_heartbeat(said)
        elif isinstance(said, liveness.Leave):
            services.hosting.handle_leave(said)
        else:
            services.log.request("beat-refused", "", reason=said.reason)
            return messages.Response(400, messages.JSON_TYPE, b"{}")
        return messages.Response(200, messages.JSON_TYPE, b"{}")

    async def _answer_metrics(self, request):
        if request.path == "/metrics":
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            return messages.Response(200, headers, self.services.counters.render())
        return messages.Response(404, [], b"")


def _unread(status):
    """Return the answer to a request that could not be read whole."""
    return messages.Response(status, [], b"the request was not read\n")


def run(settings, platform, settings_path=""):
    """Run a proxy until SIGTERM."""
    anyio.run(
        Proxy(settings, platform, settings_path).run,
        backend_options={"use_uvloop": True},
    )
    # All is answered and logged. Taking the interpreter apart would use up what is
    # left of the grace time, and delay the next process.
    os._exit(0)
