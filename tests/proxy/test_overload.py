"""Load: more calls than slots for a long time, and refused callers that return once.

The simulation runs the gate, the estimate of a caller's wait and the forwarder's choice
of ``Retry-After`` in virtual time, without a network. The pattern is that of a service
that lost half of its targets under full load.
"""

import heapq
import itertools
import random
import types
import unittest

from lentilrouter.core import outcomes
from lentilrouter.proxy import admission, forwarding, upstream, waits
from lentilrouter.routing import slots

SLOTS = 18
RUN_SECONDS = 0.115  # mean; each call takes half to one and a half of it
CALLS_PER_SECOND = 320.0  # twice of what the slots can run
SECONDS = 60.0
GOAL_SECONDS = 0.3
DEADLINE_SECONDS = (1.02, 1.2)  # range; callers differ
CALM_SECONDS = 5.0  # before the overload, at a tenth of its rate


class Caller:
    """A caller with one call, sent again once if it is refused."""

    def __init__(self, arrived, deadline):
        self.arrived = arrived
        self.deadline = deadline
        self.attempts = 0


class Simulation:
    """Run callers against one gate; ``in_time``, ``late`` and ``refused`` count them.

    With ``first_attempt_counts``, a call's goal counts from the first attempt, as the
    deadline shows it, and a refused caller is asked to return while it can still meet
    its goal. Without, each attempt counts as a new call, and a caller returns after a
    random share of its time.
    """

    def __init__(self, first_attempt_counts):
        self.first_attempt_counts = first_attempt_counts
        self.random = random.Random(7)
        self.gate = admission.Gate(SLOTS)
        self.waits = waits.Waits()
        self.now = 0.0
        self.forwarder = forwarding.Forwarder(
            types.SimpleNamespace(clock=lambda: self.now, random=self.random),
            None,
            None,
        )
        self.forwarder.run_seconds["read"] = RUN_SECONDS
        self.events = []
        self.order = itertools.count()
        self.in_time = self.late = self.refused = 0

    def run(self):
        """Run all callers to their end."""
        at = -CALM_SECONDS
        while at < SECONDS:
            rate = CALLS_PER_SECOND * (0.1 if at < 0 else 1.0)
            at += self.random.expovariate(rate)
            caller = Caller(at, at + self.random.uniform(*DEADLINE_SECONDS))
            self.schedule(at, self.attempt, caller)
        while self.events:
            self.now, _, action, *arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def schedule(self, at, action, *arguments):
        """Run an action at a time."""
        heapq.heappush(self.events, (at, next(self.order), action, *arguments))

    def attempt(self, caller):
        """Send the call of a caller to the gate."""
        caller.attempts += 1
        left = caller.deadline - self.now
        waited = self.waits.waited("read", round(left, 3), self.now)
        goal = self.now + GOAL_SECONDS
        if self.first_attempt_counts:
            goal -= waited
        ticket = admission.Ticket(
            "read",
            2,
            deadline=self.now + left,
            max_wait=upstream.max_wait(False, True, goal - self.now, GOAL_SECONDS),
            goal=goal,
        )
        ticket.on_turn = lambda outcome: self.on_turn(caller, ticket, outcome)
        verdict = self.gate.acquire(ticket, self.now)
        if not isinstance(verdict, admission.Queued):
            refusal = None if isinstance(verdict, slots.Admitted) else verdict
            self.on_turn(caller, ticket, refusal)

    def on_turn(self, caller, ticket, outcome):
        """Run a call that has a slot; let a refused caller return."""
        if outcome is None:
            seconds = RUN_SECONDS * self.random.uniform(0.5, 1.5)
            self.schedule(self.now + seconds, self.end, caller, ticket)
            return
        assert isinstance(outcome, outcomes.NotRun)
        self.waits.note_refusal("read", self.now)
        left = ticket.deadline - self.now
        if caller.attempts > 1 or left <= 0:
            self.refused += 1
            return
        pause = left * self.random.uniform(*forwarding.RETRY_AFTER_SHARES)
        if self.first_attempt_counts:
            route = types.SimpleNamespace(name="read")
            pause = self.forwarder.retry_after(
                types.SimpleNamespace(
                    route=route, goal=ticket.goal, deadline=ticket.deadline
                )
            )
        self.schedule(self.now + pause, self.attempt, caller)

    def end(self, caller, ticket):
        """End a call at its target, and count its caller as served."""
        self.gate.release(ticket, self.now)
        if self.now - caller.arrived <= GOAL_SECONDS:
            self.in_time += 1
        else:
            self.late += 1


class LongOverloadTests(unittest.TestCase):
    """Who is served in time while half of all calls have to be refused."""

    @classmethod
    def setUpClass(cls):
        cls.before = Simulation(first_attempt_counts=False).run()
        cls.now = Simulation(first_attempt_counts=True).run()

    # Guards against: returned callers, late in any case, that take the slots in which
    # others would have met their goal, so that these are late in turn.
    def test_most_callers_that_are_served_meet_their_goal(self):
        served = self.now.in_time + self.now.late
        self.assertGreater(self.now.in_time, 0.9 * served)
        self.assertGreater(self.now.in_time, 1.3 * self.before.in_time)

    def test_as_many_callers_are_served_as_the_slots_allow(self):
        capacity = SLOTS / RUN_SECONDS * SECONDS
        for simulation in (self.before, self.now):
            served = simulation.in_time + simulation.late
            self.assertGreater(served, 0.97 * capacity)


class TimeLeftTests(unittest.TestCase):
    """What the deadlines of calls on a route tell of their callers."""

    def setUp(self):
        self.estimates = waits.Waits()
        self.random = random.Random(5)

    def call(self, now, *range_seconds):
        """Return the estimate for a call with a random time left in a range."""
        left = self.random.uniform(*range_seconds)
        return self.estimates.waited("read", left, now)

    # Guards against: callers with a short deadline that count as late.
    def test_new_callers_with_various_deadlines_have_not_waited(self):
        for _ in range(300):
            self.assertEqual(self.call(0.0, 0.85, 1.0), 0.0)
        self.estimates.note_refusal("read", 1.0)
        waited = [self.call(1.0, 0.86, 1.0) for _ in range(300)]
        self.assertEqual(max(waited), 0.0)

    def test_callers_that_return_have_waited(self):
        for _ in range(300):
            self.call(0.0, 0.85, 1.0)
        self.estimates.note_refusal("read", 1.0)
        for _ in range(50):
            self.assertAlmostEqual(self.call(1.0, 0.6, 0.6), 0.325, delta=0.05)

    # Guards against: an estimate from the calls of callers that return.
    def test_nothing_is_learned_while_calls_are_refused(self):
        self.estimates.note_refusal("read", 0.0)
        for _ in range(100):
            self.assertEqual(self.call(1.0, 0.3, 1.0), 0.0)
        self.assertEqual(self.estimates.routes["read"].calls, 0)

    def test_shorter_and_longer_deadlines_are_learned(self):
        for low, high in ((0.85, 1.0), (0.4, 0.5), (1.7, 2.0)):
            for _ in range(1000):
                self.call(0.0, low, high)
            least = self.estimates.routes["read"].least
            self.assertTrue(0.9 * low <= least <= high, (low, least))
