"""What a node keeps of a local target whose heartbeats stopped for a while."""

import types
import unittest

from lentilrouter.datapath import hosting
from lentilrouter.membership import member
from lentilrouter.routing import admission, slots
from tests import doubles

SLOTS = 2


class SilentTargetTests(unittest.TestCase):
    """Hold calls at a target while its heartbeats stop and come again."""

    def setUp(self):
        self.now = 0.0
        self.settings = doubles.settings()
        services = types.SimpleNamespace(
            clock=types.SimpleNamespace(monotonic=lambda: self.now),
            settings=self.settings,
            view=types.SimpleNamespace(sheet=types.SimpleNamespace(services={})),
            table=types.SimpleNamespace(update_self=lambda now, targets: None),
        )
        self.hosting = hosting.Hosting(services)
        self.target = member.Target("t", "ledger", "v1", "127.0.0.1:1", SLOTS, 9)

    def offer(self):
        ticket = admission.Ticket("default", self.now + 60.0)
        return ticket, self.hosting.targets["t"].gate.acquire(ticket, self.now)

    def silence(self):
        self.now += self.settings.membership.heartbeat_seconds + 0.1
        self.hosting.expire()

    def test_calls_at_work_keep_their_slots_over_a_silence(self):
        # A node that was stopped for some seconds took its target for gone and, at the
        # next heartbeat, let twice as many calls run as the target has slots.
        self.hosting.announce(self.target)
        running = [self.offer() for _ in range(SLOTS)]
        gate = self.hosting.targets["t"].gate
        self.silence()
        self.assertEqual(self.hosting.targets, {})
        self.hosting.announce(self.target)
        _, verdict = self.offer()
        self.assertNotEqual(verdict, slots.Admitted())
        gate.release(running[0][0], self.now)
        self.assertLessEqual(len(self.hosting.targets["t"].gate.running), SLOTS)

    def test_target_without_calls_at_work_is_forgotten(self):
        # What a target that is gone for good leaves must not stay in memory.
        self.hosting.announce(self.target)
        ticket, _ = self.offer()
        gate = self.hosting.targets["t"].gate
        self.silence()
        gate.release(ticket, self.now)
        self.hosting.expire()
        self.assertEqual(self.hosting.unresponsive, {})
