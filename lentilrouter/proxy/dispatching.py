"""Dispatch a call: choose targets, send it, retry it, and return its outcome.

A call is sent to a second target only if it certainly has not run, or may run twice.
What the target's own proxy refuses never reached a target, so trying the next target
then costs nothing of the retry budget.

An attempt is not cancelled because its confirmation is late. If the call may run twice,
a hedged retry runs concurrently and the first good response counts. An attempt is
cancelled early only if its host is dead.
"""

import asyncio
import collections
import dataclasses
import enum

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.placement import choosing, crossing
from lentilrouter.proxy import hops, sheets, upstream
from lentilrouter.workspaces import gate

REFUSALS_MAX = 4  # proxies that may refuse one call before it is refused
MIN_SECONDS_LEFT = 0.01  # with less time until its deadline a call is not sent
LEAVING_SKIP_SECONDS = 1.0  # skip a leaving target; its new entry arrives meanwhile
# Refusals by a target's proxy for want of room.
FULL_REASONS = (outcomes.Reason.OVERLOADED, outcomes.Reason.COLD)
# Refusals by a target's proxy after which the target is skipped for that time.
SKIP_REASONS = (
    outcomes.Reason.DRAINING,
    outcomes.Reason.UNREACHABLE,
    outcomes.Reason.EVACUATED,
    outcomes.Reason.NO_SHEET,
    outcomes.Reason.SHEET_OLD,
)
# Interval between checks whether a late call can be retried: the retry budget may have
# grown, or another target may be free.
RETRY_CHECK_SECONDS = 0.2
DEADLINE_STATUS = 504
AGE_LOGGED_MAX = 1e6  # seconds, for a target that never reported its load


class Action(enum.Enum):
    """Next action for a call after an event of one of its attempts."""

    ANSWERED = enum.auto()  # the call has its final outcome
    WAIT = enum.auto()  # for the next event, or end if no attempt is in flight
    NEXT_TARGET = enum.auto()  # the last target has not received the call
    RETRY_REFUSED = enum.auto()  # the last target received the call but did not run it
    RETRY = enum.auto()  # the call may have run or still be running


class Attempt:
    """One attempt of a call at one target.

    ``late`` is true while the confirmation is overdue, ``host_dead`` if the attempt was
    cancelled because its host is dead. ``watch_task`` waits until the host is dead.
    """

    __slots__ = ("target", "task", "watch_task", "late", "host_dead")

    def __init__(self, target):
        self.target = target
        self.task = None
        self.watch_task = None
        self.late = False
        self.host_dead = False

    def mark_confirmed(self):
        """Record that the target's proxy has the call, which runs or waits there."""
        self.late = False
        if self.watch_task is not None:
            self.watch_task.cancel()

    def abort_for_dead_host(self):
        """Cancel the attempt because its host is dead."""
        if not self.task.done():
            self.host_dead = True
            self.task.cancel()

    def close(self):
        """Cancel the tasks of the attempt."""
        self.task.cancel()
        if self.watch_task is not None:
            self.watch_task.cancel()

    def result(self):
        """Return the outcome of an attempt that has ended."""
        if self.host_dead:
            detail = f"{self.target.peer}: the host does not answer at all"
            return outcomes.Unknown(detail, host_silent=True)
        return self.task.result()


