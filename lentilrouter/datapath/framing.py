"""Frame whole HTTP/1.1 messages: collect what the parser reports, encode the rest."""

import http

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in http.HTTPStatus
}
NO_BODY_STATUS = {204, 304}
PIECE_BYTES = 64 * 1024  # parsed at a time, so that a bound is noticed soon
SMALL_BYTES = 1024  # pieces of a body below this are put together as they come


class Collector:
    """Collect the pieces of one message that httptools reports."""

    __slots__ = ("headers", "chunks", "size", "url", "keep_alive", "complete")

    def __init__(self):
        self.reset()

    def reset(self):
        self.headers = []
        self.chunks = []
        self.size = 0
        self.url = b""
        self.complete = False

    def add(self, piece):
        """Add a piece of the body.

        An object of its own takes dozens of bytes, so small pieces share one.
        """
        self.size += len(piece)
        chunks = self.chunks
        if len(piece) >= SMALL_BYTES or not chunks:
            chunks.append(piece)
            return
        if not isinstance(chunks[-1], bytearray):
            chunks.append(bytearray())
        chunks[-1] += piece

    def body(self):
        """Return the whole body."""
        return self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)


def pieces(data):
    """Return the bytes of one read in the pieces in which they are parsed.

    >>> [len(piece) for piece in pieces(bytes(PIECE_BYTES + 1))]
    [65536, 1]
    """
    if len(data) <= PIECE_BYTES:
        return [data]
    starts = range(0, len(data), PIECE_BYTES)
    return [data[start : start + PIECE_BYTES] for start in starts]


def encode_response(response, keep_alive, head_only=False):
    """Return the bytes of a response with its length set."""
    parts = [STATUS_LINES.get(response.status) or _status_line(response.status)]
    for name, value in response.headers:
        parts.append(b"%s: %s\r\n" % (name, value))
    if response.status not in NO_BODY_STATUS:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not head_only:
        parts.append(response.body)
    return b"".join(parts)


def _status_line(status):
    return b"HTTP/1.1 %d Status\r\n" % status


def encode_request(request, address):
    """Return the bytes of a request with its length set."""
    parts = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    if request.header(b"host") is None:
        parts.append(b"host: %s\r\n" % address.encode())
    for name, value in request.headers:
        parts.append(b"%s: %s\r\n" % (name, value))
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        parts.append(b"content-length: %d\r\n" % len(request.body))
    parts.append(b"\r\n")
    parts.append(request.body)
    return b"".join(parts)
