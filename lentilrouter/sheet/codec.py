"""Convert services and sheets to and from JSON, and compute their digests."""

import hashlib

import orjson

from lentilrouter.core import problems
from lentilrouter.sheet import model

DIGEST_HEX_CHARS = 32  # 128 bits
DOCUMENT_MAX_BYTES = 8 * 1024 * 1024
SERVICE_KEYS = {"shares", "routes", "class_weights"}
ROUTE_KEYS = {"path", "service", "methods", "class", "idempotent", "timeout_ms"}


def digest_bytes(data):
    """Return the first 128 bits of the SHA-256 of ``data`` as hexadecimal text."""
    return hashlib.sha256(data).hexdigest()[:DIGEST_HEX_CHARS]


def dump_service(service):
    """Return a service as JSON bytes with sorted keys, the input of its digest."""
    return orjson.dumps(service_as_json(service), option=orjson.OPT_SORT_KEYS)


def service_as_json(service):
    """Return a service as a JSON-compatible mapping."""
    document = {
        "name": service.name,
        "shares": service.shares,
        "routes": [_route_as_json(route) for route in service.routes],
        "class_weights": service.class_weights,
    }
    if service.move is not None:
        document["move"] = move_as_json(service.move)
    return document


def _route_as_json(route):
    return {
        "path": route.path,
        "methods": list(route.methods),
        "class": route.traffic_class,
        "idempotent": route.idempotent,
        "timeout_ms": route.timeout_ms,
    }


def move_as_json(move):
    """Return a move as a JSON-compatible mapping."""
    return {
        "id": move.id,
        "old": move.old,
        "new": move.new,
        "started": move.started,
        "by": move.by,
        "permille": move.permille,
        "state": str(move.state),
        "reason": move.reason,
    }


def load_service(data):
    """Return the service in JSON bytes; raise ``ValueError`` if it is malformed."""
    document = orjson.loads(data)
    try:
        return service_from_json(document)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed service: {error!r}") from error


def service_from_json(document):
    """Return the service in a mapping made by :func:`service_as_json`.

    Raise ``KeyError``, ``TypeError``, ``AttributeError`` or ``ValueError`` if the
    mapping is malformed.
    """
    name = document["name"]
    move = document.get("move")
    return model.Service(
        name=name,
        shares=dict(document["shares"]),
        routes=tuple(_route_from_json(name, item) for item in document["routes"]),
        class_weights=dict(document.get("class_weights", {})),
        move=None if move is None else _move_from_json(move),
    )


def _route_from_json(service, item):
    return model.Route(
        path=item["path"],
        service=service,
        methods=tuple(item.get("methods", ())),
        traffic_class=item.get("class", "default"),
        idempotent=item.get("idempotent", False),
        timeout_ms=item.get("timeout_ms", 5000),
    )


def _move_from_json(item):
    return model.Move(**{**item, "state": model.MoveState(item["state"])})


def build_sheet(revision, services):
    """Return the sheet of ``services`` at ``revision``, with its digests."""
    digests = {
        name: digest_bytes(dump_service(service)) for name, service in services.items()
    }
    return model.Sheet(revision, dict(services), digests, combine_digests(digests))


def combine_digests(digests):
    """Return the digest of a sheet, given the digests of its services by name."""
    lines = "\n".join(f"{name} {digests[name]}" for name in sorted(digests))
    return digest_bytes(lines.encode())


def read_document(data):
    """Return the services in an operator's sheet, by name, and a list of problems.

    ``data`` are the bytes of a JSON document that lists services and, separately,
    routes, each of which names a service::

        {"services": {"ledger": {"shares": {"v1": 100}}},
         "routes": [{"path": "/credit", "service": "ledger"}]}

    All problems of structure are reported at once. If there are any, the services are
    unusable. What the values mean is checked by ``rules``.
    """
    if len(data) > DOCUMENT_MAX_BYTES:
        limit = f"at most {DOCUMENT_MAX_BYTES} bytes"
        return {}, [_problem("E001", "document", f"has {len(data)} bytes", limit)]
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        return {}, [_problem("E001", "document", f"is not JSON: {error}", "UTF-8 JSON")]
    return _DocumentReader().read(document)


def _problem(id, where, message, hint=""):
    return problems.Problem(f"sheet.{id}", where, message, hint)


class _DocumentReader:
    """Build services from an operator's document.

    ``found`` collects its problems. An empty value replaces one of a wrong type.
    """

    __slots__ = ("found",)

    def __init__(self):
        self.found = []

    def read(self, document):
        """Return the services by name, and the problems."""
        if not isinstance(document, dict):
            self.add("document", "must be an object", '{"services": .., "routes": ..}')
            return {}, self.found
        self.reject_unknown_keys("document", document, {"services", "routes"})
        services = self.expect(document.get("services", {}), dict, "services")
        routes = self.expect(document.get("routes", []), list, "routes")
        routes_by_service = {name: [] for name in services}
        for index, item in enumerate(routes):
            self.read_route(f"routes[{index}]", item, routes_by_service)
        built = {
            name: self.read_service(name, item, routes_by_service[name])
            for name, item in services.items()
        }
        return built, self.found

    def read_service(self, name, item, routes):
        where = f"services.{name}"
        item = self.expect(item, dict, where)
        self.reject_unknown_keys(where, item, SERVICE_KEYS)
        shares = self.read_integers(f"{where}.shares", item.get("shares", {}))
        weights = self.read_integers(
            f"{where}.class_weights", item.get("class_weights", {})
        )
        return model.Service(name, shares, tuple(routes), weights)

    def read_route(self, where, item, routes_by_service):
        """Append the route in ``item`` to those of its service."""
        item = self.expect(item, dict, where)
        self.reject_unknown_keys(where, item, ROUTE_KEYS)
        methods = self.expect(item.get("methods", []), list, f"{where}.methods")
        route = model.Route(
            path=self.expect(item.get("path", ""), str, f"{where}.path"),
            service=self.expect(item.get("service", ""), str, f"{where}.service"),
            methods=tuple(
                self.expect(method, str, f"{where}.methods") for method in methods
            ),
            traffic_class=self.expect(
                item.get("class", "default"), str, f"{where}.class"
            ),
            idempotent=self.expect(
                item.get("idempotent", False), bool, f"{where}.idempotent"
            ),
            timeout_ms=self.expect(
                item.get("timeout_ms", 5000), int, f"{where}.timeout_ms"
            ),
        )
        if route.service in routes_by_service:
            routes_by_service[route.service].append(route)
        else:
            message = f"names the unknown service {route.service!r}"
            self.found.append(
                _problem("E003", where, message, "list it under services")
            )

    def read_integers(self, where, item):
        """Return a mapping whose values are integers."""
        item = self.expect(item, dict, where)
        return {
            name: self.expect(value, int, f"{where}.{name}")
            for name, value in item.items()
        }

    def expect(self, value, kind, where):
        """Return ``value``; on a wrong type report it and return an empty value."""
        if isinstance(value, kind) and (kind is bool or not isinstance(value, bool)):
            return value
        self.add(where, f"must be {kind.__name__}, not {type(value).__name__}")
        return kind()

    def reject_unknown_keys(self, where, item, known):
        for key in item:
            if key not in known:
                self.add(f"{where}.{key}", "unknown key", f"one of {sorted(known)}")

    def add(self, where, message, hint=""):
        self.found.append(_problem("E002", where, message, hint))
