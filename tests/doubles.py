"""Build settings, sheets and test doubles."""

import random

from lentilrouter.conf import defaults
from lentilrouter.core import clock
from lentilrouter.membership import member
from lentilrouter.sheet import codec, model
from lentilrouter.store import base, memory


def settings(**sections):
    """Return default settings; ``calls={"retry_share": 0.2}`` overrides an option."""
    node = {
        "id": "n1",
        "domain": "kochi",
        "call_port": 1,
        "peer_port": 2,
        "control_port": 3,
    }
    node.update(sections.get("node", {}))
    return defaults.Settings(
        node=defaults.Node(**node),
        platform=defaults.Platform(**sections.get("platform", {})),
        membership=defaults.Membership(**sections.get("membership", {})),
        distribution=defaults.Distribution(**sections.get("distribution", {})),
        calls=defaults.Calls(**sections.get("calls", {})),
        moves=defaults.Moves(**sections.get("moves", {})),
    )


def service(name="ledger", shares=None, move=None, path=None):
    """Return a service with one idempotent route and, by default, version v1 only."""
    route = model.Route(path or f"/{name}", name, idempotent=True)
    return model.Service(name, shares or {"v1": 100}, (route,), {}, move)


def sheet(revision, *services):
    """Return a sheet of the given services."""
    return codec.build_sheet(revision, {item.name: item for item in services})


def node(id, domain="kochi", incarnation=1, **fields):
    """Return a member; ``fields`` override its defaults."""
    ports = {"call_port": 1, "peer_port": 2, "control_port": 3}
    base_fields = {"region": "r", "address": "127.0.0.1", **ports, **fields}
    return member.Member(id=id, domain=domain, incarnation=incarnation, **base_fields)


def target(id, service="ledger", version="v1", slots=6, **fields):
    """Return a target; ``fields`` are further arguments of ``member.Target``."""
    return member.Target(id, service, version, "127.0.0.1:9", slots, 130, **fields)


def rng(seed=1):
    """Return a seeded random number generator."""
    return random.Random(seed)


class FaultyStore(memory.MemoryStore):
    """A store whose writes fail as listed in ``script``, one entry for each write.

    - ``ok``: the write succeeds, as do all writes after the end of the script.
    - ``lost``: the write takes effect, but its response is lost.
    - ``down``: the write is not done.
    - ``race``: the coroutine function ``rival`` runs before the write.

    While ``down`` is true, reads and writes return ``Unavailable``.
    """

    def __init__(self, script=(), rival=None):
        super().__init__(None, memory.Keys(clock.ManualClock()))
        self.script = list(script)
        self.rival = rival
        self.down = False

    async def get(self, key):
        """Return the entry of a key, or ``Unavailable`` if ``down`` is set."""
        return base.Unavailable("down") if self.down else self.keys.get(key)

    async def scan(self, prefix):
        """Return the entries below a prefix, or ``Unavailable`` if ``down`` is set."""
        return base.Unavailable("down") if self.down else self.keys.scan(prefix)

    async def put(self, key, value, expect=None, lease=None):
        """Write a key with the next fault in ``script``, if any."""
        fault = self.script.pop(0) if self.script else "ok"
        if fault == "down" or self.down:
            return base.Unavailable("down")
        if fault == "race":
            await self.rival()
        written = self.keys.put(key, value, expect, lease)
        return base.OutcomeUnknown("response lost") if fault == "lost" else written
