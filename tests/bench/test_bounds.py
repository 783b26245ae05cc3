"""Test measurements in virtual time against the bounds in ``bounds.ini``."""

import unittest

from lentilrouter.bench import bounds, membership, moves

CASES = 64
SEED = 3


class GateTests(unittest.TestCase):
    """Run the simulations and check the bounds that CI fails on."""

    def assert_gates_hold(self, bench, rows):
        verdicts = [item for item in bounds.judge(bench, rows) if item.gate]
        self.assertTrue(verdicts)
        for item in verdicts:
            with self.subTest(item.measure):
                self.assertTrue(item.held, item)

    # Guards against: policies that roll good versions back or detect bad ones too late.
    def test_moves(self):
        for name in ("feedlog", "vanua"):
            score = moves.score(name, None, CASES, SEED)
            self.assert_gates_hold("moves", [score])
            self.assertEqual(score.false_take_backs, 0)

    # Guards against: living nodes regarded as dead, and nodes that a relay misses.
    def test_membership(self):
        rows = [membership.detect(12, loss, SEED) for loss in (0.01, 0.05, 0.2)]
        rows += [membership.reach(size, SEED) for size in membership.RELAY_SIZES]
        self.assert_gates_hold("membership", rows)

    # Guards against: results that depend on more than the seed.
    def test_same_seed_same_rows(self):
        first = moves.score("feedlog", None, 8, SEED)
        self.assertEqual(first, moves.score("feedlog", None, 8, SEED))
        again = membership.detect(12, 0.2, SEED, 30.0)
        self.assertEqual(again, membership.detect(12, 0.2, SEED, 30.0))

    # Guards against: bounds so loose that a judge with plain thresholds meets them.
    def test_plain_thresholds_would_fail_the_gate(self):
        score = moves.score("feedlog", "steps", CASES, SEED)
        failed = [item for item in bounds.judge("moves", [score]) if not item.held]
        self.assertTrue(failed)


if __name__ == "__main__":
    unittest.main()
