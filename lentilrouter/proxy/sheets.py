"""Define the sheet, the versioned configuration of a proxy, and find routes in it.

A sheet is immutable once built: a call reads the reference to the active sheet once, so
that it uses one version of everything.
"""

import dataclasses

import orjson
import xxhash

from lentilrouter.core import fields

ROUTE_FIELDS = (
    "name",
    "host",
    "prefix",
    "safe",
    "parts",
    "attempts",
    "timeout",
    "goal",
    "rank",
    "public",
    "homes",
)
SERVICE_FIELDS = (
    "name",
    "connections",
    "health_path",
    "cold_seconds",
    "cold_per_second",
)
LIMIT_FIELDS = ("header_bytes", "body_bytes", "header_seconds", "idle_seconds")
# Ranges of the numbers in a sheet; a value beyond them is a mistake of its writer.
ATTEMPTS_MAX = 1000
SECONDS_MIN = 1e-6
SECONDS_MAX = 1e6
RANK_MAX = 1000
WEIGHT_MAX = 1e9
CONNECTIONS_MAX = 10**6
BYTES_MAX = 2**40


class Pool:
    """Equal values of the routes that are decoded together, each kept once."""

    __slots__ = ("values",)

    def __init__(self):
        self.values = {}

    def share(self, value):
        """Return the first equal value of the same type that was passed in.

        >>> pool = Pool()
        >>> first, second = "a.example:80"[:9], "a.example:81"[:9]
        >>> pool.share(first) is pool.share(second)
        True
        """
        return self.values.setdefault((type(value), value), value)


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """One of the services that share a route, and its relative weight."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """A rule that sends calls to services by their host and path prefix.

    ``safe`` calls may run more than once, all others at most once. ``attempts`` bounds
    the attempts of one call that may reach a target. ``timeout`` is the longest time in
    seconds that a caller waits for a response, ``goal`` the latency goal in seconds.
    ``rank`` is the priority; 0 is the most urgent. A ``public`` route takes calls
    without a workspace's key. ``homes`` are the regions whose targets may run its
    calls, empty for all. ``digest`` is a hash of all fields.
    """

    name: str
    host: str
    prefix: str
    safe: bool
    parts: tuple
    attempts: int
    timeout: float
    goal: float
    rank: int
    public: bool = False
    homes: tuple = ()
    digest: int = dataclasses.field(init=False, compare=False, repr=False)

    def __post_init__(self):
        digest = xxhash.xxh64_intdigest(orjson.dumps(self.as_row()))
        object.__setattr__(self, "digest", digest)

    def as_row(self):
        """Return the fields in order as a JSON-compatible list."""
        parts = [[part.service, part.weight] for part in self.parts]
        return [
            self.name,
            self.host,
            self.prefix,
            self.safe,
            parts,
            self.attempts,
            self.timeout,
            self.goal,
            self.rank,
            self.public,
            list(self.homes),
        ]


def from_row(row, pool=None):
    """Return the ``Route`` encoded in a list by ``Route.as_row``.

    It shares values with other routes of the ``pool``. Raise ``ValueError`` if the list
    is malformed.

    >>> route = Route("r", "a.example", "/x/", True, (Part("s", 1.0),), 1, 1.0, 0.1, 0)
    >>> from_row(route.as_row()) == route
    True
    """
    values = fields.named(ROUTE_FIELDS, row)
    pool = Pool() if pool is None else pool
    return Route(
        values.text("name"),
        pool.share(values.text("host", empty=True)),
        values.text("prefix"),
        values.flag("safe"),
        pool.share(read_parts(values.rows("parts"))),
        values.integer("attempts", low=1, high=ATTEMPTS_MAX),
        pool.share(values.number("timeout", low=SECONDS_MIN, high=SECONDS_MAX)),
        pool.share(values.number("goal", low=SECONDS_MIN, high=SECONDS_MAX)),
        values.integer("rank", high=RANK_MAX),
        values.flag("public"),
        pool.share(values.texts("homes")),
    )


def read_parts(rows):
    """Return the parts in a list of pairs of service and weight.

    Raise ``ValueError`` if a pair is malformed or all weights are 0.
    """
    pairs = [fields.named(("service", "weight"), row) for row in rows]
    parts = tuple(
        Part(pair.text("service"), pair.number("weight", high=WEIGHT_MAX))
        for pair in pairs
    )
    if not sum(part.weight for part in parts):
        raise ValueError("no part of the route has a weight above 0")
    return parts


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits on what callers may send.

    ``header_bytes`` and ``body_bytes`` bound the size of a request. ``header_seconds``
    bounds the time until its headers have arrived, ``idle_seconds`` the time for which
    a connection may be idle before it is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service.

    ``connections`` is the most connections to one of its targets, ``health_path`` the
    path of their health checks, empty if there are none. A target is cold for about
    ``cold_seconds`` after its start; meanwhile it may take ``cold_per_second`` calls a
    second from all hosts together, any number if that is 0.
    """

    name: str
    connections: int
    health_path: str = ""
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0

    def as_row(self):
        """Return the fields in order as a JSON-compatible list."""
        return list(dataclasses.astuple(self))