@dataclasses.dataclass(slots=True)
class Call:
    """A call and its state; times are in monotonic seconds.

    ``goal`` is the time of its latency goal, counted from the caller's first attempt.
    ``rank`` is its priority, 0 for the most urgent. ``workspace`` is the
    ``model.Workspace`` of its caller, ``None`` for none. ``returned`` is true if the
    caller was refused before, ``nested`` if the local target made the call, where that
    decides on the order of waiting calls.
    ``size`` estimates the bytes of the request body and its response. ``tried`` has the
    hosts that the call was sent to, ``full`` those of them that had no room.
    ``arrivals`` counts ended attempts that reached or may have reached a target,
    ``refusals`` those that were refused. ``paid`` is true if a retry was taken from the
    budget that has reached no target yet. ``attempts`` are in flight; ``events`` has
    those that ended or whose confirmation is late.
    """

    request: messages.Request
    route: sheets.Route
    id: str
    started: float
    deadline: float
    goal: float
    rank: int
    workspace: object = None
    returned: bool = False
    nested: bool = False
    size: float = 0.0
    service: str = ""
    tried: set = dataclasses.field(default_factory=set)
    full: set = dataclasses.field(default_factory=set)
    paid: bool = False
    arrivals: int = 0
    refusals: int = 0
    attempts: set = dataclasses.field(default_factory=set)
    events: collections.deque = dataclasses.field(default_factory=collections.deque)
    waiter: object = None
    outcome: object = outcomes.NotRun(outcomes.Reason.NO_TARGET, "no target is known")

    def set_workspace(self, workspace):
        """Set the workspace, whose rank replaces that of the route if it has one."""
        self.workspace = workspace
        if workspace is not None and workspace.rank is not None:
            self.rank = workspace.rank

    def notify(self, attempt):
        """Add an event of an attempt and wake the waiting ``next_event``."""
        self.events.append(attempt)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_event(self):
        """Wait for the next event and return its attempt."""
        while not self.events:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.events.popleft()

    def reopen(self):
        """Let the targets that had no room be tried again."""
        self.tried -= self.full
        self.full.clear()
        self.refusals = 0

    def close(self):
        """Cancel every attempt that is still in flight."""
        for attempt in self.attempts:
            attempt.close()


