"""Track the targets of every service and the addresses of their proxies.

Does no I/O.
"""

import dataclasses

import orjson


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

    def encode(self):
        """Return the value to store, as JSON."""
        return orjson.dumps(dataclasses.asdict(self))


FIELDS = {field.name: field.type for field in dataclasses.fields(Target)}


def decode(value):
    """Return the ``Target`` in a stored value; raise ``ValueError`` if it is invalid.

    Unknown fields are ignored.
    """
    fields = orjson.loads(value)
    if not isinstance(fields, dict):
        raise ValueError("entry is not a JSON object")
    known = {name: fields[name] for name in FIELDS if name in fields}
    for name, value in known.items():
        kind = FIELDS[name]
        if kind is float and isinstance(value, int):
            continue
        if not isinstance(value, kind):
            raise ValueError(f"{name} has an invalid value: {value!r}")
    try:
        return Target(**known)
    except TypeError as error:
        raise ValueError(str(error)) from None


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
