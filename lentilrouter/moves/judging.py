"""Judge whether a new version is worse than the old one. Does no I/O.

A judge gets the evidence summed so far and returns a verdict. Judges differ in how they
weigh evidence; ``bench moves`` compares them on the same seeded cases.
"""

import collections
import dataclasses
import math

from lentilrouter.core import registry
from lentilrouter.moves import evidence

JUDGES = registry.Registry("judge")
PRIOR_CALLS = 50.0  # weight of an assumed rate, in calls
PRIOR_FAILURE_RATE = 0.004  # assumed for the old version over all routes
STANDARD_DEVIATIONS = 2.0  # between an estimated rate and its upper bound
OVERALL = "all routes"
SLOW_MIN_MS = 20  # calls of up to this time are never slow
FIRST_SLOW_BUCKET = evidence.LATENCY_BOUNDS_MS.index(SLOW_MIN_MS) + 1


@dataclasses.dataclass(slots=True, frozen=True)
class Fine:
    """Verdict: nothing indicates that the new version is worse."""


@dataclasses.dataclass(slots=True, frozen=True)
class Doubtful:
    """Verdict: the new version may be worse; a reason to wait."""


@dataclasses.dataclass(slots=True, frozen=True)
class Bad:
    """Verdict: the new version is worse; ``reason`` is the text for operators."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """What a judge counts as worse.

    ``false_alarm_probability`` bounds the chance of a false alarm per test.
    ``failure_gain`` (added to the old version's rate) and ``failure_ratio`` (times that
    rate) define the failure rate that must be detected; ``slow_ratio`` is the multiple
    of the old version's share of slow calls that must be detected.
    """

    false_alarm_probability: float = 1e-5
    failure_gain: float = 0.02
    failure_ratio: float = 3.0
    slow_ratio: float = 3.0


class Pair:
    """The tallies of the old and the new version on one route or on all.

    ``expected`` is the failure rate of the old version over all routes. It is the prior
    for each route and prevails where the old version had few calls.
    """

    __slots__ = ("route", "old", "new", "expected")

    def __init__(self, route, old, new, expected):
        self.route = route
        self.old = old
        self.new = new
        self.expected = expected

    def old_rate(self):
        """Return an upper bound of the old version's failure rate."""
        return upper_rate(self.old.calls, self.old.failures, self.expected)

    def failure_text(self):
        """Return a text with the failure rates of both versions."""
        new = 100 * self.new.failures / max(1, self.new.calls)
        old = 100 * self.old.failures / max(1, self.old.calls)
        return f"errors on {self.route}, {new:.1f} % against {old:.1f} %"


def upper_rate(calls, hits, expected):
    """Return an upper bound of a rate, with about 98 % confidence.

    The rate is estimated from ``hits`` among ``calls`` and from ``expected``, which has
    the weight of ``PRIOR_CALLS`` calls.

    >>> upper_rate(0, 0, 0.004) > upper_rate(1000, 4, 0.004) > 0.004
    True
    """
    weight = calls + PRIOR_CALLS
    mean = (hits + PRIOR_CALLS * expected) / weight
    return mean + STANDARD_DEVIATIONS * math.sqrt(mean * (1 - mean) / weight)


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


def slow_bucket(old, share):
    """Return the first latency bucket at or above which at most ``share`` lie.

    Also return the part of the answered calls that lies at or above that bucket.
    """
    answered = sum(old.latency)
    above = answered
    for bucket, count in enumerate(old.latency):
        if above <= share * answered:
            return bucket, above / answered if answered else 0.0
        above -= count
    return len(old.latency), 0.0


def count_from(tally, bucket):
    """Return how many calls lie at or above a latency bucket."""
    return sum(tally.latency[bucket:])


@JUDGES.register("steps")
class ThresholdJudge:
    """Judge that compares plain rates.

    A route is judged once the new version has ``MIN_CALLS`` calls there.
    """

    __slots__ = ("limits",)
    MIN_CALLS = 50

    def __init__(self, limits):
        self.limits = limits

    def judge(self, total, move, now):
        """Return ``Fine`` or ``Bad`` for all evidence since the move started."""
        for pair in pairs(total, move):
            if pair.new.calls < self.MIN_CALLS:
                continue
            rate = pair.new.failures / pair.new.calls
            if rate > pair.old_rate() + self.limits.failure_gain:
                return Bad(pair.failure_text())
            bucket, share = slow_bucket(pair.old, 0.1)
            answered = sum(pair.new.latency)
            if answered < self.MIN_CALLS or sum(pair.old.latency) < self.MIN_CALLS:
                continue
            slow = count_from(pair.new, bucket) / answered
            if slow > self.limits.slow_ratio * max(share, 0.05):
                return Bad(_slow_text(pair, bucket, slow, share))
        return Fine()


