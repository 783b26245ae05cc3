"""Bound the rate of calls to a cold target. Does no I/O.

A target is slow for a while after its start and crashes if it gets many calls in that
time. After a loss of power all targets start at once; if their usual calls crashed them
again, they would never get warm. Only the proxy beside a target sends to it, so that
proxy keeps the rate exactly.
"""

import collections
import math

# Calls that may start together. With 1.0, a timer that is 10 ms late loses 5 % of the
# rate; each further one adds to the calls that a second may have.
BURST = 2.0
WINDOW_SECONDS = 1.0  # in which a target may get at most its rate and the burst
ROUNDING = 1e-9  # of a call; the time of a call's turn is rounded
# Time for which a target counts as cold after its proxy refused a call for that: a few
# calls of its rate.
REFUSED_SECONDS = 0.4


class Pace:
    """The rate of calls that a target bears while it is cold.

    ``rate`` is in calls a second, 0 for no limit; it applies until the monotonic time
    ``cold_until``. ``tokens`` are the calls that may start, as of the time ``at``.
    ``starts`` has the times of the calls of the last ``WINDOW_SECONDS``, also of those
    before the target was known to be cold: it may have been so already.

    >>> pace = Pace()
    >>> pace.update(2.0, cold_until=9.0, now=1.0)
    True
    >>> pace.take(1.0), pace.wait(0, 1.0), pace.take(1.5), pace.take(1.6)
    (False, 0.5, True, False)
    >>> pace.take(9.0)
    True
    """

    __slots__ = ("rate", "cold_until", "tokens", "at", "starts")

    def __init__(self):
        self.rate = 0.0
        self.cold_until = 0.0
        self.tokens = 0.0
        self.at = 0.0
        self.starts = collections.deque()

    def is_limited(self, now):
        """Return whether the target is cold and its rate is limited."""
        return self.rate > 0 and now < self.cold_until

    def update(self, rate, cold_until, now):
        """Set the rate and the time at which the target is warm.

        Return whether that starts a limit. It starts without tokens, as the target may
        have had calls just before.
        """
        was_limited = self.is_limited(now)
        if was_limited:
            self._refill(now)
        self.rate, self.cold_until = rate, cold_until
        begins = not was_limited and self.is_limited(now)
        if begins:
            self.tokens, self.at = 0.0, now
        return begins

    def wait(self, ahead, now):
        """Return the seconds until a call may start after ``ahead`` other calls."""
        if not self.is_limited(now):
            return 0.0
        self._refill(now)
        seconds = (1.0 + ahead - self.tokens) / self.rate
        seconds = max(seconds, self._window_wait(ahead, now))
        return max(0.0, min(seconds, self.cold_until - now))

    def _window_wait(self, ahead, now):
        """Return the seconds until enough of the last calls are out of the window."""
        self._forget(now)
        over = len(self.starts) + 1 + ahead - self._window_calls()
        if over <= 0 or not self.starts:
            return 0.0
        start = self.starts[min(over, len(self.starts)) - 1]
        return start + WINDOW_SECONDS - now

    def _window_calls(self):
        """Return the most calls that may start in the window."""
        return math.floor(self.rate * WINDOW_SECONDS + BURST)

    def _forget(self, now):
        """Remove the starts that are out of the window."""
        while self.starts and self.starts[0] <= now - WINDOW_SECONDS:
            self.starts.popleft()

    def take(self, now):
        """Return whether a call may start now; if so, count it."""
        if self.rate <= 0:
            return True
        self._forget(now)
        if self.is_limited(now):
            self._refill(now)
            full = len(self.starts) >= self._window_calls()
            if full or self.tokens < 1.0 - ROUNDING:
                return False
            self.tokens -= 1.0
        self.starts.append(now)
        return True

    def _refill(self, now):
        elapsed = max(0.0, now - self.at)
        self.tokens = min(BURST, self.tokens + elapsed * self.rate)
        self.at = max(now, self.at)


class Returns:
    """The turns of callers that were refused because all targets are cold.

    ``due`` maps a service to the monotonic time of the last turn given.

    >>> returns = Returns()
    >>> [returns.next("ledger", 2.0, now=1.0) for _ in range(2)]
    [0.5, 1.0]
    >>> returns.next("ledger", 2.0, now=9.0)
    0.5
    """

    __slots__ = ("due",)

    def __init__(self):
        self.due = {}

    def next(self, service, rate, now):
        """Return the seconds until the next turn; ``rate`` is that of the turns."""
        self.due[service] = max(now, self.due.get(service, now)) + 1.0 / rate
        return self.due[service] - now
