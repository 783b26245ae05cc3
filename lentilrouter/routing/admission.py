"""Admit calls to one target within its slots. No input or output.

Only the node on the target's own host keeps a gate for it, so the count of slots in
use is exact.
"""

import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.routing import queueing, slots


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Represent one call at the gate; times are monotonic seconds.

    ``suspect`` marks a call that was in flight when a target crashed; it runs alone.
    """

    traffic_class: str
    deadline: float
    suspect: bool = False
    started: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """Report that the call waits; ``evicted`` is a ticket that lost its place."""

    evicted: Ticket | None = None


class Gate(slots.Slots):
    """Count the slots of one target and queue what exceeds them.

    The queue is bounded, and a call is only queued if its deadline leaves time for
    the expected wait. ``next_alone`` is a suspect whose turn has come and that waits
    for the target to be empty.
    """

    __slots__ = (
        "queue_limit",
        "order",
        "next_alone",
        "mean_seconds",
        "draining",
        "peak",
    )

    def __init__(self, slots, weights, settings):
        super().__init__(slots)
        self.queue_limit = slots * settings.calls.queue_per_slot
        self.order = queueing.ORDERS.get(settings.calls.queue_order)(weights)
        self.next_alone = None
        self.mean_seconds = 0.0
        self.draining = False
        self.peak = 0

    def acquire(self, ticket, now):
        """Return ``Admitted``, ``Queued`` or ``NotRun`` for a new call."""
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return refusal
        if self._fits(ticket) and not len(self.order) and self.next_alone is None:
            self._start(ticket, now)
            return slots.Admitted()
        evicted = None
        if len(self.order) >= self.queue_limit:
            evicted = self.order.evict(ticket, now)
            if evicted is None:
                return _overloaded("queue is full")
        self.order.push(ticket, now)
        return Queued(evicted)

    def _refusal(self, ticket, now):
        if self.draining:
            return outcomes.NotRun(outcomes.Reason.DRAINING, "target is leaving")
        if ticket.deadline <= now:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was admitted")
        if len(self.running) >= self.slots:
            turns = (len(self.order) + 1) / self.slots
            if now + turns * self.mean_seconds > ticket.deadline:
                return _overloaded("the wait would exceed the deadline")
        return None

    def release(self, ticket, now):
        """Free the slot of a finished call and return the tickets admitted next."""
        self.running.discard(ticket)
        seconds = now - ticket.started
        self.mean_seconds += 0.1 * (seconds - self.mean_seconds)
        self.order.used(ticket.traffic_class, seconds, now)
        return self._admit_waiting(now)

    def withdraw(self, ticket, now):
        """Take back a call that stopped waiting; return tickets admitted next."""
        if ticket in self.running:
            return self.release(ticket, now)
        if ticket is self.next_alone:
            self.next_alone = None
            return self._admit_waiting(now)
        self.order.remove(ticket)
        return []

    def _admit_waiting(self, now):
        admitted = []
        while len(self.running) < self.slots:
            ticket = self.next_alone
            if ticket is None and len(self.order):
                ticket = self.order.pop(now)
            self.next_alone = None
            if ticket is None:
                break
            if not self._fits(ticket):
                self.next_alone = ticket
                break
            self._start(ticket, now)
            admitted.append(ticket)
        return admitted

    def _start(self, ticket, now):
        super()._start(ticket, now)
        self.peak = max(self.peak, len(self.running))


def _overloaded(detail):
    return outcomes.NotRun(outcomes.Reason.OVERLOADED, detail)
