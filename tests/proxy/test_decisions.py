"""Pure decisions of a proxy: choice, budget, versions, evidence."""

import random
import types
import unittest

from lentilrouter.moves import evidence, judging
from lentilrouter.proxy import balancing, budget, crashing, directory, hops, moves
from lentilrouter.routing import quarantine


def target(host, domain="z1", **fields):
    """Return a target on a host."""
    values = {
        "id": f"i-{host}",
        "service": "ledger",
        "version": "v1",
        "domain": domain,
        "host": host,
        "peer": f"{host}:1",
        "slots": 6,
        "ready": True,
        "born": 1,
        **fields,
    }
    return directory.Target(**values)


class BalancerTests(unittest.TestCase):
    """Choose among targets."""

    def setUp(self):
        self.balancer = balancing.Balancer("z1", "h1", random.Random(4))

    def choose(self, targets, tried=(), local=None, size=0.0, goal=0.0, urgent=False):
        left = self.balancer.candidates(targets, set(tried), 10.0, urgent)
        chosen = self.balancer.choose(left, {}, 10.0, local, size, goal)
        return chosen and chosen.host

    def test_target_on_the_same_host_is_taken_while_it_has_room(self):
        targets = [target("h1"), target("h2")]
        self.assertEqual(self.choose(targets, local=0.2), "h1")

    def test_calls_stay_in_their_domain_until_it_is_full(self):
        targets = [target("h2"), target("h9", "z2")]
        self.assertEqual({self.choose(targets) for _ in range(50)}, {"h2"})
        self.balancer.loaded("h2", hops.Load(6, 8, 6), 10.0)
        self.assertEqual(self.choose(targets), "h9")

    def test_calls_wait_in_their_domain_for_a_part_of_their_goal(self):
        targets = [target("h2"), target("h9", "z2")]
        for host in ("h2", "h9"):
            self.balancer.answered(host, 0.08, False, 10.0)
        self.balancer.loaded("h2", hops.Load(6, 3, 6), 10.0)  # a wait of about 0.04 s
        self.assertEqual(self.choose(targets, goal=0.4), "h2")
        self.assertEqual(self.choose(targets, goal=0.1), "h9")

    def test_calls_do_not_cross_to_a_full_target(self):
        targets = [target("h2"), target("h9", "z2")]
        self.balancer.loaded("h9", hops.Load(6, 4, 6), 10.0)
        self.assertIsNone(self.choose(targets, tried={"h2"}))
        self.assertEqual(self.choose(targets, tried={"h2"}, urgent=True), "h9")
        self.balancer.loaded("h9", hops.Load(6, 30, 6), 10.0)
        self.assertIsNone(self.choose(targets, tried={"h2"}, urgent=True))

    def test_calls_cross_to_a_full_target_if_their_domain_has_none(self):
        self.balancer.loaded("h9", hops.Load(6, 30, 6), 10.0)
        self.assertEqual(self.choose([target("h9", "z2")]), "h9")

    def test_full_target_is_tried_again_once_its_load_report_is_old(self):
        targets = [target("h2"), target("h9", "z2")]
        self.balancer.loaded("h9", hops.Load(6, 30, 6), 9.0)
        self.assertEqual(self.choose(targets, tried={"h2"}), "h9")

    def test_large_calls_cross_only_if_their_domain_has_no_target(self):
        targets = [target("h2"), target("h9", "z2")]
        self.balancer.loaded("h2", hops.Load(6, 60, 6), 10.0)
        self.assertEqual(self.choose(targets, size=60000), "h2")
        self.balancer.mark_unreachable("h2")
        self.assertEqual(self.choose(targets, size=60000), "h9")

    def test_tried_and_refusing_targets_are_skipped(self):
        targets = [target("h2"), target("h3"), target("h4")]
        self.balancer.refused("h3", 10.0)
        self.assertEqual(self.choose(targets, tried={"h2"}), "h4")

    def test_target_that_does_not_fail_is_preferred(self):
        targets = [target("h2"), target("h3")]
        for _ in range(20):
            self.balancer.answered("h2", 0.1, True, 10.0)
        self.assertEqual({self.choose(targets) for _ in range(50)}, {"h3"})


