"""Decode the operator's configuration and orders, and encode the state of moves."""

import dataclasses

import orjson

from lentilrouter.proxy import moves, sheets

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
# whether calls of a route of this kind may run more than once
KINDS = {"safe": True, "unsafe": False, "upload": False}
STATES = {
    moves.State.RUNNING: "running",
    moves.State.DONE: "done",
    moves.State.TAKEN_BACK: "rolled_back",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Unreadable:
    """Result: the value cannot be used."""

    reason: str


def read_sheet(value, current=None):
    """Return the ``Sheet`` in a stored configuration, or ``Unreadable``.

    Routes equal to those of ``current``, the sheet known so far, are taken from there.
    This saves memory, because most routes are equal.
    """
    known = (
        {route.name: route for route in current.routes} if current is not None else {}
    )
    try:
        document = orjson.loads(value)
        version = int(document["version"], 16)
        services, routes = {}, []
        for spec in _rows(document["services"]):
            name = spec["name"]
            health_path = _string(spec.get("health_path", ""))
            connections = int(spec.get("max_conns", 100))
            services[name] = sheets.Service(name, connections, health_path)
        for spec in _rows(document["routes"]):
            route = _read_route(spec["name"], spec)
            earlier = known.get(route.name)
            routes.append(earlier if earlier == route else route)
        stated = document.get("limits")
        limits = _read_limits(stated) if stated else sheets.Limits()
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Unreadable(f"{type(error).__name__}: {error}")
    for route in routes:
        for part in route.parts:
            if part.service not in services:
                return Unreadable(
                    f"{route.name} names an unknown service: {part.service}"
                )
    return sheets.Sheet(version, routes, services, limits)


def _rows(table):
    """Yield each row of a table as a mapping, without the fields that are null."""
    names = table["cols"]
    for row in table["rows"]:
        fields = zip(names, row, strict=True)
        yield {name: value for name, value in fields if value is not None}


def _read_route(name, spec):
    """Return the ``Route`` in a mapping.

    Raise ``ValueError``, ``KeyError`` or ``TypeError`` if it is malformed.
    """
    split = spec.get("split") or [{"service": spec["service"], "weight": 1}]
    parts = tuple(
        sheets.Part(_string(part["service"]), float(part["weight"])) for part in split
    )
    route = sheets.Route(
        name=_string(name),
        host=_string(spec["host"]).lower(),
        prefix=_string(spec["prefix"]),
        safe=KINDS[spec["kind"]],
        parts=parts,
        attempts=int(spec.get("attempts", 1)),
        timeout=float(spec["timeout_s"]),
        goal=float(spec.get("goal_s", spec["timeout_s"])),
        rank=int(spec.get("priority", 0)),
    )
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        raise ValueError(f"prefix does not start and end with '/': {route.prefix!r}")
    if route.attempts < 1 or route.timeout <= 0 or route.goal <= 0:
        raise ValueError(f"{name}: attempts, timeout or goal is not above 0")
    if min(part.weight for part in parts) < 0 or not sum(p.weight for p in parts):
        raise ValueError(f"{name}: weights must not be negative or all be 0")
    return route


def _read_limits(spec):
    return sheets.Limits(
        header_bytes=int(spec["header_bytes"]),
        body_bytes=int(spec["body_bytes"]),
        header_seconds=float(spec["header_s"]),
        idle_seconds=float(spec["idle_s"]),
    )


def _string(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def read_order(value):
    """Return the ``Order`` in a stored request for a move, or ``Unreadable``."""
    try:
        document = orjson.loads(value)
        return moves.Order(
            _string(document["service"]),
            _string(document["to"]),
            float(document["over_s"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        return Unreadable(f"{type(error).__name__}: {error}")


def write_status(service, version, state):
    """Return the store key and the value that show the operator a move's state."""
    value = {"service": service, "to": version, "state": STATES[state]}
    return f"{STATUS_PREFIX}{service}", orjson.dumps(value)
