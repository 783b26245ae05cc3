"""Store the time as of which the sheet is proved to be the store's current one.

Only a linearizable read of the store proves that, as of the time of its request. The
age is passed on to other proxies, each of which adds the time that it took by its own
clock.
"""

import math

AGE_STEP_SECONDS = 1e-4  # ages are rounded up to a multiple of this and one more
AGE_MAX_SECONDS = 1e9  # sent for a sheet that was never proved


class Proof:
    """The latest proof of the active sheet.

    ``elapsed`` is a clock that includes suspension, ``at`` the time by it as of which
    the sheet was current, minus infinity for no proof. ``passed_at`` is that of the
    proof that was last passed on.
    """

    __slots__ = ("elapsed", "at", "passed_at")

    def __init__(self, elapsed):
        self.elapsed = elapsed
        self.at = -math.inf
        self.passed_at = -math.inf

    def age(self):
        """Return the seconds since the sheet was proved current, infinite if never."""
        return self.elapsed() - self.at

    def note(self, at):
        """Record a proof as of a time by ``elapsed``; an older one has no effect."""
        self.at = max(self.at, at)

    def take_news(self, step):
        """Return whether the proof is ``step`` seconds newer than the one passed on.

        If it is, it counts as passed on from now.
        """
        if self.at < self.passed_at + step or math.isinf(self.at):
            return False
        self.passed_at = self.at
        return True


def rounded_up(age):
    """Return an age as it is sent, never lower than it is.

    >>> rounded_up(1.00001) > 1.00001, rounded_up(math.inf)
    (True, 1000000000.0)
    """
    if age >= AGE_MAX_SECONDS:
        return AGE_MAX_SECONDS
    steps = math.ceil(age / AGE_STEP_SECONDS) + 1
    return round(steps * AGE_STEP_SECONDS, 4)
