"""Admit calls to the target beside this proxy. No input or output.

Only this proxy reaches the target, so the count of its slots in use is exact. Calls
that wait are ordered by rank, then by the time at which their answer loses worth: short
calls with a close goal go before long ones that can wait. A call is refused at once
when its expected wait is longer than its patience: a refused caller can come back or go
elsewhere, one that is held and then refused has only lost time. For the same reason a
waiting call is refused as soon as more urgent ones push its turn too far back.
"""

import bisect
import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.routing import slots

MEAN_START_SECONDS = 0.05  # before anything was measured; replaced within a few calls
MEAN_WEIGHT = 0.1
HALF_DONE = 0.5  # what runs has on average half of its work left
SHED_FACTOR = 1.5  # of its patience: a call pushed back beyond this is refused


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Represent one call at the gate; times are monotonic seconds.

    ``max_wait`` is the longest expected wait that the call accepts, ``goal`` when its
    answer loses worth. ``on_turn`` is called with ``None`` when the call gets its slot,
    or with a ``NotRun``. A call that is ``suspect`` runs alone.
    """

    kind: str
    rank: int
    deadline: float
    max_wait: float
    goal: float = 0.0
    on_turn: object = None
    suspect: bool = False
    started: float = 0.0
    queued: float = 0.0
    order: tuple = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """Report that the call waits; ``on_turn`` tells how that ends."""


class Gate(slots.Slots):
    """Count slots in use, order what waits and estimate waits.

    >>> gate = Gate(1)
    >>> first = Ticket("read", 1, 9.0, 0.0)
    >>> gate.acquire(first, now=0.0)
    Admitted()
    >>> gate.acquire(Ticket("read", 1, 9.0, 0.0), now=0.0).reason.value
    'overloaded'
    """

    __slots__ = ("queue", "means", "count", "closed")

    def __init__(self, slots):
        super().__init__(slots)
        self.queue = []
        self.means = {}
        self.count = 0
        self.closed = False

    def mean(self, kind):
        """Return the usual seconds of a kind of call at this target."""
        return self.means.get(kind, MEAN_START_SECONDS)

    def expected_wait(self, order, now):
        """Return the seconds until a call with this place in the order gets a slot."""
        if len(self.running) < self.slots and not self.queue:
            return 0.0
        work = self._work_running(now)
        work += sum(self.mean(t.kind) for t in self.queue if t.order <= order)
        return work / max(1, self.slots)

    def _work_running(self, now):
        return sum(
            max(HALF_DONE * self.mean(t.kind), self.mean(t.kind) - (now - t.started))
            * HALF_DONE
            for t in self.running
        )

    def acquire(self, ticket, now):
        """Return ``Admitted``, ``Queued`` or ``NotRun`` for a new call."""
        if self.closed:
            return outcomes.NotRun(outcomes.Reason.DRAINING, "target is leaving")
        if ticket.deadline <= now:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was admitted")
        if not self.queue and self._fits(ticket):
            self._start(ticket, now)
            return slots.Admitted()
        self.count += 1
        ticket.order = (ticket.rank, ticket.goal, self.count)
        wait = self.expected_wait(ticket.order, now)
        if wait > ticket.max_wait or now + wait >= ticket.deadline:
            return _overloaded(f"expected wait {wait:.3f} s")
        ticket.queued = now
        bisect.insort(self.queue, ticket, key=lambda item: item.order)
        self._shed(ticket, now)
        return Queued()

    def _shed(self, newest, now):
        """Refuse those behind the newest whose turn has moved too far back."""
        work = self._work_running(now)
        kept, shed = [], []
        for ticket in self.queue:
            wait = now - ticket.queued + work / max(1, self.slots)
            if ticket.order > newest.order and wait > SHED_FACTOR * ticket.max_wait:
                shed.append(ticket)
                continue
            work += self.mean(ticket.kind)
            kept.append(ticket)
        self.queue = kept
        for ticket in shed:
            ticket.on_turn(_overloaded("more urgent calls came"))

    def release(self, ticket, now):
        """Free the slot of a call that ended and admit what waits."""
        self.running.discard(ticket)
        seconds = now - ticket.started
        mean = self.means.get(ticket.kind)
        self.means[ticket.kind] = (
            seconds if mean is None else mean + MEAN_WEIGHT * (seconds - mean)
        )
        self.admit(now)

    def withdraw(self, ticket, now):
        """Take back a call whose caller left, or that was broken off."""
        if ticket in self.running:
            self.running.discard(ticket)
            self.admit(now)
        elif ticket in self.queue:
            self.queue.remove(ticket)

    def admit(self, now):
        """Give free slots to waiting calls; refuse those that cannot end in time."""
        while self.queue:
            ticket = self.queue[0]
            if now + HALF_DONE * self.mean(ticket.kind) >= ticket.deadline:
                self.queue.pop(0)
                ticket.on_turn(outcomes.NotRun(outcomes.Reason.DEADLINE, "in queue"))
                continue
            if not self._fits(ticket):
                return
            self.queue.pop(0)
            self._start(ticket, now)
            ticket.on_turn(None)

    def close(self, reason):
        """Admit nothing more and refuse what waits."""
        self.closed = True
        waiting, self.queue = self.queue, []
        for ticket in waiting:
            ticket.on_turn(outcomes.NotRun(reason, "target is leaving"))


def _overloaded(detail):
    return outcomes.NotRun(outcomes.Reason.OVERLOADED, detail)
