"""Test the commands, their exit codes and the administration API."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from tests import processes


def run(*arguments):
    """Run a command and return its exit code and its output, errors included."""
    done = subprocess.run(
        [sys.executable, "-m", "lentilrouter", *arguments],
        capture_output=True,
        text=True,
        timeout=90,
        stdin=subprocess.DEVNULL,
    )
    return done.returncode, done.stdout + done.stderr


class OfflineTests(unittest.TestCase):
    """Run commands without a node."""

    # The help names every command; wrong usage exits with 2.
    def test_help_and_wrong_usage(self):
        code, text = run("--help")
        self.assertEqual(code, 0)
        for name in ("node", "check", "apply", "ask", "move", "wait", "bench"):
            self.assertIn(name, text)
        self.assertEqual(run("nonsense")[0], 2)

    # A file with several problems must not be reported one problem at a time.
    def test_check_lists_every_problem(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "bad.ini"
            path.write_text("[node]\nid = a\nport = 1\n")
            code, text = run("check", "--settings", str(path))
            self.assertEqual(code, 1)
            self.assertEqual(text.count("settings.E"), 5)
            code, text = run("node", "--settings", str(path))
            self.assertEqual(code, 1)
        self.assertEqual(run("check", "--sheet", "/nowhere.json")[0], 1)
        good = "examples/feedlog/sheet.json"
        self.assertEqual(run("check", "--sheet", good)[0], 0)

    # The output must state that nothing was done, as no connection was made.
    def test_unreachable_node(self):
        code, text = run("ask", "SHOW NODES", "--node", "127.0.0.1:1")
        self.assertEqual(code, 1)
        self.assertIn("nothing was done", text)


class OnlineTests(unittest.TestCase):
    """Run commands against one node, without targets."""

    def setUp(self):
        self.mesh = processes.start(self, {"kochi-1": "kochi"})
        self.node = ("--node", self.mesh.control_addresses["kochi-1"])

    # Exit codes and output of a query, a syntax error, a move that is rolled back since
    # the new version has no target, and a service without a move.
    def test_commands(self):
        code, text = run("ask", "SHOW SHEET", *self.node)
        self.assertEqual(code, 0)
        self.assertIn("revision 1", text)
        code, text = run("ask", "SHOW SHEETS", *self.node)
        self.assertEqual(code, 1)
        self.assertIn("^", text)
        move = ("move", "ledger", "--from", "v1", "--to", "v2", "--by", "+2s")
        code, text = run(*move, *self.node, "--id", "m-1")
        self.assertEqual((code, "id m-1" in text), (0, True), text)
        code, text = run("wait", "ledger", *self.node)
        self.assertEqual(code, 4, text)
        self.assertIn("taken back", text)
        code, text = run("wait", "nothing", *self.node)
        self.assertEqual(code, 1)

    # Sheets that are no JSON or break a rule are refused; the revision stays the same.
    def test_bad_sheets_change_nothing(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "sheet.json"
            for data in (
                b"[" * 10_000_000,
                b"\xff",
                json.dumps({"routes": [{"path": "/a", "service": "x"}]}).encode(),
                json.dumps({"services": {"s": {"shares": {"v1": 1}}}}).encode(),
            ):
                path.write_bytes(data)
                code, text = run("apply", str(path), *self.node)
                self.assertEqual(code, 1, text)
                self.assertIn("sheet.E", text)
        self.assertEqual(self.mesh.revision("kochi-1"), 1)

    # Malformed requests get status 400; metrics and health are served.
    def test_targets_metrics_and_health(self):
        base = f"http://{self.mesh.control_addresses['kochi-1']}"
        client = self.mesh.client
        bad = client.post(f"{base}/targets", json={"id": "x", "slots": 0})
        self.assertEqual(bad.status_code, 400)
        self.assertGreaterEqual(len(bad.json()["problems"]), 4)
        self.assertEqual(client.post(f"{base}/targets", content=b"{").status_code, 400)
        bad = client.post(f"{base}/admin/command", content=b"[]")
        self.assertEqual(bad.status_code, 400)
        self.mesh.get("kochi-1", "/deliveries", headers={"x-tenant": "coop-7"})
        text = client.get(f"{base}/metrics").text
        self.assertIn('tenant_call_seconds_bucket{le="0.001",tenant="coop-7"}', text)
        self.assertIn('not_run_total{reason="no target"} 1.0', text)
        self.assertEqual(client.get(f"{base}/healthz").status_code, 200)
        self.assertEqual(client.get(f"{base}/readyz").status_code, 200)


if __name__ == "__main__":
    unittest.main()
