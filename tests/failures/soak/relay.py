"""Pass bytes between proxies over loopback, with the delay of a slow link."""

import asyncio


class Relay:
    """Stand before the peer port of one proxy; ``delay`` is in seconds, one way."""

    def __init__(self, ip, relay_port, peer_port):
        self.ip = ip
        self.relay_port = relay_port
        self.peer_port = peer_port
        self.delay = 0.0
        self.listener = None
        self.passing = set()

    @property
    def is_open(self):
        """Tell whether connections are taken."""
        return self.listener is not None

    async def open(self):
        """Take connections, as long as the proxy runs."""
        if self.listener is None:
            self.listener = await asyncio.start_server(
                self._serve, self.ip, self.relay_port
            )

    def shut(self):
        """Refuse connections, as a host does on which no proxy runs."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self):
        """Refuse connections and end the open ones."""
        self.shut()
        for task in self.passing:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.passing.add(task)
        far = writer
        try:
            near, far = await asyncio.open_connection(self.ip, self.peer_port)
            await asyncio.gather(self._pass(reader, far), self._pass(near, writer))
        except (OSError, asyncio.CancelledError):
            # The proxy is gone or the run is over: the other side sees a reset.
            writer.transport.abort()
        finally:
            self.passing.discard(task)
            far.close()
            writer.close()

    async def _pass(self, reader, writer):
        """Pass one direction on; each piece leaves ``delay`` after it came."""
        pieces = asyncio.Queue()
        sending = asyncio.create_task(_send(pieces, writer))
        loop = asyncio.get_running_loop()
        data, due = b"-", 0.0
        try:
            while data:
                try:
                    data = await reader.read(65536)
                except ConnectionError:
                    data = b""  # a reset: what came before it still arrives
                due = max(due, loop.time() + self.delay)
                pieces.put_nowait((due, data))
            await sending
        finally:
            sending.cancel()


async def _send(pieces, writer):
    loop = asyncio.get_running_loop()
    while True:
        due, data = await pieces.get()
        await asyncio.sleep(due - loop.time())
        if not data or writer.is_closing():
            writer.close()
            return
        writer.write(data)
