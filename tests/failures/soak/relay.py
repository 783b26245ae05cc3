"""TCP relay between proxies on loopback that simulates the delay of a slow link."""

import asyncio


class Relay:
    """Relay to the peer port of one proxy.

    ``delay`` is the one-way delay in seconds; it may change at any time.
    """

    def __init__(self, ip, relay_port, peer_port):
        self.ip = ip
        self.relay_port = relay_port
        self.peer_port = peer_port
        self.delay = 0.0
        self.listener = None
        self.tasks = set()

    @property
    def is_listening(self):
        """Return whether connections are accepted."""
        return self.listener is not None

    async def listen(self):
        """Start accepting connections."""
        if self.listener is None:
            self.listener = await asyncio.start_server(
                self._serve, self.ip, self.relay_port
            )

    def stop_listening(self):
        """Stop accepting connections, as on a host where no proxy runs."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self):
        """Stop accepting connections and abort the open ones."""
        self.stop_listening()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        upstream_writer = writer
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.ip, self.peer_port
            )
            await asyncio.gather(
                self._forward(reader, upstream_writer),
                self._forward(upstream_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            # The proxy has stopped or the test is over: reset the other connection.
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            upstream_writer.close()
            writer.close()

    async def _forward(self, reader, writer):
        """Forward one direction; each chunk is sent ``delay`` after it was received."""
        chunks = asyncio.Queue()
        sender = asyncio.create_task(_send(chunks, writer))
        loop = asyncio.get_running_loop()
        data, due = b"-", 0.0
        try:
            while data:
                try:
                    data = await reader.read(65536)
                except ConnectionError:
                    data = b""  # reset: data received before it is still delivered
                due = max(due, loop.time() + self.delay)
                chunks.put_nowait((due, data))
            await sender
        finally:
            sender.cancel()


async def _send(chunks, writer):
    loop = asyncio.get_running_loop()
    while True:
        due, data = await chunks.get()
        await asyncio.sleep(due - loop.time())
        if not data or writer.is_closing():
            writer.close()
            return
        writer.write(data)
