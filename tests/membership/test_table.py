"""Test how nodes agree on who is alive."""

import unittest

import hypothesis
from hypothesis import strategies

from lentilrouter.membership import member, table
from tests import doubles

PROFILE = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
ENTRIES = strategies.builds(
    lambda id, incarnation, state: doubles.node(
        id, incarnation=incarnation, state=member.State(state)
    ),
    strategies.sampled_from(["a", "b", "c"]),
    strategies.integers(1, 4),
    strategies.integers(0, 3),
)


def new_table(id="me", **membership):
    """Return a table of one node that knows no other."""
    settings = doubles.settings(membership=membership)
    return table.Table(doubles.node(id), settings)


class MergeTests(unittest.TestCase):
    # Guards against nodes that got the same reports but disagree.
    @PROFILE
    @hypothesis.given(strategies.lists(ENTRIES, max_size=12), strategies.randoms())
    def test_order_and_repeats_do_not_matter(self, entries, random):
        start = [doubles.node(id, incarnation=0) for id in "abc"]
        first, second = new_table(), new_table()
        shuffled = entries + entries[:3]
        random.shuffle(shuffled)
        for entry in start + entries:
            first.merge(entry, 0.0)
        for entry in start + shuffled:
            second.merge(entry, 0.0)
        self.assertEqual(first.members, second.members)
        self.assertEqual(first.digest(), second.digest())

    # Guards against a living node that stays dead for the others.
    def test_node_refutes_its_own_death(self):
        own = new_table()
        dead = doubles.node("me", incarnation=5, state=member.State.DEAD)
        self.assertTrue(own.merge(dead, 0.0))
        self.assertEqual(own.me.incarnation, 6)
        self.assertIs(own.me.state, member.State.ALIVE)

    # Guards against a suspect declared dead too early, or a dead node kept for good.
    def test_suspect_is_declared_dead_and_removed_in_time(self):
        own = new_table(suspect_seconds=3.0, forget_seconds=10.0)
        own.merge(doubles.node("a"), 0.0)
        own.suspect("a", 1.0)
        own.expire(3.9)
        self.assertTrue(own.members["a"].usable)
        own.expire(4.0)
        self.assertIs(own.members["a"].state, member.State.DEAD)
        own.expire(14.1)
        self.assertNotIn("a", own.members)

    # Guards against a living node that never learns that others regard it as dead.
    def test_message_includes_the_receiver_if_it_is_regarded_as_dead(self):
        own = new_table()
        own.merge(doubles.node("a"), 0.0)
        own.merge(doubles.node("a", state=member.State.DEAD), 0.0)
        while own.rumors:
            own.updates(10)
        entries = own.updates(10, receiver="a")
        self.assertEqual([entry.id for entry in entries], ["a"])

    # Guards against old updates that take the room of new ones.
    def test_update_is_sent_a_bounded_number_of_times(self):
        own = new_table()
        own.merge(doubles.node("a"), 0.0)
        sends = sum(
            any(entry.id == "a" for entry in own.updates(10)) for _ in range(100)
        )
        self.assertEqual(sends, own.sends_per_rumor())

    # Guards against an entry that stays missing after its update was lost.
    def test_differing_buckets_bring_missing_entries(self):
        own, other = new_table(), new_table()
        for number in range(50):
            own.merge(doubles.node(f"n{number}"), 0.0)
            if number != 17:
                other.merge(doubles.node(f"n{number}"), 0.0)
        found = own.entries_differing(other.bucket_digests(), 100)
        self.assertIn("n17", {entry.id for entry in found})
        self.assertLess(len(found), 5)

    # Guards against calls for dead nodes, and against targets dropped on suspicion.
    def test_targets_of_dead_nodes_are_not_returned(self):
        own = new_table()
        node = doubles.node("a", targets=(doubles.target("t1"),))
        own.merge(node, 0.0)
        self.assertEqual([t.id for t, _ in own.targets("ledger")], ["t1"])
        own.suspect("a", 0.0)
        self.assertEqual(len(own.targets("ledger")), 1)
        own.expire(100.0)
        self.assertEqual(len(own.targets("ledger")), 0)

    # Guards against a field that is lost between nodes.
    def test_encoding_and_decoding(self):
        entry = doubles.node("a", targets=(doubles.target("t", draining=True),))
        self.assertEqual(member.Member.from_json(entry.as_json()), entry)


if __name__ == "__main__":
    unittest.main()
