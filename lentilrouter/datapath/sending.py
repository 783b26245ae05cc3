"""Send HTTP/1.1 requests over pooled connections.

The parser is httptools. The connections are protocol classes of asyncio instead of
anyio streams, because a pooled connection must notice at once that it was closed or
received bytes that belong to no request; protocol classes get callbacks for both.
"""

import asyncio
import time

import anyio
import httptools

from lentilrouter.datapath import framing, messages


class ClientProtocol(asyncio.Protocol):
    """One connection; it sends one request at a time and collects the response.

    ``reusable`` is true while the connection can be used for another request.
    ``idle_since`` is in monotonic seconds, ``max_body`` in bytes.
    """

    __slots__ = (
        "transport",
        "parser",
        "message",
        "future",
        "reusable",
        "idle_since",
        "max_body",
        "method",
    )

    def __init__(self, max_body):
        self.max_body = max_body
        self.message = framing.Collector()
        self.future = None
        self.reusable = True
        self.idle_since = 0.0
        self.method = ""

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        self.reusable = False
        if self.future is None or self.future.done():
            return
        started = bool(self.message.headers or self.message.chunks)
        detail = str(exc) if exc else "closed by the other side"
        self.future.set_result(messages.Broken(detail, started))

    def data_received(self, data):
        if self.future is None or self.future.done():
            self.discard()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._finish(messages.Broken(f"malformed response: {error}", True))
            self.discard()

    def on_header(self, name, value):
        self.message.headers.append((name.lower(), value))

    def on_headers_complete(self):
        if self.method == "HEAD":
            self.on_message_complete()

    def on_body(self, body):
        self.message.size += len(body)
        if self.message.size > self.max_body:
            self._finish(messages.Broken("response is too large", True))
            self.discard()
            return
        self.message.chunks.append(body)

    def on_message_complete(self):
        status = self.parser.get_status_code()
        if status < 200:
            self.message.reset()
            return
        if self.message.complete:
            self.discard()
            return
        self.message.complete = True
        keep_alive = self.parser.should_keep_alive() and self.method != "HEAD"
        self.reusable = self.reusable and keep_alive
        message = self.message
        response = messages.Response(status, message.headers, message.body())
        # What follows in the same read is not part of this response.
        message.headers, message.chunks = [], []
        self._finish(messages.Replied(response))

    def _finish(self, result):
        if self.future is not None and not self.future.done():
            self.future.set_result(result)

    def discard(self):
        """Close the connection, so that it is not used again."""
        self.reusable = False
        self.transport.abort()

    async def exchange(self, data, method, seconds):
        """Send an encoded request and return the result within ``seconds``.

        Return ``Replied``, ``Broken`` or ``Late``. The connection is closed if no
        complete response arrived, also because the caller was cancelled.
        """
        loop = asyncio.get_running_loop()
        self.parser = httptools.HttpResponseParser(self)
        self.message.reset()
        self.method = method
        self.future = loop.create_future()
        late = messages.Late("no answer in time")
        timer = loop.call_later(seconds, self._finish, late)
        self.transport.write(data)
        try:
            return await self.future
        finally:
            timer.cancel()
            if not self.message.complete:
                self.discard()
            self.future = None


class Client:
    """HTTP client with a pool of idle connections for each address.

    A connection that was idle for ``idle_seconds`` is not used again. A response body
    of more than ``max_body`` bytes counts as ``Broken``.
    """

    def __init__(self, settings):
        self.max_body = settings.calls.max_body_bytes
        self.idle_seconds = settings.calls.idle_seconds
        self.idle = {}

    async def send(self, address, request, seconds):
        """Send a request to ``IP:port`` and return the result within ``seconds``.

        Return ``Replied``, ``NotSent``, ``Broken`` or ``Late``.
        """
        deadline = time.monotonic() + seconds
        connection = self._reuse(address)
        if connection is None:
            connection = await self._connect(address, seconds)
            if isinstance(connection, messages.NotSent):
                return connection
        data = framing.encode_request(request, address)
        data += framing.separate_body(request)
        time_left = deadline - time.monotonic()
        result = await connection.exchange(data, request.method, time_left)
        self._release(address, connection)
        return result

    def _reuse(self, address):
        """Return an idle connection that can be used, or ``None``."""
        pool = self.idle.get(address, [])
        while pool:
            connection = pool.pop()
            age = time.monotonic() - connection.idle_since
            if connection.reusable and age < self.idle_seconds:
                return connection
            connection.discard()
        return None

    async def _connect(self, address, seconds):
        """Return a new connection, or ``NotSent`` if it failed within ``seconds``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        with anyio.move_on_after(seconds):
            try:
                _, protocol = await loop.create_connection(
                    lambda: ClientProtocol(self.max_body), host.strip("[]"), int(port)
                )
            except OSError as error:
                return messages.NotSent(f"connect {address}: {error}")
            return protocol
        return messages.NotSent(f"connect {address}: timed out")

    def _release(self, address, connection):
        """Put a connection into the pool, or close it if it cannot be used again."""
        if not connection.reusable:
            connection.discard()
            return
        connection.idle_since = time.monotonic()
        self.idle.setdefault(address, []).append(connection)

    def close_idle(self):
        """Close idle connections that are too old or cannot be used again."""
        limit = time.monotonic() - self.idle_seconds
        for address, pool in list(self.idle.items()):
            for connection in [
                c for c in pool if c.idle_since < limit or not c.reusable
            ]:
                connection.discard()
                pool.remove(connection)
            if not pool:
                del self.idle[address]

    def close(self):
        """Close every idle connection."""
        for pool in self.idle.values():
            for connection in pool:
                connection.discard()
        self.idle.clear()
