"""Bound what the answer to one request may take before it is whole.

All bytes that arrive are counted as they come, since the parser reports the name and
the value of a header only once each is complete, and chunk framing not at all.
"""

MAX_HEAD_BYTES = 64 * 1024  # heads of an answer and of all that came before it
MAX_FRAMING_BYTES = 64 * 1024  # chunk framing and trailers, besides the share below
FRAMING_SHARE = 1 / 16  # of the body's bytes; each chunk costs processor time
MAX_HELD_BYTES = 64 * 1024 * 1024  # bodies that are not whole yet, of all answers
MAX_FOREIGN_ANSWERS = 8  # late answers to earlier requests, skipped for one request


class ResponseSize:
    """Count the bytes that arrived for one request, apart from the body."""

    __slots__ = ("overhead", "body", "foreign", "in_head")

    def __init__(self):
        self.reset()

    def reset(self):
        """Start anew, for the next request."""
        self.overhead = 0
        self.body = 0
        self.foreign = 0
        self.in_head = True

    def arrived(self, count):
        """Count bytes as they come."""
        self.overhead += count

    def body_arrived(self, count):
        """Count bytes, counted as arrived before, as part of a body."""
        self.overhead -= count
        self.body += count

    def exceeded(self):
        """Tell whether head or framing takes more than an answer may.

        >>> response_size = ResponseSize()
        >>> response_size.arrived(MAX_HEAD_BYTES)
        >>> response_size.exceeded()
        False
        >>> response_size.arrived(1)
        >>> response_size.exceeded()
        True
        """
        if self.foreign > MAX_FOREIGN_ANSWERS:
            return True
        if self.in_head:
            return self.overhead > MAX_HEAD_BYTES
        framing = MAX_FRAMING_BYTES + FRAMING_SHARE * self.body
        return self.overhead > MAX_HEAD_BYTES + framing


class BufferedBytes:
    """Bound the bodies that all answers of this process hold until they are whole.

    Holders are connections, with a method ``give_up(detail)`` that ends their exchange.
    """

    __slots__ = ("limit", "used", "by_holder")

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.by_holder = {}

    def take(self, holder, count):
        """Count bytes as held; beyond the limit the largest holders are ended."""
        self.by_holder[holder] = self.by_holder.get(holder, 0) + count
        self.used += count
        while self.used > self.limit:
            largest = max(self.by_holder, key=self.by_holder.get)
            largest.give_up("answers together are too large")
            self.give(largest)

    def give(self, holder):
        """Count all bytes of a holder as let go."""
        self.used -= self.by_holder.pop(holder, 0)


BUFFERED = BufferedBytes(MAX_HELD_BYTES)