class BudgetTests(unittest.TestCase):
    """Spend one retry budget on many proxies."""

    def test_all_proxies_together_stay_within_the_retry_budget(self):
        proxies = [budget.Budget(0.2, 62.0) for _ in range(12)]
        spent = calls = 0
        for _ in range(400):
            for each in proxies:
                each.earn("ledger", 12)
                calls += 1
                spent += each.spend("ledger", 12)
                spent += each.spend("ledger", 12)
        self.assertLessEqual(spent, 0.2 * calls + 62)
        self.assertGreater(spent, 0.1 * calls)


class CrashesTests(unittest.TestCase):
    """Record calls that were in flight when targets died."""

    def setUp(self):
        self.crashes = crashing.Crashes()

    def test_call_that_was_answered_since_is_not_blocked(self):
        for target_id in "ab":
            self.crashes.note("f", target_id, 1.0)
        self.crashes.cleared("f")
        self.crashes.note("f", "c", 2.0)
        self.assertFalse(self.crashes.blocked("f"))

    def test_blocked_call_stays_blocked_until_its_record_expires(self):
        for target_id in "abc":
            self.crashes.note("f", target_id, 1.0)
        self.crashes.cleared("f")
        self.assertTrue(self.crashes.blocked("f"))
        self.crashes.expire(2.0 + quarantine.RETENTION_SECONDS)
        self.assertFalse(self.crashes.blocked("f"))

    def test_number_of_records_is_bounded(self):
        for number in range(quarantine.ENTRIES_MAX + 9):
            self.crashes.note(f"f{number}", "a", 1.0)
        self.assertEqual(len(self.crashes.records), quarantine.ENTRIES_MAX)


class VersionTests(unittest.TestCase):
    """Share calls between versions while a move runs."""

    def setUp(self):
        self.bases = moves.Bases()
        self.bases.base["ledger"] = "v1"
        self.move = moves.Move("ledger", "v1", "v2", 5, moves.State.RUNNING, 0.05, 1.0)

    def versions(self, count=1000, is_retry=False):
        ready = [target(f"h{n}", version=f"v{1 + n % 2}") for n in range(18)]
        chosen = [
            self.bases.choose("ledger", "r", ready, is_retry=is_retry)
            for _ in range(count)
        ]
        self.new_hosts = {
            t.host for found in chosen for t in found if t.version == "v2"
        }
        return [{t.version for t in found}.pop() for found in chosen]

    def test_version_without_an_order_gets_no_calls(self):
        self.assertEqual(set(self.versions()), {"v1"})

    def test_new_version_gets_exactly_its_share_of_calls(self):
        self.bases.moves["ledger"] = self.move
        self.assertEqual(self.versions().count("v2"), 50)

    def test_version_that_was_rolled_back_gets_no_calls(self):
        self.move.state = moves.State.TAKEN_BACK
        self.bases.moves["ledger"] = self.move
        self.assertEqual(set(self.versions()), {"v1"})
        self.assertTrue(self.bases.is_retired("ledger", "v2"))

    def test_old_version_gets_no_calls_at_the_full_share(self):
        self.move.share = 1.0
        self.bases.moves["ledger"] = self.move
        self.assertEqual(set(self.versions()), {"v2"})
        self.assertTrue(self.bases.is_retired("ledger", "v1"))

    def test_few_new_targets_get_calls_before_the_full_share(self):
        self.bases.moves["ledger"] = self.move
        self.move.share = 0.12
        self.versions()
        self.assertEqual(len(self.new_hosts), 1)
        self.move.share = 1.0
        self.versions()
        self.assertEqual(len(self.new_hosts), 9)

    def test_retried_call_goes_to_the_old_version(self):
        self.bases.moves["ledger"] = self.move
        self.assertEqual(set(self.versions(is_retry=True)), {"v1"})

    def test_halted_version_gets_no_calls_while_the_stored_move_runs(self):
        self.bases.moves["ledger"] = self.move
        self.move.share = 1.0
        self.assertTrue(self.bases.halt("ledger", 5))
        self.assertFalse(self.bases.halt("ledger", 5))
        self.assertEqual(set(self.versions()), {"v1"})
        self.assertTrue(self.bases.is_retired("ledger", "v2"))
        self.assertFalse(self.bases.is_retired("ledger", "v1"))

    def test_halt_of_an_earlier_order_does_not_apply_to_a_later_one(self):
        self.bases.halt("ledger", 4)
        self.bases.moves["ledger"] = self.move
        self.assertEqual(self.versions().count("v2"), 50)

    def test_planned_exposure_is_below_a_tenth_until_the_last_stage(self):
        seconds, step = 16.0, 0.1
        for targets in range(1, 40):
            for exposure in (0.1, 0.04, 0.02):
                now = exposed = 0.0
                while now < moves.FULL_AT * seconds:
                    share = moves.planned_share(now, seconds, 10**6, targets, exposure)
                    exposed += step * share
                    now += step
                self.assertLess(exposed / seconds, 0.9 * exposure, (targets, exposure))
        self.assertEqual(moves.planned_share(1.0, 16.0, 10**6, 9, exposure=0.04), 0.02)


