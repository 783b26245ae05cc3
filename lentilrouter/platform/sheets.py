"""Decode the operator's configuration and orders, and encode the state of moves."""

import dataclasses

import orjson

from lentilrouter.core import fields
from lentilrouter.proxy import moves, sheets
from lentilrouter.workspaces import model

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
ORDER_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"  # the name of a failure domain follows
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

    Routes and workspaces equal to those of ``current``, the sheet known so far, are
    taken from there. This saves memory, because most are equal.
    """
    known = (
        {route.name: route for route in current.routes} if current is not None else {}
    )
    try:
        document = fields.Fields(orjson.loads(value))
        version = int(document.text("version"), 16)
        services = {}
        for spec in _rows(document, "services"):
            service = _read_service(spec)
            services[service.name] = service
        routes = []
        pool = sheets.Pool()
        for spec in _rows(document, "routes"):
            route = _read_route(spec, pool)
            earlier = known.get(route.name)
            routes.append(earlier if earlier == route else route)
        workspaces = {}
        for workspace in _read_workspaces(document):
            earlier = current and current.workspaces.get(workspace.name)
            workspaces[workspace.name] = earlier if earlier == workspace else workspace
        stated = document.values.get("limits")
        limits = _read_limits(fields.Fields(stated)) if stated else sheets.Limits()
    except ValueError as error:
        return Unreadable(str(error))
    for route in routes:
        for part in route.parts:
            if part.service not in services:
                return Unreadable(
                    f"{route.name} names an unknown service: {part.service}"
                )
    return sheets.Sheet(version, routes, services, limits, workspaces)


def _rows(document, name, optional=False):
    """Yield each row of a table as ``Fields``, without the fields that are null.

    Without the table, raise ``ValueError`` unless it is ``optional``.
    """
    if optional and document.values.get(name) is None:
        return
    table = fields.Fields(document.values.get(name))
    columns = table.texts("cols")
    rows = table.rows("rows")
    # A row is released once it is read, as a decoded document is larger than its sheet.
    rows.reverse()
    while rows:
        yield fields.named(columns, rows.pop())


def _read_service(spec):
    """Return the ``Service`` in a row; raise ``ValueError`` if it is malformed."""
    return sheets.Service(
        spec.text("name"),
        spec.integer("max_conns", low=1, high=sheets.CONNECTIONS_MAX, default=100),
        spec.text("health_path", default="", empty=True),
        spec.number("cold_s", high=sheets.SECONDS_MAX, default=0.0),
        spec.number("cold_per_s", high=sheets.SECONDS_MAX, default=0.0),
    )


def _read_route(spec, pool):
    """Return the ``Route`` in a row, with values shared by a ``sheets.Pool``.

    Raise ``ValueError`` if the row is malformed.
    """
    split = spec.rows("split", default=None)
    if split:
        pairs = [fields.Fields(part).values for part in split]
        parts = sheets.read_parts(
            [[part.get("service"), part.get("weight")] for part in pairs]
        )
    else:
        parts = (sheets.Part(spec.text("service"), 1.0),)
    kind = spec.text("kind")
    if kind not in KINDS:
        raise ValueError(f"unknown kind of route: {kind}")
    timeout = spec.number("timeout_s", low=sheets.SECONDS_MIN, high=sheets.SECONDS_MAX)
    goal = spec.number(
        "goal_s", low=sheets.SECONDS_MIN, high=sheets.SECONDS_MAX, default=timeout
    )
    route = sheets.Route(
        name=spec.text("name"),
        host=pool.share(spec.text("host").lower()),
        prefix=spec.text("prefix"),
        safe=KINDS[kind],
        parts=pool.share(parts),
        attempts=spec.integer("attempts", 1, sheets.ATTEMPTS_MAX, default=1),
        timeout=pool.share(timeout),
        goal=pool.share(goal),
        rank=spec.integer("priority", high=sheets.RANK_MAX, default=0),
        public=spec.flag("public", default=False),
        homes=pool.share(spec.texts("home_regions", default=())),
    )
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        raise ValueError(f"prefix does not start and end with '/': {route.prefix!r}")
    return route


def _read_workspaces(document):
    """Return all workspaces.

    Raise ``ValueError`` if a row is malformed. The usual message of an error shows the
    value, which may be a key, so this one only says where it is.
    """
    found = []
    try:
        for spec in _rows(document, "tenants", optional=True):
            found.append(_read_workspace(spec))
    except ValueError:
        raise ValueError(f"tenants: row {len(found)} is malformed") from None
    return found


def _read_workspace(spec):
    """Return the ``Workspace`` in a row; raise ``ValueError`` if it is malformed."""
    keys = spec.texts("api_keys", default=())
    return model.Workspace(
        name=spec.text("name"),
        keys=tuple(model.digest(key.encode()) for key in keys),
        rank=spec.integer("priority", high=sheets.RANK_MAX, default=None),
        per_second=spec.number("per_s", high=model.BURST_MAX, default=0.0),
        burst=spec.number("burst", high=model.BURST_MAX, default=0.0),
        homes=spec.texts("home_regions", default=()),
    )


def _read_limits(spec):
    return sheets.Limits(
        header_bytes=spec.integer("header_bytes", 1, sheets.BYTES_MAX),
        body_bytes=spec.integer("body_bytes", 0, sheets.BYTES_MAX),
        header_seconds=spec.number("header_s", sheets.SECONDS_MIN, sheets.SECONDS_MAX),
        idle_seconds=spec.number("idle_s", sheets.SECONDS_MIN, sheets.SECONDS_MAX),
    )


def read_order(value):
    """Return the ``Order`` in a stored request for a move, or ``Unreadable``."""
    try:
        document = fields.Fields(orjson.loads(value))
        return moves.Order(
            document.text("service"),
            document.text("to"),
            document.number("over_s", high=sheets.SECONDS_MAX),
        )
    except ValueError as error:
        return Unreadable(str(error))


def write_status(service, version, state):
    """Return the store key and the value that show the operator a move's state."""
    value = {"service": service, "to": version, "state": STATES[state]}
    return f"{STATUS_PREFIX}{service}", orjson.dumps(value)
