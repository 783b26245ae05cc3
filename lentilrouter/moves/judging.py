"""Judge whether a new version is worse than the old one. No input or output.

Each judge is fed the evidence summed so far and answers with a verdict. Judges differ
in how they weigh evidence; ``bench moves`` compares them on the same seeded cases.
"""

import collections
import dataclasses
import math

from lentilrouter.core import registry
from lentilrouter.moves import evidence

JUDGES = registry.Registry("judge")
PRIOR_CALLS = 50.0
PRIOR_FAILURE_RATE = 0.004
DEVIATIONS = 2.0
OVERALL = "all routes"
SLOW_MIN_MS = 20
FIRST_SLOW_CELL = evidence.LATENCY_BOUNDS_MS.index(SLOW_MIN_MS) + 1


@dataclasses.dataclass(slots=True, frozen=True)
class Fine:
    """Report nothing that speaks against the new version."""


@dataclasses.dataclass(slots=True, frozen=True)
class Doubtful:
    """Report signs that call for waiting."""


@dataclasses.dataclass(slots=True, frozen=True)
class Bad:
    """Report that the new version is worse, and how."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Hold what a judge counts as worse.

    ``error`` bounds the chance of a false alarm per test; ``failure_gain`` and
    ``failure_ratio`` define the failure rate that must be caught; ``slow_ratio`` is
    how many times the old version's share of slow calls must be caught.
    """

    error: float = 1e-5
    failure_gain: float = 0.02
    failure_ratio: float = 3.0
    slow_ratio: float = 3.0


class Pair:
    """Compare the old and the new version on one route or on all.

    ``expected`` is the failure rate of the old version over all routes; it stands in
    for a route on which the old version was seen little.
    """

    __slots__ = ("route", "old", "new", "expected")

    def __init__(self, route, old, new, expected):
        self.route = route
        self.old = old
        self.new = new
        self.expected = expected

    def old_rate(self):
        """Return a failure rate that the old version hardly exceeds."""
        return upper_rate(self.old.calls, self.old.failures, self.expected)

    def failure_text(self):
        """State both failure rates in words."""
        new = 100 * self.new.failures / max(1, self.new.calls)
        old = 100 * self.old.failures / max(1, self.old.calls)
        return f"errors on {self.route}, {new:.1f} % against {old:.1f} %"


def upper_rate(calls, hits, expected):
    """Return a rate that lies above the true one with about 98 % confidence.

    >>> upper_rate(0, 0, 0.004) > upper_rate(1000, 4, 0.004) > 0.004
    True
    """
    weight = calls + PRIOR_CALLS
    mean = (hits + PRIOR_CALLS * expected) / weight
    return mean + DEVIATIONS * math.sqrt(mean * (1 - mean) / weight)


def pairs(total, move):
    """Return a :class:`Pair` for each route and, if there are several, for all."""
    old, new = evidence.Tally(), evidence.Tally()
    routes = total.routes()
    for route in routes:
        old.add(total.tally(move.old, route))
        new.add(total.tally(move.new, route))
    failures = old.failures + PRIOR_CALLS * PRIOR_FAILURE_RATE
    expected = failures / (old.calls + PRIOR_CALLS)
    result = [
        Pair(
            route, total.tally(move.old, route), total.tally(move.new, route), expected
        )
        for route in routes
    ]
    if len(routes) > 1:
        result.append(Pair(OVERALL, old, new, expected))
    return result


def slow_cell(old, share):
    """Return the first latency cell above which at most ``share`` of calls lie.

    Also return the share of the old version's calls at or above that cell.
    """
    answered = sum(old.latency)
    above = answered
    for cell, count in enumerate(old.latency):
        if above <= share * answered:
            return cell, above / answered if answered else 0.0
        above -= count
    return len(old.latency), 0.0


def count_from(tally, cell):
    """Return how many answered calls lie at or above a latency cell."""
    return sum(tally.latency[cell:])


@JUDGES.register("steps")
class ThresholdJudge:
    """Compare plain rates once a version has 50 calls on a route."""

    __slots__ = ("limits",)
    MIN_CALLS = 50

    def __init__(self, limits):
        self.limits = limits

    def judge(self, total, move, now):
        """Return a verdict on all evidence since the move started."""
        for pair in pairs(total, move):
            if pair.new.calls < self.MIN_CALLS:
                continue
            rate = pair.new.failures / pair.new.calls
            if rate > pair.old_rate() + self.limits.failure_gain:
                return Bad(pair.failure_text())
            cell, share = slow_cell(pair.old, 0.1)
            answered = sum(pair.new.latency)
            if answered < self.MIN_CALLS or sum(pair.old.latency) < self.MIN_CALLS:
                continue
            slow = count_from(pair.new, cell) / answered
            if slow > self.limits.slow_ratio * max(share, 0.05):
                return Bad(_slow_text(pair, cell, slow, share))
        return Fine()


