"""Choose among targets by what this proxy saw of them. No input or output.

What counts is how many calls this proxy has at a target, how busy the target was when
it last answered, how long its calls take, whether they fail, and whether it stands in
the same failure domain: bytes that stay inside a domain cost nothing.
"""

import dataclasses

NEAR_WAIT = 0.35  # of a call's goal; wait that long at home rather than cross
DOMAIN_PENALTY = 0.8  # of all slots in use, until it is known how long calls take
KILOBYTE_PENALTY = 0.1  # more for each KB that would cross; what is cheap spills first
FAR_FULL = 1.3  # calls there for each slot; what crosses to more only displaces others
FAR_FULL_URGENT = 2.0  # for calls that go before others there
STAY_BYTES = 16 * 1024  # calls this large leave the domain only if no target is there
TIME_WEIGHT = 0.35  # what a target twice as slow as the others counts for
FAIL_WEIGHT = 2.0  # what a target that fails every call counts for
COLD_FACTOR = 2.0  # targets that just started count as having fewer slots
JITTER = 0.12  # keeps proxies from choosing the same target at the same time
REPORT_SECONDS = 0.6  # how long a target's word on its load counts
REFUSED_SECONDS = 0.08  # a target that refused is passed over for this long
LOCAL_LOAD = 0.65  # up to this load the target on the same host is taken at once
EWMA_WEIGHT = 0.15
FAIL_DECAY_SECONDS = 4.0
CANDIDATES_MAX = 12  # looked at for one call; the rest adds cost and no better choice


