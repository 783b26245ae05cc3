"""Look after the targets on this host: announce them, admit calls and run them."""

import dataclasses

import anyio

from lentilrouter.core import outcomes
from lentilrouter.datapath import calls, messages
from lentilrouter.membership import member
from lentilrouter.routing import admission, duplicates, quarantine

CONNECT_SECONDS = 0.25
RECHECK_SECONDS = 0.1
HOP_MARGIN_SECONDS = 0.02
HOP_MARGIN_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Hosted:
    """Hold one local target with its gate and the time of its last heartbeat."""

    target: member.Target
    gate: admission.Gate
    heard: float
    in_flight: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)


class Hosting:
    """Keep the local targets.

    ``services`` gives clock, table, quarantine, upstream client, view and metrics.
    ``parted`` holds targets that are not heard any more while calls run there.
    """

    def __init__(self, services):
        self.services = services
        self.targets = {}
        self.parted = {}
        self.duplicates = duplicates.Duplicates()
        self.draining = False

    def announce(self, target):
        """Take in a target's announcement or heartbeat."""
        now = self.services.clock.monotonic()
        hosted = self.targets.get(target.id) or self._take_back(target.id)
        if hosted is None or hosted.target.slots != target.slots:
            settings = self.services.settings
            gate = admission.Gate(target.slots, self._weights(target), settings)
            hosted = self.targets[target.id] = Hosted(target, gate, now)
            self._publish()
        elif hosted.target != target:
            hosted.target = target
            self._publish()
        hosted.heard = now
        hosted.gate.draining = target.draining or self.draining

    def _take_back(self, id):
        """Return a target that is heard again, with the slots that are in use."""
        hosted = self.parted.pop(id, None)
        if hosted is not None:
            self.targets[id] = hosted
            self._publish()
        return hosted

    def _weights(self, target):
        service = self.services.view.sheet.services.get(target.service)
        return dict(service.class_weights) if service is not None else {}

    def refresh_weights(self):
        """Take class weights from the sheet in force."""
        for hosted in self.targets.values():
            weights = getattr(hosted.gate.order, "weights", None)
            if weights is not None:
                weights.clear()
                weights.update(self._weights(hosted.target))

    def withdraw(self, id):
        """Remove a target that said goodbye; return whether it was known."""
        if self.targets.pop(id, None) is None:
            return False
        self._publish()
        return True

    def drain_all(self):
        """Refuse new work for every local target from now on."""
        self.draining = True
        for hosted in self.targets.values():
            hosted.gate.draining = True
            hosted.target = dataclasses.replace(hosted.target, draining=True)
        self._publish()

    def expire(self):
        """Remove targets whose heartbeats stopped."""
        limit = self.services.settings.membership.heartbeat_seconds
        now = self.services.clock.monotonic()
        silent = [
            id for id, hosted in self.targets.items() if now - hosted.heard > limit
        ]
        for id in silent:
            self.parted[id] = self.targets.pop(id)
        if silent:
            self._publish()
        for id in [id for id, hosted in self.parted.items() if not hosted.gate.running]:
            del self.parted[id]

    def _publish(self):
        known = tuple(hosted.target for hosted in self.targets.values())
        self.services.table.update_self(self.services.clock.monotonic(), targets=known)

    async def run(self, id, job):
        """Admit a :class:`Job` to the target ``id`` and return its outcome."""
        hosted = self.targets.get(id)
        if hosted is None:
            detail = f"target {id} is not on this host"
            return outcomes.NotRun(outcomes.Reason.UNREACHABLE, detail)
        if job.request_id is None or job.idempotent:
            return await self._admit(hosted, job)
        return await self._run_once(hosted, job)

    async def _run_once(self, hosted, job):
        now = self.services.clock.monotonic()
        first = self.duplicates.begin(job.request_id, job.fingerprint, now)
        if isinstance(first, duplicates.Ended):
            return first.outcome
        if isinstance(first, duplicates.Running):
            detail = "a request with this id is running; ask again with the same id"
            return outcomes.Unknown(detail)
        if isinstance(first, duplicates.Mismatch):
            detail = "this id was used for a different request"
            return outcomes.NotRun(outcomes.Reason.DUPLICATE, detail)
        outcome = outcomes.Unknown("the node stopped waiting for the answer")
        try:
            outcome = await self._admit(hosted, job)
        finally:
            self._remember(job, outcome)
        return outcome

    def _remember(self, job, outcome):
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

    async def _admit(self, hosted, job):
        clock = self.services.clock
        job.suspect |= self.services.quarantine.suspected(job.fingerprint)
        ticket = admission.Ticket(job.traffic_class, job.deadline, job.suspect)
        offered = hosted.gate.acquire(ticket, clock.monotonic())
        if isinstance(offered, outcomes.NotRun):
            return offered
        if isinstance(offered, admission.Queued):
            refusal = await self._wait(hosted, ticket, offered)
            if refusal is not None:
                return refusal
        try:
            return await self._run(hosted, job)
        finally:
            self._wake(hosted, hosted.gate.release(ticket, clock.monotonic()))

    async def _wait(self, hosted, ticket, queued):
        if queued.evicted is not None:
            self._wake(hosted, [queued.evicted])
        event = hosted.waiting[ticket] = anyio.Event()
        left = ticket.deadline - self.services.clock.monotonic()
        try:
            with anyio.move_on_after(left):
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
        now = self.services.clock.monotonic()
        self._wake(hosted, hosted.gate.withdraw(ticket, now))

    def _wake(self, hosted, tickets):
        for ticket in tickets:
            event = hosted.waiting.get(ticket)
            if event is not None:
                event.set()

    async def _run(self, hosted, job):
        left = job.deadline - self.services.clock.monotonic()
        if left <= 0:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was sent")
        hosted.in_flight[id(job)] = job
        try:
            address = hosted.target.address
            started = self.services.clock.monotonic()
            sent = await self.services.upstream.send(address, job.request, left)
            seconds = self.services.clock.monotonic() - started
            return await self._judge(hosted, job, sent, seconds)
        finally:
            hosted.in_flight.pop(id(job), None)

    async def _judge(self, hosted, job, sent, seconds):
        name = hosted.target.id
        if isinstance(sent, messages.Replied):
            if job.fingerprint:
                self.services.quarantine.cleared(job.fingerprint)
            response = messages.passed_on(sent.response)
            return outcomes.Answered(response, name, seconds)
        if isinstance(sent, messages.NotSent):
            return outcomes.NotRun(outcomes.Reason.UNREACHABLE, sent.detail)
        if isinstance(sent, messages.Late):
            return outcomes.Unknown(sent.detail, late=True, target=name)
        crashed = await self._is_down(hosted.target.address)
        if crashed:
            self._note_crash(hosted)
        kind = outcomes.Failed if sent.started else outcomes.Unknown
        blocked = crashed and job.suspect
        return kind(sent.detail, crashed=crashed, blocked=blocked, target=name)

    async def _is_down(self, address):
        """Tell whether a target that broke a connection is gone.

        A dying process closes its connections before its listener, so a target that
        still listens is asked again a moment later.
        """
        if not await self._listening(address):
            return True
        await anyio.sleep(RECHECK_SECONDS)
        return not await self._listening(address)

    async def _listening(self, address):
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_SECONDS):
                stream = await anyio.connect_tcp(host.strip("[]"), int(port))
            await stream.aclose()
        except (OSError, TimeoutError):
            return False
        return True

    def _note_crash(self, hosted):
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
    """Hold what the node of a target needs of a call."""

    request: messages.Request
    deadline: float
    traffic_class: str
    idempotent: bool
    request_id: str | None
    fingerprint: str
    suspect: bool = False


