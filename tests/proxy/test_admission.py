"""Admission control for one target, in virtual time."""

import unittest

from lentilrouter.core import outcomes
from lentilrouter.proxy import admission
from lentilrouter.routing import slots


def ticket(rank=1, deadline=10.0, max_wait=1.0, **fields):
    """Return a ticket and the list of outcomes passed to its ``on_turn``."""
    ended = []
    made = admission.Ticket(
        "k", rank, deadline, max_wait, on_turn=ended.append, **fields
    )
    return made, ended


class GateTests(unittest.TestCase):
    """Request slots and release them."""

    def setUp(self):
        self.gate = admission.Gate(2)

    def fill(self):
        running = [ticket()[0], ticket()[0]]
        for item in running:
            self.assertEqual(self.gate.acquire(item, 0.0), slots.Admitted())
        return running

    def test_no_more_calls_run_than_there_are_slots(self):
        self.fill()
        self.assertEqual(self.gate.acquire(ticket()[0], 0.0), admission.Queued())
        self.assertEqual(len(self.gate.running), 2)

    def test_urgent_calls_go_first(self):
        running = self.fill()
        normal, normal_ended = ticket(rank=2)
        urgent, urgent_ended = ticket(rank=0)
        self.gate.acquire(normal, 0.0)
        self.gate.acquire(urgent, 0.0)
        self.gate.release(running[0], 0.1)
        self.assertEqual((urgent_ended, normal_ended), ([None], []))

    def test_close_goals_go_before_far_ones_of_the_same_rank(self):
        # Regression: uploads with a far goal were queued ahead of short calls, which
        # were all refused.
        running = self.fill()
        far, far_ended = ticket(goal=0.6)
        near, near_ended = ticket(goal=0.2)
        self.gate.acquire(far, 0.0)
        self.gate.acquire(near, 0.0)
        self.gate.release(running[0], 0.05)
        self.assertEqual((near_ended, far_ended), ([None], []))

    # Guards against: a call that has missed its goal and takes the slot in which the
    # next one would have met its own.
    def test_calls_that_miss_their_goal_come_last_of_their_rank(self):
        running = self.fill()
        late, late_ended = ticket(goal=-0.2)
        in_time, in_time_ended = ticket(goal=0.4)
        self.gate.acquire(late, 0.0)
        self.gate.acquire(in_time, 0.0)
        self.gate.release(running[0], 0.05)
        self.assertEqual((in_time_ended, late_ended), ([None], []))
        self.gate.release(running[1], 0.05)
        self.assertEqual(late_ended, [None])

    # Guards against: a queue so long that every call in it misses its goal.
    def test_call_is_refused_if_its_wait_would_make_it_miss_its_goal(self):
        self.gate.means["k"] = 0.1
        self.fill()
        for _ in range(2):
            queued, _ = ticket(goal=0.5)
            self.assertEqual(self.gate.acquire(queued, 0.0), admission.Queued())
        refused, _ = ticket(goal=0.15)
        self.assertIsInstance(self.gate.acquire(refused, 0.0), outcomes.NotRun)

    def test_queued_call_that_urgent_ones_delay_too_long_is_shed(self):
        self.fill()
        far, far_ended = ticket(goal=0.6, max_wait=0.05)
        self.assertEqual(self.gate.acquire(far, 0.0), admission.Queued())
        for number in range(6):
            self.gate.acquire(ticket(goal=0.3 + number / 1000)[0], 0.01)
        self.assertIs(far_ended[0].reason, outcomes.Reason.OVERLOADED)

    def test_call_that_accepts_no_wait_is_refused_at_once(self):
        self.fill()
        refused = self.gate.acquire(ticket(max_wait=0.0)[0], 0.0)
        self.assertIs(refused.reason, outcomes.Reason.OVERLOADED)

    def test_call_that_cannot_end_in_time_is_refused_when_its_turn_comes(self):
        running = self.fill()
        waiting, ended = ticket(deadline=0.5)
        self.gate.acquire(waiting, 0.0)
        self.gate.release(running[0], 0.49)
        self.assertIs(ended[0].reason, outcomes.Reason.DEADLINE)
        self.assertEqual(len(self.gate.running), 1)

    def test_caller_that_leaves_frees_its_slot(self):
        running = self.fill()
        waiting, ended = ticket()
        self.gate.acquire(waiting, 0.0)
        self.gate.withdraw(running[0], 0.1)
        self.assertEqual(ended, [None])
        self.gate.withdraw(waiting, 0.2)
        self.assertEqual(len(self.gate.running), 1)

    def test_closed_gate_refuses_all(self):
        self.fill()
        waiting, ended = ticket()
        self.gate.acquire(waiting, 0.0)
        self.gate.close(outcomes.Reason.DRAINING)
        self.assertIs(ended[0].reason, outcomes.Reason.DRAINING)
        refused = self.gate.acquire(ticket()[0], 0.0)
        self.assertIs(refused.reason, outcomes.Reason.DRAINING)

    def test_suspected_call_runs_alone(self):
        first, _ = ticket()
        self.gate.acquire(first, 0.0)
        suspected, ended = ticket(suspect=True)
        self.gate.acquire(suspected, 0.0)
        self.assertEqual(ended, [])
        self.gate.release(first, 0.1)
        self.assertEqual(ended, [None])
        self.assertEqual(self.gate.acquire(ticket()[0], 0.1), admission.Queued())
