"""Offer a call to one target: here, or over a hop to the proxy beside it."""

import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.proxy import connections, hops

CONFIRM_SECONDS = 0.3  # several round trips between domains, and one lost packet
CONNECT_SECONDS = 0.25  # to another proxy; a cut-off host does not answer at all
CLOSE_MARGIN_SECONDS = 0.05  # a final answer leaves this long after the last moment
FIRST_MAX_WAIT = 0.12  # of the goal: look elsewhere rather than wait longer
NEAR_MAX_WAIT = 0.35  # of the goal: wait in the own domain rather than cross
LAST_MAX_WAIT = 0.6  # of the goal: wait at the last proxy asked
FIRST_ERROR_STATUS = 500
RESERVE_BYTES = 4096  # a refusal of more than this wastes more than a round trip
RESERVE_AGE_SECONDS = 0.1  # a proxy heard within this time is taken to be there
HEAD_BYTES = 40  # first line and length of a message


@dataclasses.dataclass(slots=True, frozen=True)
class SendOptions:
    """Say to which target a call is offered, and whether no other is left.

    ``on_late`` is called if the target's proxy does not confirm the call in time; it
    gets the seconds waited and the bytes not yet sent. ``on_confirmed`` is called when
    it does, late or not.
    """

    target: object
    last: bool
    on_late: object
    on_confirmed: object


class Upstream:
    """Offer calls to targets, whichever host they are on.

    ``services`` gives hosting, the peers' client, dialect, settings, counters and
    clock.
    """

    __slots__ = ("services", "balancer", "prober")

    def __init__(self, services, balancer, prober):
        self.services = services
        self.balancer = balancer
        self.prober = prober

    async def send(self, call, offer):
        """Return the outcome of a call at one target, or ``hops.Refused``."""
        services, target = self.services, offer.target
        now = services.clock()
        hop = self._hop(call, offer, now)
        passed = self._passed_on(call.request)
        if target.host == services.settings.proxy.address:
            return await services.hosting.run(hop, passed, now)
        return await self._send(call, offer, hop, passed)

    def _hop(self, call, offer, now):
        route, target = call.route, offer.target
        goal_left = route.goal - (now - call.started)
        share = LAST_MAX_WAIT if offer.last else FIRST_MAX_WAIT
        if not offer.last and target.domain == self.balancer.domain:
            share = NEAR_MAX_WAIT
        return hops.Hop(
            target=target.id,
            kind=route.name,
            left=call.deadline - now,
            goal=goal_left,
            max_wait=max(0.0, share * (goal_left if goal_left > 0 else route.goal)),
            rank=route.rank,
            safe=route.safe,
            caller=self.services.settings.target.service,
        )

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

    async def _send(self, call, offer, hop, passed):
        if self._place_first(call, offer.target):
            refusal = await self._take_place(call, offer.target, hop)
            if refusal is not None:
                return refusal
        header = (hops.HEADER, hop.encode())
        request = messages.Request(
            passed.method, passed.target, [*passed.headers, header], passed.body
        )

        def came(seconds):
            self.services.counters.observe_confirmation(seconds)
            offer.on_confirmed()

        confirmation = connections.Confirmation(CONFIRM_SECONDS, came, offer.on_late)
        return await self._exchange(call, offer.target, request, confirmation)

    def _place_first(self, call, target):
        """Tell whether to ask for a slot before the call itself is sent.

        Worth a round trip where a refusal would waste many bytes between domains, or
        where a call that must not run twice would go to a proxy not heard lately.
        """
        if (
            target.domain != self.balancer.domain
            and len(call.request.body) >= RESERVE_BYTES
        ):
            return True
        age = self.services.clock() - self.balancer.observe(target.host).responded_at
        return not call.route.safe and age > RESERVE_AGE_SECONDS

    async def _take_place(self, call, target, hop):
        """Have a slot kept and note it in the hop; return what stands against it."""

        def give_up(waited, unsent):
            # Keeping a slot runs nothing, so giving up loses nothing.
            self.prober.probe(target)
            return True

        headers = [(b"host", b"peer"), (hops.HEADER, hop.encode())]
        question = messages.Request("POST", hops.RESERVE_PATH, headers)
        confirmation = connections.Confirmation(
            CONFIRM_SECONDS, self.services.counters.observe_confirmation, give_up
        )
        placed = await self._exchange(call, target, question, confirmation)
        if isinstance(placed, hops.Reserved):
            hop.reservation = placed.token
            hop.left = call.deadline - self.services.clock()
            return None
        if isinstance(placed, outcomes.Unknown):
            refusal = outcomes.NotRun(outcomes.Reason.UNCONFIRMED, placed.detail)
            return hops.Refused(refusal)
        return placed

    async def _exchange(self, call, target, request, confirmation):
        services = self.services
        left = call.deadline - services.clock() + CLOSE_MARGIN_SECONDS
        result = await services.peers.send(
            target.peer,
            request,
            left,
            confirmation=confirmation,
            connect_seconds=CONNECT_SECONDS,
        )
        if target.domain != self.balancer.domain:
            self._count_crossing(call, request, result)
        if isinstance(result, messages.Replied):
            return self._read_answer(target, result.response)
        if isinstance(result, messages.NotSent):
            self.prober.mark_unreachable(target, result.detail)
            refusal = outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
            return hops.Refused(refusal)
        return outcomes.Unknown(f"{target.peer}: {result.detail}", host_silent=True)

    def _read_answer(self, target, response):
        now = self.services.clock()
        try:
            outcome, load = hops.decode_outcome(response, target.id)
        except ValueError as error:
            return outcomes.Unknown(f"odd answer of a proxy: {error}")
        self.balancer.loaded(target.host, load, now)
        if isinstance(outcome, outcomes.Answered):
            failed = outcome.response.status >= FIRST_ERROR_STATUS
            self.balancer.answered(target.host, outcome.run_seconds, failed, now)
        elif isinstance(outcome, outcomes.Failed | outcomes.Unknown):
            self.balancer.answered(target.host, 0.0, True, now)
        return outcome

    def _count_crossing(self, call, request, result):
        size, ended = _size(request), type(result).__name__.lower()
        if isinstance(result, messages.Replied):
            size += _size(result.response)
            ended = "answered" if result.response.body else "refused"
        self.services.counters.count_cross_domain(call.route.name, ended, size)


def _size(message):
    """Return about how many bytes a message takes on the wire."""
    head = sum(len(name) + len(value) + 4 for name, value in message.headers)
    return HEAD_BYTES + head + len(message.body)
