"""Collect complete HTTP/1.1 messages from the parser and encode them."""

import http

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in http.HTTPStatus
}
NO_BODY_STATUS = {204, 304}
PIECE_BYTES = 64 * 1024  # parsed at a time, so that exceeded limits are noticed soon
SMALL_PIECE_BYTES = 1024  # smaller pieces of a body are joined as they arrive
WHOLE_BODY_BYTES = 64 * 1024  # a larger body is not copied to follow its head


class Collector:
    """The parts of one message, as httptools reports them.

    ``size`` is that of the body so far, in bytes.
    """

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

        Small pieces share one object, because each object takes dozens of bytes.
        """
        self.size += len(piece)
        chunks = self.chunks
        if len(piece) >= SMALL_PIECE_BYTES or not chunks:
            chunks.append(piece)
            return
        if not isinstance(chunks[-1], bytearray):
            chunks.append(bytearray())
        chunks[-1] += piece

    def extend(self, piece):
        """Add a piece of a body that may be large to one growing object.

        Most bodies have one piece, which is not copied. Joining a large body at its end
        would take its size again.
        """
        self.size += len(piece)
        chunks = self.chunks
        if not chunks:
            chunks.append(piece)
            return
        if not isinstance(chunks[0], bytearray):
            chunks[0] = bytearray(chunks[0])
        chunks[0] += piece

    def body(self):
        """Return the complete body as ``bytes`` or ``bytearray``."""
        return self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)


def pieces(data):
    """Return the data of one read, split into pieces of at most ``PIECE_BYTES``.

    >>> [len(piece) for piece in pieces(bytes(PIECE_BYTES + 1))]
    [65536, 1]
    """
    if len(data) <= PIECE_BYTES:
        return [data]
    starts = range(0, len(data), PIECE_BYTES)
    return [data[start : start + PIECE_BYTES] for start in starts]


def encode_response(response, keep_alive, head_only=False):
    """Return the bytes of a response, with a ``content-length`` header.

    Without ``keep_alive`` the response has ``connection: close``. With ``head_only``
    the body is omitted, as for a HEAD request.
    """
    return b"".join(encode_response_parts(response, keep_alive, head_only))


def encode_response_parts(response, keep_alive, head_only=False):
    """Return the bytes of a response as a list; a large body is an item of its own."""
    parts = [STATUS_LINES.get(response.status) or _status_line(response.status)]
    for name, value in response.headers:
        parts.append(b"%s: %s\r\n" % (name, value))
    if response.status not in NO_BODY_STATUS:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if head_only:
        return [b"".join(parts)]
    if len(response.body) > WHOLE_BODY_BYTES:
        return [b"".join(parts), response.body]
    parts.append(response.body)
    return [b"".join(parts)]


def _status_line(status):
    return b"HTTP/1.1 %d Status\r\n" % status


def encode_request(request, address):
    """Return the bytes of a request, with a ``content-length`` header if needed.

    A body of more than ``WHOLE_BODY_BYTES`` is to be sent separately.
    ``address`` is used as the ``host`` header of a request that has none.
    """
    parts = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    if request.header(b"host") is None:
        parts.append(b"host: %s\r\n" % address.encode())
    for name, value in request.headers:
        parts.append(b"%s: %s\r\n" % (name, value))
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        parts.append(b"content-length: %d\r\n" % len(request.body))
    parts.append(b"\r\n")
    if len(request.body) <= WHOLE_BODY_BYTES:
        parts.append(request.body)
    return b"".join(parts)


def separate_body(message):
    """Return the body if it is to be sent separately after the head, or ``b""``."""
    return message.body if len(message.body) > WHOLE_BODY_BYTES else b""
