"""Estimate how long a caller has waited before it sends a call. Does no I/O.

A caller that was refused comes back with the rest of its time. Its call looks like a
new one, but for its deadline. While no call on a route is refused, all are new, and the
times that they have left are learned. Later, what a call lacks of the usual time has
passed already, if it has less left than any new call. Until enough is learned, as after
a restart of all proxies, ``overload.fresh`` makes the estimate where it is asked for.
"""

from lentilrouter.overload import fresh

CALM_SECONDS = 3.0  # without a refusal; then all callers that return have returned
CALLS_MIN = 20  # learned, before an estimate is made
MEAN_WEIGHT = 0.05  # of the newest call in the moving average
RISE_WEIGHT = 0.01  # by which the least time left follows later calls
TOLERANCE_SHARE = 0.02  # of the least time left; callers differ a little


class TimeLeft:
    """The times in seconds that new calls on a route have left.

    ``calls`` counts those learned, ``mean`` is their moving average, ``least`` about
    the least of them. ``refused_at`` is the time of the last refusal. ``fresh`` has
    what all calls show, refused or not.
    """

    __slots__ = ("calls", "mean", "least", "refused_at", "fresh")

    def __init__(self):
        self.calls = 0
        self.mean = 0.0
        self.least = 0.0
        self.refused_at = -CALM_SECONDS
        self.fresh = fresh.FreshCalls()

    def learn(self, left):
        """Learn from a new call."""
        self.calls += 1
        if self.calls == 1:
            self.mean = self.least = left
            return
        self.mean += MEAN_WEIGHT * (left - self.mean)
        self.least = min(left, self.least + RISE_WEIGHT * (left - self.least))

    def waited(self, left):
        """Return the seconds that the caller of a call has waited before."""
        is_new = left >= (1 - TOLERANCE_SHARE) * self.least
        return 0.0 if is_new or not self.is_known() else self.mean - left

    def is_known(self):
        """Return whether enough new calls were seen while none was refused."""
        return self.calls >= CALLS_MIN


class Waits:
    """Estimates for the calls of each route.

    >>> waits = Waits()
    >>> for _ in range(CALLS_MIN):
    ...     _ = waits.waited("read", 1.2, now=10.0)
    >>> waits.note_refusal("read", now=11.0)
    >>> waits.waited("read", 0.9, now=11.1)
    0.3
    """

    __slots__ = ("routes",)

    def __init__(self):
        self.routes = {}

    def is_known(self, route):
        """Return whether the time left of new calls on a route was learned."""
        return self._times(route).is_known()

    def waited(self, route, left, now, early=False):
        """Return how long the caller of a new call has waited before, in seconds.

        ``left`` is the time in seconds until the deadline that the caller states,
        ``None`` if it states none. With ``early``, an estimate is made before the time
        left of new calls is known.
        """
        if left is None:
            return 0.0
        times = self._times(route)
        estimate = times.waited
        if early and not times.is_known():
            times.fresh.note(left)
            estimate = times.fresh.waited
        if now - times.refused_at >= CALM_SECONDS:
            times.learn(left)
            return 0.0
        return round(estimate(left), 4)

    def note_refusal(self, route, now):
        """Record that a call on a route was refused."""
        self._times(route).refused_at = now

    def _times(self, route):
        times = self.routes.get(route)
        if times is None:
            times = self.routes[route] = TimeLeft()
        return times
