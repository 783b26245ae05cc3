"""Define the sheet: services with their routes, version shares and moves."""

import dataclasses
import enum

SHARE_TOTAL = 100
PERMILLE = 1000


class MoveState(enum.StrEnum):
    """State of a move; every state after ``RUNNING`` is final."""

    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    TAKEN_BACK = "taken back"


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """A route from a path prefix to a service.

    ``methods`` lists the HTTP methods, empty for all. ``timeout_ms`` limits calls
    without an earlier deadline. ``traffic_class`` names the queue of the route's calls
    and is a label of their metrics. Calls of an ``idempotent`` route may run more than
    once.
    """

    path: str
    service: str
    methods: tuple = ()
    traffic_class: str = "default"
    idempotent: bool = False
    timeout_ms: int = 5000

    @property
    def key(self):
        """Return a name of the route, made of methods and path; unique in a sheet."""
        return f"{','.join(self.methods) or '*'} {self.path}"


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """A move of a service's traffic from version ``old`` to ``new``, due at ``by``.

    ``permille`` is the part of the old version's share that the new version receives;
    it only rises while the move runs. ``started`` and ``by`` are in Unix seconds.
    """

    id: str
    old: str
    new: str
    started: float
    by: float
    permille: int = 0
    state: MoveState = MoveState.RUNNING
    reason: str = ""

    @property
    def running(self):
        """Return whether the move may still shift traffic."""
        return self.state is MoveState.RUNNING


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service, the unit in which changes of the sheet are distributed.

    ``shares`` maps each version to its percentage of the calls, ``class_weights``
    traffic classes to their weights in the queue.
    """

    name: str
    shares: dict
    routes: tuple
    class_weights: dict = dataclasses.field(default_factory=dict)
    move: Move | None = None

    def versions(self):
        """Return the versions that may receive calls, sorted."""
        names = {version for version, share in self.shares.items() if share > 0}
        if self.move is not None and self.move.running:
            names.add(self.move.new)
        return sorted(names)

    def weights(self, rolled_back=False):
        """Return the weights of versions above 0; together they are 100 * 1000.

        With ``rolled_back`` a running move shifts nothing.

        >>> move = Move("m", "v1", "v2", 0.0, 60.0, permille=50)
        >>> Service("s", {"v1": 100}, (), move=move).weights()
        {'v1': 95000, 'v2': 5000}
        """
        weights = {name: share * PERMILLE for name, share in self.shares.items()}
        move = self.move
        if move is not None and move.running and not rolled_back:
            shifted = self.shares.get(move.old, 0) * move.permille
            weights[move.old] = weights.get(move.old, 0) - shifted
            weights[move.new] = weights.get(move.new, 0) + shifted
        return {name: weight for name, weight in weights.items() if weight > 0}


@dataclasses.dataclass(slots=True, frozen=True)
class Sheet:
    """One consistent revision of all services.

    ``services`` and ``digests`` are by service name; ``digest`` is the digest of the
    whole sheet. A call reads the reference to the sheet once, so it sees a change that
    arrives meanwhile completely or not at all.
    """

    revision: int
    services: dict
    digests: dict
    digest: str


EMPTY_DIGEST = ""
EMPTY = Sheet(0, {}, {}, EMPTY_DIGEST)
