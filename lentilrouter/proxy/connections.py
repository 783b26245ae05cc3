"""Send one request at a time over a connection and collect its whole answer.

The parser is httptools and the loop's own protocol classes stand in for anyio streams:
a kept connection must learn at once of an early close or of bytes that belong to no
request, and those arrive as callbacks here.
"""

import asyncio
import dataclasses
import time

import httptools

from lentilrouter.datapath import framing, messages
from lentilrouter.proxy import response_limits

MAX_RESPONSE_BYTES = 16 * 1024 * 1024  # of one body; usual answers have some KB
DEFAULT_IDLE_SECONDS = 4.0  # targets close idle connections after some seconds
IDLE_MARGIN_SECONDS = 1.0  # a stated idle time is in whole seconds, rounded down


@dataclasses.dataclass(slots=True, frozen=True)
class Unheard:
    """Report a request that was given up because its confirmation was late."""

    detail: str


@dataclasses.dataclass(slots=True, frozen=True)
class Confirmation:
    """Say when the other side's interim answer is due, and who is told of it.

    ``came`` gets the seconds that it took. ``late`` is called once if there is neither
    an interim answer nor an answer after ``seconds``; it gets the seconds waited and
    the bytes not yet sent, and returns whether the request is to be given up.
    """

    seconds: float
    came: object
    late: object


class Connection(asyncio.Protocol):
    """Send one request at a time and collect its whole answer."""

    __slots__ = (
        "transport",
        "parser",
        "message",
        "response_size",
        "future",
        "confirmation",
        "clean",
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
        self.clean = True
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
        # An answer without a length ends with its connection. A reset comes as
        # connection_lost with an error instead, and such an answer is not whole.
        if self.unframed and not self.message.complete and not self.foreign:
            self._complete()
        return False

    def connection_lost(self, error):
        self.clean = False
        if self.future is None or self.future.done():
            return
        started = bool(self.message.headers or self.message.chunks)
        detail = str(error) if error else "closed by the other side"
        self.future.set_result(messages.Broken(detail, started))

    def data_received(self, data):
        if self.future is None or self.future.done():
            # Bytes that no request waits for: a second answer, or noise.
            self.discard()
            return
        if not self.first_byte_at:
            self.first_byte_at = time.monotonic()
        for piece in framing.pieces(data):
            if self.transport.is_closing():
                return
            self._parse(piece)

    def _parse(self, piece):
        self.response_size.arrived(len(piece))
        try:
            self.parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.give_up(f"malformed answer: {error}")
            return
        if not self.message.complete and self.response_size.exceeded():
            self.give_up("head or framing of the answer is too large")

    def give_up(self, detail):
        """End the request as broken; nothing more is read."""
        self._finish(messages.Broken(detail, True))
        self.discard()

    def on_message_begin(self):
        if self.message.complete:
            # Another answer follows that no request waits for.
            self.discard()

    def on_header(self, name, value):
        # What follows a body are trailers: they may be left out, and end nowhere.
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
            self.clean = False
            self._complete()
        elif status not in framing.NO_BODY_STATUS:
            self.unframed = not framed
            if size > MAX_RESPONSE_BYTES:
                self.give_up("the announced answer is too large")

    def _read_keep_alive(self, value):
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.strip().isdigit():
                self.idle_limit = max(0.0, int(seconds) - IDLE_MARGIN_SECONDS)

    def on_body(self, body):
        if self.transport.is_closing():
            return
        self.response_size.body_arrived(len(body))
        if self.response_size.body > MAX_RESPONSE_BYTES:
            self.give_up("answer is too large")
        elif not self.foreign:
            self.message.add(body)
            response_limits.BUFFERED.take(self, len(body))

    def on_message_complete(self):
        if self.message.complete:
            self.discard()
            return
        if self.parser.get_status_code() < 200:
            self._confirmed()
            self.message.reset()
            return
        if self.foreign:
            # A late answer to an earlier request; ours may still follow.
            self.clean = False
            self.foreign = False
            self.response_size.foreign += 1
            self.response_size.in_head = True
            self.message.reset()
            return
        self._complete()

    def _complete(self):
        self.message.complete = True
        if not self.parser.should_keep_alive() or self.unframed:
            self.clean = False
        message = self.message
        status = self.parser.get_status_code()
        response = messages.Response(status, message.headers, message.body())
        # What follows in the same read belongs to no request, and not to this answer.
        message.headers, message.chunks = [], []
        response_limits.BUFFERED.give(self)
        waited = self.first_byte_at - self.sent_at
        self._finish(messages.Replied(response, waited))

    def _finish(self, outcome):
        if self.future is not None and not self.future.done():
            self.future.set_result(outcome)

    def discard(self):
        """Close the connection and let go of what it holds; it is never used again."""
        self.clean = False
        # The parser and this object refer to one another: the bytes would stay long.
        self.message.reset()
        response_limits.BUFFERED.give(self)
        self.transport.abort()

    async def exchange(self, data, method, seconds, id=None, confirmation=None):
        """Send encoded request bytes and return an outcome within ``seconds``.

        ``id`` is what the answer's request id must be, if it has one.
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
            timers.append(loop.call_later(confirmation.seconds, self._unconfirmed))
        self.transport.write(data)
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

    def _confirmed(self):
        confirmation, self.confirmation = self.confirmation, None
        if confirmation is not None:
            confirmation.came(time.monotonic() - self.sent_at)

    def _unconfirmed(self):
        confirmation = self.confirmation
        if confirmation is None or self.future is None or self.future.done():
            return
        waited = time.monotonic() - self.sent_at
        if confirmation.late(waited, self.transport.get_write_buffer_size()):
            self._finish(Unheard(f"not confirmed after {waited:.3f} s"))
