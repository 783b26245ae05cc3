"""Moves with bad versions, failing stewards or platform, and racing operators."""

import signal
import threading
import time
import unittest

from lentilrouter.moves import stewarding
from tests import processes

NODES = {"kochi-1": "kochi", "thrissur-1": "thrissur", "kottayam-1": "kottayam"}
WORKERS = [
    ("ledger-1", "kochi-1", "ledger", "v1"),
    ("ledger-2", "thrissur-1", "ledger", "v1"),
    ("ledger-3", "kottayam-1", "ledger", "v1"),
    ("new-1", "kochi-1", "ledger", "v2"),
    ("new-2", "thrissur-1", "ledger", "v2"),
]


class MoveTests(unittest.TestCase):
    """Moves from v1 to v2 under load (promise 4)."""

    def setUp(self):
        self.mesh = processes.start(self, NODES, WORKERS)

    def start_move(self, seconds):
        result = self.mesh.run_command(
            "kochi-1", f"MOVE ledger FROM v1 TO v2 BY +{seconds}s"
        )
        self.assertEqual(result["outcome"], "done", result)
        return result

    def wait_for_move(self, node="thrissur-1"):
        return self.mesh.run_command(node, "WAIT MOVE ledger")

    def steward(self):
        """Return the steward of the ledger: the node that leads its moves."""
        duty = "steward-" + str(stewarding.shard_of("ledger"))

        def holder():
            rows = self.mesh.run_command("kochi-1", "SHOW NODES")["data"]
            return [r["node"] for r in rows if duty in r["duties"]]

        return processes.eventually(holder, what=duty)[0]

    def load(self, **options):
        return processes.Load(self.mesh, list(NODES), **options)

    def set_new_version_behaviour(self, **fields):
        for name in ("new-1", "new-2"):
            self.mesh.behave(name, **fields)

    def assert_rolled_back(self, load, result):
        """Assert that the move was rolled back and then only v1 gets calls."""
        self.assertEqual(result["outcome"], "taken back", result)
        self.mesh.wait_for_revision(result["revision"])
        settled_at = time.monotonic() + 0.5
        time.sleep(2.0)
        self.assertEqual(load.versions(settled_at), {"v1"})

    def test_bad_versions_are_rolled_back(self):
        for fields in ({"fail_share": 0.5}, {"slow_ms": 60}):
            with self.subTest(fields):
                self.set_new_version_behaviour(fail_share=0, slow_ms=0)
                self.set_new_version_behaviour(**fields)
                with self.load() as load:
                    time.sleep(1.0)
                    self.start_move(20)
                    result = self.wait_for_move()
                    self.assert_rolled_back(load, result)
                bad = sum(1 for row in load.responses if row[2] == 500)
                self.assertLessEqual(bad, 0.02 * len(load.responses))

    def test_version_that_turns_bad_late_is_rolled_back(self):
        with self.load() as load:
            self.start_move(14)
            time.sleep(7.0)
            self.set_new_version_behaviour(fail_share=0.6)
            result = self.wait_for_move()
            self.assert_rolled_back(load, result)

    def test_move_completes_after_its_steward_died_and_an_outage(self):
        steward = self.steward()
        others = [name for name in NODES if name != steward]
        with processes.Load(self.mesh, others):
            self.start_move(20)
            time.sleep(3.0)
            self.mesh.kill(steward)
            time.sleep(1.0)
            self.mesh.set_faults(down=True)
            time.sleep(2.0)
            self.mesh.set_faults(down=False)
            result = self.wait_for_move(others[0])
        self.assertEqual(result["outcome"], "done", result)

    def test_bad_version_stops_locally_while_the_platform_is_down(self):
        # Without the platform, no rollback can be stored: each node must stop sending
        # calls to the bad version by itself.
        with self.load() as load:
            self.start_move(10)
            time.sleep(5.0)
            self.mesh.set_faults(down=True)
            self.set_new_version_behaviour(fail_share=0.9)
            time.sleep(3.5)
            settled_at = time.monotonic()
            time.sleep(1.5)
            self.assertEqual(load.versions(settled_at), {"v1"})
            self.assertNotIn(500, load.statuses(settled_at))
            self.mesh.set_faults(down=False)
            result = self.wait_for_move()
        self.assertEqual(result["outcome"], "taken back", result)

    def test_paused_steward_does_not_lead_a_move_back(self):
        # The steward is paused for 7 s, past its lease of 2 s. When it resumes, the
        # share of the new version must not decrease, and the move must be completed.
        steward = self.steward()
        others = [name for name in NODES if name != steward]
        with processes.Load(self.mesh, others):
            self.start_move(16)
            time.sleep(2.0)
            self.mesh.signal(steward, signal.SIGSTOP)
            time.sleep(7.0)
            self.mesh.signal(steward, signal.SIGCONT)
            seen = []
            end = time.monotonic() + 60
            while time.monotonic() < end:
                row = self.mesh.run_command(others[0], "SHOW MOVES")["data"][0]
                seen.append(row["permille"])
                if row["state"] != "running":
                    break
                time.sleep(0.2)
        self.assertEqual(row["state"], "done", row)
        self.assertEqual(seen, sorted(seen))

    def test_one_of_several_concurrent_orders_is_accepted(self):
        results = []

        def run_order(node, line, id):
            results.append((line, self.mesh.run_command(node, line, id)))

        orders = [
            (node, f"MOVE ledger FROM v1 TO v2 BY +{30 + i}s", f"move-{i}")
            for i, node in enumerate(NODES)
        ]
        threads = [threading.Thread(target=run_order, args=order) for order in orders]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        outcomes = sorted(result["outcome"] for _, result in results)
        self.assertEqual(outcomes, ["done", "refused", "refused"], results)
        accepted_id = next(
            item["id"] for _, item in results if item["outcome"] == "done"
        )
        repeated = self.mesh.run_command(
            "kottayam-1",
            next(text for _, text, id in orders if id == accepted_id),
            accepted_id,
        )
        self.assertEqual(repeated["outcome"], "done")
        self.assertEqual(
            self.mesh.run_command("kochi-1", "STOP MOVE ledger")["outcome"], "done"
        )
        self.assertEqual(
            self.mesh.run_command("kottayam-1", "STOP MOVE ledger")["outcome"],
            "refused",
        )
        self.assertEqual(self.wait_for_move()["outcome"], "stopped")
        self.assertEqual(
            self.mesh.run_command("thrissur-1", orders[0][1])["outcome"], "done"
        )

    def test_version_without_targets_gets_no_calls(self):
        with self.load() as load:
            result = self.mesh.run_command(
                "kochi-1", "MOVE ledger FROM v1 TO v9 BY +3s"
            )
            self.assertEqual(result["outcome"], "done")
            ended = self.wait_for_move()
        self.assertEqual(ended["outcome"], "taken back", ended)
        self.assertIn("no target of v9", ended["text"])
        self.assertEqual(load.versions(), {"v1"})
        self.assertEqual(load.statuses(), {200})


if __name__ == "__main__":
    unittest.main()