class Dispatcher:
    """Dispatcher of calls to targets.

    ``services`` provides the directory, eligibility, bases, hosting, holder, crashes,
    log and clock.
    """

    __slots__ = ("services", "balancer", "budget", "prober", "chooser", "upstream")

    def __init__(self, services, balancer, budget, prober):
        self.services = services
        self.balancer = balancer
        self.budget = budget
        self.prober = prober
        self.chooser = choosing.Chooser(services, balancer)
        self.upstream = upstream.Upstream(services, balancer, prober, self.chooser)

    async def dispatch(self, call):
        """Send a call to targets until it has an outcome, and return that outcome.

        Attempts in flight at the end are cancelled, also if this coroutine is.
        """
        self.budget.earn(call.service, self._proxy_count())
        try:
            self._start_attempt(call)
            while call.attempts:
                attempt = await call.next_event()
                action = self._next_action(call, attempt)
                if action is Action.ANSWERED:
                    break
                if action is not Action.WAIT:
                    self._send_again(call, action, attempt.target)
            return call.outcome
        finally:
            call.close()

    def _proxy_count(self):
        return len(self.services.directory.by_host)

    def _next_action(self, call, attempt):
        """Handle an event of an attempt and return the next ``Action``."""
        if attempt not in call.attempts:
            return Action.WAIT
        if not attempt.task.done():
            # The attempt may be at a dead host, and others may have room by now.
            call.reopen()
            return self._unless_in_flight(call, Action.RETRY)
        call.attempts.discard(attempt)
        if attempt.watch_task is not None:
            attempt.watch_task.cancel()
        result = attempt.result()
        if isinstance(result, hops.Refused):
            return self._after_refusal(call, attempt.target, result)
        call.arrivals += 1
        call.paid = False
        if isinstance(result, outcomes.Answered):
            self.services.crashes.clear_call(call.request)
        if _is_final(result):
            call.outcome = result
            return Action.ANSWERED
        if not isinstance(call.outcome, outcomes.Answered):
            call.outcome = result
        return self._unless_in_flight(call, Action.RETRY)

    def _unless_in_flight(self, call, action):
        """Return ``action``, or ``WAIT`` if another attempt may bring an outcome.

        That is one that is not late, or has ended and was not handled yet.
        """
        if any(each.task.done() or not each.late for each in call.attempts):
            return Action.WAIT
        return action

    def _after_refusal(self, call, target, result):
        """Record a refusal by the proxy of a target and return the next ``Action``."""
        services = self.services
        call.refusals += 1
        reason = result.outcome.reason
        services.log.request(
            "offer-refused",
            call.id,
            target=target.id,
            host=target.host,
            reason=reason,
            detail=result.outcome.detail,
            offers=call.refusals,
        )
        if reason is outcomes.Reason.COLD:
            services.eligibility.note_cold(target.host, services.clock())
        if reason in FULL_REASONS:
            self.balancer.refused(target.host, services.clock())
            call.full.add(target.host)
        elif reason in SKIP_REASONS:
            self.balancer.refused(target.host, services.clock(), LEAVING_SKIP_SECONDS)
        if isinstance(call.outcome, outcomes.NotRun):
            call.outcome = result.outcome
        call.arrivals += result.arrived
        call.paid &= not result.arrived
        if call.refusals >= REFUSALS_MAX:
            return Action.WAIT
        action = Action.RETRY_REFUSED if result.arrived else Action.NEXT_TARGET
        return self._unless_in_flight(call, action)

    def _send_again(self, call, action, target):
        """Send a call once more, if that is allowed and a target is left.

        ``target`` is the target of the previous attempt.
        """
        if action is Action.NEXT_TARGET:
            self._start_attempt(call)
            return
        may_run = action is Action.RETRY_REFUSED or call.route.safe
        sent = call.arrivals + len(call.attempts)
        if not may_run or sent >= call.route.attempts:
            return
        after = "no confirmation" if call.attempts else _describe(call.outcome)
        if self._start_attempt(call, is_retry=True) and action is Action.RETRY:
            self.services.log.request(
                "sent-again",
                call.id,
                service=call.service,
                target=target.id,
                after=after,
                arrivals=call.arrivals,
                at_work=len(call.attempts) - 1,
            )

    def _start_attempt(self, call, is_retry=False):
        """Send a call to the best target left; return whether it was sent.

        An attempt with ``is_retry`` is taken from the retry budget.
        """
        now = self.services.clock()
        if call.deadline - now < MIN_SECONDS_LEFT:
            if not call.arrivals and not call.attempts:
                reason = outcomes.Reason.DEADLINE
                call.outcome = outcomes.NotRun(reason, "no time is left")
            return False
        refusal = gate.recheck(self.services, call)
        if refusal is not None:
            if not call.arrivals and not call.attempts:
                call.outcome = refusal
            return False
        target, last, patience = self._choose(call, now)
        if target is None:
            return False
        if is_retry and not call.paid:
            if not self.budget.spend(call.service, self._proxy_count()):
                return False
            call.paid = True
        cause = crossing.attempt_cause(call.tried, call.attempts)
        call.tried.add(target.host)
        attempt = Attempt(target)

        def on_late(waited, unsent):
            self._handle_late(call, attempt, waited, unsent)
            return False

        def on_end(task):
            self.balancer.ended(target.host)
            call.notify(attempt)

        options = upstream.SendOptions(
            target, last, on_late, attempt.mark_confirmed, cause, patience
        )
        self.balancer.sent(target.host)
        loop = asyncio.get_running_loop()
        attempt.task = loop.create_task(self.upstream.send(call, options))
        attempt.task.add_done_callback(on_end)
        call.attempts.add(attempt)
        return True

    def _choose(self, call, now):
        """Return the next target for a call, and whether it is the last one.

        The target is ``None`` if no target is left. Also return the ``patience`` of the
        ``choosing.Choice``.
        """
        services, route = self.services, call.route
        left = self._candidates(call, now)
        known = (services.directory.warm_at, now, services.hosting.local_load())
        if self.chooser.applies(left):
            choice = self.chooser.choose(
                left,
                *known,
                call.size,
                route,
                call.goal - now,
                self._near_refusals(call),
            )
            if isinstance(choice, choosing.Kept):
                self._log_kept(call, choice)
                return None, True, 0.0
            target, patience = choice.candidate.target, choice.patience
            if choice.near is not None:
                self._log_leaving(call, choice)
        else:
            target = self.balancer.choose(left, *known, call.size, route.goal)
            patience = 0.0
        return target, call.refusals + 1 >= REFUSALS_MAX or len(left) < 2, patience

    def _near_refusals(self, call):
        """Return how many targets in the own domain had no room for a call."""
        targets = map(self.services.directory.by_host.get, call.full)
        return sum(t is not None and t.domain == self.balancer.domain for t in targets)

    def _log_leaving(self, call, choice):
        """Log a call that leaves the domain, with the estimates that decided it."""
        far, near = choice.candidate, choice.near
        self.services.log.request(
            "left-domain",
            call.id,
            service=call.service,
            domain=far.target.domain,
            host=far.target.host,
            seconds=round(far.seconds, 4),
            age=round(min(far.estimate.age, AGE_LOGGED_MAX), 3),
            near_host=near.target.host,
            near_seconds=round(near.seconds, 4),
        )

    def _log_kept(self, call, kept):
        """Log a refused call for which no other domain has room."""
        far = kept.far
        self.services.log.request(
            "kept-in-domain",
            call.id,
            service=call.service,
            far_host=far.target.host,
            far_seconds=round(far.seconds, 4),
            age=round(min(far.estimate.age, AGE_LOGGED_MAX), 3),
        )

    def _candidates(self, call, now):
        """Return the targets that a call may be sent to next."""
        services, route = self.services, call.route
        eligible = services.eligibility.filter(
            services.directory.ready(call.service),
            route,
            call.workspace,
            now,
            call.tried,
        )
        refusal = eligible.refusal()
        if refusal is not None and isinstance(call.outcome, outcomes.NotRun):
            call.outcome = refusal
        ready = eligible.targets
        up = [t for t in ready if not self.balancer.observe(t.host).down]
        candidates = services.bases.choose(
            call.service, route.name, up or ready, is_retry=bool(call.tried)
        )
        urgent = call.rank < services.holder.sheet.last_rank
        return self.balancer.candidates(candidates, call.tried, now, urgent)

    def _handle_late(self, call, attempt, waited, unsent):
        """Probe the host of an attempt whose confirmation is late.

        ``waited`` is in seconds, ``unsent`` in bytes. An attempt of a call that must
        not run twice is never cancelled for a dead host: its caller does not retry
        either, so an early end gains nothing.
        """
        now = self.services.clock()
        attempt.late = True
        self._log_late(call, attempt, waited, unsent)
        self.prober.probe(attempt.target)
        if call.route.safe:
            loop = asyncio.get_running_loop()
            attempt.watch_task = loop.create_task(self._watch_host(call, attempt, now))
            call.notify(attempt)

    async def _watch_host(self, call, attempt, since):
        """Cancel an attempt once its host is dead.

        Until then, notify the call regularly so that a retry is considered again.
        """
        loop = asyncio.get_running_loop()
        dead = loop.create_task(self.prober.wait_until_dead(attempt.target, since))
        try:
            while not dead.done():
                await asyncio.wait([dead], timeout=RETRY_CHECK_SECONDS)
                call.notify(attempt)
        finally:
            dead.cancel()
        attempt.abort_for_dead_host()

    def _log_late(self, call, attempt, waited, unsent):
        """Log a late confirmation with what decides on a retry."""
        others = self._candidates(call, self.services.clock())
        self.services.log.request(
            "unconfirmed",
            call.id,
            host=attempt.target.host,
            waited=round(waited, 4),
            unsent=unsent,
            sends_left=call.route.attempts - call.arrivals - len(call.attempts),
            allowance=round(self.budget.tokens.get(call.service, -1.0), 2),
            other_targets=len(others),
        )


def _is_final(result):
    """Return whether an outcome ends its call, even if attempts are left."""
    if not isinstance(result, outcomes.Answered):
        return False
    status = result.response.status
    return status < upstream.FIRST_ERROR_STATUS or status == DEADLINE_STATUS


def _describe(outcome):
    """Return an outcome as a text for the log."""
    if isinstance(outcome, outcomes.Answered):
        return f"status {outcome.response.status}"
    return f"{type(outcome).__name__.lower()}: {outcome.detail}"