def _slow_text(pair, bucket, slow, share):
    bounds = evidence.LATENCY_BOUNDS_MS
    bound = bounds[min(max(bucket - 1, 0), len(bounds) - 1)]
    new, old = 100 * slow, 100 * share
    return f"slow on {pair.route}, {new:.0f} % above {bound} ms against {old:.0f} %"


@JUDGES.register("cusum")
class CusumJudge:
    """Judge that sums log-likelihood ratios of new calls, with 0 as the lower limit.

    This is Page's sequential test (CUSUM): good calls of the past do not outweigh a
    fault that starts late. The threshold is the logarithm of the inverse of the allowed
    false-alarm probability. Several alternatives are tested in parallel, because a test
    for a slightly higher rate is slow to detect a much higher one. Calls of up to 20 ms
    are never slow: a few milliseconds depend more on the hosts that a version runs on
    than on the version.
    """

    __slots__ = ("limits", "sums", "earlier", "buckets")

    SLOW_SHARE = 0.1  # of the old version's calls; the most that may count as slow
    SLOW_SHARE_FLOOR = 0.03  # least share of slow calls assumed of the old version
    SLOW_MIN_OLD_CALLS = 100
    SEVERE_FAILURE_RATES = (0.15, 0.6)  # further alternatives to test
    SEVERE_SLOW_SHARES = (0.8,)

    def __init__(self, limits):
        self.limits = limits
        self.sums = collections.defaultdict(float)
        self.earlier = {}
        self.buckets = {}

    def judge(self, total, move, now):
        """Return a verdict, counting the evidence added since the last verdict.

        It is ``Doubtful`` if a sum exceeds half of the threshold.
        """
        threshold = math.log(1 / self.limits.false_alarm_probability)
        worst = 0.0
        for pair in pairs(total, move):
            fresh = self._increment(pair)
            failure_sum = self._failure_sum(pair, fresh)
            if failure_sum >= threshold:
                return Bad(pair.failure_text())
            slow_sum = self._slow_sum(pair, fresh)
            if slow_sum >= threshold:
                return Bad(self._slow_text(pair))
            worst = max(worst, failure_sum, slow_sum)
        return Doubtful() if worst > threshold / 2 else Fine()

    def _slow_bucket(self, pair):
        """Return the bucket of slow calls on a route, and the old version's share.

        The bucket is chosen at the first use and then stays.
        """
        if pair.route not in self.buckets:
            bucket, _ = slow_bucket(pair.old, self.SLOW_SHARE)
            self.buckets[pair.route] = max(bucket, FIRST_SLOW_BUCKET)
        bucket = self.buckets[pair.route]
        return bucket, count_from(pair.old, bucket) / max(1, sum(pair.old.latency))

    def _slow_text(self, pair):
        bucket, share = self._slow_bucket(pair)
        slow = count_from(pair.new, bucket) / max(1, sum(pair.new.latency))
        return _slow_text(pair, bucket, slow, share)

    def _increment(self, pair):
        """Return the new version's counts added since the last verdict."""
        earlier = self.earlier.get(pair.route)
        copy = evidence.Tally()
        copy.add(pair.new)
        self.earlier[pair.route] = copy
        return pair.new if earlier is None else pair.new.minus(earlier)

    def _update_sums(self, key, calls, hits, p0, alternatives):
        """Add calls to the sum of each alternative rate and return the largest sum.

        ``p0`` is the rate of the old version; alternatives that are not above it are
        skipped.
        """
        largest = 0.0
        for index, p1 in enumerate(alternatives):
            if p1 > p0:
                gain = _log_likelihood_ratio(calls, hits, p0, p1)
                total = max(0.0, self.sums[(key, index)] + gain)
                self.sums[(key, index)] = total
                largest = max(largest, total)
        return largest

    def _old_rate(self, pair):
        """Return the failure rate that the new version is tested against."""
        return pair.old_rate()

    def _failure_sum(self, pair, fresh):
        """Return the largest sum of the tests for failures on a route."""
        p0 = self._old_rate(pair)
        limits = self.limits
        mild = max(limits.failure_ratio * p0, p0 + limits.failure_gain)
        alternatives = (min(0.9, mild), *self.SEVERE_FAILURE_RATES)
        key = (pair.route, "failures")
        return self._update_sums(key, fresh.calls, fresh.failures, p0, alternatives)

    def _slow_sum(self, pair, fresh):
        """Return the largest sum of the tests for slow calls on a route.

        Return 0 while the old version has too few calls to compare with.
        """
        if sum(pair.old.latency) < self.SLOW_MIN_OLD_CALLS:
            return 0.0
        bucket, share = self._slow_bucket(pair)
        answered = sum(pair.old.latency)
        p0 = max(upper_rate(answered, share * answered, share), self.SLOW_SHARE_FLOOR)
        alternatives = (min(0.9, self.limits.slow_ratio * p0), *self.SEVERE_SLOW_SHARES)
        key = (pair.route, "slow")
        calls, hits = sum(fresh.latency), count_from(fresh, bucket)
        return self._update_sums(key, calls, hits, p0, alternatives)


