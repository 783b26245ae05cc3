"""Decide how traffic moves to a new version. No input or output.

A move runs through stages planned backwards from its deadline: a small share until
there is evidence, then quickly up. What speaks against the new version takes the move
back at once, for good.
"""

import dataclasses
import enum

import orjson

USUAL_EXPOSURE = 0.1  # share of calls a bad version may get that the stages are for
FIRST_SHARE = 0.05  # half of that
STAGES = ((0.5, FIRST_SHARE), (0.62, 0.15), (0.7, 0.4))
FINISH_AT = 0.78  # of the time given; old targets are idle by then
EVIDENCE_MIN = 40  # calls of the new version before its share grows


class State(enum.StrEnum):
    """Say how a move stands."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken back"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Ask for a service's traffic to be at ``version`` within ``seconds``."""

    service: str
    version: str
    seconds: float


@dataclasses.dataclass(slots=True)
class Move:
    """Hold a move as it stands in the store.

    ``order`` is the store's revision of the order, ``elapsed`` the seconds since it
    when this was written. ``share`` of the calls go to ``new``, the rest to ``old``.
    """

    service: str
    old: str
    new: str
    order: int
    state: State
    share: float
    elapsed: float
    reason: str = ""

    def encode(self):
        """Return the value kept in the store."""
        return orjson.dumps(dataclasses.asdict(self))


def decode(value):
    """Return the ``Move`` in a stored value; raise ``ValueError`` if it is none."""
    try:
        fields = orjson.loads(value)
        move = Move(**fields)
        move.state = State(move.state)
    except TypeError as error:
        raise ValueError(str(error)) from None
    return move


def planned_share(elapsed, seconds, calls, exposure=USUAL_EXPOSURE):
    """Return the share of the new version ``elapsed`` seconds after the order.

    ``calls`` is how many the new version has answered, ``exposure`` the share of calls
    that a bad version may get: where less is allowed, all stages before the last are
    smaller.

    >>> planned_share(1.0, 16.0, calls=10)
    0.05
    >>> planned_share(12.0, 16.0, calls=500)
    1.0
    >>> planned_share(12.0, 16.0, calls=10)
    0.05
    """
    scale = min(1.0, exposure / USUAL_EXPOSURE)
    if calls < EVIDENCE_MIN:
        return FIRST_SHARE * scale
    part = elapsed / seconds if seconds > 0 else 1.0
    for until, share in STAGES:
        if part < until:
            return share * scale
    return 1.0


def may_finish(elapsed, seconds, share, old_busy):
    """Tell whether a move is done: all traffic moved and no old target at work."""
    return share >= 1.0 and not old_busy and elapsed >= FINISH_AT * seconds


class Bases:
    """Know the version each service's traffic is at, and the moves.

    ``base`` maps a service to the version that its traffic was at before any move.
    """

    __slots__ = ("base", "moves", "fractions")

    def __init__(self):
        self.base = {}
        self.moves = {}
        self.fractions = {}

    def version(self, service, route, available):
        """Return the version for the next call, or ``None`` if none takes calls.

        Shares are kept by adding up fractions, so that the new version gets neither
        more nor less than its share of any run of calls.
        """
        base = self.base.get(service)
        if base is None:
            return min(available, default=None)
        move = self.moves.get(service)
        if move is not None and move.state is State.RUNNING and move.share > 0:
            if move.share >= 1.0 and move.new in available:
                return move.new
            key = (service, route)
            # A route starts in the middle, so that seldom routes are seen early too.
            fraction = self.fractions.get(key, 0.5) + move.share
            if fraction >= 1.0:
                self.fractions[key] = fraction - 1.0
                if move.new in available:
                    return move.new
            else:
                self.fractions[key] = fraction
        return base if base in available else None

    def left_behind(self, service, version):
        """Tell whether a version gets no more calls because its move has gone on."""
        base = self.base.get(service)
        if base is None or version == base:
            move = self.moves.get(service)
            return (
                move is not None
                and move.state is State.RUNNING
                and move.share >= 1.0
                and version == move.old
            )
        move = self.moves.get(service)
        running = move is not None and move.state is State.RUNNING
        return not (running and move.new == version and move.share > 0)
