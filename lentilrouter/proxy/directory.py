"""Know the targets of every service and where their proxies are. No input or output."""

import dataclasses

import orjson


@dataclasses.dataclass(slots=True)
class Target:
    """Describe one incarnation of a target as its own proxy tells it.

    ``host`` is the IP number of the machine, ``peer`` the address of its proxy.
    ``ready`` is the target's own word; ``open`` is false while its proxy shuts down.
    ``cold_seconds`` tells how much longer the target was slow when this was written,
    ``link_mbps`` how many megabits a second the host's link carries.
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

    def encode(self):
        """Return the value kept in the store."""
        return orjson.dumps(dataclasses.asdict(self))


FIELDS = {field.name: field.type for field in dataclasses.fields(Target)}


def decode(value):
    """Return the ``Target`` in a stored value; raise ``ValueError`` if it is none."""
    fields = orjson.loads(value)
    if not isinstance(fields, dict):
        raise ValueError("an entry is an object")
    known = {name: fields[name] for name in FIELDS if name in fields}
    for name, value in known.items():
        kind = FIELDS[name]
        if kind is float and isinstance(value, int):
            continue
        if not isinstance(value, kind):
            raise ValueError(f"{name} is {value!r}")
    try:
        return Target(**known)
    except TypeError as error:
        raise ValueError(str(error)) from None


class Directory:
    """Keep one target for each host.

    ``warm_at`` maps a host to the monotonic time from which its target is not cold;
    ``changes`` counts how often the targets changed.
    """

    __slots__ = ("by_host", "by_service", "warm_at", "changes")

    def __init__(self):
        self.by_host = {}
        self.by_service = {}
        self.warm_at = {}
        self.changes = 0

    def put(self, target, now):
        """Enter a target; return whether anything but its heartbeat count changed."""
        earlier = self.by_host.get(target.host)
        if earlier == target:
            return False
        self.by_host[target.host] = target
        self.warm_at[target.host] = now + target.cold_seconds
        self._index()
        return True

    def remove(self, host):
        """Drop the target of a host; return it, or ``None`` if there was none."""
        target = self.by_host.pop(host, None)
        if target is not None:
            del self.warm_at[host]
            self._index()
        return target

    def _index(self):
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
