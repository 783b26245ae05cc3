"""Make seeded cases of moves and play them in virtual time. No input or output."""

import dataclasses
import math

import numpy

from lentilrouter.moves import evidence, policies
from lentilrouter.sheet import model

STEP_SECONDS = 1.0
EVIDENCE_DELAY_STEPS = 2
EFFECT_DELAY_STEPS = 2
SHOWN_CALLS = 20
MEDIAN_MS = 30.0
LATENCY_SIGMA = 0.5
START = 1_000_000.0
ROUTES = ("lookup", "pay", "upload", "check")
ROUTE_SHARES = numpy.array([0.62, 0.08, 0.05, 0.25])
ROUTE_SLOWNESS = numpy.array([1.0, 1.5, 6.0, 0.7])
GOOD_KINDS = ("good", "good on a noisy service")
BAD_KINDS = ("at once", "late", "under load", "one route", "slow", "slow late")
KINDS = GOOD_KINDS + BAD_KINDS


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Hold the call rates (calls a second) and the move policy of a deployment."""

    name: str
    policy: str
    rates: tuple


DEPLOYMENTS = {
    "feedlog": Deployment("feedlog", "cautious", (40.0, 12.0)),
    "vanua": Deployment("vanua", "punctual", (36.0, 10.0)),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """Describe one move: how long, how many calls, and what is wrong with it."""

    kind: str
    seconds: float
    rate: float
    base_failure: float
    extra_failure: float = 0.0
    slowness: float = 1.0
    from_second: float = 0.0
    from_permille: int = 0
    route: int | None = None

    @property
    def planned_calls(self):
        """Return the calls expected in the planned time of the move."""
        return self.rate * self.seconds

    @property
    def good(self):
        """Tell whether the new version is as good as the old one."""
        return self.kind in GOOD_KINDS


def make_case(deployment, seed, index):
    """Return the case with this index; kinds take turns."""
    rng = numpy.random.default_rng([seed, index])
    kind = KINDS[index % len(KINDS)]
    seconds = float(rng.uniform(60, 600))
    rate = float(rng.choice(deployment.rates))
    noisy = kind == "good on a noisy service"
    base = float(rng.uniform(0.02, 0.05) if noisy else rng.uniform(0.001, 0.004))
    case = Case(kind, seconds, rate, base)
    if case.good:
        return case
    failure = float(math.exp(rng.uniform(math.log(0.05), 0.0)))
    changes = {"extra_failure": failure}
    if kind in ("slow", "slow late"):
        changes = {"slowness": float(rng.uniform(2.5, 6.0))}
    if kind in ("late", "slow late"):
        changes["from_second"] = float(rng.uniform(0.2, 0.85)) * seconds
    if kind == "under load":
        changes["from_permille"] = int(rng.integers(100, 800))
    if kind == "one route":
        changes["route"] = int(rng.integers(0, len(ROUTES)))
    return dataclasses.replace(case, **changes)


@dataclasses.dataclass(slots=True)
class Played:
    """Report how one case ended; seconds count from the first bad call."""

    case: Case
    state: str = "running"
    reason: str = ""
    ended: float = 0.0
    calls: int = 0
    hurt: int = 0
    first_bad: float | None = None
    last_bad: float | None = None

    @property
    def in_time(self):
        """Tell whether a good move was done by its time."""
        return self.state == "done" and self.ended <= self.case.seconds

    @property
    def shown(self):
        """Tell whether the badness showed before the end."""
        return self.hurt >= SHOWN_CALLS or self.state == "taken back"

    @property
    def exposure(self):
        """Return the seconds from the first bad call to the last."""
        if self.first_bad is None:
            return 0.0
        return self.last_bad - self.first_bad


def cell_chances(factor):
    """Return the chance of each latency cell, one row a route."""
    bounds = numpy.log(numpy.array(evidence.LATENCY_BOUNDS_MS, dtype=float))
    rows = []
    for slowness in ROUTE_SLOWNESS * factor:
        z = (bounds - math.log(MEDIAN_MS * slowness)) / LATENCY_SIGMA
        below = [0.5 * (1 + math.erf(value / math.sqrt(2))) for value in z]
        rows.append(numpy.diff([0.0, *below, 1.0]))
    return numpy.clip(numpy.array(rows), 0.0, 1.0)


class Player:
    """Play one case against one policy, a second at a time."""

    def __init__(self, case, policy, rng):
        self.case = case
        self.policy = policy
        self.rng = rng
        self.total = evidence.Evidence()
        self.played = Played(case)
        self.plain = cell_chances(1.0)
        self.slow = cell_chances(case.slowness)

    def play(self):
        """Play to the end and return :class:`Played`."""
        case, played = self.case, self.played
        move = model.Move("m", "v1", "v2", START, START + case.seconds)
        effective = [0] * EFFECT_DELAY_STEPS
        snapshots = []
        second = 0.0
        while played.state == "running":
            self._calls(second, effective[0])
            snapshots.append(_copy(self.total))
            known = snapshots[max(0, len(snapshots) - 1 - EVIDENCE_DELAY_STEPS)]
            del snapshots[: -EVIDENCE_DELAY_STEPS - 1]
            second += STEP_SECONDS
            move = self._decide(move, known, second)
            effective = [*effective[1:], move.permille if move.running else 0]
        if played.state == "taken back":
            for permille in effective:
                self._calls(second, permille)
                second += STEP_SECONDS
        return played

    def _decide(self, move, known, second):
        decision = self.policy.decide(move, known, START + second)
        if isinstance(decision, policies.Raise):
            return dataclasses.replace(move, permille=decision.permille)
        if isinstance(decision, policies.RollBack):
            self.played.state = "taken back"
            self.played.reason = decision.reason
            self.played.ended = second
            return dataclasses.replace(move, state=model.MoveState.TAKEN_BACK)
        if isinstance(decision, policies.Finish):
            self.played.state = "done"
            self.played.ended = second
        return move

    def _calls(self, second, permille):
        """Make one second of calls at the share in force."""
        case, rng = self.case, self.rng
        bad = second >= case.from_second and permille >= max(1, case.from_permille)
        share = permille / model.PERMILLE
        for version, part in (("v1", 1 - share), ("v2", share)):
            affected = numpy.zeros(len(ROUTES))
            if version == "v2" and bad and not case.good:
                affected[:] = 1.0
                if case.route is not None:
                    affected[:] = 0.0
                    affected[case.route] = 1.0
            counts = rng.poisson(case.rate * part * ROUTE_SHARES)
            base = rng.binomial(counts, case.base_failure)
            extra = rng.binomial(counts - base, case.extra_failure * affected)
            slow = case.slowness > 1.0 and affected.any()
            chances = self.slow if slow else self.plain
            cells = rng.multinomial(counts - base - extra, chances)
            self._enter(version, counts, base + extra, cells)
            self.played.calls += int(counts.sum())
            hurt = int(counts.sum()) if slow else int(extra.sum())
            if hurt:
                self._hurt(hurt, second)

    def _enter(self, version, counts, failures, cells):
        for index, route in enumerate(ROUTES):
            if counts[index]:
                tally = evidence.Tally(
                    int(counts[index]), int(failures[index]), cells[index].tolist()
                )
                self.total.get_or_create(version, route).add(tally)

    def _hurt(self, count, second):
        self.played.hurt += count
        if self.played.first_bad is None:
            self.played.first_bad = second
        self.played.last_bad = second + STEP_SECONDS


def _copy(total):
    copy = evidence.Evidence()
    copy.add(total)
    return copy


def play(deployment, seed, index, judge=None, ramp=None):
    """Play the case ``index`` under the deployment's policy, or another judge."""
    case = make_case(deployment, seed, index)
    policy = policies.POLICIES.get(deployment.policy)(judge)
    if ramp is not None:
        policy.ramp = ramp
    rng = numpy.random.default_rng([seed, index, 1])
    return Player(case, policy, rng).play()
