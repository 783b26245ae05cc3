"""Calls during crashes, kills, drains and overload, and calls that are resent."""

import collections
import concurrent.futures
import signal
import time
import unittest

from lentilrouter.routing import duplicates
from tests import processes

DRAIN_LIMIT_SECONDS = 3.0
SLOTS = 6


class TwoHostTests(unittest.TestCase):
    """Two hosts with one ledger worker each."""

    NODES = {"kochi-1": "kochi", "thrissur-1": "thrissur"}
    WORKERS = [
        ("ledger-1", "kochi-1", "ledger", "v1"),
        ("ledger-2", "thrissur-1", "ledger", "v1"),
    ]

    def setUp(self):
        self.mesh = processes.start(self, self.NODES, self.WORKERS)

    def runs(self, request_id):
        """Return how often a request ran, summed over the workers that are alive."""
        return sum(
            self.mesh.behave(name)["runs"].get(request_id, 0)
            for name in self.mesh.worker_addresses
            if self.mesh.processes[name].poll() is None
        )

    def post_payment(self, request_id, node="kochi-1", **headers):
        # Underscores in the names of ``headers`` stand for hyphens.
        headers = {"x-request-id": request_id} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        return self.mesh.post(node, "/credit", headers=headers, content=b"pay")

    def call_target_directly(self, target, node):
        """Forward a call for ``target`` to ``node``, as a node with stale data would.

        Return the reason header of the response, ``answered`` if there is none.
        """
        settings = self.mesh.settings_path(node).read_text()
        lines = settings.splitlines()
        port = next(x for x in lines if x.startswith("peer_port")).rpartition(" ")[2]
        headers = {"lentilrouter-target": target, "lentilrouter-deadline-ms": "500"}
        url = f"http://127.0.0.1:{port}/deliveries"
        response = self.mesh.client.get(url, headers=headers)
        return response.headers.get("lentilrouter-reason", "answered")

    def test_resent_payment_runs_once_and_gets_the_same_response(self):
        first = self.post_payment("p-1")
        for node in ("kochi-1", "thrissur-1", "kochi-1"):
            resent = self.post_payment("p-1", node)
            self.assertEqual(resent.json(), first.json())
        self.assertEqual(self.runs("p-1"), 1)
        other = self.mesh.post(
            "kochi-1", "/credit", headers={"x-request-id": "p-1"}, content=b"more"
        )
        self.assertEqual(other.headers["lentilrouter-outcome"], "not-run")

    def test_late_payment_is_unknown_and_its_resend_does_not_run(self):
        # The payment runs for 600 ms, longer than the deadline of its caller.
        late = self.post_payment("p-2", x_sleep_ms="600", x_timeout_ms="200")
        self.assertEqual(late.headers["lentilrouter-outcome"], "unknown")
        resent = self.post_payment("p-2", x_sleep_ms="600", x_timeout_ms="200")
        self.assertEqual(resent.headers["lentilrouter-outcome"], "unknown")
        time.sleep(0.6)
        self.assertEqual(self.runs("p-2"), 1)

    def test_truncated_response_is_not_returned_as_complete(self):
        response = self.post_payment("p-3", x_cut="1")
        self.assertEqual(response.headers["lentilrouter-outcome"], "failed")
        self.assertEqual(self.runs("p-3"), 1)

    def test_payment_on_a_killed_worker_is_unknown_and_runs_once(self):
        responses = {}
        with concurrent.futures.ThreadPoolExecutor() as pool:
            futures = {
                name: pool.submit(self.post_payment, name, x_sleep_ms="1500")
                for name in ("k-1", "k-2", "k-3", "k-4")
            }
            time.sleep(0.7)
            counts = {name: self.runs(name) for name in futures}
            self.mesh.kill("ledger-1")
            responses = {name: f.result() for name, f in futures.items()}
        for name, response in responses.items():
            self.assertEqual(counts[name], 1)
            if response.status_code != 200:
                outcome = response.headers["lentilrouter-outcome"]
                self.assertEqual(outcome, "unknown", response.text)
        self.assertTrue(any(r.status_code == 200 for r in responses.values()))
        self.assertTrue(any(r.status_code != 200 for r in responses.values()))

    def test_payment_through_a_killed_host_is_unknown(self):
        # The node of the worker is killed while the payment runs: its outcome is
        # unknown, and no other worker may run it.
        names = (f"h-{number}" for number in range(100))
        workers = ["ledger-1", "ledger-2"]
        request_id = next(
            n for n in names if duplicates.select_target(n, workers) == "ledger-2"
        )
        with concurrent.futures.ThreadPoolExecutor() as pool:
            self.mesh.behave("ledger-2", slow_ms=1500)
            response = pool.submit(self.post_payment, request_id)
            time.sleep(0.5)
            self.assertEqual(self.runs(request_id), 1)
            self.mesh.kill("thrissur-1")
            outcome = response.result().headers["lentilrouter-outcome"]
        self.assertEqual(outcome, "unknown")
        time.sleep(1.5)
        self.assertEqual(self.runs(request_id), 1)

    def test_drained_worker_gets_no_new_calls_and_no_call_fails(self):
        with processes.Load(self.mesh, list(self.NODES)) as load:
            with concurrent.futures.ThreadPoolExecutor() as pool:
                slow = pool.submit(
                    self.mesh.get,
                    "kochi-1",
                    "/deliveries",
                    headers={"x-sleep-ms": "3500"},
                )
                time.sleep(0.5)
                self.mesh.drain_worker("ledger-1")
                time.sleep(DRAIN_LIMIT_SECONDS)
                before = self.mesh.behave("ledger-1")["calls"]
                time.sleep(1.0)
                after = self.mesh.behave("ledger-1")["calls"]
                self.assertEqual(slow.result().status_code, 200)
        self.assertIn("draining", self.call_target_directly("ledger-1", "kochi-1"))
        self.assertEqual(before, after)
        self.assertEqual(load.statuses(), {200})

    def test_sigterm_of_a_node_aborts_no_call_in_flight(self):
        body = b"x" * 300_000

        def upload():
            pieces = (body[i : i + 30_000] for i in range(0, len(body), 30_000))

            def send_slowly():
                for piece in pieces:
                    yield piece
                    time.sleep(0.15)

            return self.mesh.post("kochi-1", "/credit", content=send_slowly())

        with concurrent.futures.ThreadPoolExecutor() as pool:
            uploads = [pool.submit(upload) for _ in range(3)]
            lookup = pool.submit(
                self.mesh.get, "kochi-1", "/deliveries", headers={"x-sleep-ms": "2000"}
            )
            time.sleep(0.7)
            self.mesh.signal("kochi-1", signal.SIGTERM)
            for future in [*uploads, lookup]:
                self.assertEqual(future.result().status_code, 200)
        self.assertEqual(self.mesh.processes["kochi-1"].wait(timeout=20), 0)
        self.mesh.wait_for_targets("thrissur-1", "ledger", 1)