class TailJudgeTests(unittest.TestCase):
    """Judge a new version by the calls of both versions in the same seconds."""

    def setUp(self):
        self.judge = judging.JUDGES.get("tail")(judging.Limits())
        self.total = evidence.Evidence()
        self.pair = types.SimpleNamespace(old="v1", new="v2")
        self.random = random.Random(7)

    def tick(self, now, old_fails, new_fails, new_slow=0.0):
        for _ in range(150):
            failed = self.random.random() < old_fails
            seconds = 0.06 * self.random.uniform(0.5, 2.0)
            self.total.note("v1", "r", failed, seconds)
        for _ in range(8):
            failed = self.random.random() < new_fails
            slow = 8.0 if self.random.random() < new_slow else 1.0
            seconds = 0.06 * self.random.uniform(0.5, 2.0) * slow
            self.total.note("v2", "r", failed, seconds)
        return self.judge.judge(self.total, self.pair, now)

    def run_ticks(self, ticks, **rates):
        for number in range(ticks):
            verdict = self.tick(number * 0.4, **rates)
            if isinstance(verdict, judging.Bad):
                return number
        return None

    def test_failing_version_is_found_within_seconds(self):
        found = self.run_ticks(20, old_fails=0.004, new_fails=0.5)
        self.assertLess(found, 4)

    def test_slow_version_is_found_within_seconds(self):
        found = self.run_ticks(20, old_fails=0.004, new_fails=0.004, new_slow=0.5)
        self.assertLess(found, 8)

    def test_good_version_is_not_rolled_back(self):
        self.assertIsNone(self.run_ticks(60, old_fails=0.004, new_fails=0.004))

    def test_simultaneous_failures_of_both_versions_count_for_neither(self):
        # Regression: a service that both versions call was unavailable, and the new
        # version was rolled back.
        self.assertIsNone(self.run_ticks(20, old_fails=0.004, new_fails=0.004))
        for number in range(20, 30):
            verdict = self.tick(number * 0.4, old_fails=0.3, new_fails=0.3)
            self.assertNotIsInstance(verdict, judging.Bad)


class UnderLoadTests(unittest.TestCase):
    """Move to a version that fails only once its targets are loaded."""

    def expose(self, targets, tick=0.4, seconds=16.0, rate=700):
        """Return the numbers of all calls and of the bad version's calls.

        The third result is whether the version was judged bad. A target fails half of
        its calls while its load is near the one that all will have at the end.
        """
        rng = random.Random(8)
        judge = judging.JUDGES.get("tail")(judging.Limits())
        total, pair = evidence.Evidence(), types.SimpleNamespace(old="v1", new="v2")
        hosts = [target(f"h{n}", version="v2") for n in range(targets)]
        share = exposed = all_calls = calls = 0
        for step in range(int(seconds / tick)):
            count = int(rate * tick)
            all_calls += count
            new = int(count * share)
            few = len(moves.targets_at_share(hosts, share))
            loaded = share * targets / few >= 0.95
            fails = 0.5 if loaded else 0.004
            for index in range(count):
                version = "v2" if index < new else "v1"
                failed = rng.random() < (fails if version == "v2" else 0.004)
                total.note(version, "r", failed, 0.06)
            exposed, calls = exposed + new, calls + new
            if isinstance(judge.judge(total, pair, step * tick), judging.Bad):
                return int(rate * seconds), exposed, True
            share = moves.planned_share(step * tick, seconds, calls, targets)
        return all_calls, exposed, False

    def test_version_that_fails_under_load_gets_a_tenth_at_most(self):
        for targets in (1, 2, 3, 5, 9, 20, 60):
            for seconds in (10.0, 16.0):
                all_calls, exposed, found = self.expose(targets, seconds=seconds)
                self.assertTrue(found)
                self.assertLessEqual(exposed, 0.1 * all_calls + 50, (targets, seconds))
