"""Write structured lines to standard output without ever blocking.

Lines wait in memory and go out together a few times a second. A reader that stops
reading costs lines, which are counted, and never a request. Lines about single requests
are limited for each kind of line; what is left out is counted in a later line.
"""

import collections
import os

import orjson

WAITING_LINES_MAX = 4000  # about 1 MB of lines; older ones go first
LINES_PER_SECOND = 20  # of each kind about single requests; keeps CPU for logs small
LINES_BURST = 60
FLUSH_SECONDS = 0.25


class EventLog:
    """Collect lines and write them to a descriptor that does not block.

    >>> book = EventLog(None, "n1", clock=lambda: 1.0, wall=lambda: 1.0)
    >>> book.event("start", port=1)
    >>> b'"event":"start"' in book.waiting[0]
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
        """Note a change of belief, a start, a stop or a dependency."""
        line = {"at": round(self.wall(), 3), "node": self.node, "event": kind, **fields}
        if len(self.waiting) >= WAITING_LINES_MAX:
            self.waiting.popleft()
            self.dropped += 1
        self.waiting.append(orjson.dumps(line, default=str) + b"\n")

    def request(self, kind, id, /, **fields):
        """Note a decision about one request, up to a rate for each kind of line."""
        now = self.clock()
        tokens, since = self.tokens.get(kind, (LINES_BURST, now))
        tokens = min(LINES_BURST, tokens + (now - since) * LINES_PER_SECOND)
        if tokens < 1:
            self.tokens[kind] = (tokens, now)
            self.suppressed[kind] += 1
            return
        self.tokens[kind] = (tokens - 1, now)
        self.event(kind, id=id, **fields)

    def flush(self):
        """Write what the descriptor takes now; keep the rest."""
        if self.suppressed:
            counts = dict(self.suppressed)
            self.suppressed.clear()
            self.event("lines-left-out", counts=counts)
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            self.event("lines-lost", count=lost)
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
            # Nobody reads the log any more and there is nowhere left to say so.
            return
        if written < len(data):
            self._keep(data[written:], partial=written > 0)

    def _keep(self, data, partial):
        # A line that was written in part is kept first, so that it ends whole.
        head = b""
        if partial:
            end = data.find(b"\n") + 1
            head, data = data[:end], data[end:]
        self.partial_line = head
        self.waiting.extendleft(reversed(data.splitlines(keepends=True)))
