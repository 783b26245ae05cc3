"""Count the slots of one target in use. No input or output."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """Report that the call holds a slot now."""


class Slots:
    """Hold the tickets of the calls that run at one target.

    A ticket that is ``suspect`` runs alone. Gates build on this and order what waits.
    """

    __slots__ = ("slots", "running")

    def __init__(self, slots):
        self.slots = slots
        self.running = set()

    def _fits(self, ticket):
        if ticket.suspect:
            return not self.running
        if len(self.running) >= self.slots:
            return False
        return not any(other.suspect for other in self.running)

    def _start(self, ticket, now):
        ticket.started = now
        self.running.add(ticket)
