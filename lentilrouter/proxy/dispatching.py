"""Carry a call to its answer: choose targets, send, send again, or find it refused.

A call is sent to a second target only if it certainly has not run, or may run twice.
What the target's own proxy refuses never reached a target, so trying the next one costs
nothing of the allowance for repeated sends.

A send whose confirmation is late is not ended for that. If the call may run twice, a
second send goes out beside it and the first good answer counts; a send is ended early
only if its host is gone.
"""

import asyncio
import collections
import dataclasses
import enum

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.proxy import hops, sheets, upstream

REFUSALS_MAX = 4  # proxies asked for one call before it is refused
LEAST_SECONDS = 0.01  # with less than this left a call is not sent any more
LEAVING_SECONDS = 1.0  # until the news of a leaving target is here
RECONSIDER_SECONDS = 0.2  # the allowance may have grown, or another target be free
DEADLINE_STATUS = 504


class Action(enum.Enum):
    """Say what a call needs after something happened to one of its sends."""

    ANSWERED = enum.auto()
    WAIT = enum.auto()
    NEXT_TARGET = enum.auto()  # to another target; the last one has not seen the call
    RETRY_REFUSED = enum.auto()  # the last target has seen it, but not run it
    RETRY = enum.auto()  # it may have run, or be at work


class Attempt:
    """Hold one send of a call.

    ``late`` tells that it was not confirmed in time, ``host_dead`` that its host is
    gone.
    """

    __slots__ = ("target", "task", "watch", "late", "host_dead")

    def __init__(self, target):
        self.target = target
        self.task = None
        self.watch = None
        self.late = False
        self.host_dead = False

    def confirmed(self):
        """Note that the target's proxy has the call, so that it is at work there."""
        self.late = False
        if self.watch is not None:
            self.watch.cancel()

    def give_up(self):
        """End the send because its host is gone."""
        if not self.task.done():
            self.host_dead = True
            self.task.cancel()

    def close(self):
        """End what is still running for the send."""
        self.task.cancel()
        if self.watch is not None:
            self.watch.cancel()

    def result(self):
        """Return the outcome of a send that has ended."""
        if self.host_dead:
            detail = f"{self.target.peer}: the host does not answer at all"
            return outcomes.Unknown(detail, host_silent=True)
        return self.task.result()


@dataclasses.dataclass(slots=True)
class Call:
    """Hold a call and what became of it so far; times are monotonic seconds.

    ``size`` is how many bytes it and its answer have about. ``arrivals`` counts ended
    sends that reached a target, ``refusals`` refusals. ``attempts`` are at work,
    ``events`` holds those that ended or whose confirmation is late.
    """

    request: messages.Request
    route: sheets.Route
    id: str
    started: float
    deadline: float
    size: float = 0.0
    service: str = ""
    tried: set = dataclasses.field(default_factory=set)
    arrivals: int = 0
    refusals: int = 0
    attempts: set = dataclasses.field(default_factory=set)
    events: collections.deque = dataclasses.field(default_factory=collections.deque)
    waiting: object = None
    outcome: object = outcomes.NotRun(outcomes.Reason.NO_TARGET, "no target is known")

    def notify(self, send):
        """Note that something happened to a send."""
        self.events.append(send)
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    async def next_event(self):
        """Return the next send to which something happened."""
        while not self.events:
            self.waiting = asyncio.get_running_loop().create_future()
            await self.waiting
        return self.events.popleft()

    def close(self):
        """End every send that is still at work."""
        for send in self.attempts:
            send.close()


