"""Choose among targets by this node's own observations. Does no I/O.

The load that targets report lags or misleads, so it is not used. The choice depends on
how many calls this node has in flight at a target, how long its responses took, and
whether it refused or failed calls lately.
"""

import dataclasses

EWMA_WEIGHT = 0.2  # of the latest latency in the moving average
INITIAL_LATENCY_SECONDS = 0.01  # assumed before the first response
WARM_UP_SECONDS = 8.0  # until a new target is rated like the others
COLD_FACTOR = 4.0  # on the score of a new target; falls to 1 while it warms up
BUSY_SECONDS = 0.25  # a target counts as full this long after a refusal
EJECT_AFTER_FAILURES = 5  # in a row
EJECT_SECONDS = 2.0  # doubled with each further ejection in a row
EJECT_MAX_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5  # with more targets ejected, ejections are ignored


@dataclasses.dataclass(slots=True)
class Observation:
    """What this node has observed of one target; times are monotonic seconds.

    ``mean_seconds`` is the moving average of its latency. ``failures`` and
    ``ejections`` count those since its last response. The target is ejected until
    ``ejected_until`` and counts as full until ``busy_until``.
    """

    first_seen: float
    in_flight: int = 0
    mean_seconds: float = INITIAL_LATENCY_SECONDS
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    busy_until: float = 0.0


class Balancer:
    """Load balancer that picks the better of two random candidates."""

    __slots__ = ("domain", "random", "seen")

    def __init__(self, domain, random):
        self.domain = domain
        self.random = random
        self.seen = {}

    def observe(self, id, now):
        """Return the observation of a target, created if there was none."""
        observation = self.seen.get(id)
        if observation is None:
            observation = self.seen[id] = Observation(now)
        return observation

    def choose(self, pairs, now, avoid=()):
        """Return one of the ``(target, member)`` pairs, or ``None`` if none is left.

        Targets of the own failure domain are preferred while one of them has room by
        this node's count. ``avoid`` has the ids of targets already tried for the call.
        """
        untried = [pair for pair in pairs if pair[0].id not in avoid]
        healthy = [
            p for p in untried if self.observe(p[0].id, now).ejected_until <= now
        ]
        if len(healthy) < len(untried) * (1 - MAX_EJECTED_SHARE):
            healthy = untried
        if not healthy:
            return None
        near = [p for p in healthy if p[1].domain == self.domain]
        with_room = [p for p in near if self._has_room(p[0], now)]
        return self._better_of_two(with_room or healthy, now)

    def _has_room(self, target, now):
        """Return whether a slot is free by this node's count and none was refused."""
        observation = self.seen[target.id]
        return observation.in_flight < target.slots and observation.busy_until <= now

    def _better_of_two(self, pairs, now):
        if len(pairs) == 1:
            return pairs[0]
        first, second = self.random.sample(pairs, 2)
        if self.score(second[0], now) < self.score(first[0], now):
            return second
        return first

    def score(self, target, now):
        """Return a number that rises with the expected wait at a target."""
        observation = self.seen[target.id]
        load = (observation.in_flight + 1) / target.slots
        age = now - observation.first_seen
        cold = 1 + (COLD_FACTOR - 1) * max(0.0, 1 - age / WARM_UP_SECONDS)
        busy = 2.0 if observation.busy_until > now else 1.0
        return load * observation.mean_seconds * cold * busy

    def sent(self, id, now):
        """Record that a call was sent to a target."""
        self.observe(id, now).in_flight += 1

    def succeeded(self, id, seconds, now):
        """Record a response and its latency in seconds."""
        observation = self._end_call(id, now)
        observation.failures = 0
        observation.ejections = 0
        observation.mean_seconds += EWMA_WEIGHT * (seconds - observation.mean_seconds)

    def refused(self, id, now):
        """Record that a target had no room or is leaving."""
        self._end_call(id, now).busy_until = now + BUSY_SECONDS

    def failed(self, id, now, unreachable=False):
        """Record a failure.

        Eject the target for a while if it is ``unreachable`` or failed
        ``EJECT_AFTER_FAILURES`` times in a row.
        """
        observation = self._end_call(id, now)
        observation.failures += 1
        if unreachable or observation.failures >= EJECT_AFTER_FAILURES:
            seconds = EJECT_SECONDS * 2**observation.ejections
            observation.ejected_until = now + min(seconds, EJECT_MAX_SECONDS)
            observation.ejections = min(observation.ejections + 1, 8)

    def _end_call(self, id, now):
        observation = self.observe(id, now)
        observation.in_flight = max(0, observation.in_flight - 1)
        return observation

    def forget(self, known):
        """Drop idle targets whose ids are not in ``known``."""
        for id in [id for id in self.seen if id not in known]:
            if not self.seen[id].in_flight:
                del self.seen[id]
