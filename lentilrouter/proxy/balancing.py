"""Choose among targets by what this proxy observed of them. Does no I/O.

The choice depends on how many calls this proxy has in flight at a target, how busy the
target was when its proxy last responded, how long its calls take, whether they fail,
and whether it is in the same failure domain: bytes inside a domain cost nothing.
"""

import dataclasses

# Scores and penalties are loads: calls per slot, 1.0 if all slots are in use. "Near" is
# in the own domain, "far" in another one.
NEAR_WAIT_SHARE = 0.35  # of the latency goal; longest wait before a call goes far
DOMAIN_PENALTY = 0.8  # of far targets while it is unknown how long calls take
PENALTY_PER_KILOBYTE = 0.1  # of a cross-domain call; small calls go far first
FAR_LOAD_MAX = 1.3  # a cross-domain call to a fuller target only displaces others
FAR_LOAD_MAX_URGENT = 2.0  # for calls that go before others at the far target
NEAR_ONLY_BYTES = 16 * 1024  # from this size on, go far only if no near target is up
TIME_WEIGHT = 0.35  # penalty of a target twice as slow as the mean of the candidates
FAIL_WEIGHT = 2.0  # penalty of a target that fails every call
COLD_FACTOR = 2.0  # slots of a target that just started are divided by this
JITTER = 0.12  # random part that keeps proxies from choosing the same target at once
REPORT_SECONDS = 0.6  # how long a load reported by a target's proxy is used
REFUSED_SECONDS = 0.08  # how long others are preferred to a target after a refusal
LOCAL_LOAD_MAX = 0.65  # below this load the target on the same host is always chosen
EWMA_WEIGHT = 0.15  # of the newest call in the moving averages
FAIL_DECAY_SECONDS = 4.0  # a failure rate decays to zero if no call runs for this long
CANDIDATES_MAX = 12  # scored for one call; more add cost and give no better choice


@dataclasses.dataclass(slots=True)
class Observation:
    """What this proxy observed of one host's target; times are monotonic seconds.

    ``in_flight`` counts the calls of this proxy there, ``reported_load`` is the load
    that its proxy reported at ``reported_at``, in calls per slot. ``seconds`` is the
    moving average of its run times, ``failure_rate`` that of its failures, from 0 to 1.

    ``ran_at`` is when the target last ran a call, ``responded_at`` when its proxy last
    responded. ``suspected`` is true while its proxy is probed, ``down`` if its proxy
    did not respond.

    ``work`` is the work time that the target reported at ``work_at``, as a multiple of
    the usual one, 0.0 if it reports none. ``slowness`` is the lasting multiple that
    ``placement`` learned from the target's calls.
    """

    in_flight: int = 0
    reported_load: float = 0.0
    reported_at: float = -1.0
    seconds: float = 0.0
    failure_rate: float = 0.0
    refused_until: float = 0.0
    suspected: bool = False
    down: bool = False
    ran_at: float = 0.0
    responded_at: float = 0.0
    work: float = 0.0
    work_at: float = -1.0
    slowness: float = 1.0


