"""Check that relays cover every node although they know different members."""

import unittest

from lentilrouter.distribution import relay
from tests import doubles

FANOUT = 4


def spread(known_ids, root, revision, dead=frozenset()):
    """Simulate a change that spreads from ``root``.

    ``known_ids`` maps each node to the ids it knows. Return the nodes reached, the
    depth of the tree and the number of messages.
    """
    reached, messages, depth = {root}, 0, 0
    waiting = [
        (branch, 1)
        for branch in relay.split(
            [id for id in known_ids[root] if id != root], FANOUT, revision, (root,)
        )
    ]
    while waiting:
        branch, level = waiting.pop()
        for id in branch.ids:
            messages += 1
            if id in dead:
                continue
            depth = max(depth, level)
            reached.add(id)
            path = (*branch.span.path, id)
            covered = [n for n in known_ids[id] if n != id and branch.span.covers(n)]
            waiting += [
                (child, level + 1)
                for child in relay.split(covered, FANOUT, revision, path)
            ]
            break
    return reached, depth, messages


class RelayTests(unittest.TestCase):
    def setUp(self):
        self.ids = [f"node-{number:04d}" for number in range(1750)]
        self.known_ids = dict.fromkeys(self.ids, self.ids)

    # Guards against nodes that are left out or reached many times.
    def test_every_node_of_a_domain_about_once(self):
        reached, depth, messages = spread(self.known_ids, self.ids[3], 1)
        self.assertEqual(len(reached), len(self.ids))
        self.assertLessEqual(depth, 8)
        self.assertLessEqual(messages, 1.05 * len(self.ids))

    # Guards against nodes below a dead relay that are left out.
    def test_tenth_of_the_nodes_just_died(self):
        random = doubles.rng(5)
        dead = set(random.sample(self.ids[1:], len(self.ids) // 10))
        reached, _, _ = spread(self.known_ids, self.ids[0], 1, dead)
        self.assertEqual(reached, set(self.ids) - dead)

    # Guards against many nodes left out while membership is still converging.
    def test_nodes_that_know_different_members(self):
        random = doubles.rng(6)
        known_ids = {
            id: sorted({*random.sample(self.ids, 1700), id, self.ids[0]})
            for id in self.ids
        }
        reached, _, _ = spread(known_ids, self.ids[0], 1)
        self.assertGreaterEqual(len(reached), 0.8 * len(self.ids))

    # Guards against relays that do the work of all revisions.
    def test_work_is_spread_over_revisions(self):
        first_relays = {
            relay.split(self.ids, FANOUT, revision, ())[0].ids[0]
            for revision in range(50)
        }
        self.assertGreater(len(first_relays), 30)


if __name__ == "__main__":
    unittest.main()
