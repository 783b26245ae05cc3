"""Compare move policies on the same seeded cases in virtual time."""

import dataclasses
import statistics

from lentilrouter.bench import cases
from lentilrouter.moves import judging

HURT_LIMIT = 0.01  # greatest part of a move's calls that may be hurt


@dataclasses.dataclass(slots=True)
class Score:
    """The results of one judge; shares are between 0 and 1.

    Calls are hurt if they fail or are slow by the fault of a new version. A bad case is
    shown if the fault hurt ``cases.SHOWN_CALLS`` calls or the move was rolled back;
    ``bad_taken_back``, ``taken_back_by_kind`` and the exposure (the time from the first
    hurt call to the last) are of these cases. ``moves_within_hurt_limit`` compares the
    hurt calls with those made until the move ended, ``planned_within_hurt_limit`` with
    those expected in its planned time.
    """

    deployment: str
    judge: str
    good_cases: int
    good_in_time: float
    false_take_backs: float
    bad_cases: int
    bad_shown: int
    bad_taken_back: float
    taken_back_by_kind: dict
    hurt_share: float
    moves_within_hurt_limit: float
    planned_within_hurt_limit: float
    exposure_p50_seconds: float
    exposure_p95_seconds: float


def score(deployment_name, judge, count, seed, progress=None):
    """Simulate ``count`` cases and return a :class:`Score`.

    Without ``judge`` the policy's own is used. ``progress`` is called with the number
    of cases done and ``count``.
    """
    deployment = cases.DEPLOYMENTS[deployment_name]
    results = []
    for index in range(count):
        results.append(cases.simulate(deployment, seed, index, judge))
        if progress is not None:
            progress(index + 1, count)
    good = [item for item in results if item.case.good]
    bad = [item for item in results if not item.case.good]
    shown = [item for item in bad if item.shown]
    exposures = sorted(item.exposure for item in shown) or [0.0]
    by_kind = {
        kind: _share(
            [item for item in shown if item.case.kind == kind], _was_rolled_back
        )
        for kind in cases.BAD_KINDS
    }
    return Score(
        deployment=deployment_name,
        judge=judge or "policy's own",
        good_cases=len(good),
        good_in_time=_share(good, lambda item: item.in_time),
        false_take_backs=_share(good, _was_rolled_back),
        bad_cases=len(bad),
        bad_shown=len(shown),
        bad_taken_back=_share(shown, _was_rolled_back),
        taken_back_by_kind=by_kind,
        hurt_share=sum(i.hurt for i in bad) / max(1, sum(i.calls for i in bad)),
        moves_within_hurt_limit=_share(
            bad, lambda item: item.hurt <= HURT_LIMIT * item.calls
        ),
        planned_within_hurt_limit=_share(
            bad, lambda item: item.hurt <= HURT_LIMIT * item.case.planned_calls
        ),
        exposure_p50_seconds=statistics.median(exposures),
        exposure_p95_seconds=exposures[int(0.95 * (len(exposures) - 1))],
    )


def _was_rolled_back(item):
    return item.state == "taken back"


def _share(items, condition):
    """Return the part of the items that meet a condition; 1 if there are none."""
    if not items:
        return 1.0
    return sum(1 for item in items if condition(item)) / len(items)


def compare(deployment_name, count, seed, progress=None):
    """Score every registered judge on the same cases."""
    return [
        score(deployment_name, judge, count, seed, progress)
        for judge in judging.JUDGES.names()
    ]
