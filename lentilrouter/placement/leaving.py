"""Decide which share of a service's calls leaves the failure domain. Does no I/O.

The share for each pair of domains follows the difference of the expected finish times,
less what the bytes cost. It changes slowly, so that both sides become level: a rule for
a single call sends every call away at once, and all of them back a moment later.
"""

import dataclasses
import math

GAP_SECONDS = 0.1  # time constant of the gap's moving average
GAP_MAX = 0.8  # bounds the share to each domain; full queues would send all calls
# A call waits in another domain and makes calls there wait. Counted once, two full
# domains would send each other calls.
DISPLACED_FACTOR = 2.0
GAIN_PER_SECOND = 0.4  # of the share if a call gains the usual work elsewhere
# Time constant with which a share falls by itself. It makes the share proportional to
# the gap: queues add up what arrives, and a share that does so too oscillates.
SHARE_SECONDS = 0.8
STEP_SECONDS_MAX = 0.25  # longest time of one step; after a pause no share jumps
LOAD_SECONDS = 0.3  # time constant of the moving average of a domain's load
LOAD_MEMORY_SECONDS = 2.0  # a domain's load is forgotten with this time constant
FULL_LOAD = 1.25  # mean load of a domain above which calls wait; less is chance
USUAL_LOAD = 0.5  # of the targets of a domain of which nothing is known


@dataclasses.dataclass(slots=True)
class Outflow:
    """Calls of one service to another domain.

    ``share`` is their share of the calls, ``gap`` the moving average of what a call
    gains there, as a multiple of the usual work. ``updated_at`` is in monotonic
    seconds.
    """

    share: float = 0.0
    gap: float = 0.0
    updated_at: float = -math.inf

    def update(self, gap, now):
        """Follow the gap that was seen at a time."""
        elapsed = now - self.updated_at
        seconds = min(STEP_SECONDS_MAX, elapsed)
        self.updated_at = now
        gap = max(-GAP_MAX, min(GAP_MAX, gap))
        self.gap += (1 - math.exp(-seconds / GAP_SECONDS)) * (gap - self.gap)
        share = self.share * math.exp(-elapsed / SHARE_SECONDS)
        self.share = max(0.0, min(1.0, share + GAIN_PER_SECOND * seconds * self.gap))


@dataclasses.dataclass(slots=True)
class DomainLoad:
    """Load of a domain's targets as last seen, in calls per slot."""

    load: float = USUAL_LOAD
    seen_at: float = -math.inf

    def note(self, load, now):
        """Record the mean load of the targets that reported one."""
        weight = 1 - math.exp((self.seen_at - now) / LOAD_SECONDS)
        self.load += weight * (load - self.load)
        self.seen_at = now

    def expected(self, now):
        """Return the load to expect of a target that reported none."""
        memory = math.exp((self.seen_at - now) / LOAD_MEMORY_SECONDS)
        return USUAL_LOAD + memory * (self.load - USUAL_LOAD)

    def wait(self, now):
        """Return the expected wait there, as a multiple of the usual work.

        Only the load counts, which is known alike of both sides. Speeds are known best
        of the own domain, so its slow targets would drive calls away at any load. Where
        slowness matters, it fills the targets.
        """
        return max(0.0, self.expected(now) - FULL_LOAD)


class Leaving:
    """Outflows and loads of one service, by domain.

    >>> leaving = Leaving()
    >>> for step in range(20):
    ...     leaving.outflow("z2").update(1.0, now=step * 0.1)
    >>> leaving.pick(["z2"], 0.1), leaving.pick(["z2"], 0.9)
    ('z2', None)
    """

    __slots__ = ("outflows", "loads")

    def __init__(self):
        self.outflows = {}
        self.loads = {}

    def outflow(self, domain):
        """Return the ``Outflow`` to a domain, created if there is none."""
        return self.outflows.setdefault(domain, Outflow())

    def load(self, domain):
        """Return the ``DomainLoad`` of a domain, created if there is none."""
        return self.loads.setdefault(domain, DomainLoad())

    def pick(self, domains, fraction):
        """Return the domain that a call leaves for, or ``None`` if it stays.

        ``fraction`` is a random number from 0 to 1, ``domains`` those with targets.
        """
        for domain in domains:
            fraction -= self.outflow(domain).share
            if fraction < 0:
                return domain
        return None
