"""Run one node: start its listeners and loops, and drain at the end."""

import signal

import anyio
import eliot
import hypercorn.asyncio
import hypercorn.config

from lentilrouter.core import clock as clocks
from lentilrouter.core import outcomes
from lentilrouter.datapath import calls, hosting, serving
from lentilrouter.distribution import duties, feeding
from lentilrouter.membership import exchange, member
from lentilrouter.moves import stewarding
from lentilrouter.node import control, services, starting

HOUSEKEEPING_SECONDS = 0.5  # between two removals of expired data
ANNOUNCE_SECONDS = 0.3  # for the exchanges that announce a drain or a leave
CONTROL_GRACE_SECONDS = 0.5  # for the control port's last requests
REASON_OF_STATUS = {
    400: outcomes.Reason.BAD_REQUEST,
    413: outcomes.Reason.TOO_LARGE,
    431: outcomes.Reason.TOO_LARGE,
    503: outcomes.Reason.OVERLOADED,
}


class Node:
    """One node, with all its listeners.

    ``callers`` and ``forwarders`` are the servers for calls of callers and for calls
    that other nodes forward. Without ``store``, the settings decide on it.
    """

    def __init__(self, settings, clock=None, seed=None, store=None):
        self.services = services.Services(
            settings, clock or clocks.SystemClock(), seed, store
        )
        self.settings = settings
        self.callers = serving.Server(
            self.serve_caller, refuse_unread, self.may_cancel, settings
        )
        self.forwarders = serving.Server(
            self.serve_peer, refuse_unread, _peer_may_cancel, settings
        )

    async def serve_caller(self, request):
        """Handle a caller's request and return the response."""
        parts = self.services
        call = calls.Call(request, parts.view, parts.clock.monotonic())
        outcome = await parts.handle(call)
        return calls.to_response(outcome, call.view.sheet.revision)

    def may_cancel(self, request):
        """Return whether a call may be cancelled when its caller disconnects."""
        route = self.services.view.matcher.match(request.method, request.path)
        return route is None or route.idempotent

    async def serve_peer(self, request):
        """Run a call that another node forwards and return the response."""
        parts = self.services
        try:
            target, job = hosting.job_from_peer(request, parts.clock.monotonic())
        except ValueError as error:
            outcome = outcomes.NotRun(outcomes.Reason.BAD_REQUEST, str(error))
        else:
            outcome = await parts.hosting.run(target, job)
        return calls.to_peer(outcome, parts.view.sheet.revision)

    async def run(self, stop=None):
        """Run until ``stop`` (an ``anyio.Event``) is set, then drain and return."""
        stop = stop or anyio.Event()
        async with anyio.create_task_group() as tasks:
            self.services.tasks = tasks
            stop_control, control_stopped = anyio.Event(), anyio.Event()
            tasks.start_soon(self._serve_control, stop_control, control_stopped)
            for loop in self._loops():
                tasks.start_soon(loop)
            await self._listen(tasks)
            eliot.log_message("lentilrouter:node:started", node=self.settings.node.id)
            await stop.wait()
            await self._drain()
            stop_control.set()
            await control_stopped.wait()
            tasks.cancel_scope.cancel()
        await self._close()
        eliot.log_message("lentilrouter:node:stopped", node=self.settings.node.id)

    async def _listen(self, tasks):
        node = self.settings.node
        await self.callers.start(node.address, node.call_port, tasks)
        await self.forwarders.start(node.address, node.peer_port, tasks)

    def _loops(self):
        """Return the coroutine functions that run as long as the node."""
        parts = self.services
        domain = self.settings.node.domain
        loops = [
            starting.Starter(parts).run,
            parts.exchanger.run,
            stewarding.Reporter(parts).run,
            self._housekeep,
        ]
        for number in range(2):
            delay = number * feeding.SECOND_FEEDER_DELAY_SECONDS
            feeder = feeding.Feeder(parts, delay)
            name = f"feeder-{number}"
            loops.append(duties.Duty(parts, name, feeder.work, domain).run)
        for shard in range(stewarding.SHARDS):
            steward = stewarding.Steward(parts, shard)
            name = stewarding.duty_name(shard)
            loops.append(duties.Duty(parts, name, steward.work).run)
        return loops

    async def _housekeep(self):
        parts = self.services
        while True:
            await anyio.sleep(HOUSEKEEPING_SECONDS)
            now = parts.clock.monotonic()
            parts.hosting.expire()
            parts.quarantine.expire(now)
            parts.upstream.close_idle()
            parts.peers.close_idle()

    async def _serve_control(self, stop, stopped):
        """Serve until the event ``stop`` is set, then set ``stopped``.

        Hypercorn must not be cancelled while it serves.
        """
        node = self.settings.node
        config = hypercorn.config.Config()
        config.bind = [f"{node.address}:{node.control_port}"]
        config.loglevel = "CRITICAL"
        config.include_server_header = False
        config.include_date_header = False
        config.graceful_timeout = CONTROL_GRACE_SECONDS
        app = control.Control(self.services).app()
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
        stopped.set()

    async def _drain(self):
        """Announce the drain, finish the calls in flight, then announce the leave."""
        parts = self.services
        eliot.log_message("lentilrouter:node:draining", node=self.settings.node.id)
        parts.draining = True
        parts.hosting.drain_all()
        await self._announce_state(parts)
        async with anyio.create_task_group() as group:
            seconds = self.settings.node.drain_seconds
            group.start_soon(self.callers.drain, seconds)
            group.start_soon(self.forwarders.drain, seconds)
        parts.table.update_self(parts.clock.monotonic(), state=member.State.LEFT)
        await self._announce_state(parts)

    async def _announce_state(self, parts):
        """Exchange with a few nodes, so that they learn the new state of this one."""
        helpers = parts.exchanger.prober.helpers(parts.table.me, exchange.HELPERS + 1)
        with anyio.move_on_after(ANNOUNCE_SECONDS):
            async with anyio.create_task_group() as group:
                for entry in helpers:
                    group.start_soon(parts.exchanger.exchange, entry)

    async def _close(self):
        self.services.upstream.close()
        self.services.peers.close()
        await self.services.store.close()


def refuse_unread(status):
    """Return the response to a request that could not be read completely.

    ``status`` is the one that the HTTP server decided on.
    """
    reason = REASON_OF_STATUS.get(status, outcomes.Reason.BAD_REQUEST)
    response = calls.refusal(outcomes.NotRun(reason, "the request was not read"))
    response.status = status
    return response


def _peer_may_cancel(request):
    """Return whether a forwarded call may be cancelled when its node disconnects."""
    return request.header(calls.IDEMPOTENT_HEADER) == "1"


async def run_until_signal(settings):
    """Run a node until the process gets SIGTERM or SIGINT."""
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def watch_signals():
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    stop.set()
                    return

        tasks.start_soon(watch_signals)
        await Node(settings).run(stop)
        tasks.cancel_scope.cancel()
