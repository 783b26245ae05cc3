"""Run the proxy of one target: its servers, background tasks and shutdown."""

import asyncio
import dataclasses
import os
import signal
import traceback

import uvloop

from lentilrouter.buffering import limits, memory
from lentilrouter.conf import defaults, loader
from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.explaining import answering
from lentilrouter.explaining import messages as explaining
from lentilrouter.proxy import (
    dispatching,
    forwarding,
    liveness,
    peering,
    response_limits,
    services,
    serving,
    sheets,
)

TICK_SECONDS = 0.25  # between the periodic checks
IDLE_POLL_SECONDS = 0.02  # between checks whether all responses are sent
FLUSH_SECONDS = 0.1  # time to send the responses given as the process ends
# Time until callers no longer send calls to a stopping proxy: two readiness checks, a
# second apart, that don't get a 200, and the transit time.
DEREGISTRATION_SECONDS = 2.3
# Last part of that time, in which other proxies learn to send their calls elsewhere.
HAND_OVER_SECONDS = 0.8
# Time after SIGTERM in which calls are accepted; a later one might not end in time.
LAST_CALLS_SECONDS = 3.0
EXIT_MARGIN_SECONDS = 0.5  # end of the grace time, reserved for closing connections
PEER_LIMITS = sheets.Limits(header_bytes=1024 * 1024, idle_seconds=60.0)
# A heartbeat, readiness check or request for metrics has some hundred bytes.
SMALL_LIMITS = sheets.Limits(body_bytes=64 * 1024, idle_seconds=60.0)


