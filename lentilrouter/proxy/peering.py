"""Handle requests of other proxies: calls for the local target, queries and updates."""

from lentilrouter.core import outcomes
from lentilrouter.crash_records import messages as record_messages
from lentilrouter.datapath import messages
from lentilrouter.proxy import exchange, hops, state_messages, stewarding
from lentilrouter.quotas import admission as quota_admission


class PeerHandler:
    """Handler of the requests of other proxies.

    ``services`` provides the clock, log, hosting, registry, pruner, sheet holder,
    operator state, bases and ``note_crash``.
    """

    __slots__ = ("services",)

    def __init__(self, services):
        self.services = services

    async def handle(self, request):
        """Return the response to a call for the local target, a query or an update.

        The response to a malformed request has status 400.
        """
        header = None
        for name, value in request.headers:
            if name == hops.HEADER:
                header = value
        if header is None and request.path == state_messages.STATE_PATH:
            return await self._answer_state(request)
        if header is None:
            return self._handle_query(request)
        try:
            hop = hops.decode(header)
        except ValueError as error:
            self.services.log.event("hop-refused", reason=str(error))
            return messages.Response(400, [], b"")
        outcome = await self._run(hop, request)
        return hops.encode_outcome(outcome, self.services.hosting.load())

    async def _answer_state(self, request):
        """Return the operator's state, as a long poll that waits for changes.

        Return status 503 if this proxy has no state yet or is stopping.
        """
        try:
            state_request = state_messages.decode_request(request.body)
        except ValueError as error:
            self.services.log.event(
                "question-refused", path=request.path, reason=str(error)
            )
            return messages.Response(400, [], b"")
        self.services.pruner.note_request(state_request.host)
        state_response = await self.services.state.respond(state_request)
        if state_response is None:
            return messages.Response(503, [], b"")
        return messages.Response(200, *state_response.encode())

    async def _run(self, hop, request):
        """Reserve a slot or run the call, depending on the path; return the outcome."""
        services = self.services
        if request.target == hops.RESERVE_PATH:
            return await services.hosting.reserve_slot(hop, services.clock())
        forwarded = messages.Request(
            request.method,
            request.target,
            messages.end_to_end(request.headers),
            request.body,
        )
        return await services.hosting.run(hop, forwarded, services.clock())

    def refuse_unread(self, status):
        """Return the response to a request that could not be read completely.

        A 503 states for a hop that its call has not run here.
        """
        if status != 503:
            return messages.Response(status, [], b"the request was not read\n")
        self.services.counters.count_refusal("peer memory")
        reason = outcomes.Reason.OVERLOADED
        refusal = hops.Refused(outcomes.NotRun(reason, "no memory for the request"))
        return hops.encode_outcome(refusal, self.services.hosting.load())

    def _handle_query(self, request):
        """Return the response to a query without a hop header, or to an update."""
        services = self.services
        if request.path == f"{hops.PATH_PREFIX}evidence":
            data = stewarding.build_report(services.hosting).encode()
            return messages.Response(200, messages.JSON_TYPE, data)
        if request.path == f"{hops.PATH_PREFIX}ping":
            known = services.holder.sheet is not None
            body = b"" if known else exchange.NO_SHEET
            return messages.Response(200, [], body)
        if request.path == record_messages.RECORDS_PATH:
            data = record_messages.encode(services.crash_keeper.records())
            return messages.Response(200, messages.JSON_TYPE, data)
        if request.path == hops.TARGET_PATH:
            entry = services.registry.entry()
            body = entry.encode() if entry else b""
            return messages.Response(200, messages.JSON_TYPE, body)
        return self._handle_update(request)

    def _handle_update(self, request):
        """Apply an update of another proxy; return 404 for an unknown path."""
        services, body = self.services, request.body
        try:
            if request.path == state_messages.SNAPSHOT_PATH:
                services.state.apply_response(
                    state_messages.decode_response(request), None
                )
            elif request.path == exchange.CATCH_UP_PATH:
                services.registry.catch_up(exchange.decode(body))
            elif request.path == exchange.HALT_PATH:
                service, order = exchange.decode_row(body, str, int)
                if services.bases.halt(service, order):
                    services.log.event("move-halted", service=service, order=order)
            elif request.path == exchange.CRASH_PATH:
                fingerprint, target = exchange.decode_row(body, str, str)
                services.note_crash(fingerprint, target)
            elif request.path == quota_admission.PATH:
                return services.quotas.handle_report(body)
            else:
                return messages.Response(404, [], b"")
        except ValueError as error:
            services.log.event("news-refused", path=request.path, reason=str(error))
            return messages.Response(400, [], b"")
        return messages.Response(200, [], b"")
