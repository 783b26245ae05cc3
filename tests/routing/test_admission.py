"""Test slots, queues and fairness in virtual time (promise 10)."""

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


def new_gate(order="shares", slots=SLOTS, weights=None, per_slot=2):
    """Return a gate whose queue has ``per_slot`` places for each slot."""
    settings = doubles.settings(
        calls={"queue_order": order, "queue_per_slot": per_slot}
    )
    return admission.Gate(slots, weights or {}, settings)


class LimitTests(unittest.TestCase):
    # Guards against a gate that admits too many calls or forgets one that waits.
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
    def test_slots_are_never_exceeded_and_no_call_is_lost(self, order, steps):
        gate, now, waiting = new_gate(order), 0.0, []
        for step, name in steps:
            now += 0.01
            admitted = []
            if step in ("offer", "suspect"):
                ticket = admission.Ticket(name, now + 60, step == "suspect")
                result = gate.acquire(ticket, now)
                if isinstance(result, admission.Queued):
                    waiting.append(ticket)
                    if result.evicted is not None:
                        waiting.remove(result.evicted)
            elif step == "release" and gate.running:
                admitted = gate.release(next(iter(gate.running)), now)
            elif step == "withdraw" and waiting:
                admitted = gate.withdraw(waiting.pop(0), now)
            for ticket in admitted:
                waiting.remove(ticket)
            self.assertLessEqual(len(gate.running), SLOTS)
            if any(ticket.suspect for ticket in gate.running):
                self.assertEqual(len(gate.running), 1)
            self.assertLessEqual(len(waiting), SLOTS * 2 + 1)
            if waiting:
                self.assertTrue(gate.running, "calls wait although the target is idle")

    # Guards against a wrong reason, which decides whether the call is retried.
    def test_reason_of_each_refusal(self):
        gate = new_gate(per_slot=0)
        for _ in range(SLOTS):
            gate.acquire(admission.Ticket("a", 10.0), 0.0)
        full = gate.acquire(admission.Ticket("a", 10.0), 0.0)
        self.assertIs(full.reason, outcomes.Reason.OVERLOADED)
        late = gate.acquire(admission.Ticket("a", 1.0), 2.0)
        self.assertIs(late.reason, outcomes.Reason.DEADLINE)
        gate.draining = True
        leaving = gate.acquire(admission.Ticket("a", 10.0), 0.0)
        self.assertIs(leaving.reason, outcomes.Reason.DRAINING)

    # Guards against a call that waits in vain and is refused only at its deadline.
    def test_wait_beyond_the_deadline_is_refused_at_once(self):
        gate = new_gate(per_slot=5)
        for _ in range(SLOTS):
            gate.acquire(admission.Ticket("a", 100.0), 0.0)
        gate.mean_seconds = 1.0
        hopeless = gate.acquire(admission.Ticket("a", 0.2), 0.0)
        self.assertIs(hopeless.reason, outcomes.Reason.OVERLOADED)


def served_shares(order, seconds=30.0):
    """Return the share of its calls that each class gets served under overload.

    Calls arrive at twice the capacity, those of the heavy class seven times as often as
    those of the light one. Each call takes 10 ms. The light class alone needs less than
    half of the slots.
    """
    gate, now, step = new_gate(order, slots=4), 0.0, 0.001
    running, served, sent = {}, {"heavy": 0, "light": 0}, {"heavy": 0, "light": 0}
    rng = doubles.rng(3)
    rates = {"heavy": 0.70, "light": 0.10}
    while now < seconds:
        for name, rate in rates.items():
            if rng.random() < rate:
                sent[name] += 1
                ticket = admission.Ticket(name, now + 1.0)
                if isinstance(gate.acquire(ticket, now), slots.Admitted):
                    running[ticket] = now + 0.010
        for ticket in [t for t, end in running.items() if end <= now]:
            del running[ticket]
            served[ticket.traffic_class] += 1
            for admitted in gate.release(ticket, now):
                running[admitted] = now + 0.010
        now += step
    return {name: served[name] / sent[name] for name in served}


class FairnessTests(unittest.TestCase):
    # Guards against a class under its share that waits behind one far above its share.
    def test_light_class_does_not_starve(self):
        shares = served_shares("shares")
        self.assertGreaterEqual(shares["light"], 0.99)

    # Shows that the load of these tests is enough to starve a class without shares.
    def test_arrival_order_starves_the_light_class(self):
        self.assertLess(served_shares("fifo")["light"], 0.8)


if __name__ == "__main__":
    unittest.main()