class Balancer:
    """Balancer that chooses targets by one ``Observation`` for each host."""

    __slots__ = ("domain", "host", "random", "seen")

    def __init__(self, domain, host, random):
        self.domain = domain
        self.host = host
        self.random = random
        self.seen = {}

    def observe(self, host):
        """Return the ``Observation`` of a host's target, created if there is none."""
        observation = self.seen.get(host)
        if observation is None:
            observation = self.seen[host] = Observation()
        return observation

    def candidates(self, targets, tried, now, urgent):
        """Return those of ``targets`` that a call may be sent to.

        Leave out the hosts in ``tried``. If any of ``targets`` is in the own domain,
        also leave out targets in other domains that were lately reported to be full.
        """
        untried = [t for t in targets if t.host not in tried]
        if all(t.domain != self.domain for t in targets):
            return untried
        limit = FAR_LOAD_MAX_URGENT if urgent else FAR_LOAD_MAX
        return [
            t
            for t in untried
            if t.domain == self.domain
            or now - self.observe(t.host).reported_at >= REPORT_SECONDS
            or self.observe(t.host).reported_load < limit
        ]

    def choose(self, targets, warm_at, now, local_load, size=0.0, goal=0.0):
        """Return the best of ``targets``, or ``None`` if there are none.

        ``warm_at`` maps hosts to the times at which their targets stop being slow after
        a start. ``size`` is the approximate number of bytes of the call and its
        response, ``goal`` the call's latency goal in seconds.

        ``local_load`` is the load of the target on the own host in calls per slot,
        ``None`` if it takes no calls. It is exact, so that target is chosen as long as
        it has room.
        """
        if size >= NEAR_ONLY_BYTES:
            near = [t for t in targets if t.domain == self.domain]
            targets = [t for t in near if not self.observe(t.host).down] or targets
        if not targets:
            return None
        if local_load is not None:
            for target in targets:
                if target.host != self.host or now < warm_at.get(target.host, 0.0):
                    continue
                if self._exact_load(target, local_load) < LOCAL_LOAD_MAX:
                    return target
        up = [t for t in targets if not self.observe(t.host).down]
        available = [t for t in up if self._is_available(t, now)]
        candidates = available or up or targets
        if len(candidates) > CANDIDATES_MAX:
            candidates = self._sample(candidates)
        mean_seconds = self._mean_seconds(candidates)
        # A target with twice as many calls as slots makes a call wait for about the
        # run time of one call.
        domain_penalty = (
            NEAR_WAIT_SHARE * goal / mean_seconds if mean_seconds else DOMAIN_PENALTY
        )
        domain_penalty += PENALTY_PER_KILOBYTE * size / 1000
        return min(
            candidates,
            key=lambda t: self._score(
                t, warm_at, now, mean_seconds, local_load, domain_penalty
            ),
        )

    def _exact_load(self, target, local_load):
        """Return the own host's load, including calls on their way to its target."""
        return max(local_load, self.observe(target.host).in_flight / target.slots)

    def _is_available(self, target, now):
        """Return whether a target is not suspected and did not refuse a call lately."""
        observation = self.seen[target.host]
        return not observation.suspected and observation.refused_until <= now

    def _sample(self, candidates):
        """Return up to ``CANDIDATES_MAX`` random candidates, about half of them far."""
        near = [t for t in candidates if t.domain == self.domain]
        far = [t for t in candidates if t.domain != self.domain]
        half = CANDIDATES_MAX // 2
        chosen = self.random.sample(near, min(len(near), CANDIDATES_MAX - half))
        return chosen + self.random.sample(far, min(len(far), half))

    def _mean_seconds(self, candidates):
        """Return the mean run time of the candidates, 0.0 if none is known."""
        seen = [s for t in candidates if (s := self.seen[t.host].seconds)]
        return sum(seen) / len(seen) if seen else 0.0

    def _score(self, target, warm_at, now, mean_seconds, local_load, domain_penalty):
        """Return the score of a target; the lowest one is chosen."""
        observation = self.seen[target.host]
        slots = target.slots
        if now < warm_at.get(target.host, 0.0):
            slots = max(1.0, slots / COLD_FACTOR)
        load = observation.in_flight / slots
        if target.host == self.host and local_load is not None:
            load = self._exact_load(target, local_load)
        elif now - observation.reported_at < REPORT_SECONDS:
            load = max(load, observation.reported_load * target.slots / slots)
        score = load + JITTER * self.random.random()
        if target.domain != self.domain:
            score += domain_penalty
        if mean_seconds and observation.seconds:
            score += TIME_WEIGHT * (observation.seconds / mean_seconds - 1.0)
        if observation.failure_rate > 0.05:
            age = now - observation.ran_at
            score += (
                FAIL_WEIGHT
                * observation.failure_rate
                * max(0.0, 1 - age / FAIL_DECAY_SECONDS)
            )
        return score

    def sent(self, host):
        """Record that a call was sent to a host."""
        self.observe(host).in_flight += 1

    def ended(self, host):
        """Record that a call to a host ended."""
        self.observe(host).in_flight -= 1

    def loaded(self, host, load, now):
        """Record the ``hops.Load`` that a target's proxy reported."""
        observation = self.observe(host)
        observation.reported_load = (load.running + load.waiting) / max(1, load.slots)
        observation.reported_at = observation.responded_at = now
        self.work_reported(host, load, now)

    def work_reported(self, host, load, now):
        """Record the work time in a ``hops.Load``, if it has one."""
        if load.work:
            observation = self.observe(host)
            observation.work = load.work
            observation.work_at = now - load.work_age

    def answered(self, host, seconds, failed, now):
        """Record a call that ran: its seconds at the target and whether it failed."""
        observation = self.observe(host)
        observation.ran_at = now
        observation.failure_rate += EWMA_WEIGHT * (failed - observation.failure_rate)
        if not failed:
            if not observation.seconds:
                observation.seconds = seconds
            observation.seconds += EWMA_WEIGHT * (seconds - observation.seconds)

    def refused(self, host, now, seconds=REFUSED_SECONDS):
        """Record that a target refused a call; prefer others for ``seconds``."""
        self.observe(host).refused_until = now + seconds

    def suspect(self, host):
        """Mark a host as suspected: it is chosen only if no other is available."""
        self.observe(host).suspected = True

    def mark_unreachable(self, host):
        """Mark a host as down: it is chosen only if every other is down too.

        Return whether anything changed.
        """
        observation = self.observe(host)
        changed, observation.down = not observation.down, True
        return changed

    def note_response(self, host, now):
        """Record that a host's proxy responded."""
        self.observe(host).responded_at = now

    def last_response_at(self):
        """Return the last time any host's proxy responded, 0.0 if none did."""
        return max(
            (observation.responded_at for observation in self.seen.values()),
            default=0.0,
        )

    def mark_reachable(self, host):
        """Mark a host as neither down nor suspected."""
        observation = self.observe(host)
        observation.down = observation.suspected = False

    def forget(self, known):
        """Drop observations of hosts not in ``known`` that have no calls in flight."""
        for host in [host for host in self.seen if host not in known]:
            if not self.seen[host].in_flight:
                del self.seen[host]
