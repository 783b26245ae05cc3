"""Send a call to one target: on this host, or through the proxy of its host."""

import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.placement import crossing
from lentilrouter.proxy import connections, hops
from lentilrouter.workspaces import headers as identity_headers

CONFIRM_SECONDS = 0.3  # several round trips between domains and one lost packet
CONNECT_SECONDS = 0.25  # to another proxy; a cut-off host does not respond at all
CLOSE_MARGIN_SECONDS = 0.05  # a last response may arrive this long after the deadline
# Longest wait for a slot, as fractions of the latency goal.
FIRST_MAX_WAIT_SHARE = 0.12  # in another domain, while others can be tried instead
NEAR_MAX_WAIT_SHARE = 0.35  # in the own domain, rather than cross to another one
PATIENT_MAX_WAIT_SHARE = 0.5  # at the last target of the own domain, by ``patience``
LAST_MAX_WAIT_SHARE = 0.6  # at the last target tried
FIRST_ERROR_STATUS = 500
RESERVE_BYTES = 4096  # refusing a body this large wastes more than a round trip
RESERVE_AGE_SECONDS = 0.1  # a proxy that responded this recently is assumed reachable


@dataclasses.dataclass(slots=True, frozen=True)
class SendOptions:
    """Options of one attempt: its target, and whether it is the ``last`` one left.

    ``on_late`` is called with the seconds waited and the bytes not yet sent if the
    target's proxy does not confirm the call within ``CONFIRM_SECONDS``; it returns
    whether to abort the request.
    ``on_confirmed`` is called without arguments when it confirms, late or not.
    ``cause`` is the ``crossing.Cause`` of the attempt, ``patience`` that of the
    ``choosing.Choice``.
    """

    target: object
    last: bool
    on_late: object
    on_confirmed: object
    cause: crossing.Cause = crossing.Cause.FIRST
    patience: float = 0.0


