"""Smooth the work time that a target reports with its responses. Does no I/O.

The figure changes many times a second, while other proxies read it for as long as a
call takes. So they get a moving average over time, with the age of its last report.
"""

import dataclasses
import math

SMOOTHING_SECONDS = 0.1  # time constant; slow phases of a host last about 0.6 s


@dataclasses.dataclass(slots=True)
class WorkTime:
    """Moving average of a target's work time, as a multiple of the usual one.

    ``ratio`` is 0.0 as long as the target has reported none. ``reported_at`` is the
    time of the last report in monotonic seconds.

    >>> work = WorkTime()
    >>> work.note(250, now=1.0)
    >>> work.ratio, work.age(1.5)
    (2.5, 0.5)
    """

    ratio: float = 0.0
    reported_at: float = 0.0

    def note(self, percent, now):
        """Record a report, in percent of the usual work time."""
        ratio = max(1, percent) / 100
        if self.ratio:
            weight = 1 - math.exp(-max(0.0, now - self.reported_at) / SMOOTHING_SECONDS)
            ratio = self.ratio + weight * (ratio - self.ratio)
        self.ratio, self.reported_at = ratio, now

    def age(self, now):
        """Return the seconds since the last report, 0.0 if there was none."""
        return max(0.0, now - self.reported_at) if self.ratio else 0.0
