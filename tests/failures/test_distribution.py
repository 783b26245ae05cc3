"""Distribution of sheets while the platform, feeders or links fail.

No node may go back to an earlier revision.
"""

import copy
import signal
import time
import unittest

from tests import processes

NODES = {
    "kochi-1": "kochi",
    "kochi-2": "kochi",
    "thrissur-1": "thrissur",
    "thrissur-2": "thrissur",
}
ACTIVATION_SECONDS_MAX = 5.0


def sheet(number):
    """Return a sheet with a route that differs for each number."""
    document = copy.deepcopy(processes.SHEET)
    document["routes"].append({"path": f"/r{number}", "service": "ledger"})
    return document


class PlatformTests(unittest.TestCase):
    """Failures of the platform and of nodes during commits and starts.

    These guard promises 1, 8 and 11.
    """

    def setUp(self):
        self.mesh = processes.start(self, NODES)

    def revisions(self):
        return [self.mesh.revision(name) for name in NODES]

    def test_accepted_sheet_is_active_on_all_nodes_in_time(self):
        for number in range(2, 6):
            result = self.mesh.apply("kochi-1", sheet(number))
            self.assertEqual(result["outcome"], "done", result)
            accepted_at = time.monotonic()
            self.mesh.wait_for_revision(result["revision"])
            self.assertLess(time.monotonic() - accepted_at, ACTIVATION_SECONDS_MAX)

    def test_commit_after_an_outage_and_lost_responses_is_done_once(self):
        self.mesh.set_faults(down=True)
        refused = self.mesh.apply("kochi-1", sheet(2), id="two")
        self.assertEqual(refused["outcome"], "refused", refused)
        self.mesh.set_faults(down=False, lose_answers=2)
        done = self.mesh.apply("kochi-1", sheet(2), id="two")
        self.assertEqual((done["outcome"], done["revision"]), ("done", 2), done)
        repeated = self.mesh.apply("thrissur-1", sheet(2), id="two")
        self.assertEqual(
            (repeated["outcome"], repeated["revision"]), ("done", 2), repeated
        )
        self.mesh.wait_for_revision(2)

    def test_commit_on_a_slow_platform_is_not_reported_as_done(self):
        # The platform takes longer than its timeout of 1 s to respond.
        self.mesh.set_faults(slow_ms=1500)
        result = self.mesh.apply("kochi-1", sheet(2), id="slow")
        self.assertIn(result["outcome"], ("refused", "unknown"), result)
        self.mesh.set_faults(slow_ms=0)
        result = self.mesh.apply("kochi-1", sheet(2), id="slow")
        self.assertEqual(result["outcome"], "done", result)
        self.mesh.wait_for_revision(result["revision"])

    def test_feeder_paused_past_its_lease_distributes_no_old_sheet(self):
        # The feeder is the node that reads the platform for its failure domain.
        feeders = [
            row["node"]
            for row in self.mesh.run_command("kochi-1", "SHOW NODES")["data"]
            if any(duty.startswith("feeder") for duty in row["duties"])
        ]
        self.assertTrue(feeders)
        paused = feeders[0]
        writer = next(name for name in NODES if name != paused)
        self.mesh.signal(paused, signal.SIGSTOP)
        others = [name for name in NODES if name != paused]
        for number in range(2, 6):
            self.assertEqual(self.mesh.apply(writer, sheet(number))["outcome"], "done")
            time.sleep(0.8)
        self.mesh.wait_for_revision(5, others)
        self.mesh.signal(paused, signal.SIGCONT)
        end = time.monotonic() + 3
        while time.monotonic() < end:
            for name in others:
                self.assertGreaterEqual(self.mesh.revision(name), 5)
            time.sleep(0.1)
        self.mesh.wait_for_revision(5)

    def test_restart_of_nodes_while_the_platform_is_down_and_back(self):
        # Two nodes restart while the platform is down; then all nodes restart at once
        # after all leases have expired.
        self.assertEqual(self.mesh.apply("kochi-1", sheet(2))["outcome"], "done")
        self.mesh.wait_for_revision(2)
        self.mesh.set_faults(down=True)
        for name in ("kochi-1", "kochi-2"):
            self.mesh.kill(name)
        path = self.mesh.settings_path("kochi-1")
        peers = f"peers = {self.mesh.control_addresses['thrissur-1']}\n"
        for name in ("kochi-1", "kochi-2"):
            path = self.mesh.settings_path(name)
            path.write_text(path.read_text().replace("peers = \n", peers))
            self.mesh.start_node(name, "kochi")
        self.mesh.wait_for_revision(2)
        self.mesh.set_faults(down=False, lapse_leases=True)
        for name in NODES:
            self.mesh.kill(name)
        for name, domain in NODES.items():
            self.mesh.start_node(name, domain)
        self.mesh.wait_for_revision(2)
        result = self.mesh.apply("thrissur-2", sheet(3))
        self.assertEqual((result["outcome"], result["revision"]), ("done", 3), result)
        self.mesh.wait_for_revision(3)

    def test_sheets_committed_by_a_killed_node_reach_the_others(self):
        # The node that handles the commits is killed right after its last response; the
        # other nodes must all activate the same last sheet.
        for number in range(2, 8):
            url = f"http://{self.mesh.control_addresses['kochi-1']}/admin/sheet"
            with self.mesh.client.stream("PUT", url, json=sheet(number)):
                pass
        self.mesh.kill("kochi-1")
        others = [name for name in NODES if name != "kochi-1"]
        self.mesh.wait_for_revision(7, others)
        digests = {
            self.mesh.run_command(name, "SHOW SHEET")["data"]["digest"]
            for name in others
        }
        self.assertEqual(len(digests), 1)


