"""Receive the requests of one connection and answer them in order.

Requests that arrive behind one another run side by side; their answers leave in the
order of the requests. When the caller goes away, what still runs for it is cancelled.
"""

import asyncio
import collections
import dataclasses
import time

import httptools

from lentilrouter.datapath import framing, messages

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
PIPELINE_MAX = 32  # requests of one connection at a time; more wait unread
BODY_SECONDS = 30.0  # longest pause within a body
FIRST_LINE_BYTES = 1024  # what a head may take beyond the bytes that are limited
FRAMING_PER_BYTE = 8  # a chunk of one byte takes five more, and may be written longer


class Incoming(messages.Request):
    """Add to a request when its head came, and from where.

    ``arrived`` is in monotonic seconds; ``client_ip`` the caller's IP number.
    """

    __slots__ = ("arrived", "client_ip", "keep_alive")


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """Hold one request of a connection until its answer is written.

    ``task`` works on it, and is ``None`` once there is a ``response``. A request that
    could not be read whole is ``None``.
    """

    request: Incoming | None = None
    task: asyncio.Task | None = None
    response: messages.Response | None = None

    def encode(self, keep_alive):
        """Return the bytes of the answer."""
        head_only = self.request is not None and self.request.method == "HEAD"
        return framing.encode_response(self.response, keep_alive, head_only)


class ServerConnection(asyncio.Protocol):
    """Receive the requests of one connection."""

    __slots__ = (
        "server",
        "transport",
        "parser",
        "message",
        "head_bytes",
        "overhead",
        "head_since",
        "in_head",
        "in_body",
        "last_received_at",
        "pending",
        "broken",
        "closing",
        "paused",
        "client_ip",
        "arrived",
    )

    def __init__(self, server):
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.message = framing.Collector()
        self.head_bytes = 0
        self.overhead = 0
        self.in_head = False
        self.in_body = False
        self.head_since = self.last_received_at = self.arrived = time.monotonic()
        self.pending = collections.deque()
        self.broken = False
        self.closing = False
        self.paused = False
        self.client_ip = ""

    def connection_made(self, transport):
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self.client_ip = peer[0] if peer else ""
        self.server.connections.add(self)
        self.server.mark_idle(self)

    def connection_lost(self, error):
        self.closing = True
        self.server.connections.discard(self)
        self.server.mark_active(self)
        self.message.reset()
        for entry in self.pending:
            if entry.task is not None:
                entry.task.cancel()
        self.pending.clear()

    def data_received(self, data):
        self.last_received_at = time.monotonic()
        for piece in framing.pieces(data):
            # Behind a request that closes the connection nothing is read any more,
            # also while earlier requests are at work.
            if self.closing or self.broken:
                return
            self._parse(piece)

    def _parse(self, piece):
        self.overhead += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)
            return
        # The parser tells of a name or value only once it is whole, of framing never.
        allowed = self.server.limits().header_bytes + FIRST_LINE_BYTES
        if self.overhead > allowed + FRAMING_PER_BYTE * self.message.size:
            self._refuse(413 if self.in_body else 431)

    def on_message_begin(self):
        self.server.mark_active(self)
        self.in_head = True
        self.head_since = self.last_received_at

    def on_url(self, url):
        self.message.url += url
        self._count_head(len(url))

    def on_header(self, name, value):
        if self.broken:
            return
        self._count_head(len(name) + len(value) + 4)
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self.transport.write(CONTINUE)
        elif name == b"content-length":
            limit = self.server.limits().body_bytes
            if value.isdigit() and int(value) > limit:
                self._refuse(413)
        self.message.headers.append((name, value))

    def _count_head(self, count):
        self.head_bytes += count
        if self.head_bytes > self.server.limits().header_bytes:
            self._refuse(431)

    def on_headers_complete(self):
        self.in_head = False
        self.in_body = True
        self.arrived = self.last_received_at
        if self.server.confirm and not self.broken:
            # A large body may take long on a slow link; that is not silence.
            self.transport.write(PROCESSING)

    def on_body(self, body):
        if self.broken:
            return
        if self.message.size + len(body) > self.server.limits().body_bytes:
            self._refuse(413)
            return
        self.overhead -= len(body)
        self.message.add(body)

    def on_message_complete(self):
        self.head_bytes = 0
        self.overhead = 0
        self.in_body = False
        message = self.message
        if self.broken:
            message.reset()
            return
        method = self.parser.get_method().decode("latin-1")
        url = message.url.decode("latin-1")
        request = Incoming(method, url, message.headers, message.body())
        request.arrived = self.arrived
        request.client_ip = self.client_ip
        request.keep_alive = self.parser.should_keep_alive()
        message.reset()
        self.server.active += 1
        entry = Entry(request)
        self.pending.append(entry)
        entry.task = self.server.loop.create_task(self._answer(request, entry))
        entry.task.add_done_callback(self.server.ended)
        if not request.keep_alive:
            self.broken = True
        if len(self.pending) >= PIPELINE_MAX and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    async def _answer(self, request, entry):
        response = await self.server.handler(request)
        entry.response = response
        entry.task = None
        self._flush()

    def _flush(self):
        """Write the answers that are ready, in the order of the requests.

        Only the last one may close the connection: callers drop what comes behind it
        and send those requests again.
        """
        pending, ready = self.pending, []
        while pending and pending[0].response is not None:
            entry = pending.popleft()
            if not pending and self.server.draining:
                self.broken = True
            ready.append(entry.encode(bool(pending) or not self.broken))
        if ready and not self.transport.is_closing():
            self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        self.last_received_at = time.monotonic()
        if self.paused and len(pending) < PIPELINE_MAX // 2:
            self.paused = False
            self.transport.resume_reading()
        if self.broken and not pending:
            self.close()
        elif not pending and not self.in_head and not self.in_body:
            self.server.mark_idle(self)

    def close(self):
        """Close the connection once what was written has left."""
        self.closing = True
        self.server.mark_active(self)
        self.transport.close()

    @property
    def unsent(self):
        """Tell whether an answer has not left whole."""
        return self.transport.get_write_buffer_size() > 0

    def give_up(self, answer):
        """Stop work on what has no answer yet, answer it by ``answer``, and close."""
        for entry in self.pending:
            if entry.task is not None:
                entry.task.cancel()
                entry.task, entry.response = None, answer(entry.request)
        self.broken = True
        self._flush()

    def _refuse(self, status):
        """Answer a request that cannot be read whole, then close."""
        if self.broken:
            return
        self.broken = True
        self.server.refused(status)
        self.pending.append(Entry(response=self.server.refusal(status)))
        self._flush()

    def pause_writing(self):
        """Read no further requests while the caller does not read its answers."""
        if not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def resume_writing(self):
        """Read on once the caller has taken what waited."""
        if self.paused and len(self.pending) < PIPELINE_MAX:
            self.paused = False
            self.transport.resume_reading()

    def check(self, now):
        """Enforce the time limits for heads, bodies and idle connections."""
        if self.closing or self.broken:
            return
        limits = self.server.limits()
        if self.in_head:
            if now - self.head_since > limits.header_seconds:
                self._refuse(408)
        elif self.in_body:
            if now - self.last_received_at > BODY_SECONDS:
                self._refuse(408)
        elif not self.pending and now - self.last_received_at > limits.idle_seconds:
            self.close()
