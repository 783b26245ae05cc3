"""Decide how traffic moves to a new version. Does no I/O.

A move runs through stages planned backwards from its deadline: a small share; then a
share that loads a few of the new targets as heavily as all of them at the end; then all
traffic. Evidence against the new version rolls the move back at once and for good.
"""

import dataclasses
import enum

import orjson

from lentilrouter.core import fields, hashing

# Exposure is the share of all calls that a bad version may get. The stages below are
# sized for USUAL_EXPOSURE. "Time" is the time given for the move, ``Order.seconds``.
USUAL_EXPOSURE = 0.1  # share of calls
FIRST_SHARE = 0.05  # share of calls in the first stage; half of the usual exposure
FULL_AT = 0.7  # fraction of the time; then all calls move, and old targets become idle
LOADING_EXPOSURE = 0.35  # fraction of the exposure, used for the second stage
LOADING_SHARE = 0.12  # share of calls in the second stage; more with few new targets
LOADING_OVER = 1.1  # multiple of the load at the end; targets refuse what is above 1
LOADING_PART_MAX = 0.35  # fraction of the time; longest second stage
FINISH_AT = 0.78  # fraction of the time; earliest end; old targets are idle by then
EVIDENCE_MIN = 40  # calls of the new version before its share grows


class State(enum.StrEnum):
    """State of a move."""

    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken back"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to move a service's traffic to ``version`` within ``seconds``."""

    service: str
    version: str
    seconds: float


@dataclasses.dataclass(slots=True)
class Move:
    """A move as stored.

    ``order`` is the store's revision of the order, ``elapsed`` the number of seconds
    between the order and this write. The fraction ``share`` of the calls goes to
    version ``new``, the rest to version ``old``.
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
        """Return the value to store, as JSON."""
        return orjson.dumps(dataclasses.asdict(self))


def decode(value):
    """Return the ``Move`` in a stored value; raise ``ValueError`` if it is invalid."""
    stored = fields.Fields(orjson.loads(value))
    return Move(
        service=stored.text("service"),
        old=stored.text("old"),
        new=stored.text("new"),
        order=stored.integer("order"),
        state=State(stored.text("state")),
        share=stored.number("share", high=1.0),
        elapsed=stored.number("elapsed"),
        reason=stored.text("reason", default="", empty=True),
    )


def planned_share(elapsed, seconds, calls, targets, exposure=USUAL_EXPOSURE):
    """Return the share of the new version ``elapsed`` seconds after the order.

    ``seconds`` is the time given for the move, ``calls`` the number of calls that the
    new version has answered, ``targets`` the number of ready targets that run it.
    ``exposure`` is the share of all calls that a bad version may get. If it is below
    ``USUAL_EXPOSURE``, all stages before the last are smaller.

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
    time_fraction = elapsed / seconds if seconds > 0 else 1.0
    if time_fraction >= FULL_AT:
        return 1.0
    loading_share = max(LOADING_SHARE, LOADING_OVER / max(1, targets))
    loading_fraction = LOADING_EXPOSURE * exposure / loading_share
    # A single new target gets its load at the end only from all calls.
    if loading_share >= 1.0 or time_fraction < FULL_AT - min(
        LOADING_PART_MAX, loading_fraction
    ):
        return FIRST_SHARE * scale
    return loading_share


def targets_at_share(targets, share):
    """Return the targets of the new version that get calls at this share.

    These are as few as possible, so that each of them is as busy as all targets at the
    end, because a version may fail only under load. Every proxy chooses the same ones.

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
    """Return whether a move is done.

    A move is done once all traffic goes to the new version, the old targets have no
    calls in flight (``old_busy`` is 0) and the fraction ``FINISH_AT`` of its time has
    passed.
    """
    return share >= 1.0 and not old_busy and elapsed >= FINISH_AT * seconds


class Bases:
    """Track the base version and the move of each service.

    ``base``, ``moves`` and ``halted`` have the service as key: the version that gets
    all traffic without a move, the latest move, and the revision of an order whose new
    version must get no calls although the stored move still runs. ``fractions`` has
    the accumulated share by service and route.
    """

    __slots__ = ("base", "moves", "halted", "fractions")

    def __init__(self):
        self.base = {}
        self.moves = {}
        self.halted = {}
        self.fractions = {}

    def halt(self, service, order):
        """Stop calls to the new version of an order.

        ``order`` is the revision of the order. Return whether anything changed.
        """
        if order <= self.halted.get(service, 0):
            return False
        self.halted[service] = order
        return True

    def current(self, service):
        """Return the move by which a new version gets calls now, or ``None``."""
        move = self.moves.get(service)
        if move is None or move.state is not State.RUNNING or move.share <= 0:
            return None
        return None if self.halted.get(service) == move.order else move

    def choose(self, service, route, ready, is_retry=False):
        """Return the targets among ``ready`` for the next call; the list may be empty.

        The share is accumulated call by call, so that the new version gets neither more
        nor less than its share of any sequence of calls. A call that was sent to some
        target before (``is_retry``) goes to the old version until all traffic moved.
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
        if is_retry:
            return old
        key = (service, route)
        # A route starts at 0.5, so that the new version gets an early call on routes
        # with few calls, too.
        fraction = self.fractions.get(key, 0.5) + move.share
        if fraction < 1.0:
            self.fractions[key] = fraction
            return old
        self.fractions[key] = fraction - 1.0
        return targets_at_share(new, move.share) or old

    def is_retired(self, service, version):
        """Return whether a version gets no calls.

        These are the old version of a move that has reached all traffic, and any
        version other than the base version and the new version of the current move.
        """
        base, move = self.base.get(service), self.current(service)
        if base is None or version == base:
            return move is not None and move.share >= 1.0 and version == move.old
        return move is None or move.new != version
