"""Check slots, queues and fairness in virtual time (promise 10)."""

import unittest

import hypothesis
from hypothesis import strategies

from lentilrouter.core import outcomes
from lentilrouter.routing import admission, slots
from tests import doubles

PROFILE = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
SLOTS = 3


def gate(order="shares", slots=SLOTS, weights=None, per_slot=2):
    """Return a gate."""
    settings = doubles.settings(
        calls={"queue_order": order, "queue_per_slot": per_slot}
    )
    return admission.Gate(slots, weights or {}, settings)


class LimitTests(unittest.TestCase):
    @PROFILE
    @hypothesis.given(
        strategies.sampled_from(["shares", "fifo"]),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["offer", "suspect", "release", "withdraw"]),
                strategies.sampled_from(["a", "b"]),
            ),
            max_size=60,
        ),
    )
    def test_slots_are_never_passed_and_nothing_is_lost(self, order, steps):
        door, now, waiting = gate(order), 0.0, []
        for step, name in steps:
            now += 0.01
            admitted = []
            if step in ("offer", "suspect"):
                ticket = admission.Ticket(name, now + 60, step == "suspect")
                offered = door.acquire(ticket, now)
                if isinstance(offered, admission.Queued):
                    waiting.append(ticket)
                    if offered.evicted is not None:
                        waiting.remove(offered.evicted)
            elif step == "release" and door.running:
                admitted = door.release(next(iter(door.running)), now)
            elif step == "withdraw" and waiting:
                admitted = door.withdraw(waiting.pop(0), now)
            for ticket in admitted:
                waiting.remove(ticket)
            self.assertLessEqual(len(door.running), SLOTS)
            if any(ticket.suspect for ticket in door.running):
                self.assertEqual(len(door.running), 1)
            self.assertLessEqual(len(waiting), SLOTS * 2 + 1)
            if waiting:
                self.assertTrue(door.running, "calls wait although the target is idle")

    def test_refusals(self):
        door = gate(per_slot=0)
        for _ in range(SLOTS):
            door.acquire(admission.Ticket("a", 10.0), 0.0)
        full = door.acquire(admission.Ticket("a", 10.0), 0.0)
        self.assertIs(full.reason, outcomes.Reason.OVERLOADED)
        late = door.acquire(admission.Ticket("a", 1.0), 2.0)
        self.assertIs(late.reason, outcomes.Reason.DEADLINE)
        door.draining = True
        leaving = door.acquire(admission.Ticket("a", 10.0), 0.0)
        self.assertIs(leaving.reason, outcomes.Reason.DRAINING)

    def test_hopeless_wait_is_refused_at_once(self):
        door = gate(per_slot=5)
        for _ in range(SLOTS):
            door.acquire(admission.Ticket("a", 100.0), 0.0)
        door.mean_seconds = 1.0
        hopeless = door.acquire(admission.Ticket("a", 0.2), 0.0)
        self.assertIs(hopeless.reason, outcomes.Reason.OVERLOADED)


def overload(order, seconds=30.0):
    """Offer twice the capacity, one class ten times the other; return served shares.

    Each call takes 10 ms. The light class asks for less than half of the slots.
    """
    door, now, step = gate(order, slots=4), 0.0, 0.001
    running, served, offered = {}, {"heavy": 0, "light": 0}, {"heavy": 0, "light": 0}
    rng = doubles.rng(3)
    rates = {"heavy": 0.70, "light": 0.10}
    while now < seconds:
        for name, rate in rates.items():
            if rng.random() < rate:
                offered[name] += 1
                ticket = admission.Ticket(name, now + 1.0)
                if isinstance(door.acquire(ticket, now), slots.Admitted):
                    running[ticket] = now + 0.010
        for ticket in [t for t, end in running.items() if end <= now]:
            del running[ticket]
            served[ticket.traffic_class] += 1
            for admitted in door.release(ticket, now):
                running[admitted] = now + 0.010
        now += step
    return {name: served[name] / offered[name] for name in served}


class FairnessTests(unittest.TestCase):
    def test_light_class_does_not_starve(self):
        shares = overload("shares")
        self.assertGreaterEqual(shares["light"], 0.99)

    def test_arrival_order_starves_it(self):
        self.assertLess(overload("fifo")["light"], 0.8)


if __name__ == "__main__":
    unittest.main()
