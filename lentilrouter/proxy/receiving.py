"""Receive the requests of one connection and send their responses in order.

Pipelined requests run concurrently; their responses are sent in the order of the
requests. When the client disconnects, its requests that still run are cancelled.
"""

import asyncio
import collections
import dataclasses
import time

import httptools

from lentilrouter.buffering import account as accounts
from lentilrouter.datapath import framing, messages

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
PIPELINE_MAX = 32  # unanswered requests of one connection before reading is paused
BODY_PAUSE_SECONDS = 30.0  # longest pause between two reads of a body
# Bytes allowed for a head beyond its limit. The limit counts the URL and the headers,
# but not the method, the version and extra white space.
HEAD_EXTRA_BYTES = 1024
# Framing bytes allowed for each byte of a body: a chunk of one byte has five bytes of
# framing, and its size may be written with more digits than needed.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Pieces of a body that the parser may report: each takes about a microsecond. Callers
# send chunks of some KB.
BODY_PIECES_FREE = 64 * 1024
BYTES_PER_BODY_PIECE = 32  # beyond these, the least mean size of a piece
RESERVE_STEP_BYTES = 64 * 1024  # that a body without a length reserves at a time


class Incoming(messages.Request):
    """A request with the time at which its head arrived and the IP of its client.

    ``arrived`` is in monotonic seconds. ``keep_alive`` is true if the client may send
    more requests on the connection.
    """

    __slots__ = ("arrived", "client_ip", "keep_alive")


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request of a connection whose response has not been written yet.

    ``task`` handles the request and is ``None`` once there is a ``response``.
    ``request`` is ``None`` if it could not be read completely. ``held`` is the number
    of bytes that the account counts for both.
    """

    request: Incoming | None = None
    task: asyncio.Task | None = None
    response: messages.Response | None = None
    held: int = 0

    def encode(self, keep_alive):
        """Return the bytes of the response as a list, a large body by itself."""
        head_only = self.request is not None and self.request.method == "HEAD"
        return framing.encode_response_parts(self.response, keep_alive, head_only)


class ServerConnection(asyncio.Protocol):
    """Protocol that receives the requests of a connection and sends their responses.

    ``overhead`` counts the bytes of the current request that are not body, and
    ``arrived`` is when its head was complete, in monotonic seconds.
    ``input_closed`` is true once no further request is accepted; the connection is
    closed after the pending responses. ``closing`` is true once it is being closed.
    ``announced`` is the stated length of the current body, ``body_pieces`` the number
    of its pieces, and ``reserved`` the bytes that the account counts for the request.
    ``expects_continue`` is true if the sender waits for a 100 response before it sends
    the body.
    """

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
        "input_closed",
        "closing",
        "paused",
        "client_ip",
        "arrived",
        "announced",
        "body_pieces",
        "reserved",
        "expects_continue",
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
        self.input_closed = False
        self.closing = False
        self.paused = False
        self.client_ip = ""
        self.announced = 0
        self.body_pieces = 0
        self.reserved = 0
        self.expects_continue = False

    def connection_made(self, transport):
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self.client_ip = peer[0] if peer else ""
        self.server.admit(self)

    def connection_lost(self, error):
        self.closing = True
        self.server.connections.discard(self)
        self.server.mark_active(self)
        self._release_unfinished()
        account = self.server.account
        account.set_unread(self, 0)
        for entry in self.pending:
            if entry.task is not None:
                entry.task.cancel()
            if entry.request is not None:
                account.done(entry.held)
        self.pending.clear()

    @property
    def progress(self):
        """Return the share of the current request that was received, as far as known.

        It is 0 if no length was announced.
        """
        return self.message.size / self.announced if self.announced else 0.0

    def _release_unfinished(self):
        """Drop what was received of an unfinished request."""
        self.message.reset()
        self.server.account.release(self)

    def end_unfinished(self):
        """Refuse the unfinished request, which never runs, to make room for others."""
        self._refuse(503)

    def abort_unread(self):
        """Close the connection at once, as its client does not read the responses."""
        self.transport.abort()

    def data_received(self, data):
        self.last_received_at = time.monotonic()
        for piece in framing.pieces(data):
            # Nothing is read after a request that closes the connection, even while
            # earlier requests are in flight.
            if self.closing or self.input_closed:
                return
            self._parse(piece)

    def _parse(self, piece):
        self.overhead += len(piece)
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)
            return
        # The parser reports a name or value only once it is complete, and never reports
        # framing, so the bytes that it does not report are limited here.
        allowed = self.server.limits().header_bytes + HEAD_EXTRA_BYTES
        if self.overhead > allowed + FRAMING_BYTES_PER_BODY_BYTE * self.message.size:
            self._refuse(413 if self.in_body else 431)
        elif self.in_head or self.in_body:
            self._reserve_received()

    def _reserve_received(self):
        """Reserve what was received of an unfinished request, in steps; else refuse."""
        size = self.message.size
        needed = self.overhead + size + int(size * accounts.GROWTH_SHARE)
        if needed <= self.reserved or self.input_closed:
            return
        total = needed + accounts.REQUEST_BYTES
        if self.in_body:
            total += RESERVE_STEP_BYTES
        self._reserve(total)

    def _reserve(self, total):
        """Reserve ``total`` bytes for the unfinished request, or refuse it."""
        account = self.server.account
        if not account.reserve(self, total, self.last_received_at):
            self._refuse(503)

    def on_message_begin(self):
        self.server.mark_active(self)
        self.in_head = True
        self.expects_continue = False
        self.head_since = self.last_received_at

    def on_url(self, url):
        self.message.url += url
        self._count_head(len(url))

    def on_header(self, name, value):
        if self.input_closed:
            return
        self._count_head(len(name) + len(value) + 4)
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        elif name == b"content-length":
            limit = self.server.limits().body_bytes
            if value.isdigit():
                self.announced = int(value)
                if self.announced > limit:
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
        if not self.input_closed:
            self._check_room()
        if self.expects_continue and not self.input_closed:
            self.transport.write(CONTINUE)
        if self.server.confirm and not self.input_closed:
            # A large body may take long on a slow link. The sender must not take this
            # for a server that does not respond.
            self.transport.write(PROCESSING)

    def _check_room(self):
        """Refuse the request unless it fits with its announced body.

        While there is room, a small request reserves nothing here: usually it is
        complete in the same read, and is counted then.
        """
        account = self.server.account
        if account.requests >= account.request_limit:
            account.refusals["requests"] += 1
            self._refuse(503)
            return
        size = self.announced
        total = self.head_bytes + size + accounts.REQUEST_BYTES
        if size > RESERVE_STEP_BYTES:
            total += int(size * accounts.GROWTH_SHARE)
        elif account.used + total <= account.limit:
            return
        self._reserve(total)

    def on_body(self, body):
        if self.input_closed:
            return
        self.body_pieces += 1
        excess = self.body_pieces - BODY_PIECES_FREE
        if excess > 0 and self.message.size < excess * BYTES_PER_BODY_PIECE:
            self.server.account.refusals["small chunks"] += 1
            self._refuse(413)
            return
        if self.message.size + len(body) > self.server.limits().body_bytes:
            self._refuse(413)
            return
        self.overhead -= len(body)
        self.message.extend(body)

    def on_message_complete(self):
        self.overhead = 0
        self.in_body = False
        self.announced = 0
        self.body_pieces = 0
        message = self.message
        if self.input_closed:
            self._release_unfinished()
            return
        head_bytes, self.head_bytes = self.head_bytes, 0
        method = self.parser.get_method().decode("latin-1")
        url = message.url.decode("latin-1")
        request = Incoming(method, url, message.headers, message.body())
        request.arrived = self.arrived
        request.client_ip = self.client_ip
        request.keep_alive = self.parser.should_keep_alive()
        message.reset()
        self.server.active += 1
        held = self.server.account.complete(self, len(request.body) + head_bytes)
        entry = PendingRequest(request, held=held)
        self.pending.append(entry)
        entry.task = self.server.loop.create_task(self._handle(request, entry))
        entry.task.add_done_callback(self.server.request_done)
        if not request.keep_alive:
            self.input_closed = True
        if len(self.pending) >= PIPELINE_MAX and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    async def _handle(self, request, entry):
        response = await self.server.handler(request)
        entry.response = response
        entry.task = None
        if self.pending and self.pending[0] is not entry:
            self._hold_response(entry)
        self._flush()

    def _hold_response(self, entry):
        """Count a response that waits for earlier ones, or give up the connection."""
        account, size = self.server.account, len(entry.response.body)
        entry.held += size
        account.used += size
        if size and account.used > account.limit:
            account.refusals["unread"] += 1
            self.transport.abort()

    def _flush(self):
        """Write the responses that are ready, in the order of the requests.

        Only the last response may announce that the connection closes: clients drop the
        responses after such a one and send those requests again.
        """
        pending, ready = self.pending, []
        while pending and pending[0].response is not None:
            entry = pending.popleft()
            if not pending and self.server.draining:
                self.input_closed = True
            ready.extend(entry.encode(bool(pending) or not self.input_closed))
            if entry.request is not None:
                self.server.account.done(entry.held)
        if ready and not self.transport.is_closing():
            self.transport.writelines(ready)
            unread = self.transport.get_write_buffer_size()
            if unread:
                self.server.account.set_unread(self, unread)
        self.last_received_at = time.monotonic()
        if self.paused and len(pending) < PIPELINE_MAX // 2:
            self.paused = False
            self.transport.resume_reading()
        if self.input_closed and not pending:
            self.close()
        elif not pending and not self.in_head and not self.in_body:
            self.server.mark_idle(self)

    def close(self):
        """Close the connection once the written data has been sent."""
        self.closing = True
        self.server.mark_active(self)
        self.transport.close()

    @property
    def unsent(self):
        """Return whether written data has not been sent yet."""
        return self.transport.get_write_buffer_size() > 0

    def abort_requests(self, make_response):
        """Cancel the requests in flight, respond to them, and close the connection.

        ``make_response`` returns the response to a given request.
        """
        for entry in self.pending:
            if entry.task is not None:
                entry.task.cancel()
                entry.task, entry.response = None, make_response(entry.request)
        self.input_closed = True
        self._flush()

    def _refuse(self, status):
        """Respond to a request that cannot be read completely, then close."""
        if self.input_closed:
            return
        self.input_closed = True
        self._release_unfinished()
        self.server.on_refused(status)
        self.pending.append(PendingRequest(response=self.server.make_refusal(status)))
        self._flush()

    def pause_writing(self):
        """Stop reading requests while the client does not read its responses."""
        if not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def resume_writing(self):
        """Resume reading once the client has read the responses that waited."""
        if self.paused and len(self.pending) < PIPELINE_MAX:
            self.paused = False
            self.transport.resume_reading()

    def check_time_limits(self, now):
        """Enforce the time limits for heads, bodies and idle connections."""
        account = self.server.account
        if self in account.unread:
            account.set_unread(self, self.transport.get_write_buffer_size())
        if self.closing or self.input_closed:
            return
        limits = self.server.limits()
        if self.in_head:
            if now - self.head_since > limits.header_seconds:
                self._refuse(408)
        elif self.in_body:
            if now - self.last_received_at > BODY_PAUSE_SECONDS:
                self._refuse(408)
        elif not self.pending and now - self.last_received_at > limits.idle_seconds:
            self.close()