class Upstream:
    """Sender of calls to targets on any host.

    ``services`` provides hosting, the peers' client, dialect, settings, counters and
    clock.
    """

    __slots__ = ("services", "balancer", "prober", "chooser")

    def __init__(self, services, balancer, prober, chooser):
        self.services = services
        self.balancer = balancer
        self.prober = prober
        self.chooser = chooser

    async def send(self, call, options):
        """Return the outcome of a call at one target, or ``hops.Refused``."""
        services, target = self.services, options.target
        now = services.clock()
        hop = self._hop(call, options, now)
        forwarded = self._forwarded_request(call)
        if target.host == services.settings.proxy.address:
            outcome = await services.hosting.run(hop, forwarded, now)
            self._learn(call, target, outcome, services.hosting.load())
            return outcome
        return await self._send_to_peer(call, options, hop, forwarded)

    def _hop(self, call, options, now):
        """Return the ``hops.Hop`` for a call; its times count from ``now``."""
        route, target = call.route, options.target
        goal_left = call.goal - now
        near = target.domain == self.balancer.domain
        return hops.Hop(
            target=target.id,
            kind=route.name,
            left=call.deadline - now,
            goal=goal_left,
            max_wait=max_wait(
                options.last, near, goal_left, route.goal, options.patience
            ),
            rank=call.rank,
            safe=route.safe,
            caller=self.services.settings.target.service,
            workspace=call.workspace.name if call.workspace is not None else "",
            returned=call.returned,
            nested=call.nested,
        )

    def _forwarded_request(self, call):
        """Return the request without hop-by-hop headers and those this proxy sets.

        It has no key of a workspace.
        """
        request, dialect = call.request, self.services.dialect
        workspace = call.workspace.name if call.workspace is not None else ""
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
        headers = identity_headers.without_identity(
            headers, dialect, self.services.holder.sheet, workspace
        )
        return messages.Request(request.method, request.target, headers, request.body)

    async def _send_to_peer(self, call, options, hop, forwarded):
        """Send a call to the target's proxy, if needed with a reserved slot.

        Return its outcome or ``hops.Refused``.
        """
        if self._needs_reservation(call, options.target):
            refusal = await self._reserve(call, options.target, hop)
            if refusal is not None:
                return refusal
        header = (hops.HEADER, hop.encode())
        request = messages.Request(
            forwarded.method,
            forwarded.target,
            [*forwarded.headers, header],
            forwarded.body,
        )

        def on_confirmation(seconds):
            self.services.counters.observe_confirmation(seconds)
            options.on_confirmed()

        confirmation = connections.Confirmation(
            CONFIRM_SECONDS, on_confirmation, options.on_late
        )
        return await self._exchange(
            call, options.target, request, confirmation, options.cause
        )

    def _needs_reservation(self, call, target):
        """Return whether to reserve a slot before the call itself is sent.

        The extra round trip pays off if a refusal would waste many bytes between
        domains, or if a call that must not run twice would go to a proxy that did not
        respond within ``RESERVE_AGE_SECONDS``.
        """
        if (
            target.domain != self.balancer.domain
            and len(call.request.body) >= RESERVE_BYTES
        ):
            return True
        age = self.services.clock() - self.balancer.observe(target.host).responded_at
        return not call.route.safe and age > RESERVE_AGE_SECONDS

    async def _reserve(self, call, target, hop):
        """Reserve a slot and set its token in the hop.

        Return ``None``, or a ``hops.Refused`` if no slot was reserved.
        """

        def on_late(waited, unsent):
            # A reservation runs nothing, so it can be aborted safely.
            self.prober.probe(target)
            return True

        headers = [(b"host", b"peer"), (hops.HEADER, hop.encode())]
        request = messages.Request("POST", hops.RESERVE_PATH, headers)
        confirmation = connections.Confirmation(
            CONFIRM_SECONDS, self.services.counters.observe_confirmation, on_late
        )
        reserved = await self._exchange(
            call, target, request, confirmation, crossing.Cause.RESERVATION
        )
        if isinstance(reserved, hops.Reserved):
            hop.reservation = reserved.token
            hop.left = call.deadline - self.services.clock()
            return None
        if isinstance(reserved, outcomes.Unknown):
            refusal = outcomes.NotRun(outcomes.Reason.UNCONFIRMED, reserved.detail)
            return hops.Refused(refusal)
        return reserved

    async def _exchange(self, call, target, request, confirmation, cause):
        """Send a request to a target's proxy; return the result in its response.

        Return ``hops.Refused`` if the request was not sent, ``Unknown`` if no valid
        response came.
        """
        services = self.services
        left = call.deadline - services.clock() + CLOSE_MARGIN_SECONDS
        result = await services.peers.send(
            target.peer,
            request,
            left,
            confirmation=confirmation,
            connect_seconds=CONNECT_SECONDS,
        )
        outcome = self._read_result(call, target, result)
        if target.domain != self.balancer.domain:
            refused = isinstance(outcome, hops.Refused)
            self._count_cross_domain(call, request, result, cause, refused)
        return outcome

    def _read_result(self, call, target, result):
        """Return the outcome of a request to a target's proxy."""
        if isinstance(result, messages.Replied):
            return self._read_response(call, target, result.response)
        if isinstance(result, messages.NotSent):
            self.prober.mark_unreachable(target, result.detail)
            refusal = outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
            return hops.Refused(refusal)
        return outcomes.Unknown(f"{target.peer}: {result.detail}", host_silent=True)

    def _learn(self, call, target, outcome, load):
        """Learn the speed of a target from a call that it answered.

        Calls at a target that just started are left out: it is slow for a while.
        """
        now = self.services.clock()
        self.balancer.work_reported(target.host, load, now)
        if now < self.services.directory.warm_at.get(target.host, 0.0):
            return
        if (
            isinstance(outcome, outcomes.Answered)
            and outcome.response.status < FIRST_ERROR_STATUS
        ):
            self.chooser.learn(call.route, target.host, outcome.run_seconds)

    def _read_response(self, call, target, response):
        """Return the outcome in a proxy's response and record its load."""
        now = self.services.clock()
        try:
            outcome, load = hops.decode_outcome(response, target.id)
        except ValueError as error:
            return outcomes.Unknown(f"odd answer of a proxy: {error}")
        self.balancer.loaded(target.host, load, now)
        self.chooser.note_domain(target, load, now)
        self._learn(call, target, outcome, load)
        if isinstance(outcome, outcomes.Answered):
            failed = outcome.response.status >= FIRST_ERROR_STATUS
            self.balancer.answered(target.host, outcome.run_seconds, failed, now)
        elif isinstance(outcome, outcomes.Failed | outcomes.Unknown):
            self.balancer.answered(target.host, 0.0, True, now)
        return outcome

    def _count_cross_domain(self, call, request, result, cause, refused):
        """Count the bytes of a request to another domain and of its response."""
        sent, received = crossing.wire_bytes(request), 0
        ended = type(result).__name__.lower()
        if isinstance(result, messages.Replied):
            received = crossing.wire_bytes(result.response)
            ended = "answered" if result.response.body else "refused"
        counters = self.services.counters
        counters.count_cross_domain(call.route.name, ended, sent + received)
        for part, size in crossing.split(cause, sent, received, refused).items():
            counters.count_crossing(part, size)


def max_wait(last, near, goal_left, goal, patience=0.0):
    """Return the longest expected wait in seconds that a call accepts at a target.

    ``last`` is true if no other target is left, ``near`` if the target is in the own
    domain. ``goal`` is the latency goal of the route and ``goal_left`` the time left
    until it. A call that misses its goal takes a slot that is about to be free, but
    does not queue up. ``patience`` is that of the ``choosing.Choice``: a call waits
    longer where every other target costs it more.
    """
    if goal_left <= 0:
        return FIRST_MAX_WAIT_SHARE * goal
    if last:
        return LAST_MAX_WAIT_SHARE * goal_left
    usual = (NEAR_MAX_WAIT_SHARE if near else FIRST_MAX_WAIT_SHARE) * goal_left
    return max(usual, min(patience, PATIENT_MAX_WAIT_SHARE * goal_left))
