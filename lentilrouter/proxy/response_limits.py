"""Limit the memory and processor time taken by responses that are being received.

All bytes are counted as they arrive, since the parser reports the name and the value of
a header only once each is complete, and never reports chunk framing.
"""

MAX_HEAD_BYTES = 64 * 1024  # heads of a response and of all responses before it
MAX_FRAMING_BYTES = 64 * 1024  # chunk framing and trailers, plus the share below
FRAMING_SHARE = 1 / 16  # of the body's bytes; each chunk costs processor time
MAX_BUFFERED_BYTES = 64 * 1024 * 1024  # incomplete bodies of all responses together
MAX_FOREIGN_RESPONSES = 8  # late responses to earlier requests, skipped per request


class ResponseSize:
    """Numbers of bytes received for one request.

    ``body`` counts the bytes of the body and ``overhead`` all others. ``foreign``
    counts responses to earlier requests. ``in_head`` is true until the head of the
    response is complete.
    """

    __slots__ = ("overhead", "body", "foreign", "in_head")

    def __init__(self):
        self.reset()

    def reset(self):
        """Reset all counts for the next request."""
        self.overhead = 0
        self.body = 0
        self.foreign = 0
        self.in_head = True

    def count_received(self, count):
        """Count received bytes, as overhead until they are known to be body."""
        self.overhead += count

    def count_body(self, count):
        """Count bytes, already counted as received, as part of a body."""
        self.overhead -= count
        self.body += count

    def exceeded(self):
        """Return whether head, framing or skipped responses exceed their limits.

        >>> response_size = ResponseSize()
        >>> response_size.count_received(MAX_HEAD_BYTES)
        >>> response_size.exceeded()
        False
        >>> response_size.count_received(1)
        >>> response_size.exceeded()
        True
        """
        if self.foreign > MAX_FOREIGN_RESPONSES:
            return True
        if self.in_head:
            return self.overhead > MAX_HEAD_BYTES
        framing = MAX_FRAMING_BYTES + FRAMING_SHARE * self.body
        return self.overhead > MAX_HEAD_BYTES + framing


class BufferedBytes:
    """Limit for the bytes of incomplete bodies that all connections buffer together.

    A connection has a method ``abort(detail)`` that ends its exchange.
    """

    __slots__ = ("limit", "used", "by_connection")

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.by_connection = {}

    def add(self, connection, count):
        """Count bytes as buffered; abort the largest connections beyond the limit."""
        self.by_connection[connection] = self.by_connection.get(connection, 0) + count
        self.used += count
        while self.used > self.limit:
            largest = max(self.by_connection, key=self.by_connection.get)
            largest.abort("answers together are too large")
            self.release(largest)

    def release(self, connection):
        """Count all buffered bytes of a connection as released."""
        self.used -= self.by_connection.pop(connection, 0)


BUFFERED = BufferedBytes(MAX_BUFFERED_BYTES)
