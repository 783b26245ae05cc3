"""Admission control for the target on this host. Does no I/O.

Only this proxy sends calls to the target, so its count of slots in use is exact. Queued
calls are ordered by rank, then by latency goal: short calls with a close goal go before
long ones that can wait. Calls that miss their goal in any case come after all others of
their rank: while there are more calls than slots, serving them first would make every
call late. A call is refused at once if its expected wait is longer than
its max wait: a refused caller can come back later or go elsewhere, while one that waits
and is then refused has only lost time. For the same reason a queued call is refused as
soon as more urgent ones push it too far back (load shedding). Calls of a workspace that
is served much less often than others go before all others of their rank.
"""

import bisect
import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.eligibility import warming
from lentilrouter.overload import order
from lentilrouter.quotas import fairness
from lentilrouter.routing import slots

INITIAL_MEAN_SECONDS = 0.05  # used for a kind of call until one has ended
MEAN_WEIGHT = 0.1  # of the newest call in the moving average of run times
GOAL_RUN_FACTOR = 1.3  # of the mean run time; most calls take no longer
REMAINING_SHARE = 0.5  # of its work that a running call has left on average
SHED_FACTOR = 1.5  # of its max wait; a queued call expected to wait longer is refused


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A call that requests a slot; times are monotonic seconds.

    ``kind`` is the name of the call's route; calls with a lower ``rank`` go first.
    ``max_wait`` is the longest expected wait in seconds that the call accepts, ``goal``
    the time of its latency goal. ``on_turn`` is called with ``None`` when a queued call
    gets its slot, or with a ``NotRun`` when it is refused. ``suspect`` marks a
    suspected call, which runs alone. ``workspace`` is a name, empty for none. A call
    that is ``returned`` was refused before; a target made one that is ``nested``. The
    gate sets ``started`` and ``queued``, when the call got its slot or was queued, and
    ``sort_key``, its position in the queue.
    """

    kind: str
    rank: int
    deadline: float
    max_wait: float
    goal: float = 0.0
    on_turn: object = None
    suspect: bool = False
    workspace: str = ""
    started: float = 0.0
    queued: float = 0.0
    sort_key: tuple = ()
    returned: bool = False
    nested: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Queued:
    """Result: the call is queued; the outcome is passed to ``on_turn``."""


class Gate(slots.Slots):
    """Slots in use and queued calls of one target, with estimates of waits.

    ``pace`` limits the rate at which calls start while the target is cold. With
    ``keeps_rank``, no call past its goal is refused while a less urgent one waits.

    >>> gate = Gate(1)
    >>> first = Ticket("read", 1, 9.0, 0.0)
    >>> gate.acquire(first, now=0.0)
    Admitted()
    >>> gate.acquire(Ticket("read", 1, 9.0, 0.0), now=0.0).reason.value
    'overloaded'
    """

    __slots__ = (
        "queue",
        "means",
        "count",
        "closed",
        "pace",
        "fairness",
        "keeps_rank",
    )

    def __init__(self, slots, pace=None):
        super().__init__(slots)
        self.pace = pace or warming.Pace()
        self.fairness = fairness.Fairness()
        self.queue = []
        self.means = {}
        self.count = 0
        self.closed = False
        self.keeps_rank = False

    def mean(self, kind):
        """Return the mean run time of a kind of call at this target, in seconds."""
        return self.means.get(kind, INITIAL_MEAN_SECONDS)

    def expected_wait(self, sort_key, now):
        """Return the expected seconds until a call with this sort key gets a slot."""
        ahead = [t for t in self.queue if t.sort_key <= sort_key]
        pace_wait = self.pace.wait(len(ahead), now)
        if len(self.running) < self.slots and not self.queue:
            return pace_wait
        work = self._running_work(now) + sum(self.mean(t.kind) for t in ahead)
        return max(pace_wait, work / max(1, self.slots))

    def _may_start(self, ticket, now):
        """Return whether a call may start now; if so, count it in the pace."""
        return self._fits(ticket) and self.pace.take(now)

    def _start(self, ticket, now):
        """Give a call its slot, and count that."""
        super()._start(ticket, now)
        self.fairness.note_served(ticket.rank, ticket.workspace, now)

    def _running_work(self, now):
        """Return the estimated work left in running calls, in slot seconds."""
        return sum(
            max(
                REMAINING_SHARE * self.mean(t.kind),
                self.mean(t.kind) - (now - t.started),
            )
            * REMAINING_SHARE
            for t in self.running
        )

    def acquire(self, ticket, now):
        """Request a slot for a call; return ``Admitted``, ``Queued`` or ``NotRun``."""
        if self.closed:
            return outcomes.NotRun(outcomes.Reason.DRAINING, "target is leaving")
        if ticket.deadline <= now:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was admitted")
        self.fairness.note_asked(ticket.rank, ticket.workspace, now)
        if not self.queue and self._may_start(ticket, now):
            self._start(ticket, now)
            return slots.Admitted()
        self.count += 1
        mean = self.mean(ticket.kind)
        late = now + mean > ticket.goal
        behind = self.fairness.is_behind(ticket.rank, ticket.workspace, now)
        ticket.sort_key = order.sort_key(ticket, behind, late, self.count)
        wait = self.expected_wait(ticket.sort_key, now)
        if not late:
            # A call that waits longer misses its goal and delays others.
            latest_wait = ticket.goal - now - GOAL_RUN_FACTOR * mean
            ticket.max_wait = max(0.0, min(ticket.max_wait, latest_wait))
        if self.keeps_rank and late and order.passes_waiting(ticket, self.queue):
            ticket.max_wait = max(ticket.max_wait, wait)
        if wait > ticket.max_wait or now + wait >= ticket.deadline:
            return self._overloaded(f"expected wait {wait:.3f} s", now)
        ticket.queued = now
        bisect.insort(self.queue, ticket, key=lambda item: item.sort_key)
        self._shed(ticket, now)
        return Queued()

    def _shed(self, newest, now):
        """Refuse queued calls that the newest one delays beyond their limit."""
        work = self._running_work(now)
        kept, shed = [], []
        for ticket in self.queue:
            pace_wait = self.pace.wait(len(kept), now)
            wait = now - ticket.queued + max(pace_wait, work / max(1, self.slots))
            if (
                ticket.sort_key > newest.sort_key
                and wait > SHED_FACTOR * ticket.max_wait
            ):
                shed.append(ticket)
                continue
            work += self.mean(ticket.kind)
            kept.append(ticket)
        self.queue = kept
        for ticket in shed:
            ticket.on_turn(self._overloaded("more urgent calls came", now))

    def _overloaded(self, detail, now):
        """Return the refusal of a call that would wait too long."""
        reasons = outcomes.Reason
        limited = self.pace.is_limited(now)
        return outcomes.NotRun(reasons.COLD if limited else reasons.OVERLOADED, detail)

    def release(self, ticket, now):
        """Free the slot of a call that ended, learn its run time and admit others."""
        self.running.discard(ticket)
        seconds = now - ticket.started
        mean = self.means.get(ticket.kind)
        self.means[ticket.kind] = (
            seconds if mean is None else mean + MEAN_WEIGHT * (seconds - mean)
        )
        self.admit(now)

    def withdraw(self, ticket, now):
        """Remove a running or queued call whose caller left or that was aborted."""
        if ticket in self.running:
            self.running.discard(ticket)
            self.admit(now)
        elif ticket in self.queue:
            self.queue.remove(ticket)

    def admit(self, now):
        """Give free slots to queued calls; refuse those that cannot end in time."""
        while self.queue:
            ticket = self.queue[0]
            if now + REMAINING_SHARE * self.mean(ticket.kind) >= ticket.deadline:
                self.queue.pop(0)
                ticket.on_turn(outcomes.NotRun(outcomes.Reason.DEADLINE, "in queue"))
                continue
            if not self._may_start(ticket, now):
                return
            self.queue.pop(0)
            self._start(ticket, now)
            ticket.on_turn(None)

    def close(self, reason):
        """Refuse all queued and new calls; queued ones get ``reason``."""
        self.closed = True
        self.refuse_queued(reason)

    def refuse_queued(self, reason):
        """Refuse all queued calls for a reason."""
        waiting, self.queue = self.queue, []
        for ticket in waiting:
            ticket.on_turn(outcomes.NotRun(reason, "target takes no calls"))
