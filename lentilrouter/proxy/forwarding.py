"""Carry a call from its caller to a target: match, choose, send, send again or refuse.

A call is sent to a second target only if it certainly has not run, or may run twice.
What the target's own proxy refuses never reached a target, so trying the next one costs
nothing of the allowance for repeated sends.
"""

import asyncio
import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.proxy import hops, sending, sheets

HEARD_SECONDS = 0.3  # several round trips between domains, and one lost packet
CONNECT_SECONDS = 0.25  # to another proxy; a cut-off host does not answer at all
OFFERS_MAX = 4  # proxies asked for one call before it is refused
FIRST_PATIENCE = 0.12  # of the goal: look elsewhere rather than wait longer
NEAR_PATIENCE = 0.35  # of the goal: wait in the own domain rather than cross
LAST_PATIENCE = 0.6  # of the goal: wait at the last proxy asked
LEAST_SECONDS = 0.01  # with less than this left a call is not sent any more
RETRY_AFTER_SHARES = (0.1, 0.3)  # of the time left; callers wait up to a third of it
RETRY_AFTER_UNKNOWN_SECONDS = (0.05, 0.25)  # when no deadline is known
CLOSE_MARGIN_SECONDS = 0.05  # a final answer leaves this long after the last moment
FIRST_ERROR_STATUS = 500
DEADLINE_STATUS = 504
PLACE_BYTES = 4096  # a refusal of more than this wastes more than a round trip
PLACE_AGE_SECONDS = 0.1  # a proxy heard within this time is taken to be there
HEAD_BYTES = 40  # first line and length of a message
SIZE_WEIGHT = 0.1  # of the newest answer in a route's usual size
LEAVING_SECONDS = 1.0  # until the news of a leaving target is here
STILL_THERE_SECONDS = 0.6  # a link that holds packets for longer counts as broken
PROBE_SECONDS = 0.4
PROBE_PAUSE_SECONDS = 0.4
PING = messages.Request("GET", f"{hops.PATH_PREFIX}ping", [(b"host", b"peer")])


@dataclasses.dataclass(slots=True)
class Call:
    """Hold a call and what was decided about it; times are monotonic seconds."""

    request: messages.Request
    route: sheets.Route
    id: str
    started: float
    deadline: float
    service: str = ""
    tried: set = dataclasses.field(default_factory=set)
    arrivals: int = 0
    offers: int = 0


