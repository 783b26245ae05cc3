"""Look after the target on this host: believe its heartbeats, admit calls, run them."""

import asyncio
import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.moves import evidence
from lentilrouter.proxy import admission, hops, liveness
from lentilrouter.routing import slots

CONNECT_SECONDS = 0.3  # same host; the target's queue of connections may be full
REUSE_UNSAFE_SECONDS = 1.0  # a target may forget idle connections sooner than it says
ANSWER_MARGIN_SECONDS = 0.03  # a target answers at its deadline; allow for the way
LEAST_SECONDS = 0.004  # with less than this left a call is not handed to a target
RESERVATION_SECONDS = 0.12  # a kept slot waits for its call: some round trips
FIRST_ERROR_STATUS = 500


class Hosting:
    """Admit calls to the local target and run them there.

    ``services`` gives clock, log, counters, client, connections limit and the
    callback ``target_changed`` that makes news of the target known.
    """

    __slots__ = (
        "services",
        "liveness",
        "gate",
        "evidence",
        "stopping",
        "reservations",
    )

    def __init__(self, services):
        self.services = services
        self.liveness = liveness.Liveness(services.settings)
        self.gate = admission.Gate(1)
        self.evidence = evidence.Evidence()
        self.stopping = False
        self.reservations = {}

    def handle_heartbeat(self, beat):
        """Take in a heartbeat and act on what it changes."""
        now = self.services.clock()
        before = self.liveness.target
        result = self.liveness.handle_heartbeat(beat, now)
        self._act_on(before, result, f"beat {beat.sequence}")
        return result

    def handle_leave(self, leave):
        """Take in a target's leaving."""
        before = self.liveness.target
        result = self.liveness.handle_leave(leave, self.services.clock())
        self._act_on(before, result, "leave")
        return result

    def restore(self, target):
        """Believe an entry of this host's earlier process."""
        if self.liveness.target is None:
            self.liveness.restore(target, self.services.clock())
            self._act_on(None, liveness.Accepted(True), "entry in the store")

    def check(self):
        """Notice a target that stopped to send heartbeats."""
        if self.liveness.target is not None and self.liveness.check(
            self.services.clock()
        ):
            self._act_on(self.liveness.target, liveness.Accepted(True), "no heartbeats")

    def _act_on(self, before, result, cause):
        if isinstance(result, liveness.Ignored):
            self.services.log.request("beat-ignored", "", reason=result.reason)
            return
        if not result.changed:
            return
        target = self.liveness.target
        if before is None or (before.id, before.born) != (target.id, target.born):
            if before is not None:
                self.gate.close(outcomes.Reason.UNREACHABLE)
                self.services.target_client.drop(self.services.settings.target.address)
            self.gate = admission.Gate(target.slots)
        self.gate.slots = target.slots
        if self.liveness.state is not liveness.State.READY:
            self.gate.close(outcomes.Reason.DRAINING)
        elif self.gate.closed and not self.stopping:
            self.gate.closed = False
        self.services.log.event(
            "target",
            cause=cause,
            id=target.id,
            born=target.born,
            version=target.version,
            state=self.liveness.state,
            slots=target.slots,
        )
        self.services.target_changed()

    def stop(self):
        """Take no more calls; what is at work or waits goes on."""
        self.stopping = True
        self.gate.closed = True
        if self.liveness.target is not None:
            self.services.target_changed()

    def load(self):
        """Return how busy the target is."""
        return hops.Load(
            len(self.gate.running), len(self.gate.queue), max(1, self.gate.slots)
        )

    def local_load(self):
        """Return the share of slots in use, or ``None`` if no call is taken."""
        if self.gate.closed or self.liveness.state is not liveness.State.READY:
            return None
        return (len(self.gate.running) + len(self.gate.queue)) / self.gate.slots

    async def run(self, hop, request, started):
        """Run a call at the target; return an outcome or ``hops.Refused``."""
        refusal = self._refusal(hop)
        if refusal is None and self.services.crashes.is_blocked(request):
            reason = outcomes.Reason.CRASHES_TARGETS
            refusal = outcomes.NotRun(reason, "it took down several targets")
        if refusal is not None:
            return hops.Refused(refusal)
        own_gate, ticket = self.reservations.pop(hop.reservation, (None, None))
        if ticket is None:
            own_gate, ticket = self.gate, self._ticket(hop, started)
            refusal = await self._take_slot(own_gate, ticket)
            if refusal is not None:
                return hops.Refused(refusal)
        outcome = None
        try:
            outcome = await self._send_to_target(hop, request, ticket)
            return outcome
        finally:
            now = self.services.clock()
            if isinstance(outcome, outcomes.Answered):
                own_gate.release(ticket, now)
            else:
                own_gate.withdraw(ticket, now)

    async def reserve_slot(self, hop, started):
        """Keep a slot for a call that follows; return ``hops.Reserved`` or ``Refused``.

        A place that is not used within ``RESERVATION_SECONDS`` is given to others, so a
        lost answer costs a slot for that long and nothing else.
        """
        refusal = self._refusal(hop)
        if refusal is not None:
            return hops.Refused(refusal)
        own_gate, ticket = self.gate, self._ticket(hop, started)
        refusal = await self._take_slot(own_gate, ticket)
        if refusal is not None:
            return hops.Refused(refusal)
        token = f"{self.services.random.getrandbits(64):x}"
        self.reservations[token] = (own_gate, ticket)
        loop = asyncio.get_running_loop()
        loop.call_later(RESERVATION_SECONDS, self._expire_reservation, token)
        return hops.Reserved(token)

    def _expire_reservation(self, token):
        own_gate, ticket = self.reservations.pop(token, (None, None))
        if ticket is not None:
            self.services.log.request("place-unused", "", kind=ticket.kind)
            own_gate.withdraw(ticket, self.services.clock())

    def _ticket(self, hop, started):
        return admission.Ticket(
            kind=hop.kind,
            rank=hop.rank,
            deadline=started + hop.left,
            max_wait=hop.max_wait,
            goal=started + hop.goal,
            suspect=hop.suspect,
        )

    async def _take_slot(self, own_gate, ticket):
        """Wait for a slot; return ``None`` once it is held, or a ``NotRun``."""
        waiting = asyncio.get_running_loop().create_future()

        def on_turn(outcome):
            if not waiting.done():
                waiting.set_result(outcome)

        ticket.on_turn = on_turn
        verdict = own_gate.acquire(ticket, self.services.clock())
        if isinstance(verdict, outcomes.NotRun):
            return verdict
        if isinstance(verdict, slots.Admitted):
            return None
        try:
            return await waiting
        except asyncio.CancelledError:
            own_gate.withdraw(ticket, self.services.clock())
            raise

    def _refusal(self, hop):
        target = self.liveness.target
        reasons, states = outcomes.Reason, liveness.State
        if target is None or self.liveness.state in (states.GONE, states.SILENT):
            return outcomes.NotRun(reasons.UNREACHABLE, "no target is here")
        if hop.target != target.id:
            return outcomes.NotRun(reasons.UNREACHABLE, "another target is here")
        if self.stopping or self.liveness.state is states.DRAINING:
            return outcomes.NotRun(reasons.DRAINING, "target is leaving")
        if self.services.bases.is_retired(target.service, target.version):
            return outcomes.NotRun(reasons.DRAINING, "version gets no calls")
        return None

    async def _send_to_target(self, hop, request, ticket):
        services = self.services
        now = services.clock()
        left = ticket.deadline - now
        if left < LEAST_SECONDS:
            refusal = outcomes.NotRun(outcomes.Reason.DEADLINE, "before its turn")
            return hops.Refused(refusal)
        target = self.liveness.target
        id = request.header(self.services.dialect.REQUEST_ID)
        headers = [
            *request.headers,
            (self.services.dialect.DEADLINE_MS, b"%d" % max(1, int(left * 1000))),
            (self.services.dialect.EXPECTED_TARGET, hop.target.encode()),
            (self.services.dialect.CALLER, hop.caller.encode()),
        ]
        outgoing = messages.Request(
            request.method, request.target, headers, request.body
        )
        result = await services.target_client.send(
            services.settings.target.address,
            outgoing,
            left + ANSWER_MARGIN_SECONDS,
            id=id.encode("latin-1") if id is not None else None,
            connect_seconds=min(CONNECT_SECONDS, left),
            reuse_seconds=None if hop.safe else REUSE_UNSAFE_SECONDS,
        )
        ended = services.clock()
        if isinstance(result, messages.NotSent):
            outcome = self._judge_not_sent(result, target, left)
        else:
            outcome = self._judge(result, target, ended - now, id)
        if isinstance(outcome, outcomes.Answered):
            services.crashes.clear_call(request)
        elif isinstance(result, messages.Broken) and not result.started:
            outcome = await self._check_for_crash(outcome, request, target)
        self._note_evidence(hop, target, outcome, ended)
        return outcome

    def _judge(self, result, target, seconds, id):
        if isinstance(result, messages.Replied):
            return self._judge_answer(result.response, target, seconds, id)
        if isinstance(result, messages.Broken):
            if result.started:
                return outcomes.Failed(result.detail, target=target.id)
            return outcomes.Unknown(result.detail, target=target.id)
        return outcomes.Unknown(result.detail, late=True, target=target.id)

    def _judge_not_sent(self, result, target, left):
        """Refuse a call that could not be handed over within ``left`` seconds.

        A connection that was not there in less than the usual time proves nothing.
        """
        proved = result.refused or left >= CONNECT_SECONDS
        if proved and self.liveness.target is target:
            self._note_lost(target, result.detail)
        refusal = outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
        return hops.Refused(refusal)

    async def _check_for_crash(self, outcome, request, target):
        """Find out whether a target that broke a connection off has died."""
        services = self.services
        address = services.settings.target.address
        if not await services.target_client.refuses(address, CONNECT_SECONDS):
            return outcome
        if self.liveness.target is target:
            self._note_lost(target, "died with calls in flight")
        services.report_crash(request, target)
        return dataclasses.replace(outcome, crashed=True)

    def _judge_answer(self, response, target, seconds, id):
        not_run = response.header(self.services.dialect.NOT_RUN) is not None
        if not_run or response.status == 421:
            if response.status == 421 and self.liveness.target is target:
                self._note_lost(target, "another target has the address")
            reason = outcomes.Reason.OVERLOADED
            refusal = outcomes.NotRun(reason, f"target answered {response.status}")
            return hops.Refused(refusal, arrived=True)
        signed = response.header(self.services.dialect.PROOF) is not None
        echoed = response.header(self.services.dialect.REQUEST_ID) == id
        if response.status < 300 and not (signed and echoed):
            return outcomes.Failed("answer is not the target's", target=target.id)
        passed = messages.passed_on(response)
        return outcomes.Answered(passed, target.id, seconds)

    def _note_lost(self, target, detail):
        if self.liveness.mark_unresponsive():
            self._act_on(target, liveness.Accepted(True), detail)

    def _note_evidence(self, hop, target, outcome, now):
        if isinstance(outcome, hops.Refused) or now < self.liveness.warm_at:
            return
        # An answer lost on its way tells of the connection, not of the version.
        if isinstance(outcome, outcomes.Answered):
            failed = outcome.response.status >= FIRST_ERROR_STATUS
            self.evidence.note(target.version, hop.kind, failed, outcome.run_seconds)
        elif getattr(outcome, "late", False):
            self.evidence.note(target.version, hop.kind, False, hop.left)
