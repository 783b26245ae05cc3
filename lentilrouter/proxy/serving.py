"""Serve HTTP/1.1 on an address: accept connections and pass requests to a handler."""

import asyncio
import collections

from lentilrouter.buffering import account as accounts
from lentilrouter.proxy import receiving

SWEEP_SECONDS = 0.5  # interval between checks of the connections' time limits
BACKLOG = 1024  # connections that may wait to be accepted
IDLE_MAX = 1000  # connections; a process has a few thousand file descriptors


class Server:
    """HTTP server that listens on one address and passes requests to ``handler``.

    The handler is a coroutine function that gets a complete request and returns its
    response.

    ``limits`` returns the current ``sheets.Limits``. ``make_refusal`` returns the
    response to a request that could not be read completely, given a status, and
    ``on_refused`` is called with that status. If ``confirm`` is true, the server sends
    an interim 102 response as soon as the head of a request has arrived.

    ``idle`` has the connections without a request, the longest idle one first. Beyond
    ``IDLE_MAX`` that one is closed: clients that always come back on new connections
    would otherwise use up the file descriptors. ``active`` counts the requests in
    flight. Once ``draining`` is true, connections are closed after their responses.

    ``account`` counts the memory of the requests; servers may share one. There are at
    most ``connection_limit`` connections.
    """

    def __init__(
        self, handler, limits, make_refusal, on_refused, confirm=False, account=None
    ):
        self.handler = handler
        self.limits = limits
        self.make_refusal = make_refusal
        self.on_refused = on_refused
        self.confirm = confirm
        self.account = accounts.Account() if account is None else account
        self.connection_limit = accounts.UNLIMITED
        self.connections = set()
        self.idle = collections.OrderedDict()
        self.active = 0
        self.draining = False
        self.loop = None
        self.listener = None

    def admit(self, connection):
        """Add a new connection, if needed in place of an idle or unfinished one."""
        self.connections.add(connection)
        if len(self.connections) > self.connection_limit:
            self.account.refusals["connections"] += 1
            replaced = next(iter(self.idle), None) or self._slowest(connection)
            self.connections.discard(replaced)
            self.mark_active(replaced)
            replaced.transport.abort()
            if replaced is connection:
                return
        self.mark_idle(connection)

    def _slowest(self, new):
        """Return the connection whose request has not progressed for longest.

        Return the new one if all others wait for responses.
        """
        unfinished = (
            each
            for each in self.connections
            if (each.in_head or each.in_body) and not each.pending
        )
        return min(unfinished, key=lambda each: each.last_received_at, default=new)

    def mark_idle(self, connection):
        """Record that a connection has no request."""
        self.idle[connection] = None
        self.idle.move_to_end(connection)
        if len(self.idle) > IDLE_MAX:
            oldest = next(iter(self.idle))
            self.connections.discard(oldest)
            oldest.close()

    def mark_active(self, connection):
        """Record that a connection has a request or is closed."""
        self.idle.pop(connection, None)

    @property
    def busy(self):
        """Return whether requests are in flight or responses are not yet sent."""
        return self.active > 0 or any(each.unsent for each in self.connections)

    @property
    def receiving(self):
        """Return whether a request has begun to arrive but is not complete."""
        return any(each.in_head or each.in_body for each in self.connections)

    def request_done(self, task):
        """Count a request as ended and report an unexpected exception to the loop."""
        self.active -= 1
        if not task.cancelled() and task.exception() is not None:
            self.loop.call_exception_handler(
                {
                    "message": "unhandled exception in a request handler",
                    "exception": task.exception(),
                }
            )

    async def start(self, address):
        """Start listening on ``IP:port``; raise ``OSError`` if that is impossible."""
        host, _, port = address.rpartition(":")
        self.loop = asyncio.get_running_loop()
        self.listener = await self.loop.create_server(
            lambda: receiving.ServerConnection(self), host, int(port), backlog=BACKLOG
        )

    def sweep(self, now):
        """Enforce the time limits; call this every ``SWEEP_SECONDS``."""
        for connection in list(self.connections):
            connection.check_time_limits(now)

    def abort_requests(self, make_response):
        """Cancel all requests in flight, respond to them, and close the connections.

        ``make_response`` returns the response to a given request.
        """
        for connection in list(self.connections):
            connection.abort_requests(make_response)

    def close(self):
        """Stop listening and close every connection."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.transport.close()
