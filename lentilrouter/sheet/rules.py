"""Check the meaning of a sheet by registered rules; each reports all its problems.

A service rule depends on one service only, so it runs only for changed services. A
sheet rule depends on all services together.
"""

import re

from lentilrouter.core import problems, registry
from lentilrouter.sheet import codec, model

PART_MAX_BYTES = 64 * 1024  # of one service in the store
SERVICES_MAX = 4096
TIMEOUT_MAX_MS = 3_600_000
WEIGHT_MAX = 1000
NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}\Z")
METHODS = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}

SERVICE_RULES = registry.Registry("service rule")
SHEET_RULES = registry.Registry("sheet rule")


def check(services, changed=None):
    """Return the problems that the rules find in ``services``, a mapping by name.

    ``changed`` is the set of names of changed services; all others are assumed to have
    passed a check together before. Without it every service is checked.
    """
    changed = set(services) if changed is None else changed & set(services)
    found = [
        problem
        for name in sorted(changed)
        for rule in SERVICE_RULES
        for problem in rule(services[name])
    ]
    for rule in SHEET_RULES:
        found += rule(services, changed)
    return found


def _problem(id, where, message, hint=""):
    return problems.Problem(f"sheet.{id}", where, message, hint)


@SERVICE_RULES.register("names")
def check_names(service):
    """Require valid lower-case names of the service, versions and traffic classes."""
    hint = "1 to 63 of a-z, 0-9, '.', '_', '-'; the first a-z or 0-9"
    where = f"services.{service.name[:80]}"
    named = {service.name, *service.shares, *service.class_weights}
    named |= {route.traffic_class for route in service.routes}
    for name in sorted(name for name in named if not NAME.match(name)):
        yield _problem("E010", where, f"{name[:80]!r} is not a valid name", hint)


@SERVICE_RULES.register("shares")
def check_shares(service):
    """Require shares of a service to be whole percentages that add up to 100."""
    where = f"services.{service.name}.shares"
    shares = service.shares.values()
    if any(not 0 <= share <= model.SHARE_TOTAL for share in shares):
        yield _problem("E011", where, "a share is out of range", "0 to 100")
    total = sum(shares)
    if total != model.SHARE_TOTAL:
        yield _problem("E012", where, f"add up to {total}", f"use {model.SHARE_TOTAL}")


@SERVICE_RULES.register("routes")
def check_routes(service):
    """Require valid paths, methods and timeouts."""
    for route in service.routes:
        where = _where(route)
        if not route.path.startswith("/") or "?" in route.path or " " in route.path:
            yield _problem(
                "E014", where, "invalid path", "start with '/', no '?', no blank"
            )
        for method in route.methods:
            if method not in METHODS:
                allowed = ", ".join(sorted(METHODS))
                yield _problem("E015", where, f"unknown method {method!r}", allowed)
        if not 1 <= route.timeout_ms <= TIMEOUT_MAX_MS:
            hint = f"1 to {TIMEOUT_MAX_MS}"
            yield _problem("E016", where, "timeout_ms is out of range", hint)


@SERVICE_RULES.register("class weights")
def check_class_weights(service):
    """Require the weights of traffic classes to be positive and limited."""
    for name, weight in service.class_weights.items():
        if not 1 <= weight <= WEIGHT_MAX:
            where = f"services.{service.name}.class_weights.{name[:80]}"
            hint = f"1 to {WEIGHT_MAX}"
            yield _problem("E017", where, "weight is out of range", hint)


@SERVICE_RULES.register("size")
def check_size(service):
    """Require a part small enough for the store and cheap to relay."""
    size = len(codec.dump_service(service))
    if size > PART_MAX_BYTES:
        where = f"services.{service.name[:80]}"
        hint = f"at most {PART_MAX_BYTES} bytes for each service"
        yield _problem("E019", where, f"takes {size} bytes", hint)


@SERVICE_RULES.register("move")
def check_move(service):
    """Require a running move from a version with a share to another version."""
    move = service.move
    if move is None or not move.running:
        return
    where = f"services.{service.name}.move"
    if not service.shares.get(move.old):
        yield _problem(
            "E020", where, f"{move.old!r} has no share", "use one with a share"
        )
    if move.old == move.new:
        yield _problem("E021", where, "moves to the same version")
    if not 0 <= move.permille <= model.PERMILLE:
        yield _problem("E022", where, "permille is out of range", "0 to 1000")


@SHEET_RULES.register("claims")
def check_claims(services, changed):
    """Require that no two routes claim the same path and method."""
    claims = {}
    others = [services[name] for name in services if name not in changed]
    for service in [services[name] for name in sorted(changed)] + others:
        is_changed = service.name in changed
        for route in service.routes:
            for method in route.methods or ("*",):
                key = (route.path, method)
                if is_changed and key not in claims:
                    claims[key] = route
                elif key in claims:
                    message = f"{method} is already routed to {claims[key].service!r}"
                    yield _problem("E013", _where(route), message, "keep one of them")


@SHEET_RULES.register("count")
def check_count(services, changed):
    """Require no more services than a head can list."""
    if len(services) > SERVICES_MAX:
        hint = f"at most {SERVICES_MAX}"
        yield _problem("E018", "services", f"{len(services)} services", hint)


def _where(route):
    return f"services.{route.service}.routes[{route.path[:80]}]"
