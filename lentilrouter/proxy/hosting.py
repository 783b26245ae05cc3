"""Track the target on this host through its heartbeats and run calls there."""

import asyncio
import dataclasses
import math

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.eligibility import checking, warming
from lentilrouter.moves import evidence
from lentilrouter.overload import asking
from lentilrouter.placement import reports
from lentilrouter.proxy import admission, hops, liveness, silence
from lentilrouter.routing import slots
from lentilrouter.workspaces import headers as identity_headers

# Longest idle time of a connection that is reused for an unsafe call: a target may drop
# idle connections sooner than it states.
REUSE_UNSAFE_SECONDS = 1.0
RESPONSE_MARGIN_SECONDS = 0.03  # a target may respond right at the deadline
MIN_TIME_LEFT_SECONDS = 0.004  # a call with less time left is not sent to the target
RESERVATION_SECONDS = 0.12  # several round trips, for the reserved call to arrive
FIRST_ERROR_STATUS = 500
USUAL_RUN_FACTOR = 3.0  # of the mean run time; few safe calls take longer


class Hosting:
    """Local target of the proxy: its liveness, its slots and the calls that run there.

    ``services`` provides settings, clock, log, random numbers, dialect, target client,
    sheet holder, crashes, bases, stalls, eligibility and two callbacks:
    ``target_changed`` publishes a change of the target, ``report_crash`` records and
    broadcasts a request that was in flight when the target died.

    ``reservations`` maps the token of each reserved slot to its gate and ticket.
    ``earlier_ids`` are those of earlier targets on this host, of the same version.
    ``pace`` limits the rate of calls while the target is cold; ``pace_timer`` runs
    until the next waiting call may start. ``answered_at`` is when the target last
    answered a call, in monotonic seconds, and ``silence`` checks whether it is dead and
    ``cold_check`` whether it has turned cold.
    ``ends_at`` is when this process will end, in monotonic seconds, infinite unless it
    stops. ``work_time`` is what the target's responses report. ``domain_load`` returns
    the mean load of its service in the domain, 0.0 if unknown. ``running_ids`` has
    the request ids of the calls in flight at the target.
    """

    __slots__ = (
        "services",
        "liveness",
        "pace",
        "pace_timer",
        "gate",
        "evidence",
        "stopping",
        "reservations",
        "earlier_ids",
        "answered_at",
        "silence",
        "cold_check",
        "ends_at",
        "work_time",
        "domain_load",
        "running_ids",
    )

    def __init__(self, services):
        self.services = services
        self.liveness = liveness.Liveness(services.settings)
        self.pace = warming.Pace()
        self.pace_timer = None
        self.gate = admission.Gate(1, self.pace)
        self.evidence = evidence.Evidence()
        self.stopping = False
        self.reservations = {}
        self.earlier_ids = set()
        self.answered_at = 0.0
        self.ends_at = math.inf
        self.silence = silence.SilenceCheck(self)
        self.cold_check = checking.ColdCheck(self)
        self.work_time = reports.WorkTime()
        self.domain_load = float
        self.running_ids = set()

    def handle_heartbeat(self, heartbeat):
        """Apply a ``liveness.Heartbeat``; return ``Accepted`` or ``Ignored``."""
        now = self.services.clock()
        before = self.liveness.target
        was_assumed = self.liveness.assumed and before.id == heartbeat.id
        service = self.services.settings.target.service
        unknown = self.services.eligibility.cold_seconds(service)
        result = self.liveness.handle_heartbeat(heartbeat, now, unknown)
        if was_assumed and isinstance(result, liveness.Accepted):
            # The same target, of which more is known now.
            before = dataclasses.replace(before, born=heartbeat.born)
            result = liveness.Accepted(True)
        self._apply_change(before, result, f"heartbeat {heartbeat.sequence}")
        self._update_pace()
        return result

    def handle_leave(self, leave):
        """Apply a ``liveness.Leave``; return ``Accepted`` or ``Ignored``."""
        before = self.liveness.target
        result = self.liveness.handle_leave(leave, self.services.clock())
        self._apply_change(before, result, "leave")
        return result

    def restore(self, target, responsive=True, running_id="", cold_seconds=None):
        """Use the stored entry of this host's earlier process if no target is known.

        Without ``responsive``, the target gets no calls before its next heartbeat.
        ``running_id`` is the id of a target of the same version that runs in its place.
        ``cold_seconds`` is how long the target is still cold; if that is ``None``, it
        may have started just now.
        """
        if self.liveness.target is None:
            now = self.services.clock()
            if running_id:
                self.earlier_ids.add(target.id)
                target = dataclasses.replace(target, id=running_id)
            self.liveness.restore(target, now, assumed=bool(running_id))
            if cold_seconds is None:
                cold_seconds = self.services.eligibility.cold_seconds(target.service)
            self.liveness.warm_at = now + cold_seconds
            if not responsive:
                self.liveness.mark_unresponsive()
            self._apply_change(None, liveness.Accepted(True), "entry in the store")
            self._update_pace()

    def note_cold(self, seconds):
        """Limit the rate of the target, which is cold for some seconds from now on."""
        self.liveness.warm_at = self.services.clock() + seconds
        self._update_pace()

    def _update_pace(self):
        """Apply the rate of the sheet, and what is known of the target's warm-up."""
        now = self.services.clock()
        service = self.services.settings.target.service
        rate = self.services.eligibility.cold_rate(service)
        if self.pace.update(rate, self.liveness.warm_at, now):
            seconds = round(self.liveness.warm_at - now, 3)
            self.services.log.event("target-cold", seconds=seconds, rate=rate)
            self.services.counters.count_cold_start()
        self.gate.keeps_rank = self._asks(service)
        self._schedule_turn()

    def _asks(self, service):
        """Return whether the calls of the local target are served by ``overload``."""
        sheet = self.services.holder.sheet
        return sheet is not None and asking.asks(
            sheet, [service], lambda name: self.work_time.ratio > 0
        )

    def _schedule_turn(self):
        """Let the next waiting call start when the pace allows it."""
        now = self.services.clock()
        if self.pace_timer is None and self.gate.queue and self.pace.is_limited(now):
            loop = asyncio.get_running_loop()
            wait = self.pace.wait(0, now)
            self.pace_timer = loop.call_later(wait, self._give_turn)

    def _give_turn(self):
        self.pace_timer = None
        self.gate.admit(self.services.clock())
        self._schedule_turn()

    def check_heartbeats(self):
        """Mark the target unresponsive if its heartbeats stopped.

        Check whether it has turned cold if one is late.
        """
        self.cold_check.tick()
        if self.liveness.target is not None and self.liveness.check_heartbeats(
            self.services.clock()
        ):
            self._apply_change(
                self.liveness.target, liveness.Accepted(True), "no heartbeats"
            )

    def _apply_change(self, before, result, cause):
        """Adapt the gate to a liveness result, log the change and publish it.

        ``before`` is the target before the change, ``cause`` a text for the log.
        """
        if isinstance(result, liveness.Ignored):
            self.services.log.request("beat-ignored", "", reason=result.reason)
            return
        if not result.changed:
            return
        target = self.liveness.target
        if before is None or (before.id, before.born) != (target.id, target.born):
            if before is not None:
                self._note_earlier_target(before, target)
                self.gate.close(outcomes.Reason.UNREACHABLE)
                self.services.target_client.drop(self.services.settings.target.address)
            self.gate = admission.Gate(target.slots, self.pace)
            self.work_time = reports.WorkTime()
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

    def _note_earlier_target(self, before, target):
        """Let calls for the target before this one run here if it is of its version.

        Other proxies learn of the new target a little later.
        """
        if before.version == target.version:
            self.earlier_ids.add(before.id)
        else:
            self.earlier_ids.clear()

    def stop(self):
        """Refuse new calls; running and queued calls continue."""
        self.stopping = True
        self.gate.closed = True
        if self.liveness.target is not None:
            self.services.target_changed()

    def refuse_queued(self, reason):
        """Refuse the calls that wait for a slot; running calls continue."""
        self.gate.refuse_queued(reason)

    def load(self):
        """Return the target's ``hops.Load``: calls, slots and reported work time."""
        return hops.Load(
            len(self.gate.running),
            len(self.gate.queue),
            max(1, self.gate.slots),
            self.work_time.ratio,
            self.work_time.age(self.services.clock()),
            self.domain_load(),
        )

    def local_load(self):
        """Return running and queued calls per slot, ``None`` if calls are refused."""
        if self.gate.closed or self.liveness.state is not liveness.State.READY:
            return None
        return (len(self.gate.running) + len(self.gate.queue)) / self.gate.slots

    async def run(self, hop, request, started):
        """Run a call at the target; return an outcome or ``hops.Refused``.

        ``hop`` is the decoded hop header. Its times count from ``started``, in
        monotonic seconds. A slot reserved under the hop's token is used if it is still
        reserved.
        """
        refusal = self._refusal(hop)
        if refusal is None and self.services.crashes.is_blocked(request):
            reason = outcomes.Reason.CRASHES_TARGETS
            refusal = outcomes.NotRun(reason, "it took down several targets")
        if refusal is not None:
            return hops.Refused(refusal)
        gate, ticket = self.reservations.pop(hop.reservation, (None, None))
        if ticket is None:
            gate, ticket = self.gate, self._ticket(hop, started)
            refusal = await self._acquire_slot(gate, ticket)
            if refusal is not None:
                return hops.Refused(refusal)
        outcome = None
        id = request.header(self.services.dialect.REQUEST_ID)
        self.running_ids.add(id)
        try:
            outcome = await self._send_to_target(hop, request, ticket)
            return outcome
        finally:
            self.running_ids.discard(id)
            now = self.services.clock()
            if isinstance(outcome, outcomes.Answered):
                gate.release(ticket, now)
            else:
                gate.withdraw(ticket, now)

    async def reserve_slot(self, hop, started):
        """Reserve a slot for a call that follows.

        Return ``hops.Reserved`` or ``hops.Refused``. A reservation that is not used
        within ``RESERVATION_SECONDS`` expires, so a lost response blocks a slot for no
        longer than that.
        """
        refusal = self._refusal(hop)
        if refusal is not None:
            return hops.Refused(refusal)
        gate, ticket = self.gate, self._ticket(hop, started)
        refusal = await self._acquire_slot(gate, ticket)
        if refusal is not None:
            return hops.Refused(refusal)
        token = f"{self.services.random.getrandbits(64):x}"
        self.reservations[token] = (gate, ticket)
        loop = asyncio.get_running_loop()
        loop.call_later(RESERVATION_SECONDS, self._expire_reservation, token)
        return hops.Reserved(token)

    def _expire_reservation(self, token):
        gate, ticket = self.reservations.pop(token, (None, None))
        if ticket is not None:
            self.services.log.request("place-unused", "", kind=ticket.kind)
            gate.withdraw(ticket, self.services.clock())

    def _ticket(self, hop, started):
        return admission.Ticket(
            kind=hop.kind,
            rank=hop.rank,
            deadline=started + hop.left,
            max_wait=hop.max_wait,
            goal=started + hop.goal,
            suspect=hop.suspect,
            workspace=hop.workspace,
            returned=hop.returned,
            nested=hop.nested,
        )

    async def _acquire_slot(self, gate, ticket):
        """Wait for a slot; return ``None`` once it is acquired, or a ``NotRun``."""
        waiting = asyncio.get_running_loop().create_future()

        def on_turn(outcome):
            if not waiting.done():
                waiting.set_result(outcome)

        ticket.on_turn = on_turn
        self._update_pace()
        verdict = gate.acquire(ticket, self.services.clock())
        if isinstance(verdict, outcomes.NotRun):
            return verdict
        if isinstance(verdict, slots.Admitted):
            return None
        self._schedule_turn()
        try:
            return await waiting
        except asyncio.CancelledError:
            gate.withdraw(ticket, self.services.clock())
            raise

    def _refusal(self, hop):
        """Return a ``NotRun`` if the target takes no calls, else ``None``."""
        target = self.liveness.target
        reasons, states = outcomes.Reason, liveness.State
        if target is None or self.liveness.state in (states.GONE, states.SILENT):
            return outcomes.NotRun(reasons.UNREACHABLE, "no target is here")
        if hop.target != target.id and hop.target not in self.earlier_ids:
            return outcomes.NotRun(reasons.UNREACHABLE, "another target is here")
        if self.stopping or self.liveness.state is states.DRAINING:
            return outcomes.NotRun(reasons.DRAINING, "target is leaving")
        if self.services.bases.is_retired(target.service, target.version):
            return outcomes.NotRun(reasons.DRAINING, "version gets no calls")
        if self._outlasts_process(hop):
            return outcomes.NotRun(reasons.DRAINING, "proxy stops before it could end")
        return self.services.eligibility.refusal(hop)

    def _outlasts_process(self, hop):
        """Return whether a call might still run when this stopping process ends.

        A call that must not run twice is lost then, so it has to fit with all the time
        that it may take. A safe one can be retried and needs only the usual time.
        """
        if math.isinf(self.ends_at):
            return False
        left = self.ends_at - self.services.clock()
        usual = USUAL_RUN_FACTOR * self.gate.mean(hop.kind)
        return (min(hop.left, usual) if hop.safe else hop.left) > left

    async def _send_to_target(self, hop, request, ticket):
        """Send an admitted call to the target; return an outcome or ``Refused``."""
        services = self.services
        now = services.clock()
        left = ticket.deadline - now
        if left < MIN_TIME_LEFT_SECONDS:
            refusal = outcomes.NotRun(outcomes.Reason.DEADLINE, "before its turn")
            return hops.Refused(refusal)
        refusal = services.eligibility.refusal(hop)
        if refusal is not None:
            # The order came while the call waited for its slot.
            return hops.Refused(refusal)
        target = self.liveness.target
        id = request.header(self.services.dialect.REQUEST_ID)
        headers = [
            *identity_headers.for_target(
                request.headers, services.dialect, services.holder.sheet, hop.workspace
            ),
            (self.services.dialect.DEADLINE_MS, b"%d" % max(1, int(left * 1000))),
            (self.services.dialect.EXPECTED_TARGET, target.id.encode()),
            (self.services.dialect.CALLER, hop.caller.encode()),
        ]
        outgoing = messages.Request(
            request.method, request.target, headers, request.body
        )
        result = await services.target_client.send(
            services.settings.target.address,
            outgoing,
            left + RESPONSE_MARGIN_SECONDS,
            id=id.encode("latin-1") if id is not None else None,
            connect_seconds=min(silence.CONNECT_SECONDS, left),
            reuse_seconds=None if hop.safe else REUSE_UNSAFE_SECONDS,
            repeatable=hop.safe,
        )
        ended = services.clock()
        if isinstance(result, messages.Replied):
            self.answered_at = ended
            self._note_work_time(result.response, ended)
        if isinstance(result, messages.NotSent):
            outcome = self._interpret_not_sent(result, target, left)
        else:
            outcome = self._interpret_result(result, target, ended - now, id)
        if isinstance(outcome, outcomes.Answered):
            services.crashes.clear_call(request)
            self.cold_check.note_call(hop.kind, outcome.run_seconds)
        elif isinstance(result, messages.Broken) and not result.started:
            outcome = await self._check_for_crash(outcome, request, target)
        if not services.stalls.has_stalled(now, ended):
            self._record_evidence(hop, target, outcome, ended)
        return outcome

    def _note_work_time(self, response, now):
        """Record the work time that a response of the target reports, if it does."""
        dialect = self.services.dialect
        text = response.header(dialect.LOAD)
        if text is not None and dialect.states_work_time(text):
            self.work_time.note(dialect.read_load(text)[-1], now)

    def _interpret_result(self, result, target, seconds, id):
        """Return the outcome for a request that was sent."""
        if isinstance(result, messages.Replied):
            return self._interpret_response(result.response, target, seconds, id)
        if isinstance(result, messages.Broken):
            if result.started:
                return outcomes.Failed(result.detail, target=target.id)
            return outcomes.Unknown(result.detail, target=target.id)
        return outcomes.Unknown(result.detail, late=True, target=target.id)

    def _interpret_not_sent(self, result, target, left):
        """Return ``hops.Refused`` for a call that was not sent to the target.

        Mark the target unresponsive if it refused the connection or did not accept it
        within ``CONNECT_SECONDS``. If less than that was left for the call, a timeout
        does not show that the target is unresponsive.
        """
        conclusive = result.refused or left >= silence.CONNECT_SECONDS
        if conclusive and self.liveness.target is target:
            self.mark_unresponsive(target, result.detail)
            if not result.refused:
                self.silence.start(target)
        refusal = outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
        return hops.Refused(refusal)

    async def _check_for_crash(self, outcome, request, target):
        """Return the outcome of a broken connection, marked if the target died.

        A target counts as dead only if it refuses a new connection.
        """
        services = self.services
        address = services.settings.target.address
        failure = await services.target_client.probe(address, silence.CONNECT_SECONDS)
        if failure is None:
            return outcome
        if not failure.refused:
            self.silence.start(target)
            return outcome
        if self.liveness.target is target:
            self.mark_unresponsive(target, "died with calls in flight")
        services.report_crash(request, target)
        return dataclasses.replace(outcome, crashed=True)

    def _interpret_response(self, response, target, seconds, id):
        """Return ``Answered``, ``Failed`` or ``hops.Refused`` for a response.

        A response below 300 counts as ``Answered`` only if it has the target's
        signature and the id of the request.
        """
        not_run = response.header(self.services.dialect.NOT_RUN) is not None
        if not_run or response.status == 421:
            if response.status == 421 and self.liveness.target is target:
                self.mark_unresponsive(target, "another target has the address")
            reason = outcomes.Reason.OVERLOADED
            refusal = outcomes.NotRun(reason, f"target answered {response.status}")
            return hops.Refused(refusal, arrived=True)
        signed = response.header(self.services.dialect.PROOF) is not None
        echoed = response.header(self.services.dialect.REQUEST_ID) == id
        if response.status < 300 and not (signed and echoed):
            return outcomes.Failed("answer is not the target's", target=target.id)
        forwarded = messages.strip_hop_headers(response)
        return outcomes.Answered(forwarded, target.id, seconds)

    def mark_unresponsive(self, target, detail):
        """Record, log and publish that the target is unresponsive, unless known."""
        if self.liveness.mark_unresponsive():
            self._apply_change(target, liveness.Accepted(True), detail)

    def _record_evidence(self, hop, target, outcome, now):
        """Record a call's result and run time for the judgement of moves.

        Calls that were refused, or that ended while the target was slow after its
        start, are left out.
        """
        if isinstance(outcome, hops.Refused) or now < self.liveness.warm_at:
            return
        # A lost response is a fault of the connection and no evidence on the version.
        if isinstance(outcome, outcomes.Answered):
            failed = outcome.response.status >= FIRST_ERROR_STATUS
            self.evidence.note(target.version, hop.kind, failed, outcome.run_seconds)
        elif getattr(outcome, "late", False):
            self.evidence.note(target.version, hop.kind, False, hop.left)
