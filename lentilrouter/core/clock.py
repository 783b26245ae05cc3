"""Clocks.

Code that decides something takes a clock as an argument and never reads the time
itself, so that tests and simulations can run it in virtual time.
"""

import time


def elapsed():
    """Return seconds since boot; they never go backwards and include suspension.

    ``time.monotonic`` stands still while the host is suspended, so ages computed from
    it would be too low.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic(self):
        """Return seconds that never go backwards, to measure intervals."""
        return time.monotonic()

    def wall(self):
        """Return seconds since the Unix epoch, for times that people set or read."""
        return time.time()


class ManualClock:
    """Clock with virtual time, which passes only by :meth:`advance`.

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
