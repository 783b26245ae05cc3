"""Test routes, versions, choice, retries, quarantine and request ids."""

import unittest

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages, views
from lentilrouter.routing import (
    balancing,
    duplicates,
    matching,
    quarantine,
    retrying,
)
from lentilrouter.sheet import model
from tests import doubles

DEPTH = 11


class MatchTests(unittest.TestCase):
    # Guards against a route that matches a part of a segment, or a wrong method.
    def test_longest_prefix_of_whole_segments(self):
        routes = (
            model.Route("/a", "s"),
            model.Route("/a/b", "s", methods=("POST",)),
            model.Route("/a/bc", "s", idempotent=True),
        )
        sheet = doubles.sheet(1, model.Service("s", {"v1": 100}, routes))
        matcher = matching.Matcher(sheet)
        self.assertEqual(matcher.match("POST", "/a/b/7").path, "/a/b")
        self.assertEqual(matcher.match("GET", "/a/b/7").path, "/a")
        self.assertEqual(matcher.match("GET", "/a/bc/").path, "/a/bc")
        self.assertEqual(matcher.match("GET", "/a/bcd").path, "/a")
        self.assertIsNone(matcher.match("GET", "/ab"))


class VersionTests(unittest.TestCase):
    """No call goes to a version without a known target (promise 3)."""

    def view(self, sheet, earlier=None, known=(), rolled_back=()):
        pairs = [(doubles.target(f"t-{v}", version=v), None) for v in known]
        return views.compile_view(sheet, earlier, set(rolled_back), lambda name: pairs)

    # Guards against calls for a version that nobody runs.
    def test_version_without_target_gets_no_calls(self):
        weights = {"v1": 50, "v2": 50}
        chosen = {views.choose_version(weights, {"v1"}, p / 100) for p in range(100)}
        self.assertEqual(chosen, {"v1"})
        self.assertIsNone(views.choose_version(weights, set(), 0.5))

    # Guards against a caller that goes back and forth between versions.
    def test_point_changes_version_once_while_a_share_rises(self):
        for point in (0.1, 0.5, 0.97):
            path = [
                views.choose_version(
                    {"v1": 1000 - p, "v2": p} if p < 1000 else {"v2": 1000},
                    {"v1", "v2"},
                    point,
                )
                for p in range(0, 1001, 10)
            ]
            changes = sum(a != b for a, b in zip(path, path[1:], strict=False))
            self.assertEqual(changes, 1)

    # Guards against refused calls while no version of a new sheet has a target yet.
    def test_earlier_shares_apply_until_the_first_target(self):
        first = self.view(doubles.sheet(1, doubles.service()), known=["v1"])
        replaced = doubles.sheet(2, doubles.service(shares={"v2": 100}))
        second = self.view(replaced, first, known=["v1"])
        self.assertEqual(second.fallback_weights, {"ledger": {"v1": 100_000}})
        third = self.view(replaced, second, known=["v1", "v2"])
        self.assertEqual(third.fallback_weights, {})
        again = self.view(replaced, third, known=["v1"])
        self.assertEqual(again.fallback_weights, {})

    # Guards against calls for a version that this node has found to be bad.
    def test_move_rolled_back_locally(self):
        move = model.Move("m", "v1", "v2", 0.0, 60.0, permille=400)
        sheet = doubles.sheet(1, doubles.service(move=move))
        self.assertEqual(self.view(sheet).weights["ledger"]["v2"], 40_000)
        view = self.view(sheet, rolled_back=["m"])
        self.assertEqual(view.weights["ledger"], {"v1": 100_000})


class BalancerTests(unittest.TestCase):
    def setUp(self):
        self.balancer = balancing.Balancer("kochi", doubles.rng())
        near, far = doubles.node("n1"), doubles.node("n2", "thrissur")
        self.pairs = [(doubles.target(f"t{i}"), near) for i in range(3)]
        self.pairs += [(doubles.target(f"f{i}"), far) for i in range(3)]

    def chosen(self, now=100.0, avoid=(), times=60):
        picks = [self.balancer.choose(self.pairs, now, avoid) for _ in range(times)]
        return {pair[0].id for pair in picks if pair is not None}

    # Guards against calls that leave the failure domain without need.
    def test_own_domain_first(self):
        self.assertEqual(self.chosen(), {"t0", "t1", "t2"})

    # Guards against calls that fail while another domain has room.
    def test_other_domains_serve_while_the_own_one_refuses(self):
        self.chosen()
        for i in range(3):
            self.balancer.refused(f"t{i}", 100.0)
        self.assertTrue(self.chosen() & {"f0", "f1", "f2"})
        later = 100.0 + balancing.BUSY_SECONDS
        self.assertEqual(self.chosen(later), {"t0", "t1", "t2"})

    # Guards against calls for a dead target, and against a target ejected for good.
    def test_unreachable_target_is_ejected_at_once_and_comes_back(self):
        self.balancer.failed("t0", 100.0, unreachable=True)
        self.assertNotIn("t0", self.chosen())
        self.assertIn("t0", self.chosen(100.0 + balancing.EJECT_SECONDS))

    # Guards against calls that find no target while most are ejected.
    def test_calls_find_a_target_while_most_are_ejected(self):
        for i in range(3):
            self.balancer.failed(f"t{i}", 100.0, unreachable=True)
        self.balancer.failed("f0", 100.0, unreachable=True)
        self.assertTrue(self.chosen())

    # Guards against a full share of calls for a target that has just started.
    def test_cold_target_gets_less(self):
        self.balancer.observe("t0", 100.0)
        for i in (1, 2):
            self.balancer.observe(f"t{i}", 0.0)
        picks = [self.balancer.choose(self.pairs, 100.0)[0].id for _ in range(600)]
        self.assertLess(picks.count("t0"), 100)

    # Guards against a retry at the target that has just failed.
    def test_tried_targets_are_avoided(self):
        self.assertNotIn("t1", self.chosen(avoid={"t1"}))


