"""Pass each call through a chain of filters.

A filter is a factory: it takes the node's services and the next handler and returns
a handler from a call to an outcome. :data:`CHAIN` names the order.
"""

from lentilrouter.core import hashing, outcomes, registry
from lentilrouter.datapath import calls, views
from lentilrouter.routing import duplicates, quarantine, retrying

FILTERS = registry.Registry("filter")
CHAIN = ("measure", "match", "classify", "crashes", "version", "retry", "target")
TENANT_MAX_CHARS = 64
POINT_RANGE = 2**64


def build(services):
    """Return the handler that runs a call through the whole chain."""
    handler = None
    for name in reversed(CHAIN):
        handler = FILTERS.get(name)(services, handler)
    return handler


@FILTERS.register("measure")
def measure(services, following):
    """Count every outcome and time every call."""

    async def handle(call):
        services.metrics.in_flight.inc()
        try:
            outcome = await following(call)
        finally:
            services.metrics.in_flight.dec()
        seconds = services.clock.monotonic() - call.started
        services.metrics.observe_call(call, outcome, seconds)
        return outcome

    return handle


@FILTERS.register("match")
def match(services, following):
    """Find the route; without a sheet or a route the call is not run."""

    async def handle(call):
        if not call.view.sheet.revision:
            return outcomes.NotRun(outcomes.Reason.NO_SHEET, "node has no sheet yet")
        route = call.view.matcher.match(call.request.method, call.request.path)
        if route is None:
            return outcomes.NotRun(outcomes.Reason.NO_ROUTE, call.request.path[:200])
        call.route = route
        call.service = call.view.sheet.services[route.service]
        return await following(call)

    return handle


@FILTERS.register("classify")
def classify(services, following):
    """Read tenant, class, request id and deadline."""

    async def handle(call):
        request = call.request
        call.tenant = (request.header(calls.TENANT_HEADER) or "")[:TENANT_MAX_CHARS]
        call.traffic_class = call.route.traffic_class
        call.request_id = request.header(calls.REQUEST_ID_HEADER)
        timeout_ms = call.route.timeout_ms
        asked = request.header(calls.TIMEOUT_HEADER)
        if asked is not None:
            if not asked.isdigit():
                detail = f"{calls.TIMEOUT_HEADER.decode()} must be a whole number"
                return outcomes.NotRun(outcomes.Reason.BAD_REQUEST, detail)
            timeout_ms = min(timeout_ms, int(asked))
        call.deadline = call.started + timeout_ms / 1000
        return await following(call)

    return handle


@FILTERS.register("crashes")
def refuse_blocked(services, following):
    """Refuse requests that crashed several targets."""

    async def handle(call):
        if not services.quarantine.records:
            return await following(call)
        call.fingerprint = quarantine.fingerprint(call.request)
        if services.quarantine.blocked(call.fingerprint):
            services.metrics.blocked_calls.inc()
            return outcomes.NotRun(
                outcomes.Reason.CRASHES_TARGETS, "it crashed several targets before"
            )
        return await following(call)

    return handle


@FILTERS.register("version")
def choose_version(services, following):
    """Choose the version by the shares in force; the same request id stays with it."""

    async def handle(call):
        name = call.service.name
        available = {target.version for target, _ in services.targets(name)}
        weights = call.view.weights[name]
        bridge = call.view.bridges.get(name)
        if bridge is not None and not available & set(weights):
            weights = bridge
        version = views.choose_version(weights, available, _point(services, call))
        if version is None:
            return outcomes.NotRun(
                outcomes.Reason.NO_TARGET, f"no target of {name} is known"
            )
        call.version = version
        outcome = await following(call)
        services.observe_move(call, outcome)
        return outcome

    return handle


def _point(services, call):
    if call.request_id is None:
        return services.random.random()
    return hashing.hash64(call.request_id) / POINT_RANGE


@FILTERS.register("retry")
def retry(services, following):
    """Try another target where that is safe and the budget allows it."""

    async def handle(call):
        services.retries.earn(call.started)
        while True:
            call.attempts += 1
            outcome = await following(call)
            left = call.deadline - services.clock.monotonic()
            worth = retrying.may_retry(outcome, call.idempotent, call.attempts, left)
            if not worth or len(call.tried) >= _target_count(services, call):
                return outcome
            if _bound_to_target(call) or not services.retries.spend():
                return outcome
            services.metrics.retries.inc()

    return handle


def _target_count(services, call):
    pairs = services.targets(call.service.name)
    return sum(1 for target, _ in pairs if target.version == call.version)


def _bound_to_target(call):
    return call.request_id is not None and not call.idempotent


@FILTERS.register("target")
def choose_target(services, following):
    """Choose the target, send the call there and learn from the outcome."""

    async def handle(call):
        now = services.clock.monotonic()
        pairs = [
            pair
            for pair in services.targets(call.service.name)
            if pair[0].version == call.version and not pair[0].draining
        ]
        if _bound_to_target(call):
            chosen = _home(call.request_id, pairs)
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
            _learn(services, target.id, outcome, now)
        _report_crash(services, call, outcome)
        return outcome

    return handle


def _home(request_id, pairs):
    if not pairs:
        return None
    by_id = {target.id: (target, host) for target, host in pairs}
    return by_id[duplicates.select_target(request_id, by_id)]


def _learn(services, id, outcome, started):
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
    if getattr(outcome, "crashed", False):
        call.fingerprint = call.fingerprint or quarantine.fingerprint(call.request)
        services.note_crash(call.fingerprint, outcome.blocked)
    elif isinstance(outcome, outcomes.Answered) and call.fingerprint:
        services.quarantine.cleared(call.fingerprint)