class Dispatcher:
    """Carry calls.

    ``services`` gives directory, bases, hosting, holder, crashes, log and clock.
    """

    __slots__ = ("services", "balancer", "budget", "prober", "upstream")

    def __init__(self, services, balancer, budget, prober):
        self.services = services
        self.balancer = balancer
        self.budget = budget
        self.prober = prober
        self.upstream = upstream.Upstream(services, balancer, prober)

    async def dispatch(self, call):
        """Return the outcome of a call."""
        self.budget.earn(call.service, self._proxies())
        try:
            self._start(call)
            while call.attempts:
                send = await call.next_event()
                step = self._after(call, send)
                if step is Action.ANSWERED:
                    break
                if step is not Action.WAIT:
                    self._go_on(call, step, send.target)
            return call.outcome
        finally:
            call.close()

    def _proxies(self):
        return len(self.services.directory.by_host)

    def _after(self, call, send):
        """Take in what happened to a send and return the next ``Action``."""
        if send not in call.attempts:
            return Action.WAIT
        if not send.task.done():
            return self._unless_in_flight(call, Action.RETRY)
        call.attempts.discard(send)
        if send.watch is not None:
            send.watch.cancel()
        result = send.result()
        if isinstance(result, hops.Refused):
            return self._after_refusal(call, send.target, result)
        call.arrivals += 1
        if isinstance(result, outcomes.Answered):
            self.services.crashes.clear_call(call.request)
        if _is_final(result):
            call.outcome = result
            return Action.ANSWERED
        if not isinstance(call.outcome, outcomes.Answered):
            call.outcome = result
        return self._unless_in_flight(call, Action.RETRY)

    def _unless_in_flight(self, call, step):
        """Return ``step``, or ``WAIT`` while another send is well on its way."""
        if any(send.task.done() or not send.late for send in call.attempts):
            return Action.WAIT
        return step

    def _after_refusal(self, call, target, result):
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
        if reason is outcomes.Reason.OVERLOADED:
            self.balancer.refused(target.host, services.clock())
        elif reason in (outcomes.Reason.DRAINING, outcomes.Reason.UNREACHABLE):
            self.balancer.refused(target.host, services.clock(), LEAVING_SECONDS)
        if isinstance(call.outcome, outcomes.NotRun):
            call.outcome = result.outcome
        call.arrivals += result.arrived
        if call.refusals >= REFUSALS_MAX:
            return Action.WAIT
        step = Action.RETRY_REFUSED if result.arrived else Action.NEXT_TARGET
        return self._unless_in_flight(call, step)

    def _go_on(self, call, step, target):
        """Send a call once more if it may be, and a target is left."""
        if step is Action.NEXT_TARGET:
            self._start(call)
            return
        may_run = step is Action.RETRY_REFUSED or call.route.safe
        sent = call.arrivals + len(call.attempts)
        if not may_run or sent >= call.route.attempts:
            return
        after = "no confirmation" if call.attempts else _describe(call.outcome)
        if self._start(call, paid=True) and step is Action.RETRY:
            self.services.log.request(
                "sent-again",
                call.id,
                service=call.service,
                target=target.id,
                after=after,
                arrivals=call.arrivals,
                at_work=len(call.attempts) - 1,
            )

    def _start(self, call, paid=False):
        """Send a call to the best target left; return whether it was sent.

        ``paid`` takes the send from the allowance for repeats.
        """
        now = self.services.clock()
        if call.deadline - now < LEAST_SECONDS:
            if not call.arrivals and not call.attempts:
                reason = outcomes.Reason.DEADLINE
                call.outcome = outcomes.NotRun(reason, "no time is left")
            return False
        target, last = self._choose(call, now)
        if target is None:
            return False
        if paid and not self.budget.spend(call.service, self._proxies()):
            return False
        call.tried.add(target.host)
        send = Attempt(target)

        def on_late(waited, unsent):
            self._late(call, send, waited, unsent)
            return False

        def on_end(task):
            self.balancer.ended(target.host)
            call.notify(send)

        offer = upstream.SendOptions(target, last, on_late, send.confirmed)
        self.balancer.sent(target.host)
        loop = asyncio.get_running_loop()
        send.task = loop.create_task(self.upstream.send(call, offer))
        send.task.add_done_callback(on_end)
        call.attempts.add(send)
        return True

    def _choose(self, call, now):
        """Return the target to offer a call to, and whether it is the last one."""
        services, route = self.services, call.route
        left = self._open_targets(call, now)
        target = self.balancer.choose(
            left,
            services.directory.warm_at,
            now,
            services.hosting.local_load(),
            call.size,
            route.goal,
        )
        return target, call.refusals + 1 >= REFUSALS_MAX or len(left) < 2

    def _open_targets(self, call, now):
        services, route = self.services, call.route
        ready = services.directory.ready(call.service)
        up = [t for t in ready if not self.balancer.observe(t.host).down]
        candidates = services.bases.choose(
            call.service, route.name, up or ready, is_retry=bool(call.tried)
        )
        urgent = route.rank < services.holder.sheet.last_rank
        return self.balancer.candidates(candidates, call.tried, now, urgent)

    def _late(self, call, send, waited, unsent):
        """Note that a confirmation is late, and find out whether the host is there.

        Callers do not repeat what may not run twice, so ending it early helps nobody.
        """
        now = self.services.clock()
        send.late = True
        self._log_late(call, send, waited, unsent)
        self.prober.probe(send.target)
        if call.route.safe:
            loop = asyncio.get_running_loop()
            send.watch = loop.create_task(self._watch(call, send, now))
            call.notify(send)

    async def _watch(self, call, send, since):
        """End a send once its host is gone; see meanwhile whether to send again."""
        loop = asyncio.get_running_loop()
        gone = loop.create_task(self.prober.wait_until_dead(send.target, since))
        try:
            while not gone.done():
                await asyncio.wait([gone], timeout=RECONSIDER_SECONDS)
                call.notify(send)
        finally:
            gone.cancel()
        send.give_up()

    def _log_late(self, call, send, waited, unsent):
        """Say what was known as the confirmation of a send was late."""
        others = self._open_targets(call, self.services.clock())
        self.services.log.request(
            "unconfirmed",
            call.id,
            host=send.target.host,
            waited=round(waited, 4),
            unsent=unsent,
            sends_left=call.route.attempts - call.arrivals - len(call.attempts),
            allowance=round(self.budget.tokens.get(call.service, -1.0), 2),
            other_targets=len(others),
        )


def _is_final(result):
    """Tell whether an outcome ends its call, however many sends are left."""
    if not isinstance(result, outcomes.Answered):
        return False
    status = result.response.status
    return status < upstream.FIRST_ERROR_STATUS or status == DEADLINE_STATUS


def _describe(outcome):
    if isinstance(outcome, outcomes.Answered):
        return f"status {outcome.response.status}"
    return f"{type(outcome).__name__.lower()}: {outcome.detail}"
