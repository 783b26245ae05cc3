"""Decide how traffic moves to a new version. No input or output.

A move runs through stages planned backwards from its deadline: a small share, then one
that loads a few of the new targets as much as all will be, then everything. What speaks
against the new version takes the move back at once, for good.
"""

import dataclasses
import enum

import orjson

from lentilrouter.core import hashing

USUAL_EXPOSURE = 0.1  # share of calls a bad version may get that the stages are for
FIRST_SHARE = 0.05  # half of that
FULL_AT = 0.7  # of the time given; what remains is for the old targets to become idle
LOADING_EXPOSURE = 0.35  # of the exposure allowed, spent on loading a few targets
LOADING_SHARE = 0.12  # at least; more with few new targets
LOADING_OVER = 1.1  # of the load at the end; the rest is what the targets refuse
LOADING_PART_MAX = 0.35  # of the time given
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


def planned_share(elapsed, seconds, calls, targets, exposure=USUAL_EXPOSURE):
    """Return the share of the new version ``elapsed`` seconds after the order.

    ``calls`` is how many the new version has answered, ``targets`` how many run it,
    ``exposure`` the share of calls that a bad version may get: where less is allowed,
    all stages before the last are smaller.

    >>> planned_share(1.0, 16.0, calls=10, targets=9)
    0.05
    >>> planned_share(10.0, 16.0, calls=500, targets=4)
    0.275
    >>> planned_share(12.0, 16.0, calls=500, targets=9)
    1.0
    >>> planned_share(12.0, 16.0, calls=10, targets=9)
    0.05
    """
    scale = min(1.0, exposure / USUAL_EXPOSURE)
    if calls < EVIDENCE_MIN:
        return FIRST_SHARE * scale
    part = elapsed / seconds if seconds > 0 else 1.0
    if part >= FULL_AT:
        return 1.0
    loading = max(LOADING_SHARE, LOADING_OVER / max(1, targets))
    spent = LOADING_EXPOSURE * exposure / loading
    # A single new target is loaded by no less than everything.
    if loading >= 1.0 or part < FULL_AT - min(LOADING_PART_MAX, spent):
        return FIRST_SHARE * scale
    return loading


def targets_at_share(targets, share):
    """Return those targets of the new version that get calls at this share.

    As few as can be, so that each is as busy as all will be at the end: a version may
    fail only under load. Every proxy chooses the same ones.

    >>> import types
    >>> nine = [types.SimpleNamespace(host=f"h{n}") for n in range(9)]
    >>> [len(targets_at_share(nine, share)) for share in (0.05, 0.12, 0.3, 1.0)]
    [1, 1, 2, 9]
    """
    if share >= 1.0:
        return targets
    count = max(1, int(share * len(targets)))
    return sorted(targets, key=lambda target: hashing.hash64(target.host))[:count]


def may_finish(elapsed, seconds, share, old_busy):
    """Tell whether a move is done: all traffic moved and no old target at work."""
    return share >= 1.0 and not old_busy and elapsed >= FINISH_AT * seconds


class Bases:
    """Know the version each service's traffic is at, and the moves.

    ``base`` maps a service to the version that its traffic was at before any move,
    ``halted`` to the order whose new version must get no calls though the store does
    not say so yet.
    """

    __slots__ = ("base", "moves", "halted", "fractions")

    def __init__(self):
        self.base = {}
        self.moves = {}
        self.halted = {}
        self.fractions = {}

    def halt(self, service, order):
        """Give the new version of an order no more calls; return whether it is news."""
        if order <= self.halted.get(service, 0):
            return False
        self.halted[service] = order
        return True

    def current(self, service):
        """Return the move that gives calls to a new version now, or ``None``."""
        move = self.moves.get(service)
        if move is None or move.state is not State.RUNNING or move.share <= 0:
            return None
        return None if self.halted.get(service) == move.order else move

    def choose(self, service, route, ready, again=False):
        """Return the targets among ``ready`` for the next call; empty for none.

        Shares are kept by adding up fractions, so that the new version gets neither
        more nor less than its share of any run of calls. A call that is offered
        ``again`` goes to the old version until all traffic has moved.
        """
        base = self.base.get(service)
        if base is None:
            base = min((target.version for target in ready), default=None)
        old = [target for target in ready if target.version == base]
        move = self.current(service)
        if move is None:
            return old
        new = [target for target in ready if target.version == move.new]
        if move.share >= 1.0 and new:
            return new
        if again:
            return old
        key = (service, route)
        # A route starts in the middle, so that seldom routes are seen early too.
        fraction = self.fractions.get(key, 0.5) + move.share
        if fraction < 1.0:
            self.fractions[key] = fraction
            return old
        self.fractions[key] = fraction - 1.0
        return targets_at_share(new, move.share) or old

    def is_retired(self, service, version):
        """Tell whether a version gets no more calls because its move has gone on."""
        base, move = self.base.get(service), self.current(service)
        if base is None or version == base:
            return move is not None and move.share >= 1.0 and version == move.old
        return move is None or move.new != version
