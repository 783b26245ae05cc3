"""Say when refused callers should return, by the room that becomes free. No I/O.

Each proxy measures the rate at which its own calls of a route end at the targets. While
there are more calls than slots, that is its share of the room that becomes free.

Turns are for callers that are past their goal. One that can still meet its goal returns
inside it, at a random time, as its turn would often come too late.
"""

import math

RATE_SECONDS = 1.0  # time constant of the measured rate
RATE_MIN = 1.0  # calls a second; below it the rate says nothing
ROOM_SHARE = 0.5  # of the room for callers past their goal; new calls need the rest


class Room:
    """Room of one route: the rate of calls that ended, and the turns given.

    ``rate`` is in calls a second as of the time ``at``, ``due`` the time of the last
    turn given.

    >>> room = Room()
    >>> for step in range(200):
    ...     room.note_end(step / 10)
    >>> [round(room.turn(9.0, 20.0), 1) for _ in range(3)]
    [0.2, 0.4, 0.6]
    """

    __slots__ = ("rate", "at", "due")

    def __init__(self):
        self.rate = 0.0
        self.at = -math.inf
        self.due = -math.inf

    def note_end(self, now):
        """Record that a call of this proxy ended at a target."""
        self._decay(now)
        self.rate += 1 / RATE_SECONDS

    def turn(self, longest, now):
        """Return the seconds until the next turn, ``None`` if no rate is known.

        The result is at most ``longest``; later turns are given again from now on then.
        """
        self._decay(now)
        if self.rate < RATE_MIN:
            return None
        due = max(now, self.due) + 1 / (ROOM_SHARE * self.rate)
        if due - now > longest:
            self.due = now
            return longest
        self.due = due
        return due - now

    def _decay(self, now):
        self.rate *= math.exp(min(0.0, self.at - now) / RATE_SECONDS)
        self.at = max(now, self.at)


class Turns:
    """The ``Room`` of each service and route, as this proxy sees it."""

    __slots__ = ("rooms",)

    def __init__(self):
        self.rooms = {}

    def room(self, service, route):
        """Return the ``Room`` of a route at a service, created if there is none."""
        key = (service, route)
        room = self.rooms.get(key)
        if room is None:
            room = self.rooms[key] = Room()
        return room
