"""Times of refreshing the operator's state, by the bound for a new sheet."""

# Shares of the time within which a new sheet must be in force at all proxies.
WATCH_SHARE = 0.4  # longest watch; a store that takes longer counts as unresponsive
# Watch after a response with changes: it proves freshness only as of its request.
WATCH_AFTER_CHANGE_SHARE = 0.125
# Greatest age of fresh state: two watches, the first ended by a change, on slow links.
FRESH_SHARE = 0.75
# Age of the state at which a proxy scans the store without waiting for others: first
# those that the others ask.
LEADER_SCAN_SHARE = 0.8
OWN_SCAN_SHARE = 0.875
# Age of the state at which a second proxy is asked beside the first.
SECOND_SOURCE_SHARE = 0.55
# Time by which a long poll at another proxy outlasts that proxy's watch, so that the
# response includes the result of the next one.
HOLD_MARGIN_SECONDS = 0.05


class Timing:
    """Times in seconds that follow from the bound for a new sheet.

    ``in_force_seconds`` is the longest time until a new sheet is in force.

    >>> Timing(2.0).watch, Timing(3.0).fresh
    (0.8, 2.25)
    """

    __slots__ = (
        "watch",
        "watch_after_change",
        "hold",
        "fresh",
        "second_source_age",
        "leader_scan_age",
        "own_scan_age",
    )

    def __init__(self, in_force_seconds):
        self.watch = WATCH_SHARE * in_force_seconds
        self.watch_after_change = WATCH_AFTER_CHANGE_SHARE * in_force_seconds
        self.hold = self.watch + HOLD_MARGIN_SECONDS
        self.fresh = FRESH_SHARE * in_force_seconds
        self.second_source_age = SECOND_SOURCE_SHARE * in_force_seconds
        self.leader_scan_age = LEADER_SCAN_SHARE * in_force_seconds
        self.own_scan_age = OWN_SCAN_SHARE * in_force_seconds
