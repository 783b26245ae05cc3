"""Track liveness of the target on this host by its heartbeats and leave messages."""

import dataclasses
import enum

from lentilrouter.proxy import directory

MISSED_HEARTBEATS_MAX = 4  # several, since a heartbeat may be seconds late


class State(enum.StrEnum):
    """State of the target: the one it last reported, or ``SILENT``.

    ``GONE`` is a target that has left for good or that was never known, ``SILENT`` one
    that is unresponsive.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    SILENT = "silent"


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A heartbeat of a target.

    ``born`` is the time the target started in milliseconds, ``sequence`` increases with
    each heartbeat, ``cold_seconds`` is how long the target will still be slow, ``None``
    if that is not stated.
    """

    id: str
    born: int
    sequence: int
    address: str
    service: str
    version: str
    slots: int
    state: State
    cold_seconds: float | None


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """A message of a target that it leaves for good; ``born`` is 0 if not stated."""

    id: str
    born: int


@dataclasses.dataclass(slots=True, frozen=True)
class Accepted:
    """Result: the message was applied.

    ``changed`` is true if anything but the sequence number changed.
    """

    changed: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Ignored:
    """Result: the message was ignored; ``reason`` is a text for the log."""

    reason: str


class Liveness:
    """Liveness of the local target. Does no I/O.

    Times are monotonic seconds. ``target`` is ``None`` until a target is known, and
    ``warm_at`` is when it stops being slow after its start. ``assumed`` is true if only
    the id of the target is known, until its first heartbeat.
    """

    __slots__ = (
        "settings",
        "target",
        "state",
        "last_heartbeat_at",
        "warm_at",
        "pending_leave",
        "assumed",
    )

    def __init__(self, settings):
        self.settings = settings
        self.target = None
        self.state = State.GONE
        self.last_heartbeat_at = 0.0
        self.warm_at = 0.0
        self.pending_leave = None
        self.assumed = False

    def handle_heartbeat(self, heartbeat, now, unknown_seconds=0.0):
        """Apply a ``Heartbeat``; return ``Accepted`` or ``Ignored``.

        A target that has just started is slow for ``unknown_seconds``, unless the
        heartbeat states for how long.
        """
        if heartbeat.address != self.settings.target.address:
            return Ignored(f"address {heartbeat.address} is not the local target's")
        if heartbeat.service != self.settings.target.service:
            return Ignored(f"service {heartbeat.service} is not the local target's")
        if heartbeat.slots < 1:
            return Ignored(f"{heartbeat.slots} slots")
        known = self._known_target(heartbeat)
        if known is not None and heartbeat.born < known.born:
            return Ignored(f"born {heartbeat.born} is before {known.born}")
        same = known is not None and (known.id, known.born) == (
            heartbeat.id,
            heartbeat.born,
        )
        if same and heartbeat.sequence <= known.sequence:
            return Ignored(
                f"sequence {heartbeat.sequence} is not above {known.sequence}"
            )
        self.assumed = False
        previous = (self.state, known and dataclasses.replace(known, sequence=0))
        self.last_heartbeat_at = now
        # Draining and leaving are final: a later heartbeat of the same incarnation does
        # not make the target ready again.
        if not (same and self.state in (State.DRAINING, State.GONE)):
            self.state = heartbeat.state
        if self._has_left(heartbeat):
            self.state = State.GONE
        cold_seconds = heartbeat.cold_seconds
        if cold_seconds is None:
            cold_seconds = max(0.0, self.warm_at - now) if same else unknown_seconds
        self.warm_at = now + cold_seconds
        proxy = self.settings.proxy
        self.target = directory.Target(
            id=heartbeat.id,
            service=heartbeat.service,
            version=heartbeat.version,
            domain=proxy.domain,
            host=proxy.address,
            peer=f"{proxy.address}:{proxy.peer_port}",
            slots=heartbeat.slots,
            ready=self.state is State.READY,
            born=heartbeat.born,
            sequence=heartbeat.sequence,
            cold_seconds=cold_seconds if not same else known.cold_seconds,
            link_mbps=proxy.link_mbps,
            proxy=proxy.id,
            region=proxy.region,
        )
        current = (self.state, dataclasses.replace(self.target, sequence=0))
        return Accepted(current != previous)

    def _known_target(self, heartbeat):
        """Return the known target, as a heartbeat shows it if it was assumed."""
        known = self.target
        if not self.assumed or known.id != heartbeat.id:
            return known
        return dataclasses.replace(known, born=heartbeat.born, sequence=0)

    def handle_leave(self, leave, now):
        """Apply a ``Leave``; return ``Accepted`` or ``Ignored``.

        A leave received before its target is known stays pending: the target gets an
        acknowledgement, and the store may still have its entry.
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

    def restore(self, target, now, assumed=False):
        """Use the stored entry of this host's earlier process if no target is known.

        With ``assumed``, the entry is of an earlier target, except for its id.
        """
        if self.target is None:
            self.target = target
            self.assumed = assumed
            self.last_heartbeat_at = now
            self.warm_at = now
            self._set_state(State.READY if target.ready else State.DRAINING)
            if self._has_left(target):
                self._set_state(State.GONE)

    def _has_left(self, target):
        """Return whether a pending leave refers to a target."""
        leave = self.pending_leave
        return (
            leave is not None
            and leave.id == target.id
            and (not leave.born or target.born <= leave.born)
        )

    def mark_unresponsive(self):
        """Mark a ready target unresponsive; return whether anything changed."""
        if self.state is not State.READY:
            return False
        self._set_state(State.SILENT)
        return True

    def check_heartbeats(self, now):
        """Mark the target unresponsive if its heartbeats stopped.

        Return whether anything changed.
        """
        limit = MISSED_HEARTBEATS_MAX * self.settings.target.beat_seconds
        return now - self.last_heartbeat_at > limit and self.mark_unresponsive()

    def _set_state(self, state):
        self.state = state
        self.target = dataclasses.replace(self.target, ready=state is State.READY)
