"""Define the sheet, the versioned configuration of a proxy, and find routes in it.

A sheet is immutable once built: a call reads the reference to the active sheet once, so
that it uses one version of everything.
"""

import dataclasses

import orjson
import xxhash


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
    ``rank`` is the priority; 0 is the most urgent. ``digest`` is a hash of all fields.
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
        ]


def from_row(row):
    """Return the ``Route`` encoded in a list by ``Route.as_row``.

    Raise ``TypeError`` or ``ValueError`` if the list is malformed.

    >>> route = Route("r", "a.example", "/x/", True, (Part("s", 1.0),), 1, 1.0, 0.1, 0)
    >>> from_row(route.as_row()) == route
    True
    """
    name, host, prefix, safe, parts, attempts, timeout, goal, rank = row
    split = tuple(Part(service, weight) for service, weight in parts)
    texts = [name, host, prefix, *(part.service for part in split)]
    numbers = [attempts, timeout, goal, rank, *(part.weight for part in split)]
    if not (
        split
        and all(isinstance(text, str) for text in texts)
        and all(isinstance(number, int | float) for number in numbers)
    ):
        raise ValueError(f"malformed route: {row!r}"[:100])
    return Route(name, host, prefix, safe, split, attempts, timeout, goal, rank)


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
    path of their health checks, empty if there are none.
    """

    name: str
    connections: int
    health_path: str = ""

    def as_row(self):
        """Return the fields in order as a JSON-compatible list."""
        return [self.name, self.connections, self.health_path]


class Sheet:
    """One version of routes, services and limits.

    ``services`` maps names to services, ``hosts`` maps hosts to routes by prefix.
    ``last_rank`` is the rank of the least urgent route. ``digest`` is a hash of the
    version, routes, services and limits.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "limits",
        "hosts",
        "last_rank",
        "digest",
    )

    def __init__(self, version, routes, services, limits):
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.last_rank = max((route.rank for route in routes), default=0)
        self.hosts = {}
        for route in routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route
        self.digest = self._digest()

    def _digest(self):
        named = [service.as_row() for service in self.services.values()]
        limits = dataclasses.astuple(self.limits)
        content = [self.version, [r.digest for r in self.routes], named, limits]
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
