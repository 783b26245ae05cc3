"""Decide the next step of a move. Does no I/O.

A policy combines a judge with a ramp. The ramp is planned backwards from the deadline:
it reaches the full share early enough to observe the new version under all calls, and
it keeps the share small for the first part of the time.
"""

import dataclasses

from lentilrouter.core import registry
from lentilrouter.moves import judging
from lentilrouter.sheet import model

POLICIES = registry.Registry("move policy")
MIN_DURATION_SECONDS = 5.0  # a shorter move is planned as one of this length
# At the full share a move ends this long before the deadline, even in doubt.
FINISH_MARGIN_SECONDS = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Hold:
    """Decision: leave the share as it is."""


@dataclasses.dataclass(slots=True, frozen=True)
class Raise:
    """Decision: raise the new version's part of the old one's share to ``permille``."""

    permille: int


@dataclasses.dataclass(slots=True, frozen=True)
class RollBack:
    """Decision: give the old version its full share again."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Finish:
    """Decision: make the new version's share permanent."""


@dataclasses.dataclass(slots=True, frozen=True)
class Ramp:
    """Plan of the shares over the time of a move.

    ``steps`` are pairs of a part of the planned time (0 to 1) and the permille from
    then on; the last step leaves the rest of the time to observe the full share. The
    planned end lies ``margin_seconds`` (or a twentieth of the time, if that is less)
    before the deadline. A ``Doubtful`` verdict keeps the share one step behind the
    plan; at the full share it delays the end, at most until ``FINISH_MARGIN_SECONDS``
    before the deadline.
    """

    steps: tuple
    margin_seconds: float = 5.0

    def planned_permille(self, move, now):
        """Return the permille that the plan reaches by ``now`` (Unix seconds)."""
        part = (now - move.started) / self.planned_seconds(move)
        reached = 0
        for start, permille in self.steps:
            if part >= start:
                reached = permille
        return reached

    def planned_seconds(self, move):
        """Return the seconds between the start and the planned end."""
        total = max(move.by - move.started, MIN_DURATION_SECONDS)
        return total - min(self.margin_seconds, total / 20)

    def is_over(self, move, now):
        """Return whether the planned end of the move has passed."""
        return now - move.started >= self.planned_seconds(move)


# (part of the planned time, permille)
CAREFUL_STEPS = (
    (0.0, 20),
    (0.25, 50),
    (0.40, 100),
    (0.55, 200),
    (0.65, 350),
    (0.75, 550),
    (0.82, 800),
    (0.88, 1000),
)
EVEN_STEPS = (
    (0.0, 20),
    (0.12, 60),
    (0.25, 150),
    (0.40, 300),
    (0.55, 550),
    (0.70, 1000),
)


class Policy:
    """A judge and a ramp, which together decide the steps of a move."""

    __slots__ = ("judge", "ramp")

    judge_name = "cusum"
    limits = judging.Limits()
    ramp_plan = Ramp(CAREFUL_STEPS)

    def __init__(self, judge_name=None):
        judge_class = judging.JUDGES.get(judge_name or self.judge_name)
        self.judge = judge_class(self.limits)
        self.ramp = self.ramp_plan

    def decide(self, move, total, now, targets=1):
        """Return ``Hold``, ``Raise``, ``RollBack`` or ``Finish``.

        ``total`` is the summed evidence of the move, ``now`` the time in Unix seconds
        and ``targets`` the number of known targets of the new version.
        """
        verdict = self.judge.judge(total, move, now)
        if isinstance(verdict, judging.Bad):
            return RollBack(verdict.reason)
        if now >= move.by and move.permille < model.PERMILLE:
            return RollBack(self._late_reason(move, targets))
        if move.permille >= model.PERMILLE and now >= move.by - FINISH_MARGIN_SECONDS:
            return Finish()
        if not targets:
            return Hold()
        planned = self.ramp.planned_permille(move, now)
        next_permille = self._next_permille(move, planned)
        if isinstance(verdict, judging.Doubtful) and next_permille == planned:
            return Hold()
        if planned > move.permille:
            return Raise(next_permille)
        if move.permille >= model.PERMILLE and self.ramp.is_over(move, now):
            return Finish()
        return Hold()

    def _next_permille(self, move, planned):
        """Return the permille of the next step, ``planned`` at most.

        No step is skipped after a pause.
        """
        for _, permille in self.ramp.steps:
            if permille > move.permille:
                return min(permille, planned)
        return planned

    def _late_reason(self, move, targets):
        if not targets:
            return f"not done in time: no target of {move.new} is known"
        return f"not done in time: reached {move.permille / 10:.0f} %"


@POLICIES.register("cautious")
class Cautious(Policy):
    """Policy that prefers to roll back bad versions.

    It alarms early and keeps shares small for long.
    """

    __slots__ = ()
    limits = judging.Limits(
        false_alarm_probability=1e-6, failure_gain=0.01, failure_ratio=2.5
    )
    ramp_plan = Ramp(CAREFUL_STEPS)


@POLICIES.register("punctual")
class Punctual(Policy):
    """Policy that prefers to finish good moves in time.

    It needs stronger evidence and raises shares evenly.
    """

    __slots__ = ()
    limits = judging.Limits(
        false_alarm_probability=1e-7, failure_gain=0.015, failure_ratio=3.0
    )
    ramp_plan = Ramp(EVEN_STEPS)
