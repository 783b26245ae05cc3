"""Decide whose calls go first at a full target, among those of one rank. Does no I/O.

A workspace that is served less often than others has the first turn until it has caught
up. Calls beyond a quota are refused before they reach a target, so each workspace here
keeps within its own.
"""

import math

MEMORY_SECONDS = 3.0  # time constant of the counts
# Of the share of all calls that are served. A workspace below it goes first; the share
# that has to be kept is a quarter, and the rest allows for calls that are under way.
BEHIND_SHARE = 0.5
FORGET_CALLS = 0.01  # counts below this are removed


class Counts:
    """Calls that asked for a slot and that got one, both decaying, as of ``at``."""

    __slots__ = ("asked", "served", "at")

    def __init__(self, now):
        self.asked = self.served = 0.0
        self.at = now

    def advance(self, now):
        """Let the counts decay until ``now``."""
        factor = math.exp(-max(0.0, now - self.at) / MEMORY_SECONDS)
        self.asked *= factor
        self.served *= factor
        self.at = max(self.at, now)


class Fairness:
    """Counts of the calls at one target, by rank and workspace.

    ``by_rank`` counts all calls of a rank, ``by_workspace`` is keyed by rank and name.

    >>> fairness = Fairness()
    >>> for name in ("press", "feed", "feed"):
    ...     fairness.note_asked(1, name, 0.0)
    >>> fairness.note_served(1, "feed", 0.0)
    >>> fairness.is_behind(1, "press", 0.0), fairness.is_behind(1, "feed", 0.0)
    (True, False)
    """

    __slots__ = ("by_rank", "by_workspace")

    def __init__(self):
        self.by_rank = {}
        self.by_workspace = {}

    def note_asked(self, rank, workspace, now):
        """Count a call that asks for a slot; ``workspace`` is empty for none."""
        for counts in self._counts(rank, workspace, now):
            counts.asked += 1.0

    def note_served(self, rank, workspace, now):
        """Count a call that got its slot."""
        for counts in self._counts(rank, workspace, now):
            counts.served += 1.0

    def is_behind(self, rank, workspace, now):
        """Return whether calls of a workspace go before others of their rank."""
        if not workspace:
            return False
        total, own = self._counts(rank, workspace, now)
        return own.served * total.asked < BEHIND_SHARE * total.served * own.asked

    def _counts(self, rank, workspace, now):
        """Return the counts of a rank, and those of the workspace if there is one."""
        total = self.by_rank.get(rank)
        if total is None:
            total = self.by_rank[rank] = Counts(now)
        total.advance(now)
        if not workspace:
            return (total,)
        own = self.by_workspace.get((rank, workspace))
        if own is None:
            self._forget(now)
            own = self.by_workspace[rank, workspace] = Counts(now)
        own.advance(now)
        return total, own

    def _forget(self, now):
        """Remove the counts of workspaces that have not called for long."""
        for key, counts in list(self.by_workspace.items()):
            counts.advance(now)
            if counts.asked < FORGET_CALLS:
                del self.by_workspace[key]