def _slow_text(pair, cell, slow, share):
    bounds = evidence.LATENCY_BOUNDS_MS
    bound = bounds[min(max(cell - 1, 0), len(bounds) - 1)]
    new, old = 100 * slow, 100 * share
    return f"slow on {pair.route}, {new:.0f} % above {bound} ms against {old:.0f} %"


@JUDGES.register("cusum")
class CusumJudge:
    """Add up log-likelihood ratios of what is new, never letting them fall below 0.

    This is Page's sequential test: good calls of the past do not outweigh badness
    that starts late. The threshold is the logarithm of the allowed error. Several
    alternatives run side by side, because a test for mild badness is slow to believe
    in severe badness. Calls of up to 20 ms are never slow: a few milliseconds tell
    more of the hosts a version stands on than of the version.
    """

    __slots__ = ("limits", "sums", "earlier", "cells")

    SLOW_SHARE = 0.1
    SLOW_FLOOR = 0.03
    SLOW_MIN_OLD_CALLS = 100
    SEVERE_FAILURE_RATES = (0.15, 0.6)
    SEVERE_SLOW_SHARES = (0.8,)

    def __init__(self, limits):
        self.limits = limits
        self.sums = collections.defaultdict(float)
        self.earlier = {}
        self.cells = {}

    def judge(self, total, move, now):
        """Return a verdict after taking in what came since the last call."""
        threshold = math.log(1 / self.limits.error)
        worst = 0.0
        for pair in pairs(total, move):
            fresh = self._fresh(pair)
            failing = self._failures(pair, fresh)
            if failing >= threshold:
                return Bad(pair.failure_text())
            slowing = self._slow(pair, fresh)
            if slowing >= threshold:
                return Bad(self._slow_text(pair))
            worst = max(worst, failing, slowing)
        return Doubtful() if worst > threshold / 2 else Fine()

    def _slow_cell(self, pair):
        """Return the cell chosen first for a route, and the old version's share."""
        if pair.route not in self.cells:
            cell, _ = slow_cell(pair.old, self.SLOW_SHARE)
            self.cells[pair.route] = max(cell, FIRST_SLOW_CELL)
        cell = self.cells[pair.route]
        return cell, count_from(pair.old, cell) / max(1, sum(pair.old.latency))

    def _slow_text(self, pair):
        cell, share = self._slow_cell(pair)
        slow = count_from(pair.new, cell) / max(1, sum(pair.new.latency))
        return _slow_text(pair, cell, slow, share)

    def _fresh(self, pair):
        earlier = self.earlier.get(pair.route)
        copy = evidence.Tally()
        copy.add(pair.new)
        self.earlier[pair.route] = copy
        return pair.new if earlier is None else pair.new.minus(earlier)

    def _test(self, key, calls, hits, p0, alternatives):
        """Advance one sum for each alternative and return the largest."""
        largest = 0.0
        for index, p1 in enumerate(alternatives):
            if p1 > p0:
                gain = _gain(calls, hits, p0, p1)
                total = max(0.0, self.sums[(key, index)] + gain)
                self.sums[(key, index)] = total
                largest = max(largest, total)
        return largest

    def _old_rate(self, pair):
        return pair.old_rate()

    def _failures(self, pair, fresh):
        p0 = self._old_rate(pair)
        limits = self.limits
        mild = max(limits.failure_ratio * p0, p0 + limits.failure_gain)
        alternatives = (min(0.9, mild), *self.SEVERE_FAILURE_RATES)
        key = (pair.route, "failures")
        return self._test(key, fresh.calls, fresh.failures, p0, alternatives)

    def _slow(self, pair, fresh):
        if sum(pair.old.latency) < self.SLOW_MIN_OLD_CALLS:
            return 0.0
        cell, share = self._slow_cell(pair)
        answered = sum(pair.old.latency)
        p0 = max(upper_rate(answered, share * answered, share), self.SLOW_FLOOR)
        alternatives = (min(0.9, self.limits.slow_ratio * p0), *self.SEVERE_SLOW_SHARES)
        key = (pair.route, "slow")
        calls, hits = sum(fresh.latency), count_from(fresh, cell)
        return self._test(key, calls, hits, p0, alternatives)


