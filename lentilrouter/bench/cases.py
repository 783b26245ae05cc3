"""Make seeded cases of moves and simulate them in virtual time. Does no I/O."""

import dataclasses
import math

import numpy

from lentilrouter.moves import evidence, policies
from lentilrouter.sheet import model

STEP_SECONDS = 1.0  # of the simulation
EVIDENCE_DELAY_STEPS = 2  # until the policy gets the evidence of a call
EFFECT_DELAY_STEPS = 2  # until a decision of the policy changes the traffic
SHOWN_CALLS = 20  # hurt calls that a bad version needs to count as shown
MEDIAN_MS = 30.0  # latency on a route of slowness 1; latencies are log-normal
LATENCY_SIGMA = 0.5  # standard deviation of the logarithm of the latency
START_SECONDS = 1_000_000.0  # Unix time at which each move starts
ROUTES = ("lookup", "pay", "upload", "check")
ROUTE_SHARES = numpy.array([0.62, 0.08, 0.05, 0.25])  # of the calls
ROUTE_SLOWNESS = numpy.array([1.0, 1.5, 6.0, 0.7])  # factors on the latency
GOOD_KINDS = ("good", "good on a noisy service")
BAD_KINDS = ("at once", "late", "under load", "one route", "slow", "slow late")
KINDS = GOOD_KINDS + BAD_KINDS


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """The possible call rates (per second) and the move policy of a deployment."""

    name: str
    policy: str
    rates: tuple


DEPLOYMENTS = {
    "feedlog": Deployment("feedlog", "cautious", (40.0, 12.0)),
    "vanua": Deployment("vanua", "punctual", (36.0, 10.0)),
}


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """One move: its planned time, its calls, and the fault of the new version, if any.

    ``seconds`` is the planned time and ``rate`` the calls per second. ``base_failure``
    is the failure rate of both versions, ``extra_failure`` that of the fault, and
    ``slowness`` the fault's factor on latencies. The fault acts from ``from_second``
    on, at a share of ``from_permille`` or more, on ``route`` (an index) or on all.
    """

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
        """Return the number of calls expected in the planned time of the move."""
        return self.rate * self.seconds

    @property
    def good(self):
        """Return whether the new version is as good as the old one."""
        return self.kind in GOOD_KINDS


def make_case(deployment, seed, index):
    """Return the case with this index.

    The kind follows from the index, the rest is random. The same arguments give the
    same case.
    """
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
class Result:
    """Result of the simulation of one case.

    ``state`` and ``reason`` are those of the move. ``hurt`` counts the calls to the
    new version that failed or were slow by its fault. ``ended``, ``first_hurt`` and
    ``last_hurt`` are in seconds from the start of the move; ``first_hurt`` is ``None``
    if no call was hurt.
    """

    case: Case
    state: str = "running"
    reason: str = ""
    ended: float = 0.0
    calls: int = 0
    hurt: int = 0
    first_hurt: float | None = None
    last_hurt: float | None = None

    @property
    def in_time(self):
        """Return whether the move was done by its deadline."""
        return self.state == "done" and self.ended <= self.case.seconds

    @property
    def shown(self):
        """Return whether a fault hurt many calls, or the move was rolled back."""
        return self.hurt >= SHOWN_CALLS or self.state == "taken back"

    @property
    def exposure(self):
        """Return the seconds from the first hurt call to the last."""
        if self.first_hurt is None:
            return 0.0
        return self.last_hurt - self.first_hurt


def bucket_probabilities(slowness):
    """Return the probability of each latency bucket, in one row per route.

    ``slowness`` is a factor on the latencies of all routes.
    """
    bounds = numpy.log(numpy.array(evidence.LATENCY_BOUNDS_MS, dtype=float))
    rows = []
    for factor in ROUTE_SLOWNESS * slowness:
        z = (bounds - math.log(MEDIAN_MS * factor)) / LATENCY_SIGMA
        below = [0.5 * (1 + math.erf(value / math.sqrt(2))) for value in z]
        rows.append(numpy.diff([0.0, *below, 1.0]))
    return numpy.clip(numpy.array(rows), 0.0, 1.0)


class Simulation:
    """Simulation of one case under one policy, in steps of ``STEP_SECONDS``."""

    def __init__(self, case, policy, rng):
        self.case = case
        self.policy = policy
        self.rng = rng
        self.total = evidence.Evidence()
        self.result = Result(case)
        self.usual_latencies = bucket_probabilities(1.0)
        self.slow_latencies = bucket_probabilities(case.slowness)

    def run(self):
        """Simulate the case to its end and return its :class:`Result`."""
        case, result = self.case, self.result
        move = model.Move("m", "v1", "v2", START_SECONDS, START_SECONDS + case.seconds)
        effective = [0] * EFFECT_DELAY_STEPS
        snapshots = []
        second = 0.0
        while result.state == "running":
            self._make_calls(second, effective[0])
            snapshots.append(_copy(self.total))
            known = snapshots[max(0, len(snapshots) - 1 - EVIDENCE_DELAY_STEPS)]
            del snapshots[: -EVIDENCE_DELAY_STEPS - 1]
            second += STEP_SECONDS
            move = self._decide(move, known, second)
            effective = [*effective[1:], move.permille if move.running else 0]
        if result.state == "taken back":
            for permille in effective:
                self._make_calls(second, permille)
                second += STEP_SECONDS
        return result

    def _decide(self, move, known, second):
        """Return the move after the policy's decision; record the end in the result.

        ``known`` is the evidence that the policy gets.
        """
        decision = self.policy.decide(move, known, START_SECONDS + second)
        if isinstance(decision, policies.Raise):
            return dataclasses.replace(move, permille=decision.permille)
        if isinstance(decision, policies.RollBack):
            self.result.state = "taken back"
            self.result.reason = decision.reason
            self.result.ended = second
            return dataclasses.replace(move, state=model.MoveState.TAKEN_BACK)
        if isinstance(decision, policies.Finish):
            self.result.state = "done"
            self.result.ended = second
        return move

    def _make_calls(self, second, permille):
        """Simulate the calls of one step at the new version's share ``permille``."""
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
            latencies = self.slow_latencies if slow else self.usual_latencies
            buckets = rng.multinomial(counts - base - extra, latencies)
            self._add_evidence(version, counts, base + extra, buckets)
            self.result.calls += int(counts.sum())
            hurt = int(counts.sum()) if slow else int(extra.sum())
            if hurt:
                self._add_hurt(hurt, second)

    def _add_evidence(self, version, counts, failures, buckets):
        """Add the calls of one step; each argument has one item or row per route."""
        for index, route in enumerate(ROUTES):
            if counts[index]:
                tally = evidence.Tally(
                    int(counts[index]), int(failures[index]), buckets[index].tolist()
                )
                self.total.get_or_create(version, route).add(tally)

    def _add_hurt(self, count, second):
        self.result.hurt += count
        if self.result.first_hurt is None:
            self.result.first_hurt = second
        self.result.last_hurt = second + STEP_SECONDS


def _copy(total):
    copy = evidence.Evidence()
    copy.add(total)
    return copy


def simulate(deployment, seed, index, judge=None, ramp=None):
    """Simulate a case under the deployment's policy and return its :class:`Result`.

    ``judge`` (a name) and ``ramp`` replace those of the policy.
    """
    case = make_case(deployment, seed, index)
    policy = policies.POLICIES.get(deployment.policy)(judge)
    if ramp is not None:
        policy.ramp = ramp
    rng = numpy.random.default_rng([seed, index, 1])
    return Simulation(case, policy, rng).run()