class RetryTests(unittest.TestCase):
    # Guards against a second run of a call that must run once.
    def test_only_safe_retries_are_allowed(self):
        not_run = outcomes.NotRun(outcomes.Reason.OVERLOADED)
        cases = [
            (not_run, False, True),
            (outcomes.NotRun(outcomes.Reason.NO_ROUTE), True, False),
            (outcomes.Unknown("lost"), False, False),
            (outcomes.Unknown("lost"), True, True),
            (outcomes.Unknown("late", late=True), True, False),
            (outcomes.Failed("half", blocked=True), True, False),
            (outcomes.Answered(None), True, False),
        ]
        for outcome, idempotent, wanted in cases:
            with self.subTest(outcome=outcome, idempotent=idempotent):
                got = retrying.may_retry(outcome, idempotent, 1, 1.0)
                self.assertEqual(got, wanted)
        self.assertFalse(retrying.may_retry(not_run, True, 1, 0.0))
        last = retrying.MAX_ATTEMPTS
        self.assertFalse(retrying.may_retry(not_run, True, last, 1.0))

    def test_retries_cannot_amplify_at_depth_11(self):
        """With every call refused, 11 layers send at most 1.1 ** 11 as many calls."""
        calls, share = 10_000, 0.1
        arriving = calls
        for _ in range(DEPTH):
            budget = retrying.Budget(share, 0.0)
            sent = 0
            for number in range(arriving):
                budget.earn(number / 5000)
                sent += 1
                for _ in range(retrying.MAX_ATTEMPTS - 1):
                    sent += budget.spend()
            arriving = sent
        self.assertLessEqual(arriving, calls * (1 + share) ** DEPTH * 1.05)


class QuarantineTests(unittest.TestCase):
    def setUp(self):
        self.request = messages.Request("POST", "/credit", [], b"{}")
        self.fingerprint = quarantine.fingerprint(self.request)
        self.records = quarantine.Quarantine()

    # Guards against a suspicion that outlasts a response, and a block lifted by one.
    def test_response_clears_a_suspected_call_but_not_a_blocked_one(self):
        self.records.note(self.fingerprint, False, 0.0)
        self.assertFalse(self.records.blocked(self.fingerprint))
        self.records.cleared(self.fingerprint)
        self.assertFalse(self.records.suspected(self.fingerprint))
        self.records.note(self.fingerprint, True, 0.0)
        self.records.cleared(self.fingerprint)
        self.assertTrue(self.records.blocked(self.fingerprint))
        self.records.expire(quarantine.RETENTION_SECONDS + 1)
        self.assertFalse(self.records.blocked(self.fingerprint))

    # Guards against a late report of a suspicion that lifts a block.
    def test_block_overrides_suspicion_in_any_order(self):
        self.assertTrue(self.records.note("f", True, 0.0))
        self.assertFalse(self.records.note("f", False, 1.0))
        self.assertTrue(self.records.blocked("f"))

    # Guards against memory that grows with each crash.
    def test_records_are_bounded(self):
        for number in range(quarantine.ENTRIES_MAX + 10):
            self.records.note(str(number), False, 0.0)
        self.assertEqual(len(self.records.records), quarantine.ENTRIES_MAX)


class DuplicateTests(unittest.TestCase):
    # Guards against a second run for a repeated id while its record is kept.
    def test_one_run_for_each_id(self):
        records = duplicates.Duplicates()
        self.assertIsInstance(records.begin("p", "f", 0.0), duplicates.First)
        self.assertIsInstance(records.begin("p", "f", 1.0), duplicates.Running)
        self.assertIsInstance(records.begin("p", "g", 1.0), duplicates.Mismatch)
        records.ended("p", "answer", 6)
        self.assertEqual(records.begin("p", "f", 2.0).outcome, "answer")
        later = duplicates.RETENTION_SECONDS + 1
        self.assertIsInstance(records.begin("p", "f", later), duplicates.First)

    # Guards against an id that cannot be used again after a refusal.
    def test_refused_run_frees_the_id(self):
        records = duplicates.Duplicates()
        records.begin("p", "f", 0.0)
        records.not_run("p")
        self.assertIsInstance(records.begin("p", "f", 1.0), duplicates.First)


if __name__ == "__main__":
    unittest.main()
