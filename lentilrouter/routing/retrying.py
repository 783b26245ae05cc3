"""Decide whether a call may be tried again. No input or output."""

from lentilrouter.core import outcomes

MAX_ATTEMPTS = 3
BURST = 20.0
FLOOR_PER_SECOND = 1.0
TARGET_REFUSALS = {
    outcomes.Reason.OVERLOADED,
    outcomes.Reason.DRAINING,
    outcomes.Reason.UNREACHABLE,
}


class Budget:
    """Allow retries as a share of calls, with a small floor.

    Retries over any long time stay below ``share`` of the calls plus the floor; a
    short burst is bounded by ``BURST``.
    """

    __slots__ = ("share", "tokens", "updated")

    def __init__(self, share, now):
        self.share = share
        self.tokens = BURST
        self.updated = now

    def earn(self, now):
        """Note a first attempt."""
        earned = self.share + FLOOR_PER_SECOND * (now - self.updated)
        self.tokens = min(BURST, self.tokens + earned)
        self.updated = now

    def spend(self):
        """Take the right to one retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def worth_retrying(outcome, idempotent, attempts, time_left):
    """Tell whether another target may be tried after ``outcome``.

    A call that is not idempotent is only tried again if it was provably not run; an
    answer of a target is final whatever its status.
    """
    if attempts >= MAX_ATTEMPTS or time_left <= 0:
        return False
    if isinstance(outcome, outcomes.NotRun):
        return outcome.reason in TARGET_REFUSALS
    if isinstance(outcome, outcomes.Answered):
        return False
    if outcome.blocked or getattr(outcome, "late", False):
        return False
    return idempotent
