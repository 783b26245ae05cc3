"""Estimate how long a caller has waited before it sends a call. Does no I/O.

A caller that was refused comes back with the rest of its time. Its call looks like a
new one, but for its deadline. Where most calls on a route have the same time left, that
is the time of a new call, and what a call lacks of it has passed already.
"""

TOLERANCE_SECONDS = 0.002  # callers round the time left, which shrinks on the way
USUAL_SHARE_MIN = 0.3  # of the calls; with less, there is no usual time
FORGET_SHARE = 0.05  # of the calls; with less, the usual time was an exception
SHARE_WEIGHT = 0.05  # of the newest call in the moving average


class UsualTime:
    """The time left in seconds that new calls on a route usually have.

    ``share`` is the moving average of the share of calls that have it.
    """

    __slots__ = ("seconds", "share")

    def __init__(self, seconds):
        self.seconds = seconds
        self.share = 1.0

    def learn(self, left):
        """Learn from a call with ``left`` seconds until its deadline."""
        is_usual = abs(left - self.seconds) <= TOLERANCE_SECONDS
        self.share += SHARE_WEIGHT * (is_usual - self.share)
        if left > self.seconds + TOLERANCE_SECONDS or self.share < FORGET_SHARE:
            self.seconds, self.share = left, USUAL_SHARE_MIN

    def waited(self, left):
        """Return the seconds that the caller of a call has waited before, 0 if new."""
        missing = self.seconds - left
        if missing <= TOLERANCE_SECONDS or self.share < USUAL_SHARE_MIN:
            return 0.0
        return missing


class Patience:
    """Estimates for the calls of each route.

    >>> patience = Patience()
    >>> [patience.waited("read", left) for left in (1.2, 1.2, 0.95)]
    [0.0, 0.0, 0.25]
    """

    __slots__ = ("routes",)

    def __init__(self):
        self.routes = {}

    def waited(self, route, left):
        """Return how long the caller of a new call has waited before, in seconds.

        ``left`` is the time in seconds until the deadline that the caller states,
        ``None`` if it states none.
        """
        if left is None:
            return 0.0
        usual = self.routes.get(route)
        if usual is None:
            usual = self.routes[route] = UsualTime(left)
        usual.learn(left)
        return round(usual.waited(left), 4)
