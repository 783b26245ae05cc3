"""Define nodes and the targets they announce."""

import dataclasses
import enum


class State(enum.IntEnum):
    """State of a node; at equal incarnations the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A worker that a node announces.

    ``slots`` is how many calls it runs at once, ``connections`` how many it accepts.
    """

    id: str
    service: str
    version: str
    address: str
    slots: int
    connections: int
    draining: bool = False

    def as_json(self):
        """Return the target as a compact JSON array."""
        return [
            self.id,
            self.service,
            self.version,
            self.address,
            self.slots,
            self.connections,
            int(self.draining),
        ]

    @classmethod
    def from_json(cls, item):
        """Return the target encoded by :meth:`as_json`."""
        return cls(*item[:6], draining=bool(item[6]))


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One node as known to the others.

    ``incarnation`` rises whenever the node itself changes its entry; it starts from the
    wall clock in milliseconds, so that a restarted node supersedes its earlier entries.
    """

    id: str
    domain: str
    region: str
    address: str
    call_port: int
    peer_port: int
    control_port: int
    incarnation: int
    state: State = State.ALIVE
    targets: tuple = ()
    duties: tuple = ()

    @property
    def control(self):
        """Return the address for control traffic as ``IP:port``."""
        return f"{self.address}:{self.control_port}"

    @property
    def usable(self):
        """Return whether calls may be sent to the node's targets."""
        return self.state <= State.SUSPECT

    def as_json(self):
        """Return the member as a compact JSON array."""
        return [
            self.id,
            self.domain,
            self.region,
            self.address,
            self.call_port,
            self.peer_port,
            self.control_port,
            self.incarnation,
            int(self.state),
            [target.as_json() for target in self.targets],
            list(self.duties),
        ]

    @classmethod
    def from_json(cls, item):
        """Return the member encoded by :meth:`as_json`.

        Raise ``ValueError`` if its state is unknown.
        """
        return cls(
            *item[:8],
            state=State(item[8]),
            targets=tuple(Target.from_json(target) for target in item[9]),
            duties=tuple(item[10]),
        )