class CutTests(unittest.TestCase):
    """A failure domain cut off from the platform and the others (promises 1, 8)."""

    def setUp(self):
        workers = [
            ("ledger-1", "kochi-1", "ledger", "v1"),
            ("ledger-2", "thrissur-1", "ledger", "v1"),
        ]
        self.mesh = processes.start(
            self, NODES, workers, mesh_class=processes.CuttableMesh
        )

    def test_cut_domain_serves_and_catches_up_when_healed(self):
        # A cut domain must serve calls with the sheet it has, also from a node started
        # during the cut, and accept no new sheet.
        with processes.Load(self.mesh, ["kochi-1", "kochi-2"]) as load:
            self.mesh.cut("kochi")
            cut_at = time.monotonic()
            result = self.mesh.apply("thrissur-1", sheet(2))
            self.assertEqual(result["outcome"], "done", result)
            self.mesh.wait_for_revision(2, ["thrissur-1", "thrissur-2"])
            refused = self.mesh.apply("kochi-1", sheet(3))
            self.assertEqual(refused["outcome"], "refused", refused)
            self.mesh.wait_for_targets("thrissur-1", "ledger", 1)
            self.assertEqual(self.mesh.revision("kochi-1"), 1)
            self.mesh.start_node(
                "kochi-3", "kochi", peers=[self.mesh.control_addresses["kochi-2"]]
            )
            self.mesh.cut("kochi")  # kochi-3 as well
            self.mesh.wait_for_revision(1, ["kochi-3"])
            self.mesh.wait_for_targets("kochi-3", "ledger", 1)
            response = self.mesh.get("kochi-3", "/deliveries")
            self.assertEqual(response.status_code, 200, response.text)
            ended_at = time.monotonic()
        late = [r for r in load.responses if cut_at + 2 < r[0] < ended_at]
        self.assertGreater(len(late), 50)
        self.assertEqual({row[2] for row in late}, {200})
        self.mesh.heal()
        self.mesh.wait_for_revision(2)
        for name in ("kochi-1", "thrissur-1"):
            self.mesh.wait_for_targets(name, "ledger", 2)


if __name__ == "__main__":
    unittest.main()
