"""Check how a node treats a local target whose heartbeats stop for a while."""

import types
import unittest

from lentilrouter.datapath import hosting
from lentilrouter.membership import member
from lentilrouter.routing import admission, slots
from tests import doubles

SLOTS = 2


class UnresponsiveTargetTests(unittest.TestCase):
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

    def acquire(self):
        ticket = admission.Ticket("default", self.now + 60.0)
        return ticket, self.hosting.targets["t"].gate.acquire(ticket, self.now)

    def stop_heartbeats(self):
        self.now += self.settings.membership.heartbeat_seconds + 0.1
        self.hosting.expire()

    # Guards against twice as many calls as slots: a node that was stopped for some
    # seconds removed its target and gave it new slots at the next heartbeat.
    def test_calls_in_flight_keep_their_slots_while_heartbeats_stop(self):
        self.hosting.announce(self.target)
        running = [self.acquire() for _ in range(SLOTS)]
        gate = self.hosting.targets["t"].gate
        self.stop_heartbeats()
        self.assertEqual(self.hosting.targets, {})
        self.hosting.announce(self.target)
        _, result = self.acquire()
        self.assertNotEqual(result, slots.Admitted())
        gate.release(running[0][0], self.now)
        self.assertLessEqual(len(self.hosting.targets["t"].gate.running), SLOTS)

    # Guards against a leak of memory for targets that never come back.
    def test_unresponsive_target_without_calls_is_removed(self):
        self.hosting.announce(self.target)
        ticket, _ = self.acquire()
        gate = self.hosting.targets["t"].gate
        self.stop_heartbeats()
        gate.release(ticket, self.now)
        self.hosting.expire()
        self.assertEqual(self.hosting.unresponsive, {})
