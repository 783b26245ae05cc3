"""What a proxy believes of the target beside it, in virtual time."""

import dataclasses
import unittest

from lentilrouter.proxy import directory, liveness
from tests.proxy import doubles


def beat(sequence=1, born=100, **fields):
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
    """Return what an earlier process of the host left in the store of the target."""
    return directory.Target(
        "i-1", "ledger", "v1", "z1", "127.0.0.1", "127.0.0.1:4", 6, True, born
    )


class BeliefTests(unittest.TestCase):
    """Feed heartbeats in every order."""

    def setUp(self):
        self.liveness = liveness.Liveness(doubles.settings())

    def assert_ignored(self, result):
        self.assertIsInstance(result, liveness.Ignored)

    def test_first_beat_changes_later_ones_do_not(self):
        self.assertEqual(
            self.liveness.handle_heartbeat(beat(1), 0.0), liveness.Accepted(True)
        )
        self.assertEqual(
            self.liveness.handle_heartbeat(beat(2), 1.5), liveness.Accepted(False)
        )

    def test_leave_heard_before_its_target_is_known_is_kept(self):
        # DRAIN: a proxy that had just started acknowledged a leave, then learned of the
        # target from the store and gave it calls for seconds.
        self.liveness.handle_leave(liveness.Leave("i-1", 100), 0.0)
        self.liveness.restore(entry(born=100), 0.1)
        self.assertIs(self.liveness.state, liveness.State.GONE)
        self.assertFalse(self.liveness.target.ready)
        self.liveness.handle_heartbeat(beat(5, born=100), 0.2)
        self.assertIs(self.liveness.state, liveness.State.GONE)
        self.liveness.handle_heartbeat(beat(1, born=200), 0.3)
        self.assertIs(self.liveness.state, liveness.State.READY)

    def test_late_beat_is_ignored(self):
        self.liveness.handle_heartbeat(beat(5), 0.0)
        self.assert_ignored(self.liveness.handle_heartbeat(beat(4, slots=9), 1.0))
        self.assertEqual(self.liveness.target.slots, 6)

    def test_beat_of_an_earlier_incarnation_is_ignored(self):
        self.liveness.handle_heartbeat(beat(1, born=200, id="i-2"), 0.0)
        self.assert_ignored(self.liveness.handle_heartbeat(beat(90, born=100), 1.0))
        self.assertEqual(self.liveness.target.id, "i-2")

    def test_same_id_started_again_counts_anew(self):
        self.liveness.handle_heartbeat(beat(50), 0.0)
        draining = beat(51, state=liveness.State.DRAINING)
        self.liveness.handle_heartbeat(draining, 1.0)
        again = beat(1, born=300)
        self.assertEqual(
            self.liveness.handle_heartbeat(again, 2.0), liveness.Accepted(True)
        )
        self.assertTrue(self.liveness.target.ready)

    def test_draining_binds_whatever_comes_later(self):
        self.liveness.handle_heartbeat(beat(1), 0.0)
        self.liveness.handle_heartbeat(beat(2, state=liveness.State.DRAINING), 1.0)
        self.liveness.handle_heartbeat(beat(3), 2.0)
        self.assertFalse(self.liveness.target.ready)

    def test_leave_binds_and_a_strangers_leave_does_not(self):
        self.liveness.handle_heartbeat(beat(1), 0.0)
        self.assert_ignored(self.liveness.handle_leave(liveness.Leave("i-9", 0), 1.0))
        self.assertTrue(self.liveness.target.ready)
        self.liveness.handle_leave(liveness.Leave("i-1", 100), 1.0)
        self.liveness.handle_heartbeat(beat(2), 2.0)
        self.assertFalse(self.liveness.target.ready)

    def test_foreign_address_and_service_are_ignored(self):
        self.assert_ignored(
            self.liveness.handle_heartbeat(beat(address="127.0.0.9:6"), 0.0)
        )
        self.assert_ignored(self.liveness.handle_heartbeat(beat(service="other"), 0.0))
        self.assertIsNone(self.liveness.target)

    def test_silent_target_is_believed_again_after_a_beat(self):
        self.liveness.handle_heartbeat(beat(1), 0.0)
        self.assertTrue(self.liveness.check_heartbeats(60.0))
        self.assertFalse(self.liveness.target.ready)
        self.liveness.handle_heartbeat(beat(2), 61.0)
        self.assertTrue(self.liveness.target.ready)

    def test_entry_of_a_closed_proxy_does_not_speak_of_its_target(self):
        self.liveness.handle_heartbeat(beat(1), 0.0)
        entry = dataclasses.replace(self.liveness.target, open=False)
        fresh = liveness.Liveness(doubles.settings())
        fresh.restore(entry, 0.0)
        self.assertIs(fresh.state, liveness.State.READY)
