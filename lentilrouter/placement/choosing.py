"""Choose the target at which a call is expected to finish first. Does no I/O."""

import collections
import dataclasses

from lentilrouter.placement import estimates, leaving
from lentilrouter.proxy import balancing

LARGE_FACTOR = 2.0  # calls of this multiple of the usual size stay in their domain
SIZE_WEIGHT = 0.05  # of the newest call in the usual size of a route's calls
# Longest expected wait in another domain, as a share of the latency goal. Targets there
# refuse calls that would wait much longer, and the bytes of those are lost.
FAR_WAIT_SHARE = 0.35
NEAR_REFUSALS_MAX = 2  # refusals near before a call may leave for lack of room


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A target with its ``Estimate``; ``cost`` is the delay its bytes are worth."""

    target: object
    estimate: estimates.Estimate
    cost: float

    @property
    def seconds(self):
        """Estimated seconds with the cost of bytes; the lowest is chosen."""
        return self.estimate.total + self.cost


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The ``Candidate`` chosen; ``near`` is the best one near if the call leaves.

    If only targets in other domains are left beside a near candidate, ``patience`` is
    the wait in seconds above which one of them is expected to finish earlier, by more
    than the call's bytes are worth. It is 0.0 otherwise.
    """

    candidate: Candidate
    near: Candidate | None
    patience: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Kept:
    """Result: the call was refused near, and ``far``, the best one, has no room."""

    far: Candidate


