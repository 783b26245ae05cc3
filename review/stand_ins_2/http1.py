"""A small HTTP/1.1 server and client for the stand-ins; standard library only."""

import asyncio
import contextlib

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Request:
    """A complete request: ``headers`` maps lower-case names to values."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def encode(status, headers, body):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"content-length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def read_request(reader):
    """Return the next ``Request`` of a connection, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


async def _read_chunks(reader):
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


async def _read_ahead(reader):
    """Return the next byte of a connection, or no byte at its end."""
    try:
        return await reader.read(1)
    except ConnectionError:
        return b""


async def serve(address, handle):
    """Listen on ``IP:port``; ``handle(request)`` returns status, headers and body.

    If the other side closes the connection, ``handle`` is cancelled. A fourth value is
    sent when the next request of the connection arrives, before its response. With the
    status 0 the body is sent as it is, and the connection is closed.
    """

    async def connection(reader, writer):
        late = b""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                writer.write(late)
                task = asyncio.ensure_future(handle(request))
                ahead = asyncio.ensure_future(_read_ahead(reader))
                await asyncio.wait([task, ahead], return_when=asyncio.FIRST_COMPLETED)
                if not task.done():
                    # A proxy sends nothing before the response: the connection ended.
                    task.cancel()
                    break
                if task.cancelled():
                    break
                status, headers, body, late = (*task.result(), b"")[:4]
                writer.write(encode(status, headers, body) if status else body)
                await writer.drain()
                if not status:
                    break
                first = await ahead
                if not first:
                    break
                reader.feed_first(first)
        writer.close()

    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()

    def factory():
        reader = Reader(loop=loop)
        return asyncio.StreamReaderProtocol(reader, connection, loop=loop)

    return await loop.create_server(factory, host, int(port), backlog=1024)


class Reader(asyncio.StreamReader):
    """A stream reader that takes back a byte."""

    def feed_first(self, data):
        """Put bytes back before all others."""
        self._buffer[0:0] = data


class Response:
    """A complete response: ``headers`` maps lower-case names to values."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_response(reader):
    """Return the next ``Response`` of a connection; raise if it ends before."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")[:-2]
        status = int(first.split(" ", 2)[1])
        if status >= 200:
            break
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Response(status, headers, body)


def encode_request(method, target, host, headers=(), body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def request(address, method, target, host="x", headers=(), body=b"", seconds=5.0):
    """Send one request on a new connection; return the ``Response`` or ``None``."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(encode_request(method, target, host, headers, body))
            return await read_response(reader)
    except (OSError, EOFError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
