"""Count the slots in use at one target. Does no I/O."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """Result: the call has got a slot."""


class Slots:
    """The slots of one target, and the tickets of the calls that run there.

    A ticket with ``suspect`` set, a suspected call, runs alone. Gates derive from this
    class and order the calls that wait.
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