def _gain(calls, hits, p0, p1):
    return hits * math.log(p1 / p0) + (calls - hits) * math.log((1 - p1) / (1 - p0))


@JUDGES.register("tail")
class TailJudge(CusumJudge):
    """Look for slow calls far out in the tail of the old version's times.

    Targets of one service differ in speed by a factor of two or more, and a new
    version may stand on slow hosts alone. Its calls then lie above the usual time of
    the old version, but seldom beyond all but a fiftieth of them. Failures are held
    against those of the old version in the last seconds too: what fails both at the
    same time, such as a service that they call, speaks against neither.
    """

    __slots__ = ("recent", "now")

    SLOW_SHARE = 0.02
    SLOW_FLOOR = 0.1
    FAILURE_GAIN = 0.05
    RECENT_SECONDS = 3.0

    def __init__(self, limits):
        gain = max(limits.failure_gain, self.FAILURE_GAIN)
        super().__init__(dataclasses.replace(limits, failure_gain=gain))
        self.recent = collections.defaultdict(collections.deque)
        self.now = 0.0

    def judge(self, total, move, now):
        """Return a verdict after taking in what came since the last call."""
        self.now = now
        return super().judge(total, move, now)

    def _old_rate(self, pair):
        history = self.recent[pair.route]
        copy = evidence.Tally()
        copy.add(pair.old)
        history.append((self.now, copy))
        while len(history) > 2 and history[1][0] <= self.now - self.RECENT_SECONDS:
            history.popleft()
        late = pair.old.minus(history[0][1])
        lately = upper_rate(late.calls, late.failures, pair.expected)
        return min(0.9, max(pair.old_rate(), lately))


@JUDGES.register("bayes")
class BayesJudge:
    """Compare Beta posteriors of both versions over a sliding window of time."""

    __slots__ = ("limits", "history")

    WINDOW_SECONDS = 60.0

    def __init__(self, limits):
        self.limits = limits
        self.history = collections.defaultdict(collections.deque)

    def judge(self, total, move, now):
        """Return a verdict on the evidence of the last minute."""
        worst = 0.0
        for pair in pairs(total, move):
            fresh = self._window(pair, now)
            p0 = pair.old_rate()
            chance = _exceeds(
                fresh.calls, fresh.failures, pair.old, p0, p0 * 1.5 + 0.003
            )
            if chance > 1 - self.limits.error and fresh.failures >= 3:
                return Bad(pair.failure_text())
            slow = self._slow_chance(pair, fresh)
            if slow > 1 - self.limits.error:
                cell, share = slow_cell(pair.old, 0.1)
                part = count_from(fresh, cell) / max(1, sum(fresh.latency))
                return Bad(_slow_text(pair, cell, part, share))
            worst = max(worst, chance, slow)
        return Doubtful() if worst > 0.99 else Fine()

    def _window(self, pair, now):
        history = self.history[pair.route]
        copy = evidence.Tally()
        copy.add(pair.new)
        history.append((now, copy))
        while len(history) > 1 and history[1][0] <= now - self.WINDOW_SECONDS:
            history.popleft()
        if now - history[0][0] < self.WINDOW_SECONDS and len(history) == 1:
            return pair.new
        start = history[0]
        if start[0] > now - self.WINDOW_SECONDS:
            return pair.new
        return pair.new.minus(start[1])

    def _slow_chance(self, pair, fresh):
        if sum(pair.old.latency) < 100 or sum(fresh.latency) < 10:
            return 0.0
        cell, share = slow_cell(pair.old, 0.1)
        base = max(share, 0.03)
        hits = count_from(fresh, cell)
        return _exceeds(sum(fresh.latency), hits, pair.old, base, 1.5 * base)


def _exceeds(calls, hits, old, base, limit):
    """Return the chance that the rate behind ``hits`` of ``calls`` exceeds a limit."""
    weight = 10.0
    a, b = hits + weight * base, calls - hits + weight * (1 - base)
    mean = a / (a + b)
    variance = a * b / ((a + b) ** 2 * (a + b + 1)) + base * (1 - base) / (
        old.calls + PRIOR_CALLS
    )
    return 0.5 * math.erfc((limit - mean) / math.sqrt(2 * variance))
