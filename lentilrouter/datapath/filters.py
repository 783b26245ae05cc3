"""Pass each call through a chain of filters.

A filter is a function that takes the node's services and the next handler and returns
a handler. A handler takes a call and returns its outcome. :data:`CHAIN` has the names
of the filters in order, the outermost first.
"""

from lentilrouter.core import hashing, outcomes, registry
from lentilrouter.datapath import calls, views
from lentilrouter.routing import duplicates, quarantine, retrying

FILTERS = registry.Registry("filter")
CHAIN = ("measure", "match", "classify", "crashes", "version", "retry", "target")
TENANT_MAX_CHARS = 64
HASH_VALUES = 2**64  # different values of hash64


def build(services):
    """Return the handler that passes a call through the whole chain."""
    handler = None
    for name in reversed(CHAIN):
        handler = FILTERS.get(name)(services, handler)
    return handler


@FILTERS.register("measure")
def measure(services, next_handler):
    """Count every outcome and measure the time of every call."""

    async def handle(call):
        services.metrics.in_flight.inc()
        try:
            outcome = await next_handler(call)
        finally:
            services.metrics.in_flight.dec()
        seconds = services.clock.monotonic() - call.started
        services.metrics.observe_call(call, outcome, seconds)
        return outcome

    return handle


@FILTERS.register("match")
def match(services, next_handler):
    """Find the route and service; a call without a sheet or a route is not run."""

    async def handle(call):
        if not call.view.sheet.revision:
            return outcomes.NotRun(outcomes.Reason.NO_SHEET, "node has no sheet yet")
        route = call.view.matcher.match(call.request.method, call.request.path)
        if route is None:
            return outcomes.NotRun(outcomes.Reason.NO_ROUTE, call.request.path[:200])
        call.route = route
        call.service = call.view.sheet.services[route.service]
        return await next_handler(call)

    return handle


@FILTERS.register("classify")
def classify(services, next_handler):
    """Set tenant, traffic class, request id and deadline of the call.

    The timeout that the caller asks for can only shorten that of the route. A timeout
    that is not a whole number is refused as a bad request.
    """

    async def handle(call):
        request = call.request
        call.tenant = (request.header(calls.TENANT_HEADER) or "")[:TENANT_MAX_CHARS]
        call.traffic_class = call.route.traffic_class
        call.request_id = request.header(calls.REQUEST_ID_HEADER)
        timeout_ms = call.route.timeout_ms
        requested = request.header(calls.TIMEOUT_HEADER)
        if requested is not None:
            if not requested.isdigit():
                detail = f"{calls.TIMEOUT_HEADER.decode()} must be a whole number"
                return outcomes.NotRun(outcomes.Reason.BAD_REQUEST, detail)
            timeout_ms = min(timeout_ms, int(requested))
        call.deadline = call.started + timeout_ms / 1000
        return await next_handler(call)

    return handle


@FILTERS.register("crashes")
def refuse_blocked(services, next_handler):
    """Refuse calls that are blocked because they crash targets."""

    async def handle(call):
        if not services.quarantine.records:
            return await next_handler(call)
        call.fingerprint = quarantine.fingerprint(call.request)
        if services.quarantine.blocked(call.fingerprint):
            services.metrics.blocked_calls.inc()
            return outcomes.NotRun(
                outcomes.Reason.CRASHES_TARGETS, "it crashed several targets before"
            )
        return await next_handler(call)

    return handle


@FILTERS.register("version")
def choose_version(services, next_handler):
    """Choose the version by the shares of the active sheet.

    Calls with the same request id get the same version while shares and targets stay
    the same.
    """

    async def handle(call):
        name = call.service.name
        available = {target.version for target, _ in services.targets(name)}
        weights = call.view.weights[name]
        fallback = call.view.fallback_weights.get(name)
        if fallback is not None and not available & set(weights):
            weights = fallback
        version = views.choose_version(
            weights, available, _version_point(services, call)
        )
        if version is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_TARGET, f"no target of {name} is known"
            )
        call.version = version
        outcome = await next_handler(call)
        services.observe_move(call, outcome)
        return outcome

    return handle


def _version_point(services, call):
    """Return a number from 0 to 1 that selects the version of a call.

    It follows from the request id, if there is one, and is random otherwise.
    """
    if call.request_id is None:
        return services.random.random()
    return hashing.hash64(call.request_id) / HASH_VALUES


@FILTERS.register("retry")
def retry(services, next_handler):
    """Try further targets where that is safe and the retry budget allows it.

    A call with a request id that is not idempotent is not retried: only one target
    keeps the record that prevents a second run.
    """

    async def handle(call):
        services.retries.earn(call.started)
        while True:
            call.attempts += 1
            outcome = await next_handler(call)
            time_left = call.deadline - services.clock.monotonic()
            retryable = retrying.may_retry(
                outcome, call.idempotent, call.attempts, time_left
            )
            if not retryable or len(call.tried) >= _target_count(services, call):
                return outcome
            if _bound_to_target(call) or not services.retries.spend():
                return outcome
            services.metrics.retries.inc()

    return handle


def _target_count(services, call):
    """Return the number of known targets of the call's version."""
    pairs = services.targets(call.service.name)
    return sum(1 for target, _ in pairs if target.version == call.version)


def _bound_to_target(call):
    """Return whether the request id of the call selects its only target."""
    return call.request_id is not None and not call.idempotent


@FILTERS.register("target")
def choose_target(services, next_handler):
    """Choose the target, send the call to it and record the outcome."""

    async def handle(call):
        now = services.clock.monotonic()
        pairs = [
            pair
            for pair in services.targets(call.service.name)
            if pair[0].version == call.version and not pair[0].draining
        ]
        if _bound_to_target(call):
            chosen = _select_by_id(call.request_id, pairs)
        else:
            chosen = services.balancer.choose(pairs, now, avoid=call.tried)
        if chosen is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_TARGET, f"no target of {call.version} is left"
            )
        target, host = chosen
        call.tried.add(target.id)
        services.balancer.sent(target.id, now)
        outcome = outcomes.Unknown("cancelled")
        try:
            outcome = await services.dispatcher.send(call, target, host)
        finally:
            _update_balancer(services, target.id, outcome, now)
        _report_crash(services, call, outcome)
        return outcome

    return handle


def _select_by_id(request_id, pairs):
    """Return the pair that a request id selects, or ``None`` if there are no pairs."""
    if not pairs:
        return None
    by_id = {target.id: (target, host) for target, host in pairs}
    return by_id[duplicates.select_target(request_id, by_id)]


def _update_balancer(services, id, outcome, started):
    """Pass the outcome of a call at a target to the balancer.

    ``started`` is when the call was sent, in monotonic seconds.
    """
    now = services.clock.monotonic()
    if isinstance(outcome, outcomes.Answered):
        services.balancer.succeeded(id, now - started, now)
    elif isinstance(outcome, outcomes.NotRun):
        if outcome.reason is outcomes.Reason.UNREACHABLE:
            services.balancer.failed(id, now, unreachable=True)
        else:
            services.balancer.refused(id, now)
    else:
        services.balancer.failed(id, now)


def _report_crash(services, call, outcome):
    """Report a call that was in flight when a target crashed; clear an answered one.

    A call without a fingerprint has no record that could be cleared.
    """
    if getattr(outcome, "crashed", False):
        call.fingerprint = call.fingerprint or quarantine.fingerprint(call.request)
        services.note_crash(call.fingerprint, outcome.blocked)
    elif isinstance(outcome, outcomes.Answered) and call.fingerprint:
        services.quarantine.cleared(call.fingerprint)
