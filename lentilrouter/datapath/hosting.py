"""Announce the targets on this host, admit calls to them and send the calls."""

import dataclasses

import anyio

from lentilrouter.core import outcomes
from lentilrouter.datapath import calls, messages
from lentilrouter.membership import member
from lentilrouter.routing import admission, duplicates, quarantine

CONNECT_SECONDS = 0.25  # timeout of a connection that checks whether a target listens
RECHECK_SECONDS = 0.1  # pause before the second check
HOP_MARGIN_SECONDS = 0.02  # most by which the deadline of a forwarded call is earlier
HOP_MARGIN_SHARE = 0.1  # the same, as a fraction of the time left


@dataclasses.dataclass(slots=True)
class Hosted:
    """One local target.

    ``last_heartbeat_at`` is in monotonic seconds. ``in_flight`` has the jobs that run
    at the target, ``waiting`` maps the tickets in the queue to the events that are set
    when they leave it.
    """

    target: member.Target
    gate: admission.Gate
    last_heartbeat_at: float
    in_flight: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)


class Hosting:
    """The local targets.

    ``services`` provides clock, table, quarantine, upstream client, view and metrics.
    ``targets`` maps ids to those that send heartbeats, ``unresponsive`` to those whose
    heartbeats stopped while calls run there.
    """

    def __init__(self, services):
        self.services = services
        self.targets = {}
        self.unresponsive = {}
        self.duplicates = duplicates.Duplicates()
        self.draining = False

    def announce(self, target):
        """Add a target or handle its heartbeat.

        A changed target replaces the stored one. If its number of slots changed, it
        gets a new gate.
        """
        now = self.services.clock.monotonic()
        hosted = self.targets.get(target.id) or self._restore(target.id)
        if hosted is None or hosted.target.slots != target.slots:
            settings = self.services.settings
            gate = admission.Gate(target.slots, self._class_weights(target), settings)
            hosted = self.targets[target.id] = Hosted(target, gate, now)
            self._publish()
        elif hosted.target != target:
            hosted.target = target
            self._publish()
        hosted.last_heartbeat_at = now
        hosted.gate.draining = target.draining or self.draining

    def _restore(self, id):
        """Add an unresponsive target again and return it, or ``None``.

        The target keeps its gate, so that the slots in use are still counted.
        """
        hosted = self.unresponsive.pop(id, None)
        if hosted is not None:
            self.targets[id] = hosted
            self._publish()
        return hosted

    def _class_weights(self, target):
        """Return a copy of the class weights of the target's service."""
        service = self.services.view.sheet.services.get(target.service)
        return dict(service.class_weights) if service is not None else {}

    def refresh_weights(self):
        """Set the class weights of all gates from the active sheet."""
        for hosted in self.targets.values():
            weights = getattr(hosted.gate.order, "weights", None)
            if weights is not None:
                weights.clear()
                weights.update(self._class_weights(hosted.target))

    def withdraw(self, id):
        """Remove a target that is leaving; return whether it was known."""
        if self.targets.pop(id, None) is None:
            return False
        self._publish()
        return True

    def drain_all(self):
        """Refuse new calls to every local target from now on."""
        self.draining = True
        for hosted in self.targets.values():
            hosted.gate.draining = True
            hosted.target = dataclasses.replace(hosted.target, draining=True)
        self._publish()

    def expire(self):
        """Remove targets that sent no heartbeat for ``heartbeat_seconds``.

        While calls run at such a target, it is kept as unresponsive.
        """
        timeout = self.services.settings.membership.heartbeat_seconds
        now = self.services.clock.monotonic()
        expired = [
            id
            for id, hosted in self.targets.items()
            if now - hosted.last_heartbeat_at > timeout
        ]
        for id in expired:
            self.unresponsive[id] = self.targets.pop(id)
        if expired:
            self._publish()
        for id in [
            id for id, hosted in self.unresponsive.items() if not hosted.gate.running
        ]:
            del self.unresponsive[id]

    def _publish(self):
        """Set the local targets in the node's own entry of the member table."""
        targets = tuple(hosted.target for hosted in self.targets.values())
        self.services.table.update_self(
            self.services.clock.monotonic(), targets=targets
        )

    async def run(self, id, job):
        """Run a :class:`Job` at the target ``id`` and return its outcome.

        A job with a request id that is not idempotent runs at most once; a repeat gets
        the outcome of the first run.
        """
        hosted = self.targets.get(id)
        if hosted is None:
            detail = f"target {id} is not on this host"
            return outcomes.NotRun(outcomes.Reason.UNREACHABLE, detail)
        if job.request_id is None or job.idempotent:
            return await self._admit_and_run(hosted, job)
        return await self._run_once(hosted, job)

    async def _run_once(self, hosted, job):
        """Run a job unless its request id is known; return the outcome."""
        now = self.services.clock.monotonic()
        duplicate = self.duplicates.begin(job.request_id, job.fingerprint, now)
        if isinstance(duplicate, duplicates.Ended):
            return duplicate.outcome
        if isinstance(duplicate, duplicates.Running):
            detail = "a request with this id is running; ask again with the same id"
            return outcomes.Unknown(detail)
        if isinstance(duplicate, duplicates.Mismatch):
            detail = "this id was used for a different request"
            return outcomes.NotRun(outcomes.Reason.DUPLICATE, detail)
        outcome = outcomes.Unknown("the node stopped waiting for the answer")
        try:
            outcome = await self._admit_and_run(hosted, job)
        finally:
            self._record_outcome(job, outcome)
        return outcome

    def _record_outcome(self, job, outcome):
        """Store the outcome for repeats of the request.

        A response larger than ``RESPONSE_MAX_BYTES`` is replaced by ``Unknown``.
        """
        if isinstance(outcome, outcomes.NotRun):
            self.duplicates.not_run(job.request_id)
            return
        size = 0
        if isinstance(outcome, outcomes.Answered):
            size = len(outcome.response.body)
            if size > duplicates.RESPONSE_MAX_BYTES:
                detail = "it ran and was answered; the answer was too large to keep"
                outcome, size = outcomes.Unknown(detail), 0
        self.duplicates.ended(job.request_id, outcome, size)

    async def _admit_and_run(self, hosted, job):
        """Wait for a slot of the target, run the job and return its outcome."""
        clock = self.services.clock
        job.suspect |= self.services.quarantine.suspected(job.fingerprint)
        ticket = admission.Ticket(job.traffic_class, job.deadline, job.suspect)
        result = hosted.gate.acquire(ticket, clock.monotonic())
        if isinstance(result, outcomes.NotRun):
            return result
        if isinstance(result, admission.Queued):
            refusal = await self._wait_for_slot(hosted, ticket, result)
            if refusal is not None:
                return refusal
        try:
            return await self._send(hosted, job)
        finally:
            self._wake(hosted, hosted.gate.release(ticket, clock.monotonic()))

    async def _wait_for_slot(self, hosted, ticket, queued):
        """Wait until a queued ticket has a slot or its deadline has passed.

        Return ``None`` if it has a slot, or else ``NotRun``.
        """
        if queued.evicted is not None:
            self._wake(hosted, [queued.evicted])
        event = hosted.waiting[ticket] = anyio.Event()
        time_left = ticket.deadline - self.services.clock.monotonic()
        try:
            with anyio.move_on_after(time_left):
                await event.wait()
        except BaseException:
            self._withdraw(hosted, ticket)
            raise
        finally:
            hosted.waiting.pop(ticket, None)
        if ticket in hosted.gate.running:
            return None
        self._withdraw(hosted, ticket)
        if event.is_set():
            detail = "gave its place to a class below its share"
            return outcomes.NotRun(outcomes.Reason.OVERLOADED, detail)
        return outcomes.NotRun(outcomes.Reason.DEADLINE, "while it waited for a slot")

    def _withdraw(self, hosted, ticket):
        """Remove a ticket from the gate and let the next ones start."""
        now = self.services.clock.monotonic()
        self._wake(hosted, hosted.gate.withdraw(ticket, now))

    def _wake(self, hosted, tickets):
        """Wake the jobs that wait with these tickets, admitted or evicted."""
        for ticket in tickets:
            event = hosted.waiting.get(ticket)
            if event is not None:
                event.set()

    async def _send(self, hosted, job):
        """Send an admitted job to its target and return the outcome."""
        time_left = job.deadline - self.services.clock.monotonic()
        if time_left <= 0:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was sent")
        hosted.in_flight[id(job)] = job
        try:
            address = hosted.target.address
            started = self.services.clock.monotonic()
            result = await self.services.upstream.send(address, job.request, time_left)
            seconds = self.services.clock.monotonic() - started
            return await self._to_outcome(hosted, job, result, seconds)
        finally:
            hosted.in_flight.pop(id(job), None)

    async def _to_outcome(self, hosted, job, result, seconds):
        """Return the outcome of a job for the result of sending its request.

        ``seconds`` is the time from sending to the result. If the connection broke and
        the target is down, the crash is recorded; the call is blocked if it was
        suspected, because then it ran alone.
        """
        target_id = hosted.target.id
        if isinstance(result, messages.Replied):
            if job.fingerprint:
                self.services.quarantine.cleared(job.fingerprint)
            response = messages.strip_hop_headers(result.response)
            return outcomes.Answered(response, target_id, seconds)
        if isinstance(result, messages.NotSent):
            return outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
        if isinstance(result, messages.Late):
            return outcomes.Unknown(result.detail, late=True, target=target_id)
        crashed = await self._is_down(hosted.target.address)
        if crashed:
            self._note_crash(hosted)
        kind = outcomes.Failed if result.started else outcomes.Unknown
        blocked = crashed and job.suspect
        return kind(result.detail, crashed=crashed, blocked=blocked, target=target_id)

    async def _is_down(self, address):
        """Return whether a target that broke a connection no longer listens.

        A dying process closes its connections before its listening socket, so a target
        that still listens is checked again after ``RECHECK_SECONDS``.
        """
        if not await self._is_listening(address):
            return True
        await anyio.sleep(RECHECK_SECONDS)
        return not await self._is_listening(address)

    async def _is_listening(self, address):
        """Return whether ``address`` accepts a connection within the timeout."""
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_SECONDS):
                stream = await anyio.connect_tcp(host.strip("[]"), int(port))
            await stream.aclose()
        except (OSError, TimeoutError):
            return False
        return True

    def _note_crash(self, hosted):
        """Remove a crashed target and report all calls in flight there.

        Do nothing if the target was removed already.
        """
        if self.targets.pop(hosted.target.id, None) is None:
            return
        jobs = list(hosted.in_flight.values())
        for job in jobs:
            job.fingerprint = job.fingerprint or quarantine.fingerprint(job.request)
            self.services.note_crash(job.fingerprint, job.suspect)
        self.services.metrics.crashes.inc()
        self._publish()


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A call as the node of its target needs it.

    ``deadline`` is in monotonic seconds of this node. ``suspect`` marks a suspected
    call, which must run alone.
    """

    request: messages.Request
    deadline: float
    traffic_class: str
    idempotent: bool
    request_id: str | None
    fingerprint: str
    suspect: bool = False


class Dispatcher:
    """Sender of calls to targets on this host and to the nodes of other targets.

    ``services`` provides clock, table, quarantine, hosting and upstream client.
    """

    __slots__ = ("services",)

    def __init__(self, services):
        self.services = services

    async def send(self, call, target, host):
        """Run a call at ``target`` and return the outcome.

        ``host`` is the member of the target's host.
        """
        headers = messages.end_to_end(call.request.headers)
        request = messages.Request(
            call.request.method, call.request.target, headers, call.request.body
        )
        if _needs_fingerprint(call):
            call.fingerprint = call.fingerprint or quarantine.fingerprint(call.request)
        suspect = self.services.quarantine.suspected(call.fingerprint)
        if host.id == self.services.table.self_id:
            job = Job(
                request,
                call.deadline,
                call.traffic_class,
                call.idempotent,
                call.request_id,
                call.fingerprint,
                suspect,
            )
            return await self.services.hosting.run(target.id, job)
        return await self._forward(call, request, target, host, suspect)

    async def _forward(self, call, request, target, host, suspect):
        """Send a call to the node of its target and return the outcome."""
        time_left = call.deadline - self.services.clock.monotonic()
        if time_left <= 0:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was sent")
        request.headers += [
            (calls.TARGET_HEADER, target.id.encode()),
            (calls.DEADLINE_HEADER, b"%d" % deadline_ms(time_left)),
            (calls.CLASS_HEADER, call.traffic_class.encode()),
            (calls.FINGERPRINT_HEADER, call.fingerprint.encode()),
            (calls.IDEMPOTENT_HEADER, b"1" if call.idempotent else b"0"),
            (calls.SUSPECT_HEADER, b"1" if suspect else b"0"),
        ]
        address = f"{host.address}:{host.peer_port}"
        result = await self.services.upstream.send(address, request, time_left)
        if isinstance(result, messages.Replied):
            return calls.from_peer(result.response, target.id)
        if isinstance(result, messages.NotSent):
            return outcomes.NotRun(outcomes.Reason.UNREACHABLE, result.detail)
        late = isinstance(result, messages.Late)
        return outcomes.Unknown(
            result.detail, late=late, host_silent=True, target=target.id
        )


def deadline_ms(time_left):
    """Return the time for the target's node in milliseconds, of ``time_left`` seconds.

    It is a little shorter, so that the node's response arrives before this node stops
    waiting.
    """
    return (time_left - min(HOP_MARGIN_SECONDS, time_left * HOP_MARGIN_SHARE)) * 1000


def _needs_fingerprint(call):
    """Return whether repeats of the call must be told apart from other requests."""
    return call.request_id is not None and not call.idempotent


def job_from_peer(request, now):
    """Return the target's id and the job of a request that another node forwarded.

    ``now`` is in monotonic seconds. Raise ``ValueError`` if a header is missing or
    malformed.
    """
    target = request.header(calls.TARGET_HEADER)
    deadline_ms = request.header(calls.DEADLINE_HEADER)
    if target is None or deadline_ms is None:
        raise ValueError("not a request of another node")
    headers = messages.end_to_end(request.headers)
    job = Job(
        messages.Request(request.method, request.target, headers, request.body),
        now + int(deadline_ms) / 1000,
        request.header(calls.CLASS_HEADER) or "default",
        request.header(calls.IDEMPOTENT_HEADER) == "1",
        request.header(calls.REQUEST_ID_HEADER),
        request.header(calls.FINGERPRINT_HEADER) or "",
        request.header(calls.SUSPECT_HEADER) == "1",
    )
    return target, job
