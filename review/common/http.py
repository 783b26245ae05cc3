"""Minimal HTTP/1.1 for the stand-ins: read and write messages on asyncio streams."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass
class Message:
    """A request or response; ``start`` has the three parts of its first line."""

    start: tuple
    headers: dict
    body: bytes

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.start[1])


async def read_message(reader):
    """Return the next message, or ``None`` at the end of the connection.

    Raise ``ConnectionError`` if the connection ends within a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("closed within a head") from None
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    size = int(headers.get("content-length", 0))
    if size:
        try:
            body = await reader.readexactly(size)
        except asyncio.IncompleteReadError:
            raise ConnectionError("closed within a body") from None
    return Message(tuple(first.split(" ", 2)), headers, body)


def encode(first, headers, body=b""):
    """Return the bytes of a message; ``first`` is its first line."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Server that passes each request to ``handle`` and sends its response.

    ``handle`` is a coroutine function that returns the status, the headers and the
    body. It is cancelled if the connection ends before the response.
    """

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()

    async def start(self, address):
        """Listen on ``IP:port``."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def close(self):
        """Stop listening, and end every connection."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        """Answer one request; return whether the connection is still open."""
        request = await read_message(reader)
        if request is None:
            return False
        work = asyncio.ensure_future(self.handle(request))
        gone = asyncio.ensure_future(_until_end(reader))
        try:
            await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            status, headers, body = work.result()
        finally:
            work.cancel()
            gone.cancel()
        writer.write(encode(f"HTTP/1.1 {status} Status", headers, body))
        await writer.drain()
        return True


async def _until_end(reader):
    """Wait until the other side has closed the connection.

    The next request may arrive first; it is left in the buffer of the reader.
    """
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)
