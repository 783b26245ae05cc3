"""Send requests to targets, other proxies and the store over pooled connections."""

import asyncio
import collections
import contextlib
import socket
import time

from lentilrouter.datapath import framing, messages
from lentilrouter.proxy import connections

SOCKET_BUFFER_BYTES = 16 * 1024  # any kernel accepts this before its receiver reads
CONNECT_GRACE_SECONDS = 0.02  # for the loop to process pending events of its sockets
# Idle time before the first probe, and interval of the probes; finds a dead connection
# within about three seconds.
KEEP_ALIVE_SECONDS = 1
KEEP_ALIVE_PROBES = 2
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
)


class Client:
    """HTTP client with a pool of connections to each address.

    With ``tcp_keep_alive`` the kernel probes idle connections. With ``user_timeout_ms``
    it closes a connection whose bytes were not acknowledged within that time.
    ``idle_limit`` is how many seconds a connection may be idle before it is closed, if
    the server states no other time. ``idle`` maps addresses to idle connections,
    ``repeatable`` to those with a request in flight that may be sent again; ``opened``
    counts the connections that were opened or tried. ``on_end`` is called with the
    address, request and outcome of each request that was sent and not cancelled.
    """

    __slots__ = (
        "idle",
        "repeatable",
        "tcp_keep_alive",
        "idle_limit",
        "opened",
        "user_timeout_ms",
        "on_end",
    )

    def __init__(
        self,
        tcp_keep_alive=False,
        idle_limit=connections.DEFAULT_IDLE_SECONDS,
        user_timeout_ms=0,
        on_end=None,
    ):
        self.idle = {}
        self.repeatable = collections.defaultdict(set)
        self.user_timeout_ms = user_timeout_ms
        self.idle_limit = idle_limit
        self.tcp_keep_alive = tcp_keep_alive
        self.opened = 0
        self.on_end = on_end

    async def send(
        self,
        address,
        request,
        seconds,
        *,
        id=None,
        confirmation=None,
        connect_seconds=None,
        reuse_seconds=None,
        repeatable=False,
    ):
        """Send a request to ``IP:port`` and return an outcome within ``seconds``.

        Return ``Replied``, or on failure ``NotSent``, ``Broken``, ``Late`` or
        ``Unheard``. ``id`` is the request id that the response must have, if it has
        one. ``confirmation`` is a ``connections.Confirmation``. ``connect_seconds``
        limits the time to open a connection, ``reuse_seconds`` how long a reused
        connection may have been idle. With ``repeatable``, ``abort`` ends the request.
        """
        end = time.monotonic() + seconds
        connection = self._reuse(address, reuse_seconds)
        if connection is None:
            connect_timeout = min(seconds, connect_seconds or seconds)
            connection = await self._connect(address, connect_timeout)
            if isinstance(connection, messages.NotSent):
                return connection
        data = framing.encode_request(request, address)
        body = framing.separate_body(request)
        self._set_user_timeout(connection, len(data) + len(body))
        if repeatable:
            self.repeatable[address].add(connection)
        try:
            outcome = await connection.exchange(
                data, request.method, end - time.monotonic(), id, confirmation, body
            )
        finally:
            self.repeatable[address].discard(connection)
        self._release(address, connection)
        if self.on_end is not None:
            self.on_end(address, request, outcome)
        return outcome

    def abort(self, address, detail):
        """End the requests in flight to an address that may be sent again.

        Each ends as ``Broken``. Return their number.
        """
        aborted = self.repeatable.pop(address, set())
        for connection in aborted:
            connection.abort(detail)
        return len(aborted)

    async def probe(self, address, seconds):
        """Open a connection to an address within ``seconds``.

        Return ``None`` if that succeeds, or else ``NotSent``.
        """
        connection = await self._connect(address, seconds)
        if isinstance(connection, messages.NotSent):
            return connection
        self._release(address, connection)
        return None

    def _reuse(self, address, reuse_seconds):
        """Return a usable idle connection to an address, or ``None``."""
        pool = self.idle.get(address)
        now = time.monotonic()
        while pool:
            connection = pool.pop()
            age = now - connection.idle_since
            limit = connection.idle_limit
            if reuse_seconds is not None:
                limit = min(limit, reuse_seconds)
            if connection.reusable and age < limit:
                return connection
            connection.discard()
        return None

    async def _connect(self, address, seconds):
        """Return a new connection, or ``NotSent`` after a failure or a timeout."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(None) as timeout:
                timer = loop.call_later(seconds, _expire_after_grace, timeout)
                try:
                    transport, protocol = await loop.create_connection(
                        lambda: connections.Connection(self.idle_limit),
                        host.strip("[]"),
                        int(port),
                    )
                finally:
                    timer.cancel()
        except TimeoutError:
            return messages.NotSent(f"connect {address}: timed out")
        except ConnectionRefusedError as error:
            return messages.NotSent(f"connect {address}: {error}", refused=True)
        except OSError as error:
            return messages.NotSent(f"connect {address}: {error}")
        if self.tcp_keep_alive:
            _set_options(transport, KEEP_ALIVE_OPTIONS)
        return protocol

    def _set_user_timeout(self, connection, size):
        """Set the time within which sent bytes must be acknowledged, or none.

        The kernel also closes a connection whose receiver stops reading for that long,
        so the timeout is set only for a ``size`` in bytes that fits into the buffers of
        the sockets.
        """
        timeout_ms = self.user_timeout_ms if size <= SOCKET_BUFFER_BYTES else 0
        if connection.user_timeout_ms != timeout_ms:
            connection.user_timeout_ms = timeout_ms
            option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
            _set_options(connection.transport, [option])

    def _release(self, address, connection):
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.reusable or connection.transport.is_closing():
            connection.discard()
            return
        connection.idle_since = time.monotonic()
        self.idle.setdefault(address, []).append(connection)

    def close_idle(self):
        """Close idle connections that were idle for too long or cannot be reused."""
        now = time.monotonic()
        for address, pool in list(self.idle.items()):
            for connection in list(pool):
                age = now - connection.idle_since
                if not connection.reusable or age >= connection.idle_limit:
                    connection.discard()
                    pool.remove(connection)
            if not pool:
                del self.idle[address]

    def drop(self, address):
        """Close the idle connections to an address that no longer responds."""
        for connection in self.idle.pop(address, ()):
            connection.discard()

    def close(self):
        """Close every idle connection."""
        for address in list(self.idle):
            self.drop(address)


def _expire_after_grace(timeout):
    """Let a timeout expire after a short grace period.

    After a pause of this process its timers run before it polls its sockets. The grace
    period lets the loop first process a connection that was made during the pause.
    """
    timeout.reschedule(asyncio.get_running_loop().time() + CONNECT_GRACE_SECONDS)


def _set_options(transport, options):
    """Set socket options with which the kernel detects half-open connections."""
    sock = transport.get_extra_info("socket")
    # On a system without an option, the timeouts of the calls still detect them.
    with contextlib.suppress(OSError):
        for level, name, value in options:
            sock.setsockopt(level, name, value)
