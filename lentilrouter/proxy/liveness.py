"""Hold what is believed of the target on this host, from its heartbeats and leaving."""

import dataclasses
import enum

from lentilrouter.proxy import directory

MISSED_HEARTBEATS_MAX = 4  # heartbeats may be seconds late, so several must be missing


class State(enum.StrEnum):
    """Say what the target last said, or that it is not heard any more."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    SILENT = "silent"


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Carry what a target says of itself; ``born`` is the millisecond it started."""

    id: str
    born: int
    sequence: int
    address: str
    service: str
    version: str
    slots: int
    state: State
    cold_seconds: float


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """Carry a target's word that it leaves for good."""

    id: str
    born: int


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """Report that a heartbeat counts; ``changed`` tells that others must know."""

    changed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Ignored:
    """Report a heartbeat that says nothing of the target that counts, and why."""

    reason: str


class Liveness:
    """Hold what is believed of the target. No input or output."""

    __slots__ = (
        "settings",
        "target",
        "state",
        "last_heartbeat_at",
        "warm_at",
        "pending_leave",
    )

    def __init__(self, settings):
        self.settings = settings
        self.target = None
        self.state = State.GONE
        self.last_heartbeat_at = 0.0
        self.warm_at = 0.0
        self.pending_leave = None

    def handle_heartbeat(self, beat, now):
        """Take in a ``Heartbeat``; return ``Accepted`` or ``Ignored``."""
        if beat.address != self.settings.target.address:
            return Ignored(f"address {beat.address} is not the local target's")
        if beat.service != self.settings.target.service:
            return Ignored(f"service {beat.service} is not the local target's")
        if beat.slots < 1:
            return Ignored(f"{beat.slots} slots")
        known = self.target
        if known is not None and beat.born < known.born:
            return Ignored(f"born {beat.born} is before {known.born}")
        same = known is not None and (known.id, known.born) == (beat.id, beat.born)
        if same and beat.sequence <= known.sequence:
            return Ignored(f"sequence {beat.sequence} is not above {known.sequence}")
        earlier = (self.state, known and dataclasses.replace(known, sequence=0))
        self.last_heartbeat_at = now
        # A target that said it leaves is not taken back: its word binds the proxies.
        if not (same and self.state in (State.DRAINING, State.GONE)):
            self.state = beat.state
        if self._has_left(beat):
            self.state = State.GONE
        self.warm_at = now + beat.cold_seconds
        proxy = self.settings.proxy
        self.target = directory.Target(
            id=beat.id,
            service=beat.service,
            version=beat.version,
            domain=proxy.domain,
            host=proxy.address,
            peer=f"{proxy.address}:{proxy.peer_port}",
            slots=beat.slots,
            ready=self.state is State.READY,
            born=beat.born,
            sequence=beat.sequence,
            cold_seconds=beat.cold_seconds if not same else known.cold_seconds,
            link_mbps=proxy.link_mbps,
        )
        later = (self.state, dataclasses.replace(self.target, sequence=0))
        return Accepted(later != earlier)

    def handle_leave(self, leave, now):
        """Take in a ``Leave``; return ``Accepted`` or ``Ignored``.

        One of a target that is not known yet is kept: the word is acknowledged, and
        the store may still have the target's entry.
        """
        known = self.target
        if known is None:
            self.pending_leave = leave
        if known is None or known.id != leave.id:
            return Ignored(f"{leave.id} is not the local target")
        if leave.born and leave.born < known.born:
            return Ignored(f"born {leave.born} is before {known.born}")
        changed = self.state is not State.GONE
        self._set_state(State.GONE)
        return Accepted(changed)

    def restore(self, target, now):
        """Believe an entry that this host's earlier process left in the store."""
        if self.target is None:
            self.target = target
            self.last_heartbeat_at = now
            self.warm_at = now
            self._set_state(State.READY if target.ready else State.DRAINING)
            if self._has_left(target):
                self._set_state(State.GONE)

    def _has_left(self, target):
        """Tell whether a target's leave came before it was known."""
        leave = self.pending_leave
        return (
            leave is not None
            and leave.id == target.id
            and (not leave.born or target.born <= leave.born)
        )

    def mark_unresponsive(self):
        """Note that the target does not answer; return whether that is news."""
        if self.state is not State.READY:
            return False
        self._set_state(State.SILENT)
        return True

    def check(self, now):
        """Notice that heartbeats stopped; return whether that is news."""
        limit = MISSED_HEARTBEATS_MAX * self.settings.target.beat_seconds
        return now - self.last_heartbeat_at > limit and self.mark_unresponsive()

    def _set_state(self, state):
        self.state = state
        self.target = dataclasses.replace(self.target, ready=state is State.READY)
