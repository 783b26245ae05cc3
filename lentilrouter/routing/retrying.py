"""Decide whether a call may be retried. Does no I/O."""

from lentilrouter.core import outcomes

MAX_ATTEMPTS = 3  # the first one included
BURST_RETRIES = 20.0  # size of the token bucket
FLOOR_RETRIES_PER_SECOND = 1.0
RETRYABLE_REASONS = {
    outcomes.Reason.OVERLOADED,
    outcomes.Reason.DRAINING,
    outcomes.Reason.UNREACHABLE,
}


class Budget:
    """Limit on retries: a share of the calls, plus a small floor.

    This is a token bucket. Over any long time there are fewer retries than ``share``
    of the calls plus the floor; a short burst is bounded by ``BURST_RETRIES``.
    """

    __slots__ = ("share", "tokens", "updated_at")

    def __init__(self, share, now):
        self.share = share
        self.tokens = BURST_RETRIES
        self.updated_at = now

    def earn(self, now):
        """Add tokens for a first attempt; ``now`` is in monotonic seconds."""
        earned = self.share + FLOOR_RETRIES_PER_SECOND * (now - self.updated_at)
        self.tokens = min(BURST_RETRIES, self.tokens + earned)
        self.updated_at = now

    def spend(self):
        """Take the token for one retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(outcome, idempotent, attempts, time_left):
    """Return whether another target may be tried after ``outcome``.

    ``attempts`` counts those made so far, ``time_left`` is in seconds. A call that is
    not idempotent is only retried if it was provably not run; a response of a target is
    final whatever its status.
    """
    if attempts >= MAX_ATTEMPTS or time_left <= 0:
        return False
    if isinstance(outcome, outcomes.NotRun):
        return outcome.reason in RETRYABLE_REASONS
    if isinstance(outcome, outcomes.Answered):
        return False
    if outcome.blocked or getattr(outcome, "late", False):
        return False
    return idempotent
