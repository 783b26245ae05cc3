"""Decide when a host reports to the allocator. Does no I/O."""

REPORT_SECONDS = 0.8  # between two reports while no call waits
WAITING_SECONDS = 0.05  # between two reports while one does
REPORTS_PER_SECOND = 12.0  # at most on average
REPORTS_MAX = 8.0  # that may be sent shortly after each other


class Pacer:
    """Times of reports.

    ``sent_at`` is the time of the last one, ``left`` the number that might have
    followed it at once, and ``told`` the term of the allocator that has answered last.
    An allocator waits for a report of each host, so a host that needs nothing sends it
    one.
    """

    __slots__ = ("sent_at", "left", "told")

    def __init__(self):
        self.sent_at = -REPORT_SECONDS
        self.left = REPORTS_MAX
        self.told = None

    def seconds(self, ledger, term, now):
        """Return the time until the next report is due, ``None`` if none is needed.

        ``term`` stands for the present term of an allocator, ``None`` if there is none.
        """
        if term is None or (term == self.told and not ledger.is_needed(now)):
            return None
        interval = REPORT_SECONDS
        if ledger.is_waiting():
            missing = max(0.0, 1.0 - self.left)
            interval = max(WAITING_SECONDS, missing / REPORTS_PER_SECOND)
        return max(0.0, self.sent_at + interval - now)

    def note_sent(self, now):
        """Note that a report is sent."""
        accrued = REPORTS_PER_SECOND * (now - self.sent_at)
        self.left = max(0.0, min(REPORTS_MAX, self.left + accrued) - 1.0)
        self.sent_at = now
