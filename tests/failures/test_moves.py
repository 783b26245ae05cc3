"""Break moves: bad versions, stewards, the platform and racing operators."""

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
    """Run moves under load (promise 4)."""

    def setUp(self):
        self.mesh = processes.start(self, NODES, WORKERS)

    def move(self, seconds):
        answer = self.mesh.run_command(
            "kochi-1", f"MOVE ledger FROM v1 TO v2 BY +{seconds}s"
        )
        self.assertEqual(answer["outcome"], "done", answer)
        return answer

    def wait(self, node="thrissur-1"):
        return self.mesh.run_command(node, "WAIT MOVE ledger")

    def steward(self):
        """Return the node that carries moves of the ledger."""
        duty = "steward-" + str(stewarding.shard_of("ledger"))

        def holder():
            rows = self.mesh.run_command("kochi-1", "SHOW NODES")["data"]
            return [r["node"] for r in rows if duty in r["duties"]]

        return processes.eventually(holder, what=duty)[0]

    def load(self, **options):
        return processes.Load(self.mesh, list(NODES), **options)

    def misbehave(self, **fields):
        for name in ("new-1", "new-2"):
            self.mesh.behave(name, **fields)

    def assert_taken_back(self, load, answer):
        """Expect the version to be out of use soon and to stay so."""
        self.assertEqual(answer["outcome"], "taken back", answer)
        self.mesh.wait_for_revision(answer["revision"])
        quiet = time.monotonic() + 0.5
        time.sleep(2.0)
        self.assertEqual(load.versions(quiet), {"v1"})

    def test_bad_versions_are_taken_back(self):
        for fields in ({"fail_share": 0.5}, {"slow_ms": 60}):
            with self.subTest(fields):
                self.misbehave(fail_share=0, slow_ms=0)
                self.misbehave(**fields)
                with self.load() as load:
                    time.sleep(1.0)
                    self.move(20)
                    answer = self.wait()
                    self.assert_taken_back(load, answer)
                bad = sum(1 for row in load.answers if row[2] == 500)
                self.assertLessEqual(bad, 0.02 * len(load.answers))

    def test_badness_that_starts_late(self):
        with self.load() as load:
            self.move(14)
            time.sleep(7.0)
            self.misbehave(fail_share=0.6)
            answer = self.wait()
            self.assert_taken_back(load, answer)

    def test_steward_killed_and_platform_down_in_the_middle(self):
        steward = self.steward()
        others = [name for name in NODES if name != steward]
        with processes.Load(self.mesh, others):
            self.move(20)
            time.sleep(3.0)
            self.mesh.kill(steward)
            time.sleep(1.0)
            self.mesh.set_faults(down=True)
            time.sleep(2.0)
            self.mesh.set_faults(down=False)
            answer = self.wait(others[0])
        self.assertEqual(answer["outcome"], "done", answer)

    def test_bad_version_stops_locally_while_the_platform_is_down(self):
        with self.load() as load:
            self.move(10)
            time.sleep(5.0)
            self.mesh.set_faults(down=True)
            self.misbehave(fail_share=0.9)
            time.sleep(3.5)
            quiet = time.monotonic()
            time.sleep(1.5)
            self.assertEqual(load.versions(quiet), {"v1"})
            self.assertNotIn(500, load.statuses(quiet))
            self.mesh.set_faults(down=False)
            answer = self.wait()
        self.assertEqual(answer["outcome"], "taken back", answer)

    def test_paused_steward_does_not_lead_a_move_back(self):
        steward = self.steward()
        others = [name for name in NODES if name != steward]
        with processes.Load(self.mesh, others):
            self.move(16)
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

    def test_racing_operators_get_one_winner_each(self):
        answers = []

        def run(node, line, id):
            answers.append((line, self.mesh.run_command(node, line, id)))

        lines = [
            (node, f"MOVE ledger FROM v1 TO v2 BY +{30 + i}s", f"move-{i}")
            for i, node in enumerate(NODES)
        ]
        threads = [threading.Thread(target=run, args=line) for line in lines]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        outcomes = sorted(answer["outcome"] for _, answer in answers)
        self.assertEqual(outcomes, ["done", "refused", "refused"], answers)
        won = next(a["id"] for _, a in answers if a["outcome"] == "done")
        repeated = self.mesh.run_command(
            "kottayam-1", next(text for _, text, id in lines if id == won), won
        )
        self.assertEqual(repeated["outcome"], "done")
        self.assertEqual(
            self.mesh.run_command("kochi-1", "STOP MOVE ledger")["outcome"], "done"
        )
        self.assertEqual(
            self.mesh.run_command("kottayam-1", "STOP MOVE ledger")["outcome"],
            "refused",
        )
        self.assertEqual(self.wait()["outcome"], "stopped")
        self.assertEqual(
            self.mesh.run_command("thrissur-1", lines[0][1])["outcome"], "done"
        )

    def test_version_without_targets_is_never_sent_to(self):
        with self.load() as load:
            answer = self.mesh.run_command(
                "kochi-1", "MOVE ledger FROM v1 TO v9 BY +3s"
            )
            self.assertEqual(answer["outcome"], "done")
            ended = self.wait()
        self.assertEqual(ended["outcome"], "taken back", ended)
        self.assertIn("no target of v9", ended["text"])
        self.assertEqual(load.versions(), {"v1"})
        self.assertEqual(load.statuses(), {200})


if __name__ == "__main__":
    unittest.main()
