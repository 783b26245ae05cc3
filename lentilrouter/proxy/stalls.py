"""Detect times in which this process did not run. Does no I/O.

A process does not run while its host is suspended or the process is stopped. What it
measured over such a time says nothing about targets or other hosts.
"""

STALL_SECONDS = 1.0  # between two ticks; several times their usual interval


class StallDetector:
    """Detector of stalls by a tick that is called several times a second.

    ``ticked_at`` is the time of the last tick and ``resumed_at`` the time at which the
    last stall ended, both in monotonic seconds.

    >>> detector = StallDetector(now=10.0)
    >>> detector.tick(10.2)
    >>> detector.has_stalled(since=10.0, now=10.3)
    False
    >>> detector.has_stalled(since=10.2, now=17.3), detector.has_stalled(17.0, 17.4)
    (True, True)
    """

    __slots__ = ("ticked_at", "resumed_at")

    def __init__(self, now):
        self.ticked_at = now
        self.resumed_at = -1.0

    def tick(self, now):
        """Record that the process runs at the time ``now``."""
        if now - self.ticked_at > STALL_SECONDS:
            self.resumed_at = now
        self.ticked_at = now

    def has_stalled(self, since, now):
        """Return whether the process did not run for some time since ``since``.

        This also detects a stall that has just ended, before the next tick.
        """
        self.tick(now)
        return self.resumed_at >= since
