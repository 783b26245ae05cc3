"""Liveness of the local target, in virtual time."""

import dataclasses
import unittest

from lentilrouter.proxy import directory, liveness
from tests.proxy import doubles


def heartbeat(sequence=1, born=100, **fields):
    """Return a heartbeat of the local target."""
    values = {
        "id": "i-1",
        "born": born,
        "sequence": sequence,
        "address": "127.0.0.1:6",
        "service": "ledger",
        "version": "v1",
        "slots": 6,
        "state": liveness.State.READY,
        "cold_seconds": 0.0,
        **fields,
    }
    return liveness.Heartbeat(**values)


def entry(born):
    """Return the target's stored entry of an earlier process on its host."""
    return directory.Target(
        "i-1", "ledger", "v1", "z1", "127.0.0.1", "127.0.0.1:4", 6, True, born
    )


class LivenessTests(unittest.TestCase):
    """Apply heartbeats and leaves in various orders."""

    def setUp(self):
        self.liveness = liveness.Liveness(doubles.settings())

    def assert_ignored(self, result):
        self.assertIsInstance(result, liveness.Ignored)

    def test_only_the_first_heartbeat_changes_anything(self):
        self.assertEqual(
            self.liveness.handle_heartbeat(heartbeat(1), 0.0), liveness.Accepted(True)
        )
        self.assertEqual(
            self.liveness.handle_heartbeat(heartbeat(2), 1.5), liveness.Accepted(False)
        )

    def test_leave_received_before_its_target_is_known_stays_pending(self):
        # Regression: a proxy that had just started acknowledged a leave, then read the
        # target's entry in the store and sent calls to the target for seconds.
        self.liveness.handle_leave(liveness.Leave("i-1", 100), 0.0)
        self.liveness.restore(entry(born=100), 0.1)
        self.assertIs(self.liveness.state, liveness.State.GONE)
        self.assertFalse(self.liveness.target.ready)
        self.liveness.handle_heartbeat(heartbeat(5, born=100), 0.2)
        self.assertIs(self.liveness.state, liveness.State.GONE)
        self.liveness.handle_heartbeat(heartbeat(1, born=200), 0.3)
        self.assertIs(self.liveness.state, liveness.State.READY)

    def test_heartbeat_with_an_older_sequence_is_ignored(self):
        self.liveness.handle_heartbeat(heartbeat(5), 0.0)
        self.assert_ignored(self.liveness.handle_heartbeat(heartbeat(4, slots=9), 1.0))
        self.assertEqual(self.liveness.target.slots, 6)

    def test_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        self.liveness.handle_heartbeat(heartbeat(1, born=200, id="i-2"), 0.0)
        self.assert_ignored(
            self.liveness.handle_heartbeat(heartbeat(90, born=100), 1.0)
        )
        self.assertEqual(self.liveness.target.id, "i-2")

    def test_restarted_target_with_the_same_id_is_ready_again(self):
        self.liveness.handle_heartbeat(heartbeat(50), 0.0)
        draining = heartbeat(51, state=liveness.State.DRAINING)
        self.liveness.handle_heartbeat(draining, 1.0)
        restarted = heartbeat(1, born=300)
        self.assertEqual(
            self.liveness.handle_heartbeat(restarted, 2.0), liveness.Accepted(True)
        )
        self.assertTrue(self.liveness.target.ready)

    def test_draining_target_stays_so_despite_later_heartbeats(self):
        self.liveness.handle_heartbeat(heartbeat(1), 0.0)
        self.liveness.handle_heartbeat(heartbeat(2, state=liveness.State.DRAINING), 1.0)
        self.liveness.handle_heartbeat(heartbeat(3), 2.0)
        self.assertFalse(self.liveness.target.ready)

    def test_leave_is_final_and_leave_of_another_target_is_ignored(self):
        self.liveness.handle_heartbeat(heartbeat(1), 0.0)
        self.assert_ignored(self.liveness.handle_leave(liveness.Leave("i-9", 0), 1.0))
        self.assertTrue(self.liveness.target.ready)
        self.liveness.handle_leave(liveness.Leave("i-1", 100), 1.0)
        self.liveness.handle_heartbeat(heartbeat(2), 2.0)
        self.assertFalse(self.liveness.target.ready)

    def test_heartbeat_with_another_address_or_service_is_ignored(self):
        self.assert_ignored(
            self.liveness.handle_heartbeat(heartbeat(address="127.0.0.9:6"), 0.0)
        )
        self.assert_ignored(
            self.liveness.handle_heartbeat(heartbeat(service="other"), 0.0)
        )
        self.assertIsNone(self.liveness.target)

    def test_unresponsive_target_is_ready_again_after_a_heartbeat(self):
        self.liveness.handle_heartbeat(heartbeat(1), 0.0)
        self.assertTrue(self.liveness.check_heartbeats(60.0))
        self.assertFalse(self.liveness.target.ready)
        self.liveness.handle_heartbeat(heartbeat(2), 61.0)
        self.assertTrue(self.liveness.target.ready)

    def test_restored_entry_of_a_stopping_proxy_is_ready(self):
        self.liveness.handle_heartbeat(heartbeat(1), 0.0)
        entry = dataclasses.replace(self.liveness.target, open=False)
        fresh = liveness.Liveness(doubles.settings())
        fresh.restore(entry, 0.0)
        self.assertIs(fresh.state, liveness.State.READY)
