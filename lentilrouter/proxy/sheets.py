"""Define the sheet that a proxy holds and find the route of a call.

A sheet is never changed after it was built: a call reads the reference once and sees
one version of everything.
"""

import dataclasses

import orjson
import xxhash


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """Give one service its weight among those that share a route."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Send calls whose host and path match to services.

    ``safe`` calls may run more than once, all others once at most. ``goal`` is the
    time in seconds within which an answer is worth most, ``timeout`` the longest time
    a caller is kept waiting; rank 0 is the most urgent.
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
        """Return the fields as a JSON-compatible list."""
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
    """Return the ``Route`` in a list; raise ``TypeError`` or ``ValueError`` if none.

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
        raise ValueError(f"no route: {row!r}"[:100])
    return Route(name, host, prefix, safe, split, attempts, timeout, goal, rank)


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Bound what callers may send and how long they may take, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Describe a service; ``connections`` bounds those to one target."""

    name: str
    connections: int


class Sheet:
    """Hold one version of routes, services and limits.

    ``digest`` is the same for two sheets only if they hold the same.
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
        named = [[s.name, s.connections] for s in self.services.values()]
        limits = dataclasses.astuple(self.limits)
        held = [self.version, [r.digest for r in self.routes], named, limits]
        return xxhash.xxh64_intdigest(orjson.dumps(held))

    def match(self, host, path):
        """Return the route with the longest prefix of ``path``, or ``None``.

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
    """Return the lower-case host of a ``Host`` header without its port.

    >>> host_name("A.example:80")
    'a.example'
    """
    name = header.strip().lower()
    if name.startswith("["):
        return name.partition("]")[0] + "]"
    return name.partition(":")[0]
