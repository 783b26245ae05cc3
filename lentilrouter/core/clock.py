"""Provide clocks; decisions take one as an argument and never read the time."""

import time


def elapsed():
    """Return seconds that never go backwards and count while the host is suspended.

    ``time.monotonic`` stands still meanwhile: what is told from it looks younger.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Read the clocks of the operating system."""

    __slots__ = ()

    def monotonic(self):
        """Return seconds that never go backwards, for intervals."""
        return time.monotonic()

    def wall(self):
        """Return seconds since the Unix epoch, for deadlines that people set."""
        return time.time()


class ManualClock:
    """Advance only when told to, for virtual time.

    >>> clock = ManualClock(10.0)
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    12.5
    """

    __slots__ = ("now",)

    def __init__(self, now=0.0):
        self.now = now

    def monotonic(self):
        """Return the virtual time in seconds."""
        return self.now

    def wall(self):
        """Return the virtual time in seconds."""
        return self.now

    def advance(self, seconds):
        """Move the virtual time forward by ``seconds``."""
        self.now += seconds