class Chooser:
    """Choice by the estimated finish time.

    ``services`` provides settings and random numbers, ``balancer`` the
    ``balancing.Observation`` of each host. ``leaving`` has a ``leaving.Leaving`` for
    each service, ``sizes`` the usual bytes of each route's calls.
    """

    __slots__ = ("services", "balancer", "works", "leaving", "sizes")

    def __init__(self, services, balancer):
        self.services = services
        self.balancer = balancer
        self.works = estimates.Works()
        self.leaving = collections.defaultdict(leaving.Leaving)
        self.sizes = {}

    def applies(self, targets):
        """Return whether any of ``targets`` has reported its work time.

        Without that, the choice by loads in ``balancing`` stays.
        """
        return any(self.balancer.observe(target.host).work for target in targets)

    def learn(self, route, host, seconds):
        """Record a call of a route that ran at a host without a failure."""
        self.works.learn(route.name, seconds, self.balancer.observe(host))

    def note_domain(self, target, load, now):
        """Record the load of another domain in a ``hops.Load`` from there."""
        if load.domain_load and target.domain != self.services.settings.proxy.domain:
            self.leaving[target.service].load(target.domain).note(load.domain_load, now)

    def domain_load(self, service, now):
        """Return the load of a service's targets in the own domain, 0.0 if unknown."""
        known = self.leaving[service].loads.get(self.services.settings.proxy.domain)
        return known.expected(now) if known is not None else 0.0

    def choose(
        self,
        targets,
        warm_at,
        now,
        local_load,
        size,
        route,
        goal_left=None,
        near_refusals=0,
    ):
        """Return the ``Choice`` among ``targets``, ``None`` if there are none.

        The arguments are those of ``balancing.Balancer.choose``, with the call's route.
        ``goal_left`` is the time until the call's latency goal, ``None`` for a new
        call. ``near_refusals`` is how many near targets refused the call for lack of
        room: then it leaves only for a domain with room. Return ``Kept`` if there is
        none.
        """
        if not targets:
            return None
        sample = self._sample(targets, now, near_refusals)
        ranked = self.rank(sample, warm_at, now, local_load, size, route)
        first = {}
        for candidate in ranked:
            first.setdefault(candidate.target.domain, candidate)
        near = first.pop(self.services.settings.proxy.domain, None)
        goal_left = route.goal if goal_left is None else goal_left
        shares = self.leaving[targets[0].service]
        if near is None:
            if not near_refusals:
                return Choice(ranked[0], None)
            for far in ranked:
                if self._has_room(far, shares, now, goal_left, route):
                    return Choice(far, None)
            left = [t for t in targets if self._is_near(t) and self._is_up(t)]
            if not left:
                return Kept(ranked[0])
            ranked = self.rank(left, warm_at, now, local_load, size, route)
            return Choice(ranked[0], None)
        usual = self.works.usual(route.name)
        wait = shares.load(near.target.domain).wait(now)
        for domain, far in first.items():
            cost = (far.cost + far.estimate.network) / usual
            there = leaving.DISPLACED_FACTOR * shares.load(domain).wait(now)
            gap = wait - there - cost
            shares.outflow(domain).update(gap, now)
        domain = shares.pick(sorted(first), self.services.random.random())
        if (
            domain is None
            or self._is_large(route, size)
            or not self._pays(near, first[domain], now, usual)
        ):
            return Choice(near, None, self._patience(near, first, targets))
        return Choice(first[domain], near)

    def _patience(self, near, first, targets):
        """Return the ``patience`` of a ``Choice`` for the candidate ``near``.

        ``first`` has the best candidate of each other domain.
        """
        if not first or sum(map(self._is_near, targets)) > 1:
            return 0.0
        far = min(candidate.seconds for candidate in first.values())
        return max(0.0, far - near.estimate.work - near.estimate.network)

    def _pays(self, near, far, now, usual):
        """Return whether a call gains more at ``far`` than it costs there.

        That is its bytes and the time for which it makes others wait.
        """
        load = self.leaving[far.target.service].load(far.target.domain)
        displaced = usual * load.wait(now)
        return far.seconds + displaced < near.seconds

    def _has_room(self, far, shares, now, goal_left, route):
        """Return whether a call that was refused near would hardly wait at ``far``.

        A target's report is seldom new, so the load of its domain counts too. It also
        has to end within the latency goal, unless that has passed.
        """
        wait = self.works.usual(route.name) * shares.load(far.target.domain).wait(now)
        wait = max(wait, far.estimate.wait)
        if wait > FAR_WAIT_SHARE * route.goal:
            return False
        return goal_left <= 0 or wait + far.estimate.work <= goal_left

    def _is_large(self, route, size):
        """Return whether a call is too large to leave; learn the usual size."""
        usual = self.sizes.get(route.name, size)
        self.sizes[route.name] = usual + SIZE_WEIGHT * (size - usual)
        return size > LARGE_FACTOR * usual

    def rank(self, targets, warm_at, now, local_load, size, route):
        """Return a ``Candidate`` for each of ``targets``, the best one first."""
        usual = self.works.usual(route.name)
        loads = self._loads(targets, now, local_load)
        own = self.services.settings.proxy
        byte_cost = self.services.settings.placement.kilobyte_seconds * size / 1000
        ranked = []
        for target in targets:
            near = target.domain == own.domain
            estimate = estimates.estimate(
                target,
                self.balancer.observe(target.host),
                now,
                usual,
                loads[target.host],
                cold=now < warm_at.get(target.host, 0.0),
                near=near,
                goal=route.goal,
            )
            ranked.append(Candidate(target, estimate, 0.0 if near else byte_cost))
        return sorted(ranked, key=lambda candidate: candidate.seconds)

    def _loads(self, targets, now, local_load):
        """Return the load of each host in calls per slot.

        A target that reported none lately counts like the others of its domain.
        """
        loads, unknown, known = {}, [], collections.defaultdict(list)
        for target in targets:
            load = self._load(target, now, local_load)
            if load is None:
                unknown.append(target)
            else:
                loads[target.host] = load
                known[target.domain].append(load)
        shares = self.leaving[targets[0].service] if targets else None
        for domain, values in known.items():
            if domain != self.services.settings.proxy.domain:
                continue
            shares.load(domain).note(sum(values) / len(values), now)
        for target in unknown:
            loads[target.host] = shares.load(target.domain).expected(now)
        return loads

    def _load(self, target, now, local_load):
        """Return the known load of a target, ``None`` if nothing recent is known."""
        own = target.host == self.services.settings.proxy.address
        if own and local_load is not None:
            return local_load
        return estimates.known_load(self.balancer.observe(target.host), now)

    def _sample(self, targets, now, near_refusals):
        """Return some of ``targets``: available ones first, each domain by itself.

        Proxies that look at a few random targets do not all choose the same one. If all
        near targets refused a call just now, they are considered all the same until the
        call has ``NEAR_REFUSALS_MAX``: their proxies know best whether they have room,
        and asking one costs no bytes between domains. That does not apply to a domain
        with as few targets, which is full if they refuse.
        """
        up = [t for t in targets if not self.balancer.observe(t.host).down]
        available = [t for t in up if self._is_available(t, now)]
        may_ask = near_refusals < NEAR_REFUSALS_MAX
        if available and may_ask and not any(map(self._is_near, available)):
            soon = now + balancing.REFUSED_SECONDS
            near = [t for t in up if self._is_near(t) and self._is_available(t, soon)]
            if len(near) + near_refusals > NEAR_REFUSALS_MAX:
                available += near
        domains = collections.defaultdict(list)
        for target in available or up or targets:
            domains[target.domain].append(target)
        count, random = self.services.settings.placement.sample, self.services.random
        chosen = []
        for members in domains.values():
            chosen += random.sample(members, min(count, len(members)))
        return chosen

    def _is_near(self, target):
        """Return whether a target is in the own domain."""
        return target.domain == self.services.settings.proxy.domain

    def _is_up(self, target):
        """Return whether a target is neither down nor suspected."""
        observation = self.balancer.observe(target.host)
        return not observation.down and not observation.suspected

    def _is_available(self, target, now):
        """Return whether a target is not suspected and did not refuse a call lately."""
        observation = self.balancer.observe(target.host)
        return not observation.suspected and observation.refused_until <= now