def _log_likelihood_ratio(calls, hits, p0, p1):
    """Return the log-likelihood ratio of the rate ``p1`` to the rate ``p0``."""
    return hits * math.log(p1 / p0) + (calls - hits) * math.log((1 - p1) / (1 - p0))


@JUDGES.register("tail")
class TailJudge(CusumJudge):
    """Judge that looks for slow calls far out in the tail of the old version's latency.

    Targets of one service differ in speed by a factor of two or more, and all targets
    of a new version may be on slow hosts. Its calls then take longer than the usual
    time of the old version, but seldom as long as the slowest fiftieth of that
    version's calls. Failures are also compared with those of the old version in the
    last seconds: failures of both versions at the same time, such as those of a service
    that they call, count against neither.
    """

    __slots__ = ("recent", "now")

    SLOW_SHARE = 0.02
    SLOW_SHARE_FLOOR = 0.1
    FAILURE_GAIN = 0.05  # least ``failure_gain`` of this judge
    RECENT_SECONDS = 3.0  # period of recent failures of the old version

    def __init__(self, limits):
        gain = max(limits.failure_gain, self.FAILURE_GAIN)
        super().__init__(dataclasses.replace(limits, failure_gain=gain))
        self.recent = collections.defaultdict(collections.deque)
        self.now = 0.0

    def judge(self, total, move, now):
        """Return a verdict, counting the evidence added since the last verdict."""
        self.now = now
        return super().judge(total, move, now)

    def _old_rate(self, pair):
        """Return an upper bound of the old version's failure rate, 0.9 at most.

        This is the higher of the bounds for all its calls and for those of the last
        ``RECENT_SECONDS``.
        """
        history = self.recent[pair.route]
        copy = evidence.Tally()
        copy.add(pair.old)
        history.append((self.now, copy))
        while len(history) > 2 and history[1][0] <= self.now - self.RECENT_SECONDS:
            history.popleft()
        recent_counts = pair.old.minus(history[0][1])
        recent_rate = upper_rate(
            recent_counts.calls, recent_counts.failures, pair.expected
        )
        return min(0.9, max(pair.old_rate(), recent_rate))


@JUDGES.register("bayes")
class BayesJudge:
    """Judge that estimates the rates of the new version by Beta posteriors.

    It uses the new version's calls of the last ``WINDOW_SECONDS`` and all calls of the
    old version.
    """

    __slots__ = ("limits", "history")

    WINDOW_SECONDS = 60.0

    def __init__(self, limits):
        self.limits = limits
        self.history = collections.defaultdict(collections.deque)

    def judge(self, total, move, now):
        """Return a verdict on the calls of the last ``WINDOW_SECONDS``."""
        worst = 0.0
        for pair in pairs(total, move):
            fresh = self._window(pair, now)
            p0 = pair.old_rate()
            chance = _probability_above(
                fresh.calls, fresh.failures, pair.old, p0, p0 * 1.5 + 0.003
            )
            if chance > 1 - self.limits.false_alarm_probability and fresh.failures >= 3:
                return Bad(pair.failure_text())
            slow = self._slow_chance(pair, fresh)
            if slow > 1 - self.limits.false_alarm_probability:
                bucket, share = slow_bucket(pair.old, 0.1)
                part = count_from(fresh, bucket) / max(1, sum(fresh.latency))
                return Bad(_slow_text(pair, bucket, part, share))
            worst = max(worst, chance, slow)
        return Doubtful() if worst > 0.99 else Fine()

    def _window(self, pair, now):
        """Return the new version's counts within the window."""
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
        """Return the probability that slow calls have become clearly more frequent.

        Return 0 while there are too few calls to compare.
        """
        if sum(pair.old.latency) < 100 or sum(fresh.latency) < 10:
            return 0.0
        bucket, share = slow_bucket(pair.old, 0.1)
        base = max(share, 0.03)
        hits = count_from(fresh, bucket)
        return _probability_above(sum(fresh.latency), hits, pair.old, base, 1.5 * base)


def _probability_above(calls, hits, old, base, limit):
    """Return about how probable it is that the rate of a version exceeds ``limit``.

    The rate is estimated from ``hits`` among ``calls`` and from the rate ``base``,
    which has the weight of 10 calls. The variance grows with the uncertainty about
    ``base``, which comes from the tally ``old``.
    """
    weight = 10.0
    a, b = hits + weight * base, calls - hits + weight * (1 - base)
    mean = a / (a + b)
    variance = a * b / ((a + b) ** 2 * (a + b + 1)) + base * (1 - base) / (
        old.calls + PRIOR_CALLS
    )
    return 0.5 * math.erfc((limit - mean) / math.sqrt(2 * variance))
