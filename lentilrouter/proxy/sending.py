"""Send whole requests to targets, other proxies and the store over kept connections."""

import asyncio
import contextlib
import socket
import time

from lentilrouter.datapath import framing, messages
from lentilrouter.proxy import connections

BUFFERED_BYTES = 16 * 1024  # taken in by any receiver before it reads
SETTLE_SECONDS = 0.02  # for the loop to see what waits in its sockets
KEEP_ALIVE_IDLE_SECONDS = 1  # finds a silent connection within about three seconds
KEEP_ALIVE_PROBES = 2
KEEP_ALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
)


class Client:
    """Keep connections to addresses and send whole requests over them.

    With ``tcp_keep_alive`` the kernel probes idle connections; with ``user_timeout_ms``
    it ends one whose bytes the other side did not confirm within that time.
    """

    __slots__ = ("idle", "tcp_keep_alive", "idle_limit", "opened", "user_timeout_ms")

    def __init__(
        self,
        tcp_keep_alive=False,
        idle_limit=connections.DEFAULT_IDLE_SECONDS,
        user_timeout_ms=0,
    ):
        self.idle = {}
        self.user_timeout_ms = user_timeout_ms
        self.idle_limit = idle_limit
        self.tcp_keep_alive = tcp_keep_alive
        self.opened = 0

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
    ):
        """Send a request to ``IP:port`` within ``seconds`` and return an outcome.

        ``reuse_seconds`` bounds how long a reused connection may have been idle.
        """
        end = time.monotonic() + seconds
        connection = self._reuse(address, reuse_seconds)
        if connection is None:
            limit = min(seconds, connect_seconds or seconds)
            connection = await self._connect(address, limit)
            if isinstance(connection, messages.NotSent):
                return connection
        data = framing.encode_request(request, address)
        self._limit_silence(connection, len(data))
        outcome = await connection.exchange(
            data, request.method, end - time.monotonic(), id, confirmation
        )
        self._release(address, connection)
        return outcome

    async def refuses(self, address, seconds):
        """Tell whether a new connection to an address is refused."""
        connection = await self._connect(address, seconds)
        if isinstance(connection, messages.NotSent):
            return connection.refused
        self._release(address, connection)
        return False

    def _reuse(self, address, reuse_seconds):
        pool = self.idle.get(address)
        now = time.monotonic()
        while pool:
            connection = pool.pop()
            age = now - connection.idle_since
            limit = connection.idle_limit
            if reuse_seconds is not None:
                limit = min(limit, reuse_seconds)
            if connection.clean and age < limit:
                return connection
            connection.discard()
        return None

    async def _connect(self, address, seconds):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(None) as limit:
                timer = loop.call_later(seconds, _settle, limit)
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
            _set_options(transport, KEEP_ALIVE)
        return protocol

    def _limit_silence(self, connection, size):
        """Have the kernel end a connection whose other side is not heard.

        Its limit also ends one whose other side does not read on, so it holds only for
        what fits into the buffers of the sockets.
        """
        limit = self.user_timeout_ms if size <= BUFFERED_BYTES else 0
        if connection.user_timeout_ms != limit:
            connection.user_timeout_ms = limit
            option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)
            _set_options(connection.transport, [option])

    def _release(self, address, connection):
        if not connection.clean or connection.transport.is_closing():
            connection.discard()
            return
        connection.idle_since = time.monotonic()
        self.idle.setdefault(address, []).append(connection)

    def close_idle(self):
        """Close connections that were not used for a while."""
        now = time.monotonic()
        for address, pool in list(self.idle.items()):
            for connection in list(pool):
                age = now - connection.idle_since
                if not connection.clean or age >= connection.idle_limit:
                    connection.discard()
                    pool.remove(connection)
            if not pool:
                del self.idle[address]

    def drop(self, address):
        """Close the idle connections to an address that no longer answers."""
        for connection in self.idle.pop(address, ()):
            connection.discard()

    def close(self):
        """Close every idle connection."""
        for address in list(self.idle):
            self.drop(address)


def _settle(limit):
    """End a limit soon, but after what came while this process stood still."""
    limit.reschedule(asyncio.get_running_loop().time() + SETTLE_SECONDS)


def _set_options(transport, options):
    """Let the kernel find a connection that went silent without a reset."""
    sock = transport.get_extra_info("socket")
    # Where an option is missing the time-outs of each call still find the silence.
    with contextlib.suppress(OSError):
        for level, name, value in options:
            sock.setsockopt(level, name, value)