class CrashTests(unittest.TestCase):
    """Calls that crash every worker that runs them (promise 9)."""

    def setUp(self):
        nodes = {f"kochi-{number}": "kochi" for number in range(1, 4)}
        workers = [
            (f"ledger-{number}", f"kochi-{(number - 1) % 3 + 1}", "ledger", "v1")
            for number in range(1, 7)
        ]
        self.mesh = processes.start(self, nodes, workers)

    def dead_workers(self):
        return [
            name
            for name in self.mesh.worker_addresses
            if self.mesh.processes[name].poll() is not None
        ]

    def test_crashing_lookup_takes_two_targets_at_most(self):
        with processes.Load(self.mesh, ["kochi-1", "kochi-2", "kochi-3"]) as load:
            time.sleep(0.5)
            outcomes = collections.Counter()
            for number in range(10):
                response = self.mesh.get(
                    f"kochi-{number % 3 + 1}",
                    "/deliveries/crash",
                    headers={"x-crash": "1"},
                )
                outcomes[response.headers["lentilrouter-outcome"]] += 1
                time.sleep(0.3)
        self.assertLessEqual(len(self.dead_workers()), 2)
        self.assertGreaterEqual(outcomes["not-run"], 8)
        last = [row for row in load.responses if row[2] != 200][-1:]
        self.assertTrue(all(row[3] != "not-run" for row in last), last)

    def test_crashing_payment_is_not_retried_by_the_system(self):
        response = self.mesh.post("kochi-1", "/credit", headers={"x-crash": "1"})
        self.assertEqual(response.headers["lentilrouter-outcome"], "unknown")
        self.assertEqual(len(self.dead_workers()), 1)
        for number in range(9):
            time.sleep(0.3)
            self.mesh.post(
                f"kochi-{number % 3 + 1}", "/credit", headers={"x-crash": "1"}
            )
        self.assertLessEqual(len(self.dead_workers()), 2)


class OverloadTests(unittest.TestCase):
    """60 callers without a pause for two workers of 6 slots each (promise 10)."""

    def setUp(self):
        self.mesh = processes.start(self, TwoHostTests.NODES, TwoHostTests.WORKERS)

    def test_overload_keeps_slot_limits_runs_no_refused_call_and_recovers(self):
        for name in self.mesh.worker_addresses:
            self.mesh.behave(name, slow_ms=100, reported_load=0.0)
        started = time.monotonic()
        with processes.Load(
            self.mesh, list(TwoHostTests.NODES), threads=60, pause=0.0
        ) as load:
            time.sleep(4.0)
        counts = [self.mesh.behave(name) for name in self.mesh.worker_addresses]
        for count in counts:
            self.assertLessEqual(count["peak"], SLOTS)
            self.assertLessEqual(count["connections"], 130)
        outcomes = collections.Counter(row[3] for row in load.responses)
        # No call that ran may be refused, and no call may fail.
        self.assertEqual(set(outcomes) - {"answered", "not-run"}, set(), outcomes)
        self.assertGreater(outcomes["not-run"], 0)
        ran = sum(count["calls"] for count in counts)
        self.assertEqual(ran, outcomes["answered"])
        seconds = time.monotonic() - started
        # At least half of the calls that all slots can run at 0.1 s each.
        self.assertGreater(outcomes["answered"], 0.5 * seconds * 2 * SLOTS / 0.1)
        for name in self.mesh.worker_addresses:
            self.mesh.behave(name, slow_ms=0)
        time.sleep(0.5)
        with processes.Load(self.mesh, list(TwoHostTests.NODES)) as load_after:
            time.sleep(1.0)
        self.assertEqual(load_after.statuses(), {200})


if __name__ == "__main__":
    unittest.main()