class Forwarder:
    """Carry calls for the callers on this host.

    ``services`` gives the sheet holder, directory, bases, hosting, peers' client,
    log, counters, dialect, clock and random numbers.
    """

    __slots__ = (
        "services",
        "balancer",
        "budget",
        "weights",
        "probing",
        "answer_bytes",
    )

    def __init__(self, services, balancer, budget):
        self.services = services
        self.balancer = balancer
        self.budget = budget
        self.weights = {}
        self.probing = {}
        self.answer_bytes = {}

    async def handle(self, request):
        """Return the response to a caller's request."""
        services = self.services
        started = request.arrived
        id = request.header(services.dialect.REQUEST_ID) or ""
        sheet = services.holder.sheet
        if sheet is None:
            return self._refuse(id, None, "no sheet is known yet", None)
        host = sheets.host_name(request.header(b"host") or "")
        route = sheet.match(host, request.path)
        if route is None:
            services.log.request(
                "no-route", id, host=host, path=request.path[:80], sheet=sheet.version
            )
            services.counters.refused("no-route")
            return _plain(404, "no route")
        deadline = started + self._allowed(request, route)
        call = Call(request, route, id, started, deadline)
        if services.crashes.convicted_call(request):
            reason = outcomes.Reason.CRASHES_TARGETS
            return self._refuse(id, call, "it took down several targets", reason)
        call.service = self._part(route)
        services.counters.asked(route.name)
        outcome = await self._carry(call)
        seconds = services.clock() - started
        services.counters.ended(route.name, outcome, seconds)
        return self._respond(call, outcome, seconds)

    def _allowed(self, request, route):
        text = request.header(self.services.dialect.DEADLINE_MS)
        allowed = route.timeout
        if text is not None:
            try:
                allowed = min(allowed, max(0.0, float(text) / 1000))
            except ValueError:
                self.services.log.request("odd-deadline", "", text=text[:40])
        return allowed

    def _part(self, route):
        """Return the service for the next call on a route, by its weights.

        Each part gains its weight, the one with most goes next: any run of calls is
        split within one call of the weights.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        gained = self.weights.setdefault(route.name, {})
        total = 0.0
        for part in route.parts:
            gained[part.service] = gained.get(part.service, 0.0) + part.weight
            total += part.weight
        chosen = max(route.parts, key=lambda part: gained[part.service])
        gained[chosen.service] -= total
        return chosen.service

    async def _carry(self, call):
        services = self.services
        proxies = len(services.directory.by_host)
        self.budget.earn(call.service, proxies)
        outcome = outcomes.NotRun(outcomes.Reason.NO_TARGET, "no target is known")
        while True:
            now = services.clock()
            if call.deadline - now < LEAST_SECONDS:
                if call.arrivals:
                    return outcome
                return outcomes.NotRun(outcomes.Reason.DEADLINE, "no time is left")
            target, last = self._choose(call, now)
            if target is None:
                return outcome
            result = await self._offer(call, target, now, last)
            if isinstance(result, hops.Refused):
                outcome = self._after_refusal(call, target, result, outcome)
                if outcome is None:
                    return result.outcome
                if call.offers >= OFFERS_MAX:
                    return outcome
                continue
            call.arrivals += 1
            call.tried.add(target.host)
            outcome = result
            failed = not isinstance(result, outcomes.Answered) or (
                result.response.status >= FIRST_ERROR_STATUS
                and result.response.status != DEADLINE_STATUS
            )
            if isinstance(result, outcomes.Answered):
                services.crashes.cleared_call(call.request)
            if not failed or not self._may_repeat(call, proxies):
                return outcome
            services.log.request(
                "sent-again",
                call.id,
                service=call.service,
                target=target.id,
                after=_describe(result),
                arrivals=call.arrivals,
            )

    def _after_refusal(self, call, target, result, outcome):
        """Return what is known after a refusal, ``None`` if the call ends with it."""
        services = self.services
        call.tried.add(target.host)
        call.offers += 1
        reason = result.outcome.reason
        services.log.request(
            "offer-refused",
            call.id,
            target=target.id,
            host=target.host,
            reason=reason,
            detail=result.outcome.detail,
            offers=call.offers,
        )
        if reason is outcomes.Reason.OVERLOADED:
            self.balancer.refused(target.host, services.clock())
        elif reason in (outcomes.Reason.DRAINING, outcomes.Reason.UNREACHABLE):
            self.balancer.refused(target.host, services.clock(), LEAVING_SECONDS)
        if result.arrived:
            call.arrivals += 1
            proxies = len(services.directory.by_host)
            if call.arrivals >= call.route.attempts or not self.budget.spend(
                call.service, proxies
            ):
                return None
        if call.arrivals and not isinstance(outcome, outcomes.NotRun):
            return outcome
        return result.outcome

    def _may_repeat(self, call, proxies):
        if not call.route.safe or call.arrivals >= call.route.attempts:
            return False
        if call.deadline - self.services.clock() < LEAST_SECONDS:
            return False
        return self.budget.spend(call.service, proxies)

    def _candidates(self, call):
        ready = self.services.directory.ready(call.service)
        up = [t for t in ready if not self.balancer.view(t.host).down]
        return self.services.bases.choose(
            call.service, call.route.name, up or ready, again=bool(call.tried)
        )

    def _choose(self, call, now):
        """Return the target to offer a call to, and whether it is the last one."""
        services, route = self.services, call.route
        urgent = route.rank < services.holder.sheet.last_rank
        left = self.balancer.open_to(self._candidates(call), call.tried, now, urgent)
        size = len(call.request.body) + self.answer_bytes.get(route.name, 0.0)
        target = self.balancer.choose(
            left,
            services.directory.warm_at,
            now,
            services.hosting.local_load(),
            size,
            route.goal,
        )
        return target, call.offers + 1 >= OFFERS_MAX or len(left) < 2

    async def _offer(self, call, target, now, last):
        services = self.services
        route = call.route
        goal_left = route.goal - (now - call.started)
        share = LAST_PATIENCE if last else FIRST_PATIENCE
        if not last and target.domain == self.balancer.domain:
            share = NEAR_PATIENCE
        hop = hops.Hop(
            target=target.id,
            kind=route.name,
            left=call.deadline - now,
            goal=goal_left,
            patience=max(0.0, share * (goal_left if goal_left > 0 else route.goal)),
            rank=route.rank,
            safe=route.safe,
            caller=services.settings.target.service,
        )
        passed = self._passed_on(call.request)
        self.balancer.sent(target.host)
        try:
            if target.host == services.settings.proxy.address:
                return await services.hosting.run(hop, passed, now)
            return await self._send(call, target, hop, passed)
        finally:
            self.balancer.ended(target.host)

    def _passed_on(self, request):
        dialect = self.services.dialect
        own = (dialect.DEADLINE_MS, dialect.EXPECTED_TARGET, dialect.CALLER)
        named = set()
        for name, value in request.headers:
            if name == b"connection":
                named.update(item.strip().lower() for item in value.split(b","))
        headers = [
            pair
            for pair in messages.end_to_end(request.headers)
            if pair[0] not in own and pair[0] not in named
        ]
        return messages.Request(request.method, request.target, headers, request.body)

    async def _send(self, call, target, hop, passed):
        if self._place_first(call, target):
            placed = await self._exchange(call, target, _ask_place(hop))
            if isinstance(placed, outcomes.Unknown):
                # Keeping a slot runs nothing, so a lost answer loses nothing.
                return hops.Refused(
                    outcomes.NotRun(outcomes.Reason.UNREACHABLE, placed.detail)
                )
            if not isinstance(placed, hops.Placed):
                return placed
            hop.place = placed.token
            hop.left = call.deadline - self.services.clock()
        header = (hops.HEADER, hop.encode())
        request = messages.Request(
            passed.method, passed.target, [*passed.headers, header], passed.body
        )
        return await self._exchange(call, target, request)

    def _place_first(self, call, target):
        """Tell whether to ask for a slot before the call itself is sent.

        Worth a round trip where a refusal would waste many bytes between domains, or
        where a call that must not run twice would go to a proxy not heard lately.
        """
        if (
            target.domain != self.balancer.domain
            and len(call.request.body) >= PLACE_BYTES
        ):
            return True
        age = self.services.clock() - self.balancer.view(target.host).alive_at
        return not call.route.safe and age > PLACE_AGE_SECONDS

    async def _exchange(self, call, target, request):
        services = self.services
        left = call.deadline - services.clock() + CLOSE_MARGIN_SECONDS
        replaceable = request.target == hops.PLACE_PATH or self._has_other_way(call)
        result = await services.peers.send(
            target.peer,
            request,
            left,
            heard_seconds=HEARD_SECONDS,
            ask=None if replaceable else self._still_there(target),
            on_confirmed=services.counters.confirmed,
            connect_seconds=CONNECT_SECONDS,
        )
        now = services.clock()
        if target.domain != self.balancer.domain:
            self._count_crossing(call, request, result)
        if isinstance(result, messages.Replied):
            try:
                outcome, load = hops.decode_outcome(result.response, target.id)
            except ValueError as error:
                return outcomes.Unknown(f"odd answer of a proxy: {error}")
            self.balancer.loaded(target.host, load, now)
            if isinstance(outcome, outcomes.Answered):
                failed = outcome.response.status >= FIRST_ERROR_STATUS
                self.balancer.answered(target.host, outcome.run_seconds, failed, now)
            elif isinstance(outcome, outcomes.Failed | outcomes.Unknown):
                self.balancer.answered(target.host, 0.0, True, now)
            return outcome
        if isinstance(result, messages.NotSent):
            self._unreachable(target, result.detail)
            return hops.Refused(
                outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
            )
        if isinstance(result, sending.Unheard):
            self._log_unconfirmed(call, target, result, replaceable)
            self._unreachable(target, result.detail)
        return outcomes.Unknown(f"{target.peer}: {result.detail}", host_silent=True)

    def _log_unconfirmed(self, call, target, result, replaceable):
        """Say what was known as a send was given up without a confirmation."""
        services = self.services
        others = self.balancer.open_to(
            self._candidates(call), call.tried | {target.host}, services.clock(), False
        )
        services.log.request(
            "unconfirmed",
            call.id,
            host=target.host,
            waited=round(result.seconds, 4),
            unsent=result.unsent,
            replaceable=replaceable,
            sends_left=call.route.attempts - call.arrivals - 1,
            allowance=round(self.budget.tokens.get(call.service, -1.0), 2),
            other_targets=len(others),
            asked=not replaceable,
        )

    def _has_other_way(self, call):
        """Tell whether a call may be sent again if this send is given up."""
        route, proxies = call.route, len(self.services.directory.by_host)
        return (
            route.safe
            and call.arrivals + 1 < route.attempts
            and self.budget.allows(call.service, proxies)
        )

    def _still_there(self, target):
        """Return a function that asks a target's proxy whether it is there."""

        async def ask():
            result = await self.services.peers.send(
                target.peer, PING, STILL_THERE_SECONDS
            )
            there = isinstance(result, messages.Replied)
            self.services.log.event("peer-asked", host=target.host, there=there)
            return there

        return ask

    def _count_crossing(self, call, request, result):
        size, ended = _size(request), type(result).__name__.lower()
        if isinstance(result, messages.Replied):
            size += _size(result.response)
            ended = "answered" if result.response.body else "refused"
        self.services.counters.crossing(call.route.name, ended, size)

    def _unreachable(self, target, detail):
        """Pass a host over, and ask it until it answers again."""
        if not self.balancer.unreachable(target.host):
            return
        self.services.log.event("peer-lost", host=target.host, detail=detail)
        self.services.peers.drop(target.peer)
        if target.host not in self.probing:
            loop = asyncio.get_running_loop()
            self.probing[target.host] = loop.create_task(self._probe(target))

    async def _probe(self, target):
        try:
            while target.host in self.services.directory.by_host:
                result = await self.services.peers.send(
                    target.peer, PING, PROBE_SECONDS
                )
                if isinstance(result, messages.Replied):
                    self.services.log.event("peer-regained", host=target.host)
                    await self.services.teach(target.peer, result.response)
                    break
                await asyncio.sleep(PROBE_PAUSE_SECONDS)
        finally:
            self.balancer.reachable(target.host)
            del self.probing[target.host]

    def _respond(self, call, outcome, seconds):
        if isinstance(outcome, outcomes.Answered):
            self._learn_size(call.route.name, len(outcome.response.body))
            if outcome.response.status >= FIRST_ERROR_STATUS:
                self.services.log.request(
                    "answered-failure",
                    call.id,
                    route=call.route.name,
                    service=call.service,
                    target=outcome.target,
                    status=outcome.response.status,
                    seconds=round(seconds, 4),
                )
            return outcome.response
        if isinstance(outcome, outcomes.NotRun):
            return self._refuse(call.id, call, outcome.detail, outcome.reason)
        status = 502 if isinstance(outcome, outcomes.Failed) else DEADLINE_STATUS
        self.services.log.request(
            "failed",
            call.id,
            route=call.route.name,
            service=call.service,
            status=status,
            target=outcome.target,
            detail=outcome.detail,
            arrivals=call.arrivals,
            seconds=round(seconds, 4),
        )
        return _plain(status, "the call may have run")

    def _learn_size(self, route, size):
        usual = self.answer_bytes.get(route, size)
        self.answer_bytes[route] = usual + SIZE_WEIGHT * (size - usual)

    def _refuse(self, id, call, detail, reason):
        """Return the promise that a call has not run, and when to come back."""
        services = self.services
        if call is None:
            seconds = services.random.uniform(*RETRY_AFTER_UNKNOWN_SECONDS)
        else:
            left = max(0.0, call.deadline - services.clock())
            seconds = left * services.random.uniform(*RETRY_AFTER_SHARES)
        services.counters.refused(str(reason or "no sheet"))
        services.log.request(
            "refused",
            id,
            route=call.route.name if call else None,
            service=call.service if call else None,
            source=call.request.source if call else None,
            reason=reason,
            detail=detail,
            offers=call.offers if call else 0,
            retry_after=round(seconds, 3),
        )
        response = _plain(503, "not run")
        response.headers.append((b"retry-after", b"%.3f" % seconds))
        return response


def _ask_place(hop):
    headers = [(b"host", b"peer"), (hops.HEADER, hop.encode())]
    return messages.Request("POST", hops.PLACE_PATH, headers)


def _size(message):
    """Return about how many bytes a message takes on the wire."""
    head = sum(len(name) + len(value) + 4 for name, value in message.headers)
    return HEAD_BYTES + head + len(message.body)


def _describe(outcome):
    if isinstance(outcome, outcomes.Answered):
        return f"status {outcome.response.status}"
    return f"{type(outcome).__name__.lower()}: {outcome.detail}"


def _plain(status, text):
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    return messages.Response(status, headers, f"{text}\n".encode())
