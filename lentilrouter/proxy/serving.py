"""Listen on an address and hand whole requests to a handler, close to the socket."""

import asyncio
import collections

from lentilrouter.proxy import receiving

SWEEP_SECONDS = 0.5  # how often time limits of connections are looked at
BACKLOG = 1024
IDLE_MAX = 1000  # idle connections; a process has some thousands of descriptors


class Server:
    """Listen on one address and hand whole requests to ``handler``.

    ``limits`` returns the limits in force, ``refusal`` the answer for a status,
    ``refused`` is told of each request that was not read whole. With ``confirm`` an
    interim answer tells the sender as soon as the head of its request has arrived.

    ``idle`` holds the connections without a request, the longest idle first. Beyond
    ``IDLE_MAX`` that one is closed: callers that come back on new connections would
    use up the descriptors otherwise.
    """

    def __init__(self, handler, limits, refusal, refused, confirm=False):
        self.handler = handler
        self.limits = limits
        self.refusal = refusal
        self.refused = refused
        self.confirm = confirm
        self.connections = set()
        self.idle = collections.OrderedDict()
        self.active = 0
        self.draining = False
        self.loop = None
        self.listener = None

    def mark_idle(self, connection):
        """Note that a connection has no request now."""
        self.idle[connection] = None
        self.idle.move_to_end(connection)
        if len(self.idle) > IDLE_MAX:
            oldest = next(iter(self.idle))
            self.connections.discard(oldest)
            oldest.close()

    def mark_active(self, connection):
        """Note that a connection has a request, or is closed."""
        self.idle.pop(connection, None)

    @property
    def busy(self):
        """Tell whether requests are under way, or answers not read by their callers."""
        return self.active > 0 or any(each.unsent for each in self.connections)

    @property
    def receiving(self):
        """Tell whether a request has begun to arrive and is not whole yet."""
        return any(each.in_head or each.in_body for each in self.connections)

    def ended(self, task):
        """Count a request as ended; a failure of the code itself must be seen."""
        self.active -= 1
        if not task.cancelled() and task.exception() is not None:
            self.loop.call_exception_handler(
                {"message": "a request failed", "exception": task.exception()}
            )

    async def start(self, address):
        """Start to listen on ``IP:port``."""
        host, _, port = address.rpartition(":")
        self.loop = asyncio.get_running_loop()
        self.listener = await self.loop.create_server(
            lambda: receiving.ServerConnection(self), host, int(port), backlog=BACKLOG
        )

    def sweep(self, now):
        """Enforce time limits; call it every ``SWEEP_SECONDS``."""
        for connection in list(self.connections):
            connection.check(now)

    def give_up(self, answer):
        """Answer each request under way with what ``answer`` returns, and close."""
        for connection in list(self.connections):
            connection.give_up(answer)

    def close(self):
        """Stop to listen and close every connection."""
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.transport.close()
