"""Admission control for the slots of one target. Does no I/O.

Only the node on the target's own host has a gate for it, so the count of slots in
use is exact.
"""

import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.routing import queueing, slots


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One call at the gate; times are monotonic seconds.

    ``suspect`` marks a call that was in flight when a target crashed; it runs alone.
    ``started`` is when it got its slot.
    """

    traffic_class: str
    deadline: float
    suspect: bool = False
    started: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """Result: the call waits; ``evicted`` is a ticket removed to make room."""

    evicted: Ticket | None = None


class Gate(slots.Slots):
    """The slots of one target, and the queue of the calls that exceed them.

    The queue is bounded, and a call is only queued if its deadline leaves time for the
    expected wait. ``next_ticket`` was taken from the queue but does not fit yet,
    because it or a running call is suspected. ``mean_seconds`` is the moving average of
    the time that calls use a slot, ``peak`` the most slots in use at once so far.
    """

    __slots__ = (
        "queue_limit",
        "order",
        "next_ticket",
        "mean_seconds",
        "draining",
        "peak",
    )

    def __init__(self, slots, weights, settings):
        super().__init__(slots)
        self.queue_limit = slots * settings.calls.queue_per_slot
        self.order = queueing.ORDERS.get(settings.calls.queue_order)(weights)
        self.next_ticket = None
        self.mean_seconds = 0.0
        self.draining = False
        self.peak = 0

    def acquire(self, ticket, now):
        """Return ``Admitted``, ``Queued`` or ``NotRun`` for a new call."""
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return refusal
        if self._fits(ticket) and not len(self.order) and self.next_ticket is None:
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
        """Return ``NotRun`` if the call is refused without queueing, or ``None``."""
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
        self.order.record_usage(ticket.traffic_class, seconds, now)
        return self._admit_waiting(now)

    def withdraw(self, ticket, now):
        """Remove a call that waits or runs; return the tickets admitted next."""
        if ticket in self.running:
            return self.release(ticket, now)
        if ticket is self.next_ticket:
            self.next_ticket = None
            return self._admit_waiting(now)
        self.order.remove(ticket)
        return []

    def _admit_waiting(self, now):
        """Start calls of the queue while they fit; return their tickets."""
        admitted = []
        while len(self.running) < self.slots:
            ticket = self.next_ticket
            if ticket is None and len(self.order):
                ticket = self.order.pop(now)
            self.next_ticket = None
            if ticket is None:
                break
            if not self._fits(ticket):
                self.next_ticket = ticket
                break
            self._start(ticket, now)
            admitted.append(ticket)
        return admitted

    def _start(self, ticket, now):
        super()._start(ticket, now)
        self.peak = max(self.peak, len(self.running))


def _overloaded(detail):
    return outcomes.NotRun(outcomes.Reason.OVERLOADED, detail)
