"""Test the whole path of a call and a move, with real processes."""

import unittest

from tests import processes


class WholePathTests(unittest.TestCase):
    """Start two nodes in two failure domains, with three workers."""

    def setUp(self):
        self.mesh = processes.start(
            self,
            {"kochi-1": "kochi", "thrissur-1": "thrissur"},
            [
                ("ledger-1", "kochi-1", "ledger", "v1"),
                ("ledger-2", "thrissur-1", "ledger", "v1"),
                ("plantwatch-1", "thrissur-1", "plantwatch", "v1"),
            ],
        )

    # Calls reach workers in both failure domains, preferably in their own; a call
    # without a route is refused; a move ends with the calls at the new version.
    def test_call_is_answered_and_move_is_done(self):
        answer = self.mesh.get("kochi-1", "/gas/7", headers={"x-echo": "abc"})
        self.assertEqual(answer.status_code, 200, answer.text)
        self.assertEqual(answer.json()["worker"], "plantwatch-1")
        self.assertEqual(answer.json()["echo"], "abc")
        near = self.mesh.get("kochi-1", "/deliveries").json()
        self.assertEqual(near["worker"], "ledger-1")
        nowhere = self.mesh.get("kochi-1", "/nowhere")
        self.assertEqual(nowhere.headers["lentilrouter-outcome"], "not-run")

        self.mesh.start_worker("ledger-3", "kochi-1", "ledger", "v2")
        self.mesh.wait_for_targets("kochi-1", "ledger", 3)
        started = self.mesh.run_command(
            "thrissur-1", "MOVE ledger FROM v1 TO v2 BY +6s"
        )
        self.assertEqual(started["outcome"], "done", started)
        ended = self.mesh.run_command("kochi-1", "WAIT MOVE ledger")
        self.assertEqual(ended["outcome"], "done", ended)
        answer = self.mesh.get("kochi-1", "/deliveries").json()
        self.assertEqual(answer["version"], "v2")


if __name__ == "__main__":
    unittest.main()
