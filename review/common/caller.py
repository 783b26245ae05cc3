"""Stand-in of the clients: send a request and record what came back."""

import asyncio
import dataclasses
import itertools
import time

from common import http

NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    """One client attempt: when it was sent, and when and how it ended.

    ``result`` is the status, or a text if there was no complete answer.
    """

    id: str
    machine: str
    path: str
    sent_at: float
    ended_at: float = 0.0
    result: object = "none"
    stamp: str | None = None

    @property
    def seconds(self):
        """Return the time from the request to its end."""
        return self.ended_at - self.sent_at


async def exchange(address, data):
    """Send bytes on a new connection; return the response, ``None`` if closed."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        await writer.drain()
        return await http.read_message(reader)
    finally:
        writer.transport.abort()


async def send(machine, address, method, path, host, wait_seconds, body=b""):
    """Send one request to a machine, wait for its answer, and return the attempt.

    The client states ``wait_seconds`` as its deadline, and leaves at that time.
    """
    attempt = Attempt(f"r-{next(NUMBERS):08x}", machine, path, time.monotonic())
    headers = {
        "Host": host,
        "X-Request-Id": attempt.id,
        "X-Deadline-Ms": str(int(wait_seconds * 1000)),
    }
    data = http.encode(f"{method} {path} HTTP/1.1", headers, body)
    try:
        async with asyncio.timeout(wait_seconds):
            answer = await exchange(address, data)
        if answer is None:
            attempt.result = "closed without an answer"
        else:
            attempt.result = answer.status
            attempt.stamp = answer.headers.get("x-server-stamp")
    except TimeoutError:
        attempt.result = "no answer until the deadline"
    except OSError as error:
        attempt.result = f"connection failed: {type(error).__name__}"
    attempt.ended_at = time.monotonic()
    return attempt
