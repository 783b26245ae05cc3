"""Receive HTTP/1.1 requests and send their responses.

The parser is httptools. The connections are protocol classes of asyncio instead of
anyio streams, because the server must notice at once that a caller has disconnected;
protocol classes get a callback for that.
"""

import asyncio
import time

import anyio
import httptools

from lentilrouter.datapath import framing, messages

MAX_HEAD_BYTES = 64 * 1024  # of the URL and the headers of one request
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Budget:
    """Limit on the memory that all bodies in flight take together, in bytes."""

    __slots__ = ("limit", "used")

    def __init__(self, limit):
        self.limit = limit
        self.used = 0

    def add(self, count):
        """Add ``count`` bytes; return whether the total is within the limit.

        The bytes are counted also beyond the limit, and must be released.
        """
        self.used += count
        return self.used <= self.limit

    def release(self, count):
        """Subtract ``count`` bytes that are no longer used."""
        self.used -= count


class ServerProtocol(asyncio.Protocol):
    """One connection: receives requests and sends the responses in order.

    ``waiting`` has the complete requests that are not handled yet. ``wakeup`` is the
    future that the task of the connection waits for while there are none. ``running``
    is true while a request is handled; ``cancellable`` is whether its handler may be
    cancelled, by ``scope``, when the caller disconnects. ``closing`` is true if no more
    requests are read; ``refused_status`` is the HTTP status with which a request was
    refused that could not be read. ``last_used`` is in monotonic seconds.
    """

    __slots__ = (
        "server",
        "transport",
        "parser",
        "message",
        "waiting",
        "running",
        "cancellable",
        "wakeup",
        "scope",
        "closing",
        "refused_status",
        "last_used",
        "head_bytes",
    )

    def __init__(self, server):
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.message = framing.Collector()
        self.waiting = []
        self.running = False
        self.cancellable = True
        self.wakeup = None
        self.scope = None
        self.closing = False
        self.refused_status = None
        self.head_bytes = 0
        self.last_used = time.monotonic()

    def connection_made(self, transport):
        self.transport = transport
        if len(self.server.connections) >= self.server.max_connections:
            self.server.rejected += 1
            transport.write(self.server.busy_response)
            transport.close()
            self.closing = True
            return
        self.server.connections.add(self)
        self.server.tasks.start_soon(self._serve_requests)

    def connection_lost(self, exc):
        self.closing = True
        self.server.connections.discard(self)
        self.server.budget.release(self.message.size)
        self.message.reset()
        for request in self.waiting:
            self.server.budget.release(len(request.body))
        self.waiting.clear()
        if self.running and not self.cancellable:
            return
        if self.scope is not None:
            self.scope.cancel()

    def data_received(self, data):
        if self.closing:
            return
        self.last_used = time.monotonic()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)

    def on_url(self, url):
        self.message.url += url
        self._count_head(len(url))

    def on_header(self, name, value):
        name = name.lower()
        self._count_head(len(name) + len(value))
        if name == b"expect" and value.lower() == b"100-continue":
            self.transport.write(CONTINUE)
        self.message.headers.append((name, value))

    def _count_head(self, count):
        self.head_bytes += count
        if self.head_bytes > MAX_HEAD_BYTES:
            self._refuse(431)

    def on_body(self, body):
        message = self.message
        message.size += len(body)
        within_limit = self.server.budget.add(len(body))
        if message.size > self.server.max_body or not within_limit:
            self._refuse(413)
        if self.refused_status is None:
            message.chunks.append(body)

    def on_message_complete(self):
        message = self.message
        self.head_bytes = 0
        if self.refused_status is None:
            method = self.parser.get_method().decode("latin-1")
            url = message.url.decode("latin-1")
            body = message.body()
            self.waiting.append(messages.Request(method, url, message.headers, body))
            if not self.parser.should_keep_alive():
                self.closing = True
            self._wake()
        else:
            self.server.budget.release(message.size)
        message.reset()

    def _refuse(self, status):
        """Refuse the request being read and read no more requests.

        The response is only sent if no earlier request is being handled; otherwise the
        connection ends without it.
        """
        if self.refused_status is not None:
            return
        self.refused_status = status
        self.closing = True
        self._wake()
        if not self.running and not self.transport.is_closing():
            self.transport.write(
                framing.encode_response(self.server.refuse(status), False)
            )
            self.transport.close()

    async def _serve_requests(self):
        """Handle requests until the connection ends; each connection has one task."""
        with anyio.CancelScope() as self.scope:
            while True:
                if not self.waiting:
                    if self.closing:
                        break
                    self.wakeup = self.server.loop.create_future()
                    await self.wakeup
                    continue
                await self._handle(self.waiting.pop(0))
        self.transport.close()

    async def _handle(self, request):
        """Call the handler and send its response."""
        server = self.server
        server.active += 1
        self.running = True
        self.cancellable = server.cancellable(request)
        try:
            response = await server.handler(request)
            if not self.transport.is_closing():
                if server.draining:
                    self.closing = True
                keep_alive = not self.closing
                data = framing.encode_response(
                    response, keep_alive, request.method == "HEAD"
                )
                self.transport.write(data)
        finally:
            self.running = False
            server.active -= 1
            server.budget.release(len(request.body))
            self.last_used = time.monotonic()

    def _wake(self):
        """Let the task of the connection look for requests again."""
        if self.wakeup is not None and not self.wakeup.done():
            self.wakeup.set_result(None)


class Server:
    """HTTP server that passes complete requests to ``handler``.

    ``refuse`` takes an HTTP status and returns the response to a request that cannot be
    read. ``cancellable`` takes a request and returns whether its handler may be
    cancelled when the caller disconnects. ``rejected`` counts connections beyond
    ``max_connections``, ``active`` the requests being handled.
    """

    def __init__(self, handler, refuse, cancellable, settings):
        self.handler = handler
        self.refuse = refuse
        self.cancellable = cancellable
        self.max_body = settings.calls.max_body_bytes
        self.max_connections = settings.calls.max_connections
        self.budget = Budget(settings.calls.body_memory_bytes)
        self.busy_response = framing.encode_response(refuse(503), False)
        self.connections = set()
        self.rejected = 0
        self.active = 0
        self.draining = False
        self.tasks = None
        self.loop = None
        self.listener = None

    async def start(self, address, port, tasks):
        """Start to listen; run the tasks of connections in the task group ``tasks``."""
        self.tasks = tasks
        self.loop = asyncio.get_running_loop()
        self.listener = await self.loop.create_server(
            lambda: ServerProtocol(self), address, port, backlog=1024
        )

    async def drain(self, seconds):
        """Stop accepting connections, finish requests in flight and close connections.

        Connections are closed after ``seconds`` at the latest, even if requests run.
        """
        self.draining = True
        self.listener.close()
        with anyio.move_on_after(seconds):
            while self.active:
                await anyio.sleep(0.02)
        for connection in list(self.connections):
            connection.transport.close()
