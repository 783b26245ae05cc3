"""Account of the requests of a process and of the bytes that they hold.

The account decides what fits and whose request ends when room is needed. It does no
I/O and gets the time passed in. A wrong count leads to an unnecessary refusal at worst.
"""

import collections

# Requests up to this size may also use the spare room, so that ordinary callers are
# served while large bodies take up all other memory.
SMALL_BYTES = 64 * 1024
SPARE_SHARE = 1 / 8  # of the ceiling, kept for small requests
# An unfinished request that received nothing for this long may be ended to make room.
STALL_SECONDS = 0.5
SCAN_SECONDS = 0.1  # between searches for such requests, as each visits all of them
UNLIMITED = 1 << 62
REQUEST_BYTES = 1024  # objects of a request beyond its own bytes
# A body that grows in memory takes up to an eighth more than its length.
GROWTH_SHARE = 1 / 8


class Account:
    """Account of the bytes that the requests of all connections hold together.

    ``receiving`` has the connections with an unfinished request, which have the
    attributes ``reserved`` (bytes held by that request), ``progress`` (received share)
    and ``last_received_at``, and a method ``end_unfinished()``. ``unread`` maps
    connections to the bytes of responses that their reader has not read; these have a
    method ``abort_unread()``. ``refusals`` counts by cause.
    """

    __slots__ = (
        "limit",
        "request_limit",
        "used",
        "requests",
        "receiving",
        "unread",
        "refusals",
        "scanned_at",
    )

    def __init__(self):
        self.limit = self.request_limit = UNLIMITED
        self.used = 0
        self.requests = 0
        self.receiving = {}
        self.unread = {}
        self.refusals = collections.Counter()
        self.scanned_at = 0.0

    def apply(self, ceilings):
        """Apply the ``limits.Ceilings`` of the host."""
        self.limit = ceilings.request_bytes
        self.request_limit = ceilings.requests

    def reserve(self, connection, total, now):
        """Let the unfinished request of a connection hold ``total`` bytes.

        Return whether they fit, if needed after stalled requests have been ended.
        """
        growth = total - connection.reserved
        allowed = self.limit
        if total > SMALL_BYTES:
            allowed -= int(allowed * SPARE_SHARE)
        if self.used + growth > allowed:
            self._end_stalled(connection, allowed - growth, now)
            if self.used + growth > allowed:
                self.refusals["memory"] += 1
                return False
        self.used += growth
        connection.reserved = total
        self.receiving[connection] = None
        return True

    def release(self, connection):
        """Release what the unfinished request of a connection holds."""
        self.used -= connection.reserved
        connection.reserved = 0
        self.receiving.pop(connection, None)

    def complete(self, connection, size):
        """Count a complete request and return the bytes that it holds.

        ``size`` is that of its head and body, which need not be reserved completely.
        """
        self.requests += 1
        held = size + REQUEST_BYTES
        if connection.reserved:
            held = max(connection.reserved, held)
            self.release(connection)
        self.used += held
        return held

    def done(self, held):
        """Count a request as answered or given up, and release what it held."""
        self.used -= held
        self.requests -= 1

    def set_unread(self, connection, count):
        """Set the bytes of written responses that a connection's reader has not read.

        Beyond the limit, the connections with the most such bytes are ended.
        """
        self.used += count - self.unread.pop(connection, 0)
        if count:
            self.unread[connection] = count
        while self.used > self.limit and self.unread:
            largest = max(self.unread, key=self.unread.get)
            self.used -= self.unread.pop(largest)
            self.refusals["unread"] += 1
            largest.abort_unread()

    def _end_stalled(self, needing, target, now):
        """End stalled requests, the least complete first, until ``target`` is met."""
        if now - self.scanned_at < SCAN_SECONDS:
            return
        self.scanned_at = now
        stalled = [
            each
            for each in self.receiving
            if each is not needing and now - each.last_received_at > STALL_SECONDS
        ]
        stalled.sort(key=lambda each: (each.progress, each.last_received_at))
        for each in stalled:
            if self.used <= target:
                return
            self.refusals["stalled"] += 1
            each.end_unfinished()