class Dispatcher:
    """Send a call to a target: in this process, or through the target's own node."""

    __slots__ = ("services",)

    def __init__(self, services):
        self.services = services

    async def send(self, call, target, host):
        """Return the outcome of the call at one target."""
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
        left = call.deadline - self.services.clock.monotonic()
        if left <= 0:
            return outcomes.NotRun(outcomes.Reason.DEADLINE, "before it was sent")
        request.headers += [
            (calls.TARGET_HEADER, target.id.encode()),
            (calls.DEADLINE_HEADER, b"%d" % deadline_ms(left)),
            (calls.CLASS_HEADER, call.traffic_class.encode()),
            (calls.FINGERPRINT_HEADER, call.fingerprint.encode()),
            (calls.IDEMPOTENT_HEADER, b"1" if call.idempotent else b"0"),
            (calls.SUSPECT_HEADER, b"1" if suspect else b"0"),
        ]
        address = f"{host.address}:{host.peer_port}"
        sent = await self.services.upstream.send(address, request, left)
        if isinstance(sent, messages.Replied):
            return calls.from_peer(sent.response, target.id)
        if isinstance(sent, messages.NotSent):
            return outcomes.NotRun(outcomes.Reason.UNREACHABLE, sent.detail)
        late = isinstance(sent, messages.Late)
        return outcomes.Unknown(
            sent.detail, late=late, host_silent=True, target=target.id
        )


def deadline_ms(left):
    """Return the milliseconds that the target's node gets of ``left`` seconds.

    It gets a little less, so that its word on the call arrives before this node
    stops waiting.
    """
    return (left - min(HOP_MARGIN_SECONDS, left * HOP_MARGIN_SHARE)) * 1000


def _needs_fingerprint(call):
    return call.request_id is not None and not call.idempotent


def job_from_peer(request, now):
    """Read a job and its target's id from a request of another node.

    Raise ``ValueError`` if a header is missing or malformed.
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
