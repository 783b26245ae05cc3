"""Decide when to check whether the local target has turned cold. Does no I/O.

A target may turn cold under the same id, and its next heartbeat may be a whole interval
away. A late heartbeat and calls that suddenly take longer are signs of that. A check
costs money, so both have limits.
"""

import enum

LATE_BEATS = 1.5  # intervals without a heartbeat after which it is late
CALL_WEIGHT = 0.3  # of the newest call in the moving average of ratios
# Bound of the ratio of one call's time to the usual one: a few calls take many times as
# long, which says nothing about the target.
RATIO_MAX = 2.5
SLOW_RATIO = 1.7  # mean ratio of the last calls of a target that may be cold
PAUSE_SECONDS = 1.0  # between two checks for slow calls


class Cause(enum.StrEnum):
    """Reason for a check."""

    LATE_HEARTBEAT = "late heartbeat"
    SLOW_CALLS = "slow calls"


class Suspicion:
    """Signs that the target has turned cold.

    ``ratio`` is the moving average of the ratio of the calls' times to the usual ones,
    ``checked_at`` the monotonic time of the last check for slow calls, and
    ``late_after`` the time of the heartbeat after which the last check for a late one
    was made.

    >>> suspicion = Suspicion()
    >>> suspicion.is_late(last_heartbeat_at=5.0, beat_seconds=1.0, now=6.4)
    False
    >>> suspicion.is_late(5.0, 1.0, 6.6), suspicion.is_late(5.0, 1.0, 6.8)
    (True, False)
    >>> [suspicion.is_slow(0.25, usual=0.1, now=7.0) for _ in range(3)]
    [False, True, False]
    """

    __slots__ = ("ratio", "checked_at", "late_after")

    def __init__(self):
        self.ratio = 1.0
        self.checked_at = 0.0
        self.late_after = 0.0

    def is_late(self, last_heartbeat_at, beat_seconds, now):
        """Return whether a heartbeat is late and no check was made for that."""
        late = now - last_heartbeat_at > LATE_BEATS * beat_seconds
        if not late or self.late_after == last_heartbeat_at:
            return False
        self.late_after = last_heartbeat_at
        return True

    def is_slow(self, seconds, usual, now):
        """Learn from a call; return whether the last calls are a reason for a check.

        ``usual`` is the usual time of such a call in seconds.
        """
        ratio = min(RATIO_MAX, seconds / usual)
        self.ratio += CALL_WEIGHT * (ratio - self.ratio)
        if self.ratio < SLOW_RATIO or now - self.checked_at < PAUSE_SECONDS:
            return False
        self.checked_at = now
        return True
