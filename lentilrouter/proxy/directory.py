"""Track the targets of every service and the addresses of their proxies.

Does no I/O.
"""

import dataclasses
import ipaddress

import orjson

from lentilrouter.core import fields

SLOTS_MAX = 10_000  # calls that one target runs at a time
COLD_SECONDS_MAX = 3600.0


@dataclasses.dataclass(slots=True)
class Target:
    """One incarnation of a target, as reported by its own proxy.

    ``host`` is the IP address of the machine, ``peer`` the address of its proxy.
    ``slots`` is the number of calls that the target runs at a time. ``ready`` is the
    status that the target reported; ``open`` is false while its proxy shuts down.
    ``born`` is the time the target started in milliseconds, ``sequence`` the sequence
    number of its last heartbeat. ``cold_seconds`` is the remaining warm-up time of the
    target when this was written, ``link_mbps`` the bandwidth of the host's link in
    Mbit/s. ``proxy`` is the name of the host's proxy: another host may get the address.
    ``region`` is the region of its failure domain, empty if it is not known.
    """

    id: str
    service: str
    version: str
    domain: str
    host: str
    peer: str
    slots: int
    ready: bool
    born: int
    open: bool = True
    sequence: int = 0
    cold_seconds: float = 0.0
    link_mbps: float = 0.0
    proxy: str = ""
    region: str = ""

    def encode(self):
        """Return the value to store, as JSON."""
        return orjson.dumps(dataclasses.asdict(self))


def decode(value):
    """Return the ``Target`` in a stored value; raise ``ValueError`` if it is invalid.

    Unknown fields are ignored.
    """
    entry = fields.Fields(orjson.loads(value))
    return Target(
        id=entry.text("id"),
        service=entry.text("service"),
        version=entry.text("version"),
        domain=entry.text("domain"),
        host=_ip(entry.text("host")),
        peer=entry.address("peer"),
        slots=entry.integer("slots", low=1, high=SLOTS_MAX),
        ready=entry.flag("ready"),
        born=entry.integer("born"),
        open=entry.flag("open", default=True),
        sequence=entry.integer("sequence", default=0),
        cold_seconds=entry.number("cold_seconds", high=COLD_SECONDS_MAX, default=0.0),
        link_mbps=entry.number("link_mbps", default=0.0),
        proxy=entry.text("proxy", default="", empty=True),
        region=entry.text("region", default="", empty=True),
    )


def _ip(text):
    """Return an IP address given as text; raise ``ValueError`` if it is none."""
    ipaddress.ip_address(text)
    return text


class Directory:
    """Store one target for each host.

    ``by_host`` maps a host to its target, ``by_service`` a service to its targets.
    ``warm_at`` maps a host to the monotonic time at which its target is warmed up.
    ``changes`` is the number of changes of the targets.
    """

    __slots__ = ("by_host", "by_service", "warm_at", "changes")

    def __init__(self):
        self.by_host = {}
        self.by_service = {}
        self.warm_at = {}
        self.changes = 0

    def put(self, target, now):
        """Store a target, as of the time ``now``; return whether anything changed."""
        previous = self.by_host.get(target.host)
        if previous == target:
            return False
        self.by_host[target.host] = target
        self.warm_at[target.host] = now + target.cold_seconds
        self._rebuild_index()
        return True

    def remove(self, host):
        """Remove and return the target of a host; return ``None`` if it has none."""
        target = self.by_host.pop(host, None)
        if target is not None:
            del self.warm_at[host]
            self._rebuild_index()
        return target

    def _rebuild_index(self):
        """Count a change, and group the targets by service again."""
        self.changes += 1
        self.by_service = {}
        for target in self.by_host.values():
            self.by_service.setdefault(target.service, []).append(target)

    def ready(self, service):
        """Return the targets of a service that take calls."""
        targets = self.by_service.get(service, ())
        return [target for target in targets if target.ready and target.open]

    def versions(self, service):
        """Return the versions of the targets that take calls."""
        return {target.version for target in self.ready(service)}
