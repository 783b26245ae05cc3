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
from lentilrouter.proxy import admission, forwarding, patience, upstream
from lentilrouter.routing import slots

SLOTS = 18
RUN_SECONDS = 0.115  # mean; each call takes half to one and a half of it
CALLS_PER_SECOND = 320.0  # twice of what the slots can run
SECONDS = 60.0
GOAL_SECONDS = 0.3
DEADLINE_SECONDS = 1.2


class Caller:
    """A caller with one call, sent again once if it is refused."""

    def __init__(self, arrived):
        self.arrived = arrived
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
        self.patience = patience.Patience()
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
        at = 0.0
        while at < SECONDS:
            at += self.random.expovariate(CALLS_PER_SECOND)
            self.schedule(at, self.attempt, Caller(at))
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
        left = caller.arrived + DEADLINE_SECONDS - self.now
        waited = self.patience.waited("read", round(left, 3))
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


class UsualTimeTests(unittest.TestCase):
    """What the deadlines of calls on a route tell of their callers."""

    def test_callers_with_various_deadlines_have_not_waited(self):
        estimates, randomness = patience.Patience(), random.Random(5)
        waited = [
            estimates.waited("read", randomness.uniform(0.2, 2.0)) for _ in range(500)
        ]
        self.assertEqual(set(waited[50:]), {0.0})

    def test_new_usual_time_is_learned(self):
        estimates = patience.Patience()
        for left in [1.2] * 50 + [0.8] * 100:
            last = estimates.waited("read", left)
        self.assertEqual(last, 0.0)
        self.assertEqual(estimates.waited("read", 0.5), 0.3)

    def test_single_long_deadline_is_forgotten(self):
        estimates = patience.Patience()
        for left in [1.2] * 50 + [9.0] + [1.2] * 100:
            last = estimates.waited("read", left)
        self.assertEqual(last, 0.0)
        self.assertEqual(estimates.waited("read", 0.7), 0.5)