def service_from_row(row):
    """Return the ``Service`` in a list; raise ``ValueError`` if it is malformed."""
    values = fields.named(SERVICE_FIELDS, row)
    return Service(
        values.text("name"),
        values.integer("connections", low=1, high=CONNECTIONS_MAX),
        values.text("health_path", empty=True),
        values.number("cold_seconds", high=SECONDS_MAX),
        values.number("cold_per_second", high=SECONDS_MAX),
    )


def limits_from_row(row):
    """Return the ``Limits`` in a list; raise ``ValueError`` if it is malformed."""
    values = fields.named(LIMIT_FIELDS, row)
    return Limits(
        values.integer("header_bytes", low=1, high=BYTES_MAX),
        values.integer("body_bytes", high=BYTES_MAX),
        values.number("header_seconds", low=SECONDS_MIN, high=SECONDS_MAX),
        values.number("idle_seconds", low=SECONDS_MIN, high=SECONDS_MAX),
    )


class Sheet:
    """One version of routes, services, limits and workspaces.

    ``services`` and ``workspaces`` map names to services and workspaces, ``keys`` maps
    digests of keys to workspaces, ``hosts`` maps hosts to routes by prefix.
    ``last_rank`` is the rank of the least urgent calls. ``digest`` is a hash of all
    that was passed in.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "limits",
        "workspaces",
        "keys",
        "hosts",
        "last_rank",
        "digest",
    )

    def __init__(self, version, routes, services, limits, workspaces=None):
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.workspaces = workspaces or {}
        self.keys = {
            key: workspace
            for workspace in self.workspaces.values()
            for key in workspace.keys
        }
        ranks = [route.rank for route in routes]
        ranks += [each.rank for each in self.workspaces.values() if each.rank]
        self.last_rank = max(ranks, default=0)
        self.hosts = {}
        for route in routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route
        self.digest = self._digest()

    def release_indexes(self):
        """Release what only calls need: an earlier version is kept for deltas."""
        self.hosts = {}
        self.keys = {}

    def _digest(self):
        named = [service.as_row() for service in self.services.values()]
        limits = dataclasses.astuple(self.limits)
        workspaces = [workspace.as_row() for workspace in self.workspaces.values()]
        routes = [route.digest for route in self.routes]
        content = [self.version, routes, named, limits, workspaces]
        return xxhash.xxh64_intdigest(orjson.dumps(content))

    def match(self, host, path):
        """Return the route of a host with the longest prefix of ``path``, or ``None``.

        Prefixes end with a slash.

        >>> route = Route("r", "a.example", "/x/", True, (), 1, 1.0, 0.1, 0)
        >>> sheet = Sheet(1, [route], {}, Limits())
        >>> sheet.match("a.example", "/x/y/z") is route
        True
        >>> sheet.match("a.example", "/x") is None
        True
        """
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end) + 1
            if not end:
                return None
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end -= 1


def host_name(header):
    """Return the host name in a ``Host`` header, in lower case and without the port.

    >>> host_name("A.example:80")
    'a.example'
    """
    name = header.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]
