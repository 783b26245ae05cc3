"""Send JSON messages to the control ports of other nodes and count the bytes."""

import dataclasses
import urllib.parse

import orjson

from lentilrouter.datapath import messages, sending

HTTP_OK = 200
CRLF_BYTES = 2  # of the empty line after the headers
HEADER_EXTRA_BYTES = 4  # of each header: colon, space and line end


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """Result: the peer responded; ``body`` is the decoded JSON."""

    body: object


@dataclasses.dataclass(slots=True, frozen=True)
class NoReply:
    """Result: the peer did not respond, or not with status 200 and JSON."""

    reason: str


class Peers:
    """Client for control messages; no method raises for a fault of a peer."""

    __slots__ = ("client", "metrics")

    def __init__(self, settings, metrics):
        self.client = sending.Client(settings)
        self.metrics = metrics

    async def post(self, address, path, message, timeout):
        """Send a message to ``IP:port`` and return ``Reply`` or ``NoReply``.

        ``timeout`` is in seconds.
        """
        request = messages.Request("POST", path, [], orjson.dumps(message))
        return await self._send(address, request, timeout)

    async def get(self, address, path, timeout, **params):
        """Request ``path`` from ``IP:port`` and return ``Reply`` or ``NoReply``.

        ``timeout`` is in seconds; ``params`` become the query of the URL.
        """
        target = f"{path}?{urllib.parse.urlencode(params)}" if params else path
        return await self._send(address, messages.Request("GET", target, []), timeout)

    async def _send(self, address, request, timeout):
        sent_bytes = len(request.body) + len(request.target) + len(address)
        self._count("out", request.headers, sent_bytes)
        result = await self.client.send(address, request, timeout)
        if not isinstance(result, messages.Replied):
            return NoReply(result.detail)
        response = result.response
        self._count("in", response.headers, len(response.body))
        if response.status != HTTP_OK:
            return NoReply(f"status {response.status}")
        try:
            return Reply(orjson.loads(response.body))
        except orjson.JSONDecodeError as error:
            return NoReply(f"malformed response: {error}")

    def _count(self, direction, headers, content_bytes):
        size = message_bytes(headers, content_bytes)
        self.metrics.control_bytes.labels(direction).inc(size)

    def close_idle(self):
        """Close idle connections that are too old or cannot be used again."""
        self.client.close_idle()

    def close(self):
        """Close pooled connections."""
        self.client.close()


def message_bytes(headers, content_bytes):
    """Return the bytes of an HTTP/1.1 message on the wire.

    ``content_bytes`` is the size of the body; for a request those of target and address
    are included. The first line is counted as that of a response.
    """
    first_line = len("HTTP/1.1 200 OK\r\n")
    fields = sum(len(name) + len(value) + HEADER_EXTRA_BYTES for name, value in headers)
    return first_line + fields + CRLF_BYTES + content_bytes