@dataclasses.dataclass(slots=True)
class Observation:
    """Hold what this proxy saw of one target; times are monotonic seconds.

    ``ran_at`` is when it last ran a call, ``responded_at`` when its proxy last
    answered. ``suspected`` tells that its proxy is being asked whether it is there,
    ``down`` that it did not answer.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = -1.0
    seconds: float = 0.0
    failing: float = 0.0
    refused_until: float = 0.0
    suspected: bool = False
    down: bool = False
    ran_at: float = 0.0
    responded_at: float = 0.0


class Balancer:
    """Keep views of targets, one for each host."""

    __slots__ = ("domain", "host", "random", "seen")

    def __init__(self, domain, host, random):
        self.domain = domain
        self.host = host
        self.random = random
        self.seen = {}

    def observe(self, host):
        """Return what is known of a host's target."""
        view = self.seen.get(host)
        if view is None:
            view = self.seen[host] = Observation()
        return view

    def candidates(self, targets, tried, now, urgent):
        """Return those of ``targets`` that a call should be offered to.

        A target in another domain that was just heard to be full is left out, as long
        as any stands in the own domain.
        """
        left = [t for t in targets if t.host not in tried]
        if all(t.domain != self.domain for t in targets):
            return left
        limit = FAR_FULL_URGENT if urgent else FAR_FULL
        return [
            t
            for t in left
            if t.domain == self.domain
            or now - self.observe(t.host).reported_at >= REPORT_SECONDS
            or self.observe(t.host).reported < limit
        ]

    def choose(self, targets, warm_at, now, local_load, size=0.0, goal=0.0):
        """Return the best of ``targets``, ``None`` if there are none.

        ``size`` is how many bytes the call and its answer have about, ``goal`` the
        seconds within which an answer is worth most.

        ``local_load`` is the share of slots in use at the target on the own host,
        ``None`` if it takes no calls; it is exact, so that target is taken as long as
        it has room.
        """
        if size >= STAY_BYTES:
            near = [t for t in targets if t.domain == self.domain]
            targets = [t for t in near if not self.observe(t.host).down] or targets
        if not targets:
            return None
        if local_load is not None:
            for target in targets:
                if target.host != self.host or now < warm_at.get(target.host, 0.0):
                    continue
                if self._exact_load(target, local_load) < LOCAL_LOAD:
                    return target
        up = [t for t in targets if not self.observe(t.host).down]
        fresh = [t for t in up if self._is_fresh(t, now)]
        candidates = fresh or up or targets
        if len(candidates) > CANDIDATES_MAX:
            candidates = self._sample(candidates)
        usual = self._usual_seconds(candidates)
        # A target with twice as many calls as slots makes one wait as long as it runs.
        crossing = NEAR_WAIT * goal / usual if usual else DOMAIN_PENALTY
        crossing += KILOBYTE_PENALTY * size / 1000
        return min(
            candidates,
            key=lambda t: self._score(t, warm_at, now, usual, local_load, crossing),
        )

    def _exact_load(self, target, local_load):
        """Return the own host's load, calls on their way to its target included."""
        return max(local_load, self.observe(target.host).in_flight / target.slots)

    def _is_fresh(self, target, now):
        view = self.seen[target.host]
        return not view.suspected and view.refused_until <= now

    def _sample(self, candidates):
        near = [t for t in candidates if t.domain == self.domain]
        far = [t for t in candidates if t.domain != self.domain]
        half = CANDIDATES_MAX // 2
        chosen = self.random.sample(near, min(len(near), CANDIDATES_MAX - half))
        return chosen + self.random.sample(far, min(len(far), half))

    def _usual_seconds(self, candidates):
        seen = [s for t in candidates if (s := self.seen[t.host].seconds)]
        return sum(seen) / len(seen) if seen else 0.0

    def _score(self, target, warm_at, now, usual, local_load, crossing):
        view = self.seen[target.host]
        slots = target.slots
        if now < warm_at.get(target.host, 0.0):
            slots = max(1.0, slots / COLD_FACTOR)
        load = view.in_flight / slots
        if target.host == self.host and local_load is not None:
            load = self._exact_load(target, local_load)
        elif now - view.reported_at < REPORT_SECONDS:
            load = max(load, view.reported * target.slots / slots)
        score = load + JITTER * self.random.random()
        if target.domain != self.domain:
            score += crossing
        if usual and view.seconds:
            score += TIME_WEIGHT * (view.seconds / usual - 1.0)
        if view.failing > 0.05:
            age = now - view.ran_at
            score += FAIL_WEIGHT * view.failing * max(0.0, 1 - age / FAIL_DECAY_SECONDS)
        return score

    def sent(self, host):
        """Note that a call went to a host."""
        self.observe(host).in_flight += 1

    def ended(self, host):
        """Note that a call to a host ended."""
        self.observe(host).in_flight -= 1

    def loaded(self, host, load, now):
        """Note what a target's proxy told of its load."""
        view = self.observe(host)
        view.reported = (load.running + load.waiting) / max(1, load.slots)
        view.reported_at = view.responded_at = now

    def answered(self, host, seconds, failed, now):
        """Note an answer of a target, the seconds it took and whether it failed."""
        view = self.observe(host)
        view.ran_at = now
        view.failing += EWMA_WEIGHT * (failed - view.failing)
        if not failed:
            if not view.seconds:
                view.seconds = seconds
            view.seconds += EWMA_WEIGHT * (seconds - view.seconds)

    def refused(self, host, now, seconds=REFUSED_SECONDS):
        """Note that a target had no room; pass it over for ``seconds``."""
        self.observe(host).refused_until = now + seconds

    def suspect(self, host):
        """Pass a host over until it has answered a question."""
        self.observe(host).suspected = True

    def mark_unreachable(self, host):
        """Pass a host over until it answers a question; return if that is news."""
        view = self.observe(host)
        news, view.down = not view.down, True
        return news

    def note_response(self, host, now):
        """Note that a host's proxy answered."""
        self.observe(host).responded_at = now

    def last_response_at(self):
        """Return when any host's proxy answered last."""
        return max((view.responded_at for view in self.seen.values()), default=0.0)

    def mark_reachable(self, host):
        """Take a host into account again."""
        view = self.observe(host)
        view.down = view.suspected = False

    def forget(self, known):
        """Drop views of hosts that are gone."""
        for host in [host for host in self.seen if host not in known]:
            if not self.seen[host].in_flight:
                del self.seen[host]