class Proxy:
    """Run one proxy until SIGTERM or SIGINT.

    ``platform`` provides the parts that depend on the platform. ``settings_path`` is
    the file that is read again on SIGHUP.
    """

    def __init__(self, settings, platform, settings_path=""):
        self.settings = settings
        self.settings_path = settings_path
        self.services = services.Services(settings, platform)
        self.stopping = asyncio.Event()

        def sheet_limits():
            sheet = self.services.holder.sheet
            return sheet.limits if sheet is not None else sheets.Limits()

        account = self.services.account

        def server(
            handler,
            limits=lambda: SMALL_LIMITS,
            confirm=False,
            account=None,
            refuse=_refuse_unread,
        ):
            return serving.Server(
                handler,
                limits,
                refuse,
                self.services.counters.count_unread,
                confirm,
                account,
            )

        self.callers = server(
            self._handle_call, sheet_limits, account=account, refuse=self._refuse_call
        )
        peer_handler = peering.PeerHandler(self.services)
        self.peers = server(
            self._contained(peer_handler.handle),
            lambda: PEER_LIMITS,
            confirm=True,
            account=account,
            refuse=peer_handler.refuse_unread,
        )
        self.readiness = server(self._handle_readiness)
        self.heartbeats = server(self._handle_heartbeat)
        self.metrics = server(self._contained(self._handle_metrics))

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
        """Start, serve until SIGTERM or SIGINT, then finish the calls in flight."""
        services, proxy = self.services, self.settings.proxy
        services.log.event("start", service=self.settings.target.service)
        self._limit_memory()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_exception)
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.callers.start(proxy.callers)
        await self.peers.start(f"{proxy.address}:{proxy.peer_port}")
        await self.readiness.start(proxy.ready)
        await self.heartbeats.start(proxy.heartbeats)
        await self.metrics.start(f"{proxy.address}:{proxy.metrics_port}")
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(services.containment.keep_running(name, run))
                for name, run in self._background_tasks()
            ]
            await self.stopping.wait()
            await self._drain()
            for task in tasks:
                task.cancel()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # The loop would restore the default action at its end, and another signal
            # would then kill the process.
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        for server in self.servers:
            server.close()
        services.log.event(
            "crossed",
            bytes=services.counters.cross_domain_bytes_by_route(),
            causes=services.counters.crossing_bytes_by_cause(),
        )
        calls = services.counters.store_calls_by_kind()
        services.log.event("store-calls", calls=calls)
        services.log.event("stop", active=self.callers.active + self.peers.active)
        services.log.flush()

    def _background_tasks(self):
        """Return the names and the coroutine functions of all background tasks."""
        services = self.services
        return (
            ("refresher", services.refresher.follow),
            ("prover", services.prover.run),
            ("registry", services.registry.follow),
            ("entry", services.registry.keep_entry),
            ("pruner", services.pruner.run),
            ("crash records", services.crash_keeper.run),
            ("quotas", services.quotas.run),
            ("tick", self._tick),
        )

    def _limit_memory(self):
        """Limit requests and connections to what the host has, and log the limits."""
        ceilings = limits.derive(self.settings.proxy, memory.resident_bytes())
        self.services.account.apply(ceilings)
        self.callers.connection_limit = ceilings.caller_connections
        self.peers.connection_limit = ceilings.peer_connections
        response_limits.BUFFERED.limit = ceilings.response_bytes
        self.services.log.event("memory-limits", **dataclasses.asdict(ceilings))

    def _refuse_call(self, status):
        """Return the response to a call that could not be read completely.

        A 503 states that the call has not run, and when to retry.
        """
        if status != 503:
            return _refuse_unread(status)
        services = self.services
        seconds = services.random.uniform(*forwarding.RETRY_AFTER_UNKNOWN_SECONDS)
        services.counters.count_refusal("memory")
        services.log.request("refused", "", reason="memory", retry_after=seconds)
        headers = [(b"retry-after", b"%.3f" % seconds)]
        return messages.Response(status, headers, b"not run\n")

    def _log_exception(self, loop, context):
        """Log an unhandled exception; its request, if any, gets no response."""
        error = context.get("exception")
        trace = traceback.format_exception(error)[-3:] if error else []
        self.services.log.event(
            "code-failed", message=context["message"], error=repr(error), trace=trace
        )

    async def _handle_call(self, request):
        """Return the response to a caller's request, also after an unexpected error.

        The call may have run then, so its response promises nothing.
        """
        try:
            return await self.services.forwarder.handle(request)
        except Exception as error:
            self.services.containment.report("call", error)
            return messages.Response(502, [], b"the call may have run\n")

    def _contained(self, handler):
        """Return a handler whose unexpected errors get a response with status 500."""

        async def handle(request):
            try:
                return await handler(request)
            except Exception as error:
                self.services.containment.report("peer request", error)
                return messages.Response(500, [], b"")

        return handle

    async def _tick(self):
        """Run the periodic checks, forever."""
        services = self.services
        swept_at = 0.0
        while True:
            now = services.clock()
            services.stalls.tick(now)
            services.log.flush()
            services.eligibility.tick()
            services.hosting.check_heartbeats()
            if now - swept_at >= serving.SWEEP_SECONDS:
                swept_at = now
                services.steward.tick()
                services.target_client.close_idle()
                services.peers.close_idle()
                services.crashes.expire(now)
                services.forwarder.balancer.forget(services.directory.by_host)
                for server in self.servers:
                    server.sweep(now)
            await asyncio.sleep(TICK_SECONDS)

    async def _drain(self):
        """Hand over to other proxies, then finish the calls in flight.

        New calls are accepted for at most ``LAST_CALLS_SECONDS``, then refused. Calls
        that are still in flight shortly before the end of the grace time are aborted.
        """
        services = self.services
        began = services.clock()
        services.log.event("stopping", active=self.callers.active + self.peers.active)
        self.callers.draining = True
        # Proxies that request the operator's state here turn to another proxy now.
        services.state.stop_responding()
        grace = self.settings.promises.grace_seconds
        end = began + max(0.0, grace - EXIT_MARGIN_SECONDS)
        services.hosting.ends_at = end
        deregistration_seconds = min(DEREGISTRATION_SECONDS, grace / 2)
        # The target may keep running for the next process of this proxy. It takes calls
        # until shortly before the end, so that its slots are unavailable only briefly.
        await asyncio.sleep(max(0.0, deregistration_seconds - HAND_OVER_SECONDS))
        services.hosting.stop()
        # From now on a connection closes after its response. A proxy that still sends
        # calls here then opens new connections; one that is refused shows that the call
        # has not run. On a kept connection the call would count as possibly run.
        self.peers.draining = True
        await asyncio.sleep(min(deregistration_seconds, HAND_OVER_SECONDS))
        self.callers.listener.close()
        await self._wait_idle(min(began + LAST_CALLS_SECONDS, end), receiving=True)
        self.callers.handler = self._refuse_late
        # Calls that wait for a slot have time to go to another target; calls that have
        # a slot continue.
        services.hosting.gate.close(outcomes.Reason.DRAINING)
        await self._wait_idle(end)
        self.callers.abort_requests(self._respond_at_exit)
        self.callers.close()
        self.peers.close()
        await self._wait_idle(max(end, services.clock() + FLUSH_SECONDS))

    async def _wait_idle(self, until, receiving=False):
        """Wait until all responses are sent, but at most until the time ``until``.

        With ``receiving``, wait also until each request that has begun to arrive is
        complete.
        """
        servers = (self.callers, self.peers)
        while self.services.clock() < until:
            busy = any(server.busy for server in servers)
            if not busy and not (
                receiving and any(server.receiving for server in servers)
            ):
                return
            await asyncio.sleep(IDLE_POLL_SECONDS)

    def _respond_at_exit(self, request):
        """Return the response to a call that is in flight when the process ends."""
        services = self.services
        id = request.header(services.dialect.REQUEST_ID) or ""
        seconds = round(services.clock() - request.arrived, 4)
        status = dispatching.DEADLINE_STATUS
        services.log.request(
            "failed", id, status=status, detail="process ends", seconds=seconds
        )
        return messages.Response(status, [], b"the call may have run\n")

    async def _refuse_late(self, request):
        """Return the refusal of a call that might not end before the process does."""
        services = self.services
        seconds = services.random.uniform(*forwarding.RETRY_AFTER_UNKNOWN_SECONDS)
        id = request.header(services.dialect.REQUEST_ID) or ""
        services.counters.count_refusal("stopping")
        services.log.request("refused", id, reason="stopping", retry_after=seconds)
        headers = [(b"retry-after", b"%.3f" % seconds)]
        return messages.Response(503, headers, b"not run\n")

    def reload(self):
        """Read the settings file again, and apply it unless it needs a restart.

        Invalid settings, and changes of the sections ``proxy`` or ``target``, which
        need a restart, are logged, and nothing is applied.
        """
        loaded = loader.load(self.settings_path, defaults.ProxySettings)
        if isinstance(loaded, loader.Rejected):
            problems = [str(problem) for problem in loaded.problems]
            self.services.log.event("reload-refused", problems=problems)
            return
        fresh = loaded.settings
        needs_restart = fresh.proxy != self.settings.proxy or fresh.target != (
            self.settings.target
        )
        self.services.log.event("reload", needs_restart=needs_restart)
        if not needs_restart:
            self.settings = self.services.settings = fresh
            self.services.hosting.liveness.settings = fresh

    async def _handle_readiness(self, request):
        """Return 200 while there is a sheet and the proxy isn't stopping, else 503.

        Return 404 if the path isn't that of readiness checks.
        """
        services = self.services
        ready = services.holder.sheet is not None and not self.stopping.is_set()
        if request.path != services.dialect.READY_PATH:
            return messages.Response(404, [], b"")
        return messages.Response(200 if ready else 503, [], b"")

    async def _handle_heartbeat(self, request):
        """Handle a heartbeat or leave of the local target; return 400 if unreadable."""
        services = self.services
        message = services.heartbeats.read(request)
        if isinstance(message, liveness.Heartbeat):
            services.hosting.handle_heartbeat(message)
        elif isinstance(message, liveness.Leave):
            services.hosting.handle_leave(message)
        else:
            services.log.request("beat-refused", "", reason=message.reason)
            return messages.Response(400, messages.JSON_TYPE, b"{}")
        return messages.Response(200, messages.JSON_TYPE, b"{}")

    async def _handle_metrics(self, request):
        """Return all metrics in the text format of Prometheus, or explain a route.

        Return 404 for other paths.
        """
        if request.path == explaining.PATH:
            return answering.respond(self.services, request.target)
        if request.path == "/metrics":
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            return messages.Response(200, headers, self.services.counters.render())
        return messages.Response(404, [], b"")


def _refuse_unread(status):
    """Return the response to a request that could not be read completely."""
    return messages.Response(status, [], b"the request was not read\n")


def run(settings, platform, settings_path=""):
    """Run a proxy until SIGTERM or SIGINT, then exit the process with status 0."""
    proxy = Proxy(settings, platform, settings_path)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(proxy.run())
    # All responses and log lines are written. Finalizing the interpreter would use the
    # rest of the grace time and delay the next process.
    os._exit(0)
