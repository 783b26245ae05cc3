"""Estimate when a call would finish at a target, in seconds from now. Does no I/O.

The estimate is the sum of the wait for a slot, the work at the target's speed and the
time on the network. What the target's proxy reported loses weight with its age.
"""

import dataclasses
import math

LOAD_SECONDS = 0.6  # a reported load is used for this long, like in ``balancing``
# Time constant with which a reported work time returns to the usual one: slow phases of
# a host last about 0.6 s.
WORK_MEMORY_SECONDS = 0.5
INITIAL_WORK_SECONDS = 0.1  # of a route until one of its calls has ended
WORK_WEIGHT = 0.05  # of the newest call in the usual work time of a route
SLOWNESS_WEIGHT = 0.1  # of the newest call in the learned slowness of a target
# Bound of one call's work, as a multiple of the usual one: three in 100 calls take
# seven times as long, which says nothing about the target.
RATIO_MAX = 2.5
SLOWNESS_MIN = 0.25
SLOWNESS_MAX = 4.0
# Share of the work that a call waits at a full target behind calls not yet reported.
UNSEEN_SHARE = 0.5
COLD_FACTOR = 2.0  # work of a target that just started takes this much longer
NEAR_SECONDS = 0.0004  # round trip to another host of the domain
FAR_SECONDS = 0.003  # round trip to another domain
FAIL_DECAY_SECONDS = 4.0  # a failure rate decays to zero if no call runs for this long


@dataclasses.dataclass(slots=True, frozen=True)
class Estimate:
    """Estimated seconds of a call at a target.

    ``age`` is the age of the last report, infinite if there was none. ``failing`` is
    the time that a failure is expected to cost.
    """

    wait: float
    work: float
    network: float
    age: float
    failing: float = 0.0

    @property
    def total(self):
        """Seconds until the response is expected."""
        return self.wait + self.work + self.network + self.failing


class Works:
    """Usual work time of the calls of each route, on a host of usual speed."""

    __slots__ = ("seconds",)

    def __init__(self):
        self.seconds = {}

    def usual(self, route):
        """Return the usual work time of a route in seconds."""
        return self.seconds.get(route, INITIAL_WORK_SECONDS)

    def learn(self, route, seconds, observation):
        """Learn from a call that took ``seconds`` at the target of an observation.

        The call's time is divided between what the host reported, the lasting
        slowness of the target and the usual work of the route.
        """
        seconds /= observation.work or 1.0
        known = self.seconds.get(route)
        if known:
            ratio = min(RATIO_MAX, seconds / known)
            slowness = observation.slowness
            slowness += SLOWNESS_WEIGHT * (ratio - slowness)
            observation.slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, slowness))
            seconds = known + WORK_WEIGHT * (seconds / slowness - known)
        self.seconds[route] = seconds


def work_ratio(observation, now):
    """Return a target's work time now as a multiple of the usual one."""
    ratio = observation.slowness
    if observation.work:
        age = max(0.0, now - observation.work_at)
        ratio *= 1 + (observation.work - 1) * math.exp(-age / WORK_MEMORY_SECONDS)
    return ratio


def known_load(observation, now):
    """Return the calls per slot that a target lately reported, ``None`` if too old."""
    if now - observation.reported_at < LOAD_SECONDS:
        return observation.reported_load
    return None


def estimate(target, observation, now, usual, load, cold=False, near=True, goal=0.0):
    """Return the ``Estimate`` of a call at a target.

    ``usual`` is the usual work time of the call in seconds, ``load`` the target's load
    in calls per slot. ``goal`` is the latency goal, which a failed call misses.
    """
    work = usual * work_ratio(observation, now) * (COLD_FACTOR if cold else 1.0)
    calls = max(observation.in_flight, load * target.slots)
    queued = max(0.0, calls + 1 - target.slots)
    unseen = UNSEEN_SHARE * min(1.0, calls / target.slots) ** 2
    failing = 0.0
    if observation.failure_rate > 0.05:
        memory = max(0.0, 1 - (now - observation.ran_at) / FAIL_DECAY_SECONDS)
        failing = 2 * goal * observation.failure_rate * memory
    known = observation.reported_at >= 0
    return Estimate(
        wait=work * (queued / target.slots + unseen),
        work=work,
        network=NEAR_SECONDS if near else FAR_SECONDS,
        age=now - observation.reported_at if known else math.inf,
        failing=failing,
    )
