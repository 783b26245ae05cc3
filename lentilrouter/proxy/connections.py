"""Send one request at a time over a connection and collect its complete response.

This module uses httptools and asyncio protocols instead of anyio streams: a pooled
connection must be discarded at once when it is closed early or when bytes arrive that
belong to no request, and a protocol gets both as callbacks.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import time

import httptools

from lentilrouter.datapath import framing, messages
from lentilrouter.proxy import response_limits

MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # of one body; usual responses have a few KB
DEFAULT_IDLE_SECONDS = 4.0  # targets close idle connections after a few seconds
IDLE_MARGIN_SECONDS = 1.0  # an announced idle time is in whole seconds, rounded down
# Socket option with which closing a connection resets it and drops its unsent data.
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@dataclasses.dataclass(slots=True, frozen=True)
class Unheard:
    """Result: the request was cancelled because its confirmation was late."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Confirmation:
    """Time within which an interim response is expected, and callbacks for it.

    ``on_confirmed`` is called with the seconds until the interim response. ``on_late``
    is called once if there is neither an interim nor a final response after
    ``seconds``. It gets the seconds waited and the number of unsent bytes, and returns
    whether to cancel the request.
    """

    seconds: float
    on_confirmed: object
    on_late: object


class Connection(asyncio.Protocol):
    """Protocol that sends one request at a time and collects its complete response.

    ``reusable`` is true while the connection may get another request after this one.
    ``foreign`` is true while a response with another request id is received.
    ``unframed`` is true if the response has no length and ends with the connection.
    Times are in monotonic seconds; ``idle_limit`` is in seconds.
    """

    __slots__ = (
        "transport",
        "parser",
        "message",
        "response_size",
        "future",
        "confirmation",
        "reusable",
        "idle_since",
        "idle_limit",
        "user_timeout_ms",
        "method",
        "expected_id",
        "foreign",
        "unframed",
        "sent_at",
        "first_byte_at",
    )

    def __init__(self, idle_limit=DEFAULT_IDLE_SECONDS):
        self.message = framing.Collector()
        self.response_size = response_limits.ResponseSize()
        self.parser = None
        self.future = None
        self.confirmation = None
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit = idle_limit
        self.user_timeout_ms = 0
        self.method = ""
        self.expected_id = None
        self.foreign = False
        self.unframed = False
        self.sent_at = 0.0
        self.first_byte_at = 0.0

    def connection_made(self, transport):
        self.transport = transport

    def eof_received(self):
        # A response without a length ends with its connection. A reset calls
        # connection_lost with an error instead, and its response is not complete.
        if self.unframed and not self.message.complete and not self.foreign:
            self._complete()
        return False

    def connection_lost(self, error):
        self.reusable = False
        if self.future is None or self.future.done():
            return
        started = bool(self.message.headers or self.message.chunks)
        detail = str(error) if error else "closed by the other side"
        self.future.set_result(messages.Broken(detail, started))

    def data_received(self, data):
        if self.future is None or self.future.done():
            # No request waits for these bytes: a second response, or garbage.
            self.discard()
            return
        if not self.first_byte_at:
            self.first_byte_at = time.monotonic()
        for piece in framing.pieces(data):
            if self.transport.is_closing():
                return
            self._parse(piece)

    def _parse(self, piece):
        self.response_size.count_received(len(piece))
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.abort(f"malformed answer: {error}")
            return
        if not self.message.complete and self.response_size.exceeded():
            self.abort("head or framing of the answer is too large")

    def abort(self, detail):
        """End the request as ``Broken`` and close the connection."""
        self._finish(messages.Broken(detail, True))
        self.discard()

    def on_message_begin(self):
        if self.message.complete:
            # No request waits for this second response.
            self.discard()

    def on_header(self, name, value):
        # Fields after a body are trailers. They may be dropped, as nothing uses them.
        if self.response_size.in_head:
            self.message.headers.append((name.lower(), value))

    def on_headers_complete(self):
        status = self.parser.get_status_code()
        if status < 200:
            return
        self.response_size.in_head = False
        framed = False
        size = 0
        for name, value in self.message.headers:
            if name == b"content-length":
                framed = True
                size = int(value)
            elif name == b"transfer-encoding":
                framed = True
            elif name == b"keep-alive":
                self._read_keep_alive(value)
            elif name == b"x-request-id" and self.expected_id is not None:
                self.foreign = value != self.expected_id
        if self.method == "HEAD":
            self.reusable = False
            self._complete()
        elif status not in framing.NO_BODY_STATUS:
            self.unframed = not framed
            if size > MAX_RESPONSE_BYTES:
                self.abort("the announced answer is too large")

    def _read_keep_alive(self, value):
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.strip().isdigit():
                self.idle_limit = max(0.0, int(seconds) - IDLE_MARGIN_SECONDS)

    def on_body(self, body):
        if self.transport.is_closing():
            return
        self.response_size.count_body(len(body))
        if self.response_size.body > MAX_RESPONSE_BYTES:
            self.abort("answer is too large")
        elif not self.foreign:
            self.message.add(body)
            response_limits.BUFFERED.add(self, len(body))

    def on_message_complete(self):
        if self.message.complete:
            self.discard()
            return
        if self.parser.get_status_code() < 200:
            self._handle_interim_response()
            self.message.reset()
            return
        if self.foreign:
            # A late response to an earlier request; the expected one may follow.
            self.reusable = False
            self.foreign = False
            self.response_size.foreign += 1
            self.response_size.in_head = True
            self.message.reset()
            return
        self._complete()

    def _complete(self):
        self.message.complete = True
        if not self.parser.should_keep_alive() or self.unframed:
            self.reusable = False
        message = self.message
        status = self.parser.get_status_code()
        response = messages.Response(status, message.headers, message.body())
        # Data that follows in the same read must not be added to this response.
        message.headers, message.chunks = [], []
        response_limits.BUFFERED.release(self)
        waited = self.first_byte_at - self.sent_at
        self._finish(messages.Replied(response, waited))

    def _finish(self, outcome):
        if self.future is not None and not self.future.done():
            self.future.set_result(outcome)

    def discard(self):
        """Close the connection for good and release its buffered data.

        If a request is in flight, reset the connection: otherwise the kernel would
        still send the rest of the request, long after it was given up.
        """
        self.reusable = False
        if self.future is not None and not self.transport.is_closing():
            self._reset_on_close()
        # The parser and this object form a reference cycle, so the data would stay in
        # memory until the garbage collector runs.
        self.message.reset()
        response_limits.BUFFERED.release(self)
        self.transport.abort()

    def _reset_on_close(self):
        """Let the kernel drop unsent data and reset the connection once it closes."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            # The other side may have reset the connection meanwhile.
            with contextlib.suppress(OSError):
                sock.setsockopt(*RESET_ON_CLOSE)

    async def exchange(
        self, data, method, seconds, id=None, confirmation=None, body=b""
    ):
        """Send an encoded request and return an outcome within ``seconds``.

        Return ``Replied``, or on failure ``Broken``, ``Late`` or ``Unheard``. ``id`` is
        the request id that the response must have, if it has one. ``body`` is the part
        of a large body that ``data`` does not contain. A connection without
        a complete response is discarded, also if this coroutine is cancelled.
        """
        loop = asyncio.get_running_loop()
        self.parser = httptools.HttpResponseParser(self)
        self.message.reset()
        self.response_size.reset()
        self.method = method
        self.expected_id = id
        self.foreign = False
        self.unframed = False
        future = self.future = loop.create_future()
        late = messages.Late("no answer in time")
        self.sent_at = time.monotonic()
        self.first_byte_at = 0.0
        timers = [loop.call_later(max(0.0, seconds), self._finish, late)]
        self.confirmation = confirmation
        if confirmation is not None:
            timers.append(
                loop.call_later(confirmation.seconds, self._handle_late_confirmation)
            )
        self.transport.write(data)
        if body:
            self.transport.write(body)
        try:
            return await future
        finally:
            for timer in timers:
                timer.cancel()
            unsent = self.transport.get_write_buffer_size() > 0
            if not self.message.complete or unsent:
                self.discard()
            self.future = None
            self.confirmation = None

    def _handle_interim_response(self):
        confirmation, self.confirmation = self.confirmation, None
        if confirmation is not None:
            confirmation.on_confirmed(time.monotonic() - self.sent_at)

    def _handle_late_confirmation(self):
        confirmation = self.confirmation
        if confirmation is None or self.future is None or self.future.done():
            return
        waited = time.monotonic() - self.sent_at
        if confirmation.on_late(waited, self.transport.get_write_buffer_size()):
            self._finish(Unheard(f"not confirmed after {waited:.3f} s"))
