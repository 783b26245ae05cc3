"""Decide whether a host that returns has to learn the orders first. Does no I/O.

A host that is cut off goes on serving its target with what it knows. Once it reaches
another failure domain again, or if it did not run for a while, it may have missed an
order although the others can reach it: until its state is refreshed, its target takes
no calls.
"""

import math

AWAY_SECONDS = 1.0  # between two signs that the process runs; several ticks
# Longest time for which a host that has returned refuses calls: it may be cut off, too.
LEARN_SECONDS = 1.5


class Returning:
    """The last return of this host, by a clock that includes suspension.

    ``seen_at`` is the time of the last sign that the process runs, ``returned_at`` that
    of the end of the last suspension or cut.

    >>> returning = Returning()
    >>> returning.note_running(10.0), returning.note_running(10.25)
    (None, None)
    >>> returning.must_learn(state_age=9.0, bound=5.0, now=10.5)
    False
    >>> returning.must_learn(7.0, 5.0, now=17.0), returning.must_learn(0.4, 5.0, 17.3)
    (True, False)
    >>> [returning.must_learn(9.0, 5.0, now) for now in (18.0, 18.9)]
    [True, False]
    """

    __slots__ = ("seen_at", "returned_at")

    def __init__(self):
        self.seen_at = math.inf
        self.returned_at = -math.inf

    def note_running(self, now):
        """Record that the process runs."""
        if now - self.seen_at > AWAY_SECONDS:
            self.returned_at = now
        self.seen_at = now

    def note_contact(self, now):
        """Record that a host of another failure domain responds again."""
        self.returned_at = now

    def must_learn(self, state_age, bound, now):
        """Return whether orders have to be learned before a call may run.

        An order binds ``bound`` seconds after it is acknowledged, so state of a lower
        age has all orders that bind.
        """
        self.note_running(now)
        return state_age > bound and now - self.returned_at < LEARN_SECONDS
