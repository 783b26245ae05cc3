"""Tell returned callers from new ones before the usual time left is known. No I/O.

``proxy.waits`` learns the time that new calls have left while no call is refused. After
a loss of power there is no such time: calls are refused from the first second on. Until
then the largest times that were seen are taken for those of new calls.
"""

FRESH_SHARE = 0.85  # of the largest time left; calls with more count as new
# Of all calls, that have to be new. Below it, callers of a route have unlike deadlines,
# and a short one says nothing.
CLUSTER_SHARE_MIN = 0.25
CALLS_MIN = 6  # seen, before an estimate is made
DECAY = 0.002  # of the largest time, at each call
WEIGHT = 0.1  # of the newest call in the moving averages


class FreshCalls:
    """The times in seconds that the calls of a route which look new have left.

    ``calls`` counts all calls, ``most`` is about the largest time left, ``mean`` the
    moving average of the new ones and ``share`` that of their share of the calls.

    >>> fresh = FreshCalls()
    >>> for _ in range(CALLS_MIN):
    ...     fresh.note(4.0)
    >>> fresh.waited(3.8), fresh.waited(3.0)
    (0.0, 1.0)
    """

    __slots__ = ("calls", "most", "mean", "share")

    def __init__(self):
        self.calls = 0
        self.most = 0.0
        self.mean = 0.0
        self.share = 1.0

    def note(self, left):
        """Record the time that a call has left, be it new or returned."""
        self.calls += 1
        self.most = max(left, (1 - DECAY) * self.most)
        is_fresh = left >= FRESH_SHARE * self.most
        self.share += WEIGHT * (is_fresh - self.share)
        if self.mean < FRESH_SHARE * self.most:
            self.mean = self.most
        if is_fresh:
            self.mean += WEIGHT * (left - self.mean)

    def waited(self, left):
        """Return the seconds that the caller of a call has waited before, 0.0 if new.

        It is 0.0 too while too little is known.
        """
        known = self.calls >= CALLS_MIN and self.share >= CLUSTER_SHARE_MIN
        if not known or left >= FRESH_SHARE * self.most:
            return 0.0
        return max(0.0, self.mean - left)
