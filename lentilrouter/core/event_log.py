"""Write structured log lines to a descriptor, such as standard output.

Lines are queued in memory and written together a few times a second, without ever
blocking. If the reader of the log stops reading, lines are dropped and counted, and
requests go on. Lines about single requests are rate-limited by event type; a later line
counts those left out.
"""

import collections
import os

import orjson

WAITING_LINES_MAX = 4000  # about 1 MB of lines; the oldest are dropped first
LINES_PER_SECOND = 20  # of each type about single requests; keeps CPU for logs small
LINES_BURST = 60  # of each type about single requests, at once after a pause
FLUSH_SECONDS = 0.25  # between two flushes


class EventLog:
    """Queue of log lines of one node and their output descriptor.

    Without a descriptor lines stay in ``waiting``. ``clock`` returns monotonic seconds,
    ``wall`` Unix seconds.

    >>> log = EventLog(None, "n1", clock=lambda: 1.0, wall=lambda: 1.0)
    >>> log.event("start", port=1)
    >>> b'"event":"start"' in log.waiting[0]
    True
    """

    __slots__ = (
        "descriptor",
        "node",
        "clock",
        "wall",
        "waiting",
        "partial_line",
        "dropped",
        "tokens",
        "suppressed",
    )

    def __init__(self, descriptor, node, clock, wall):
        self.descriptor = descriptor
        self.node = node
        self.clock = clock
        self.wall = wall
        self.waiting = collections.deque()
        self.partial_line = b""
        self.dropped = 0
        self.tokens = {}
        self.suppressed = collections.Counter()
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def event(self, kind, /, **fields):
        """Log an event of the node, such as a start, a stop or a change of known state.

        ``kind`` is the type of the event. There is no rate limit; if the queue is full,
        the oldest line is dropped.
        """
        line = {"at": round(self.wall(), 3), "node": self.node, "event": kind, **fields}
        if len(self.waiting) >= WAITING_LINES_MAX:
            self.waiting.popleft()
            self.dropped += 1
        self.waiting.append(orjson.dumps(line, default=str) + b"\n")

    def request(self, kind, id, /, **fields):
        """Log an event about the request ``id``, unless its type exceeds its rate."""
        now = self.clock()
        tokens, last_at = self.tokens.get(kind, (LINES_BURST, now))
        tokens = min(LINES_BURST, tokens + (now - last_at) * LINES_PER_SECOND)
        if tokens < 1:
            self.tokens[kind] = (tokens, now)
            self.suppressed[kind] += 1
            return
        self.tokens[kind] = (tokens - 1, now)
        self.event(kind, id=id, **fields)

    def flush(self):
        """Write as much as the descriptor accepts now; keep the rest.

        The lines are discarded if writing fails for good.
        """
        if self.suppressed:
            counts = dict(self.suppressed)
            self.suppressed.clear()
            self.event("lines-left-out", counts=counts)
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.event("lines-lost", count=dropped)
        if self.descriptor is None:
            return
        data = self.partial_line + b"".join(self.waiting)
        self.waiting.clear()
        self.partial_line = b""
        if not data:
            return
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the log, so the failure cannot be logged either.
            return
        if written < len(data):
            self._requeue(data[written:], cut=written > 0)

    def _requeue(self, data, cut):
        """Put lines that were not written back; ``cut`` is true if the first is cut."""
        # The rest of a cut line is written first, so that the line is completed.
        head = b""
        if cut:
            end = data.find(b"\n") + 1
            head, data = data[:end], data[end:]
        self.partial_line = head
        self.waiting.extendleft(reversed(data.splitlines(keepends=True)))
